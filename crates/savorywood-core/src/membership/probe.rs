//! Probes under way: which member was asked, by which ways, and until when.

use savorywood_protocol::{HostName, MonotonicTime};
use std::collections::BTreeMap;

/// A ping of our own that was not answered yet.
#[derive(Debug, Clone)]
pub struct PendingProbe {
    /// Who was asked.
    pub target: HostName,
    /// When others are asked to try; `None` once they were, or never.
    pub relay_at: Option<MonotonicTime>,
    /// When the probe has failed.
    pub fails_at: MonotonicTime,
    /// Others that were asked to try.
    pub relays: usize,
    /// Others that said that they failed too.
    pub nacks: usize,
    /// Whether one of them stands in the target's region.
    pub target_region_nack: bool,
    /// Whether a failure says anything: a ping of a host that only the list names does not.
    pub detects_failure: bool,
    /// Parts of the other's table that were asked for; zero when the ping is no pull.
    pub pulls: u8,
}

/// A ping for another daemon that was not answered yet.
#[derive(Debug, Clone)]
pub struct RelayedProbe {
    /// Who asked for it.
    pub requester: HostName,
    /// Its own number of the probe.
    pub sequence: u64,
    /// When we say that we failed.
    pub fails_at: MonotonicTime,
}

/// All probes under way.
#[derive(Debug, Default)]
pub struct ProbeTracker {
    last_sequence: u64,
    pending: BTreeMap<u64, PendingProbe>,
    relayed: BTreeMap<u64, RelayedProbe>,
}

impl ProbeTracker {
    /// Notes a ping of our own; gives its number.
    pub fn add(&mut self, probe: PendingProbe) -> u64 {
        self.last_sequence += 1;
        self.pending.insert(self.last_sequence, probe);
        self.last_sequence
    }

    /// Notes a ping for another daemon; gives its number.
    pub fn add_relayed(&mut self, probe: RelayedProbe) -> u64 {
        self.last_sequence += 1;
        self.relayed.insert(self.last_sequence, probe);
        self.last_sequence
    }

    /// Takes out the ping of our own that an answer is for.
    pub fn answered(&mut self, sequence: u64) -> Option<PendingProbe> {
        self.pending.remove(&sequence)
    }

    /// Takes out the ping for another daemon that an answer is for.
    pub fn relay_answered(&mut self, sequence: u64) -> Option<RelayedProbe> {
        self.relayed.remove(&sequence)
    }

    /// A ping of our own.
    pub fn get_mut(&mut self, sequence: u64) -> Option<&mut PendingProbe> {
        self.pending.get_mut(&sequence)
    }

    /// Whether a ping to the target is under way.
    #[must_use]
    pub fn is_probing(&self, target: &HostName) -> bool {
        self.pending.values().any(|probe| probe.target == *target)
    }

    /// Numbers of our own pings that others should try now.
    #[must_use]
    pub fn relay_due(&self, now: MonotonicTime) -> Vec<u64> {
        let due = self
            .pending
            .iter()
            .filter(|(_, probe)| probe.relay_at.is_some_and(|at| at <= now));
        due.map(|(sequence, _)| *sequence).collect()
    }

    /// Takes out the pings of our own that have failed.
    pub fn take_failed(&mut self, now: MonotonicTime) -> Vec<PendingProbe> {
        let (failed, pending) = split_due(std::mem::take(&mut self.pending), |p| p.fails_at <= now);
        self.pending = pending;
        failed
    }

    /// Takes out the pings for others that have failed.
    pub fn take_failed_relays(&mut self, now: MonotonicTime) -> Vec<RelayedProbe> {
        let (failed, kept) = split_due(std::mem::take(&mut self.relayed), |p| p.fails_at <= now);
        self.relayed = kept;
        failed
    }

    /// Forgets all probes: after a pause their times say nothing.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.relayed.clear();
    }
}

fn split_due<P>(
    probes: BTreeMap<u64, P>,
    is_due: impl Fn(&P) -> bool,
) -> (Vec<P>, BTreeMap<u64, P>) {
    let (due, kept): (BTreeMap<_, _>, _) = probes.into_iter().partition(|(_, p)| is_due(p));
    (due.into_values().collect(), kept)
}
