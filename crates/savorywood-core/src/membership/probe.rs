//! Pending probes: their targets, relays and timeouts.

use savorywood_protocol::{HostName, MonotonicTime};
use std::collections::BTreeMap;

/// A ping of this daemon that has not been acknowledged yet.
#[derive(Debug, Clone)]
pub struct PendingProbe {
    /// Member or listed host that was pinged.
    pub target: HostName,
    /// When relays are asked to ping the target; `None` if they have been asked, or never are.
    pub relay_at: Option<MonotonicTime>,
    /// When the probe counts as failed.
    pub fails_at: MonotonicTime,
    /// Number of relays that were asked.
    pub relays: usize,
    /// Number of relays that reported failure too.
    pub nacks: usize,
    /// Whether one of those relays is in the target's region.
    pub target_region_nack: bool,
    /// Whether a failure raises a suspicion; `false` for contacts and pulls.
    pub detects_failure: bool,
    /// Number of table parts requested; zero if the ping is not a pull.
    pub pulls: u8,
}

/// A ping on behalf of another daemon that has not been acknowledged yet.
#[derive(Debug, Clone)]
pub struct RelayedProbe {
    /// Daemon that requested the ping.
    pub requester: HostName,
    /// Sequence number of the probe at the requester.
    pub sequence: u64,
    /// When the failure is reported to the requester.
    pub fails_at: MonotonicTime,
}

/// All pending probes.
#[derive(Debug, Default)]
pub struct ProbeTracker {
    last_sequence: u64,
    pending: BTreeMap<u64, PendingProbe>,
    relayed: BTreeMap<u64, RelayedProbe>,
}

impl ProbeTracker {
    /// Registers a ping of this daemon and returns its sequence number.
    pub fn add(&mut self, probe: PendingProbe) -> u64 {
        self.last_sequence += 1;
        self.pending.insert(self.last_sequence, probe);
        self.last_sequence
    }

    /// Registers a ping on behalf of another daemon and returns its sequence number.
    pub fn add_relayed(&mut self, probe: RelayedProbe) -> u64 {
        self.last_sequence += 1;
        self.relayed.insert(self.last_sequence, probe);
        self.last_sequence
    }

    /// Removes and returns this daemon's own ping with this sequence number.
    pub fn answered(&mut self, sequence: u64) -> Option<PendingProbe> {
        self.pending.remove(&sequence)
    }

    /// Removes and returns the relayed ping with this sequence number.
    pub fn relay_answered(&mut self, sequence: u64) -> Option<RelayedProbe> {
        self.relayed.remove(&sequence)
    }

    /// Returns this daemon's own ping with this sequence number.
    pub fn get_mut(&mut self, sequence: u64) -> Option<&mut PendingProbe> {
        self.pending.get_mut(&sequence)
    }

    /// Whether a ping to the target is pending.
    #[must_use]
    pub fn is_probing(&self, target: &HostName) -> bool {
        self.pending.values().any(|probe| probe.target == *target)
    }

    /// Sequence numbers of own pings that relays should try now.
    #[must_use]
    pub fn relay_due(&self, now: MonotonicTime) -> Vec<u64> {
        let due = self
            .pending
            .iter()
            .filter(|(_, probe)| probe.relay_at.is_some_and(|at| at <= now));
        due.map(|(sequence, _)| *sequence).collect()
    }

    /// Removes and returns own pings that have failed.
    pub fn take_failed(&mut self, now: MonotonicTime) -> Vec<PendingProbe> {
        let (failed, pending) = split_due(std::mem::take(&mut self.pending), |p| p.fails_at <= now);
        self.pending = pending;
        failed
    }

    /// Removes and returns relayed pings that have failed.
    pub fn take_failed_relays(&mut self, now: MonotonicTime) -> Vec<RelayedProbe> {
        let (failed, kept) = split_due(std::mem::take(&mut self.relayed), |p| p.fails_at <= now);
        self.relayed = kept;
        failed
    }

    /// Removes all probes: after a pause their times are meaningless.
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
