//! What the scheduler has done, for metrics and for the experiment's tables.

use savorywood_protocol::{RefusalCode, TierRank};
use std::collections::BTreeMap;

/// Prefill work of upstreams, in prompt tokens that no cache held.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillCounters {
    /// All prefill, useful or not.
    pub total: u64,
    /// Spent on requests whose callers left.
    pub cancelled: u64,
    /// Spent on requests that missed their deadline.
    pub late: u64,
    /// Spent although another upstream was known to hold the prefix.
    pub cache_miss: u64,
    /// Spent on requests whose upstream failed.
    pub broken: u64,
}

impl PrefillCounters {
    /// Wasted prefill of all causes, in tokens.
    #[must_use]
    pub fn wasted(&self) -> u64 {
        self.cancelled + self.late + self.cache_miss + self.broken
    }
}

/// What became of the requests of one tier.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TierCounters {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were dispatched.
    pub dispatched: u64,
    /// Final answers without a run, by reason.
    pub refused: BTreeMap<RefusalCode, u64>,
    /// Whole answers within the deadline.
    pub in_time: u64,
    /// Answers that ended after the deadline, or were cancelled at it.
    pub late: u64,
    /// Attempts that broke.
    pub broken: u64,
    /// Callers that left before their answer ended.
    pub caller_left: u64,
}

/// How far predictions of output lengths were off, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EstimateCounters {
    /// Answers that were compared.
    pub responses: u64,
    /// Sum of the tokens generated.
    pub actual_tokens: u64,
    /// Sum of the absolute differences.
    pub error_tokens: u64,
}

/// Everything that the scheduler counts. All counters only grow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SchedulerCounters {
    /// By tier.
    pub tiers: BTreeMap<TierRank, TierCounters>,
    /// Prefill, useful and wasted.
    pub prefill: PrefillCounters,
    /// Error of length predictions.
    pub estimates: EstimateCounters,
    /// Attempts moved to another upstream because no byte had left.
    pub retries: u64,
    /// Upstreams taken out for failures.
    pub ejections: u64,
}

impl SchedulerCounters {
    /// Counters of a tier.
    pub(super) fn tier(&mut self, rank: TierRank) -> &mut TierCounters {
        self.tiers.entry(rank).or_default()
    }
}
