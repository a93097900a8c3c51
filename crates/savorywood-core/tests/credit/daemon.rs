//! One daemon of the simulated fleet: its queues, its running jobs and its counters.

use savorywood_core::{
    TimerKey,
    credits::{CreditOptions, CreditState},
};
use savorywood_protocol::{HostName, MonotonicTime, TierRank, UpstreamName};
use std::collections::{BTreeMap, VecDeque};

/// Counters of the jobs of one tier at one daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TierTally {
    /// Jobs submitted.
    pub arrived: u64,
    /// Jobs completed at the upstream.
    pub done: u64,
    /// Jobs shed on the arbiter's advice.
    pub shed: u64,
    /// Jobs shed by the daemon's own queues, without an arbiter.
    pub shed_locally: u64,
    /// Jobs refused or shed because their tier is below the floor.
    pub below_floor: u64,
    /// Jobs whose wait ended before the arbiter advised to shed them.
    pub expired: u64,
}

/// A daemon with a credit state and a minimal scheduler.
#[derive(Debug)]
pub struct FakeDaemon {
    pub credits: CreditState,
    /// Deadlines of the waiting jobs of each tier, oldest first.
    pub queues: BTreeMap<TierRank, VecDeque<MonotonicTime>>,
    pub tallies: BTreeMap<TierRank, TierTally>,
    /// Bytes of the messages sent, with the IPv4 and UDP headers.
    pub sent_bytes: u64,
    pub sent_messages: u64,
    pub running: Vec<RunningJob>,
    /// Slots in use at each upstream, by tier.
    pub slots: BTreeMap<UpstreamName, BTreeMap<TierRank, u32>>,
    pub timers: BTreeMap<TimerKey, MonotonicTime>,
}

/// A job that occupies a slot of an upstream.
#[derive(Debug, Clone)]
pub struct RunningJob {
    pub rank: TierRank,
    pub upstream: UpstreamName,
    pub ends_at: MonotonicTime,
}

impl FakeDaemon {
    pub fn new(host: HostName) -> Self {
        Self {
            credits: CreditState::new(CreditOptions::new(host)),
            queues: BTreeMap::new(),
            tallies: BTreeMap::new(),
            sent_bytes: 0,
            sent_messages: 0,
            running: Vec::new(),
            slots: BTreeMap::new(),
            timers: BTreeMap::new(),
        }
    }

    pub fn is_waiting(&self) -> bool {
        self.queues.values().any(|queue| !queue.is_empty())
    }

    pub fn in_use(&self, name: &UpstreamName) -> u32 {
        let slots = self.slots.get(name);
        slots.map_or(0, |slots| slots.values().sum())
    }
}
