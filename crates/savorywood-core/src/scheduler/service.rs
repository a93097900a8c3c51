//! State of each service as this daemon observes it.

use super::{
    fleet::UpstreamId,
    queue::{QueueOrder, RequestQueue},
    speed::{DecayedMean, SpeedEstimate, SpeedMeter},
    split::SplitMeter,
};
use savorywood_protocol::{MonotonicTime, TierRank, resource::ServiceObjectives};
use std::collections::BTreeMap;

/// Time constant of the arrival rate of a tier, in seconds.
const RATE_DECAY_SECONDS: f64 = 5.0;
/// Prompt tokens to which the first-token objective is assumed to apply, until the speed of the
/// service has been measured.
const OBJECTIVE_PROMPT_TOKENS: f64 = 2_048.0;

/// Exponentially decaying rate of arriving slot time, in seconds per second, which is the number of
/// slots it needs.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateMeter {
    sum: f64,
    updated_at: MonotonicTime,
}

impl RateMeter {
    /// Adds an amount, in seconds of slot time.
    pub fn record(&mut self, now: MonotonicTime, amount: f64) {
        self.sum = self.decayed(now) + amount;
        self.updated_at = now;
    }

    fn decayed(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.sum * (-age / RATE_DECAY_SECONDS).exp()
    }

    /// Returns the amount per second.
    #[must_use]
    pub fn rate(&self, now: MonotonicTime) -> f64 {
        self.decayed(now) / RATE_DECAY_SECONDS
    }
}

/// Slots of a service that this daemon may use, counted at intervals.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotCount {
    /// Sum over all upstreams of the service.
    pub slots: f64,
    /// Shortest predicted token gap of the upstreams with slots, in seconds.
    pub fastest_gap: f64,
    /// Time of the count; `None` before the first one.
    pub counted_at: Option<MonotonicTime>,
}

/// Slots demanded by waiting requests, by upstream and tier.
#[derive(Debug, Default)]
pub struct SlotDemand {
    /// Demand for upstreams that have the prefix cached.
    pub on_holders: BTreeMap<UpstreamId, BTreeMap<TierRank, f64>>,
    /// Demand that any upstream can serve.
    pub anywhere: BTreeMap<TierRank, f64>,
    /// Time of the count; `None` before the first one.
    pub counted_at: Option<MonotonicTime>,
}

/// State of one service.
#[derive(Debug)]
pub struct ServiceState {
    /// Its upstreams, ordered by name.
    pub members: Vec<UpstreamId>,
    /// Its upstreams in this daemon's availability zone.
    pub local_members: Vec<UpstreamId>,
    /// Waiting requests.
    pub queue: RequestQueue,
    /// Whether no upstream had capacity for the waiting requests at the last attempt to dispatch
    /// them.
    pub saturated: bool,
    /// Traffic shares of versions during a move.
    pub splits: SplitMeter,
    /// Speed averaged over all its upstreams.
    pub speed: SpeedMeter,
    /// Mean fraction of prompt tokens that were not cached.
    pub miss_ratio: DecayedMean,
    /// Arriving slot time by tier.
    pub arrivals: BTreeMap<TierRank, RateMeter>,
    /// Last count of its slots.
    pub slot_count: SlotCount,
    /// Last count of the slots that its waiting requests demand.
    pub demand: SlotDemand,
    /// Time of the last refusal for load, by tier.
    pub last_shed_at: BTreeMap<TierRank, MonotonicTime>,
}

impl ServiceState {
    /// Creates the state of a service without upstreams.
    #[must_use]
    pub fn new(order: QueueOrder) -> Self {
        Self {
            members: Vec::new(),
            local_members: Vec::new(),
            queue: RequestQueue::new(order),
            saturated: false,
            splits: SplitMeter::default(),
            speed: SpeedMeter::default(),
            miss_ratio: DecayedMean::default(),
            arrivals: BTreeMap::new(),
            slot_count: SlotCount::default(),
            demand: SlotDemand::default(),
            last_shed_at: BTreeMap::new(),
        }
    }

    /// Returns the speed to assume for an upstream without measurements: that of the service, or
    /// figures derived from the objectives before any measurement.
    #[must_use]
    pub fn typical_speed(&self, objectives: &ServiceObjectives) -> SpeedEstimate {
        let first = f64::from(objectives.first_token_ms) / 1_000.0;
        let default_speed = SpeedEstimate {
            overhead: first / 4.0,
            prefill: first / 4.0 / OBJECTIVE_PROMPT_TOKENS,
            gap: f64::from(objectives.token_gap_ms) / 2_000.0,
        };
        self.speed.estimate(default_speed)
    }

    /// Returns the slots that the arrivals of higher tiers need.
    #[must_use]
    pub fn higher_tier_load(&self, now: MonotonicTime, rank: TierRank) -> f64 {
        let higher = self.arrivals.range(..rank);
        higher.map(|(_, meter)| meter.rate(now)).sum()
    }
}
