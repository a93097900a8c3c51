//! Load of one service as observed by this daemon: slot time that arrives, and slot time that is
//! dispatched.

use super::reservation::UrgentRank;
use crate::{demand::DecayingCounter, queue::RequestRank};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Time since the first dispatch from which the turnover counts as observed.
const MIN_OBSERVED_TIME: Duration = Duration::from_secs(1);
/// Recent dispatches from which the turnover counts as observed. Fewer are no basis for a refusal.
const MIN_RECENT_DISPATCHES: f64 = 6.0;
/// Fraction of the dispatched slot time that late work receives at least while it waits.
const LATE_SHARE: f64 = 0.1;

/// Time constant of the rates that decide on refusals. They predict many seconds, and a refusal cannot
/// be taken back, so short bursts must not count.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// Slot time with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct WorkMeter {
    slot_seconds: f64,
    updated_at: MonotonicTime,
}

impl WorkMeter {
    fn add(&mut self, now: MonotonicTime, slot_time: Duration) {
        self.slot_seconds = self.value_at(now) + slot_time.as_secs_f64();
        self.updated_at = now;
    }

    fn value_at(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.slot_seconds * (-elapsed / RATE_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the slot time per second, given the time since the first record.
    fn per_second(&self, now: MonotonicTime, observed: Duration) -> f64 {
        let window = RATE_WINDOW.as_secs_f64();
        let covered = window * (1.0 - (-observed.as_secs_f64() / window).exp());
        self.value_at(now) / covered.max(f64::MIN_POSITIVE)
    }
}

/// Arrivals and dispatches of one rank.
#[derive(Debug, Clone, Default)]
struct RankLoad {
    arrivals: DecayingCounter,
    prompt_tokens: DecayingCounter,
    objective: Duration,
    arrived: WorkMeter,
    dispatched: WorkMeter,
}

/// Slot time that arrives and is dispatched at one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceLoad {
    ranks: BTreeMap<RequestRank, RankLoad>,
    dispatches: DecayingCounter,
    dispatched_late: WorkMeter,
    first_dispatch_at: Option<MonotonicTime>,
}

/// An arriving request, as far as the load depends on it.
#[derive(Debug, Clone, Copy)]
pub struct ArrivedWork {
    /// Rank of the request.
    pub rank: RequestRank,
    /// Expected time for which it will hold a slot.
    pub slot_time: Duration,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Objective for the time to its first event.
    pub objective: Duration,
}

/// A request that is assigned a slot, as far as the load depends on it.
#[derive(Debug, Clone, Copy)]
pub struct DispatchedWork {
    /// Rank of the request.
    pub rank: RequestRank,
    /// Expected time for which it will hold the slot.
    pub slot_time: Duration,
    /// It can no longer meet its objective.
    pub late: bool,
}

/// Rates of slot time at this daemon, in slots: seconds of slot time per second.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkRates {
    /// Slots that become free for this daemon's requests.
    pub turnover: f64,
    /// Rates by rank, the most urgent first.
    pub ranks: Vec<RankRate>,
}

/// Slot time per second of one rank.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankRate {
    /// Rank of the requests.
    pub rank: RequestRank,
    /// Slot time that arrives.
    pub arriving: f64,
    /// Slot time that is dispatched.
    pub dispatched: f64,
}

impl ServiceLoad {
    /// Records an arrival.
    pub fn record_arrival(&mut self, now: MonotonicTime, work: ArrivedWork) {
        let load = self.ranks.entry(work.rank).or_default();
        load.arrivals.add(now, 1.0);
        load.prompt_tokens.add(now, f64::from(work.prompt_tokens));
        load.objective = work.objective;
        load.arrived.add(now, work.slot_time);
    }

    /// Records that a request was assigned a slot.
    pub fn record_dispatch(&mut self, now: MonotonicTime, work: DispatchedWork) {
        self.first_dispatch_at.get_or_insert(now);
        self.dispatches.add(now, 1.0);
        let load = self.ranks.entry(work.rank).or_default();
        load.dispatched.add(now, work.slot_time);
        if work.late {
            self.dispatched_late.add(now, work.slot_time);
        }
    }

    /// Returns whether late work has received less than its share of the slot time.
    #[must_use]
    pub fn admits_late(&self, now: MonotonicTime) -> bool {
        let ranks = self.ranks.values();
        let dispatched: f64 = ranks.map(|load| load.dispatched.value_at(now)).sum();
        self.dispatched_late.value_at(now) < dispatched * LATE_SHARE
    }

    /// Returns the rates of slot time; `None` without an observed turnover. Each of the `running`
    /// requests of this daemon frees one second of slot time per second, so that the turnover is not
    /// lower: the rate of dispatches lags behind when load begins.
    #[must_use]
    pub fn rates(&self, now: MonotonicTime, running: u32) -> Option<WorkRates> {
        let observed = now.since(self.first_dispatch_at?);
        if observed < MIN_OBSERVED_TIME || self.dispatches.value_at(now) < MIN_RECENT_DISPATCHES {
            return None;
        }
        let ranks = self.ranks.iter().map(|(rank, load)| RankRate {
            rank: *rank,
            arriving: load.arrived.per_second(now, observed),
            dispatched: load.dispatched.per_second(now, observed),
        });
        let ranks: Vec<RankRate> = ranks.collect();
        let dispatched: f64 = ranks.iter().map(|rate| rate.dispatched).sum();
        Some(WorkRates {
            turnover: dispatched.max(f64::from(running)),
            ranks,
        })
    }

    /// Returns the arrivals of the ranks before `end`, or of all ranks, on the assumption that each of `daemons`
    /// daemons sees as many as this one.
    #[must_use]
    pub fn urgent_ranks(
        &self,
        now: MonotonicTime,
        end: Option<RequestRank>,
        daemons: usize,
    ) -> Vec<UrgentRank> {
        let ranks = self.ranks.iter();
        let urgent = ranks.filter(|(rank, _)| end.is_none_or(|end| **rank < end));
        let ranks = urgent.map(|(_, load)| {
            let count = load.arrivals.value_at(now).max(f64::MIN_POSITIVE);
            UrgentRank {
                arrivals_per_s: load.arrivals.per_second(now) * daemons as f64,
                prompt_tokens: (load.prompt_tokens.value_at(now) / count) as u32,
                objective_ms: load.objective.as_secs_f64() * 1e3,
            }
        });
        ranks.collect()
    }
}
