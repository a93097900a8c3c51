//! One daemon of the fleet: its queues, what it runs and what became of its jobs.

use savorywood_core::{
    TimerKey,
    credits::{CreditOptions, CreditState},
};
use savorywood_protocol::{HostName, MonotonicTime, TierRank, UpstreamName};
use std::collections::{BTreeMap, VecDeque};

/// What became of the jobs of one tier at one daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TierTally {
    pub arrived: u64,
    pub done: u64,
    pub shed: u64,
    pub shed_locally: u64,
    pub below_floor: u64,
    pub expired: u64,
}

#[derive(Debug)]
pub struct FakeDaemon {
    pub credits: CreditState,
    pub queues: BTreeMap<TierRank, VecDeque<MonotonicTime>>,
    pub tallies: BTreeMap<TierRank, TierTally>,
    pub sent_bytes: u64,
    pub sent_messages: u64,
    pub running: Vec<RunningJob>,
    pub slots: BTreeMap<UpstreamName, BTreeMap<TierRank, u32>>,
    pub timers: BTreeMap<TimerKey, MonotonicTime>,
}

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
