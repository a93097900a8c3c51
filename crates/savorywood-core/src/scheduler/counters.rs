//! Counters of the scheduler, for metrics and for the reports of the simulation.

use savorywood_protocol::{RefusalCode, TierRank};
use std::collections::BTreeMap;

/// Prefill work done by upstreams, in prompt tokens that were not cached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillCounters {
    /// All prefill, useful or wasted.
    pub total: u64,
    /// Prefill for requests whose callers disconnected.
    pub cancelled: u64,
    /// Prefill for requests that missed their deadline.
    pub late: u64,
    /// Prefill done although another upstream had the prefix cached, as far as the index showed.
    pub cache_miss: u64,
    /// Prefill for requests whose upstream failed.
    pub broken: u64,
}

impl PrefillCounters {
    /// Returns the wasted prefill of all causes.
    #[must_use]
    pub fn wasted(&self) -> u64 {
        self.cancelled + self.late + self.cache_miss + self.broken
    }
}

/// Outcomes of the requests of one tier.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TierCounters {
    /// Requests that arrived, including resubmitted ones.
    pub arrived: u64,
    /// Requests that were dispatched, without retries.
    pub dispatched: u64,
    /// Requests refused before any upstream executed them, by refusal code.
    pub refused: BTreeMap<RefusalCode, u64>,
    /// Complete responses within the deadline.
    pub in_time: u64,
    /// Responses that ended after the deadline, and attempts cancelled at the deadline.
    pub late: u64,
    /// Attempts that failed after the request may have been sent.
    pub broken: u64,
    /// Callers that disconnected before their response ended.
    pub caller_left: u64,
}

/// Error of the predicted output lengths, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EstimateCounters {
    /// Responses whose length was compared with the prediction.
    pub responses: u64,
    /// Sum of the output tokens.
    pub actual_tokens: u64,
    /// Sum of the absolute differences between predicted and actual output tokens.
    pub error_tokens: u64,
}

/// All counters of the scheduler. They never decrease.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SchedulerCounters {
    /// Outcomes by tier.
    pub tiers: BTreeMap<TierRank, TierCounters>,
    /// Useful and wasted prefill.
    pub prefill: PrefillCounters,
    /// Error of length predictions.
    pub estimates: EstimateCounters,
    /// Attempts retried on another upstream because no byte had been sent.
    pub retries: u64,
    /// Ejections of upstreams after failures.
    pub ejections: u64,
}

impl SchedulerCounters {
    /// Returns the counters of a tier, created on first use.
    pub(super) fn tier(&mut self, rank: TierRank) -> &mut TierCounters {
        self.tiers.entry(rank).or_default()
    }
}
