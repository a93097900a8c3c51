//! What this daemon knows of each service.

use super::{
    fleet::UpstreamId,
    queue::{QueueOrder, RequestQueue},
    speed::{DecayedMean, SpeedEstimate, SpeedMeter},
    split::SplitMeter,
};
use savorywood_protocol::{MonotonicTime, TierRank, resource::ServiceObjectives};
use std::collections::BTreeMap;

/// Seconds over which arrivals of a tier are averaged.
const RATE_DECAY_SECONDS: f64 = 5.0;
/// Tokens of the prompt for which the first-token objective is taken to be meant, until the
/// service's speed is known.
const OBJECTIVE_PROMPT_TOKENS: f64 = 2_048.0;

/// Seat time that arrives per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateMeter {
    sum: f64,
    updated_at: MonotonicTime,
}

impl RateMeter {
    /// Adds an amount.
    pub fn record(&mut self, now: MonotonicTime, amount: f64) {
        self.sum = self.decayed(now) + amount;
        self.updated_at = now;
    }

    fn decayed(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.sum * (-age / RATE_DECAY_SECONDS).exp()
    }

    /// Amount per second.
    #[must_use]
    pub fn rate(&self, now: MonotonicTime) -> f64 {
        self.decayed(now) / RATE_DECAY_SECONDS
    }
}

/// Seats that the service has for this daemon, counted now and then.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotCount {
    /// Seats allowed on all its upstreams.
    pub slots: f64,
    /// Shortest usual time between tokens of those upstreams, in seconds.
    pub fastest_gap: f64,
    /// When they were counted; `None` if never.
    pub counted_at: Option<MonotonicTime>,
}

/// Seats wanted by waiting requests, by upstream and tier.
#[derive(Debug, Default)]
pub struct SlotDemand {
    /// Seats wanted on upstreams that hold the prefix.
    pub on_holders: BTreeMap<UpstreamId, BTreeMap<TierRank, f64>>,
    /// Seats wanted anywhere.
    pub anywhere: BTreeMap<TierRank, f64>,
    /// When they were counted; `None` if never.
    pub counted_at: Option<MonotonicTime>,
}

/// State of one service.
#[derive(Debug)]
pub struct ServiceState {
    /// Its upstreams, in name order.
    pub members: Vec<UpstreamId>,
    /// Those in this daemon's availability zone.
    pub local_members: Vec<UpstreamId>,
    /// Requests that wait.
    pub queue: RequestQueue,
    /// No upstream has room, as far as is known.
    pub saturated: bool,
    /// Shares of versions.
    pub splits: SplitMeter,
    /// Speed of all its upstreams taken together.
    pub speed: SpeedMeter,
    /// Share of prompt tokens that caches did not hold.
    pub miss_ratio: DecayedMean,
    /// Seat time arriving, by tier.
    pub arrivals: BTreeMap<TierRank, RateMeter>,
    /// Seats counted last.
    pub slot_count: SlotCount,
    /// Seats wanted by what waits, where its prefixes are held.
    pub demand: SlotDemand,
    /// When a request of a tier was refused for load last.
    pub last_shed_at: BTreeMap<TierRank, MonotonicTime>,
}

impl ServiceState {
    /// A service of which nothing is known.
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

    /// Speed to expect of an upstream of which nothing is known.
    #[must_use]
    pub fn typical_speed(&self, objectives: &ServiceObjectives) -> SpeedEstimate {
        let first = f64::from(objectives.first_token_ms) / 1_000.0;
        let unknown = SpeedEstimate {
            overhead: first / 4.0,
            prefill: first / 4.0 / OBJECTIVE_PROMPT_TOKENS,
            gap: f64::from(objectives.token_gap_ms) / 2_000.0,
        };
        self.speed.estimate(unknown)
    }

    /// Seats that higher tiers are expected to take, by their arrivals.
    #[must_use]
    pub fn higher_tier_load(&self, now: MonotonicTime, rank: TierRank) -> f64 {
        let higher = self.arrivals.range(..rank);
        higher.map(|(_, meter)| meter.rate(now)).sum()
    }
}
