//! What the core's duties count, taken over at each scrape.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};
use savorywood_core::{
    claims::ClaimCounters,
    scheduler::{PrefillCounters, SchedulerCounters, TierCounters},
};

/// Counters of the core's duties.
#[derive(Debug)]
pub struct CoreMetrics {
    tier_requests: IntCounterVec,
    tier_refusals: IntCounterVec,
    prefill_tokens: IntCounterVec,
    output_tokens: IntCounterVec,
    retries: IntCounter,
    ejections: IntCounter,
    claims: IntCounterVec,
}

impl CoreMetrics {
    /// Registers all counters.
    ///
    /// # Errors
    ///
    /// When two metrics have the same name.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let vector = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let single = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        Ok(Self {
            tier_requests: vector(
                "savorywood_tier_requests_total",
                "Requests by rank of their tier and by what became of them",
                &["rank", "end"],
            )?,
            tier_refusals: vector(
                "savorywood_tier_refusals_total",
                "Requests that the scheduler refused, by rank of their tier and reason",
                &["rank", "code"],
            )?,
            prefill_tokens: vector(
                "savorywood_prefill_tokens_total",
                "Prompt tokens that no cache held: all, and those wasted by cause",
                &["cause"],
            )?,
            output_tokens: vector(
                "savorywood_output_tokens_total",
                "Tokens generated, and by how many the predictions were off",
                &["kind"],
            )?,
            retries: single(
                "savorywood_retries_total",
                "Attempts moved to another upstream because no byte had left",
            )?,
            ejections: single(
                "savorywood_ejections_total",
                "Upstreams taken out of use for failures",
            )?,
            claims: vector(
                "savorywood_claims_total",
                "Claims of calls that may not be repeated, by what happened",
                &["kind"],
            )?,
        })
    }

    /// Takes over what the scheduler counted.
    pub fn take_scheduler(&self, counters: &SchedulerCounters) {
        for (rank, tier) in &counters.tiers {
            self.take_tier(&rank.to_string(), tier);
        }
        self.take_prefill(&counters.prefill);
        let estimates = &counters.estimates;
        raise_to(&self.output_tokens, &["generated"], estimates.actual_tokens);
        raise_to(&self.output_tokens, &["error"], estimates.error_tokens);
        raise(&self.retries, counters.retries);
        raise(&self.ejections, counters.ejections);
    }

    fn take_tier(&self, rank: &str, tier: &TierCounters) {
        let ends = [
            ("arrived", tier.arrived),
            ("dispatched", tier.dispatched),
            ("in-time", tier.in_time),
            ("late", tier.late),
            ("broken", tier.broken),
            ("left", tier.caller_left),
        ];
        for (end, count) in ends {
            raise_to(&self.tier_requests, &[rank, end], count);
        }
        for (code, count) in &tier.refused {
            raise_to(&self.tier_refusals, &[rank, code.into()], *count);
        }
    }

    fn take_prefill(&self, prefill: &PrefillCounters) {
        let causes = [
            ("all", prefill.total),
            ("cancelled", prefill.cancelled),
            ("late", prefill.late),
            ("cache-miss", prefill.cache_miss),
            ("broken", prefill.broken),
        ];
        for (cause, count) in causes {
            raise_to(&self.prefill_tokens, &[cause], count);
        }
    }

    /// Takes over what the claim duty counted.
    pub fn take_claims(&self, counters: &ClaimCounters) {
        let kinds = [
            ("commits", counters.commits),
            ("rows", counters.rows),
            ("store-refusals", counters.store_refusals),
            ("replays", counters.replays),
            ("repeats", counters.repeats),
            ("lost-outcomes", counters.unrecorded_outcomes),
            ("swept", counters.swept),
        ];
        for (kind, count) in kinds {
            raise_to(&self.claims, &[kind], count);
        }
    }
}

fn raise_to(counters: &IntCounterVec, labels: &[&str], count: u64) {
    raise(&counters.with_label_values(labels), count);
}

/// The core's counters only grow within a daemon's life.
fn raise(counter: &IntCounter, count: u64) {
    counter.inc_by(count.saturating_sub(counter.get()));
}
