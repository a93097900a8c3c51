//! Time since peers were last heard from, summed without iterating over all of them.
//!
//! Every report of every peer for every team needs these sums. Computed by iteration, the work of a
//! daemon would grow with the number of teams times the square of the number of daemons.

#[cfg(test)]
mod tests;

use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeSet, time::Duration};

/// Delay beyond the message interval after which a message counts as late.
const LATE_MARGIN: Duration = Duration::from_millis(50);
/// Number of message intervals without a message after which a peer counts as unreachable.
const UNREACHABLE_INTERVALS: f64 = 1.8;

/// Thresholds for the time since the last message of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessThresholds {
    /// Expected interval between two messages.
    pub interval: Duration,
    /// From this time on the peer is assumed to use its even share. Its next report corrects the
    /// assumption, so a lost message has no lasting effect.
    pub late_after: Duration,
    /// From this time on the peer counts as unreachable.
    pub unreachable_after: Duration,
}

impl StalenessThresholds {
    /// Creates the thresholds for peers that send a message at each interval.
    #[must_use]
    pub fn for_interval(message_interval: Duration) -> Self {
        Self {
            interval: message_interval,
            late_after: message_interval + LATE_MARGIN,
            unreachable_after: message_interval.mul_f64(UNREACHABLE_INTERVALS),
        }
    }
}

/// Sort key of a peer: the time of its last message, and its number.
type StalenessKey = (MonotonicTime, u64);

/// Sum of the staleness of a set of peers, weighted by their daemons.
#[derive(Debug, Clone, Copy, Default)]
struct StalenessSum {
    /// Number of daemons of these peers.
    daemons: u64,
    /// Sum over daemons of the time, in microseconds, from which use is assumed.
    weighted_since: u128,
}

impl StalenessSum {
    fn add(&mut self, since: MonotonicTime, daemons: u32) {
        self.daemons += u64::from(daemons);
        self.weighted_since += Self::weight(since, daemons);
    }

    fn remove(&mut self, since: MonotonicTime, daemons: u32) {
        self.daemons -= u64::from(daemons);
        self.weighted_since -= Self::weight(since, daemons);
    }

    fn weight(since: MonotonicTime, daemons: u32) -> u128 {
        u128::from(since.0) * u128::from(daemons)
    }

    /// Returns the seconds beyond the late threshold, summed over daemons.
    fn stale_s(&self, now: MonotonicTime) -> f64 {
        let until = u128::from(now.0) * u128::from(self.daemons);
        until.saturating_sub(self.weighted_since) as f64 / 1e6
    }
}

/// State of a peer that the index needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrackedPeer {
    /// Number of the peer.
    pub peer: u64,
    /// Time of its last message.
    pub received_at: MonotonicTime,
    /// Number of daemons that its messages report on.
    pub daemons: u32,
    /// The peer is in this daemon's zone.
    pub same_zone: bool,
}

/// Time for which peers have been late, in daemon seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StaleTime {
    /// Sum over all peers.
    pub total_s: f64,
    /// Sum over the peers of this daemon's zone.
    pub same_zone_s: f64,
}

/// Peers ordered by the time of their last message, in three stages.
#[derive(Debug, Clone)]
pub struct StalenessIndex {
    thresholds: StalenessThresholds,
    /// Peers with a recent message.
    fresh: BTreeSet<StalenessKey>,
    /// Peers whose message is late, but which are not unreachable yet.
    late: BTreeSet<StalenessKey>,
    /// Unreachable peers.
    unreachable: BTreeSet<StalenessKey>,
    daemons: u32,
    unreachable_daemons: u32,
    stale: StalenessSum,
    stale_same_zone: StalenessSum,
}

impl StalenessIndex {
    /// Creates an index without peers.
    #[must_use]
    pub fn new(thresholds: StalenessThresholds) -> Self {
        Self {
            thresholds,
            fresh: BTreeSet::new(),
            late: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            daemons: 0,
            unreachable_daemons: 0,
            stale: StalenessSum::default(),
            stale_same_zone: StalenessSum::default(),
        }
    }

    /// Returns the thresholds in force.
    #[must_use]
    pub fn thresholds(&self) -> StalenessThresholds {
        self.thresholds
    }

    /// Returns the number of daemons of all peers.
    #[must_use]
    pub fn daemons(&self) -> u32 {
        self.daemons
    }

    /// Returns the number of daemons of the peers that are reachable.
    #[must_use]
    pub fn reachable_daemons(&self) -> u32 {
        self.daemons - self.unreachable_daemons
    }

    /// Returns the sums as of `now`, which must not be before the last advance.
    #[must_use]
    pub fn stale_time(&self, now: MonotonicTime) -> StaleTime {
        StaleTime {
            total_s: self.stale.stale_s(now),
            same_zone_s: self.stale_same_zone.stale_s(now),
        }
    }

    /// Returns the time for which one peer has been late.
    #[must_use]
    pub fn staleness_of(&self, peer: TrackedPeer, now: MonotonicTime) -> Duration {
        now.since(peer.received_at)
            .saturating_sub(self.thresholds.late_after)
    }

    /// Adds a peer whose message has just arrived.
    pub fn insert(&mut self, peer: TrackedPeer) {
        self.fresh.insert((peer.received_at, peer.peer));
        self.daemons += peer.daemons;
    }

    /// Removes a peer.
    pub fn remove(&mut self, peer: TrackedPeer) {
        let key = (peer.received_at, peer.peer);
        self.daemons -= peer.daemons;
        if self.fresh.remove(&key) {
            return;
        }
        let since = peer.received_at + self.thresholds.late_after;
        self.stale.remove(since, peer.daemons);
        if peer.same_zone {
            self.stale_same_zone.remove(since, peer.daemons);
        }
        if !self.late.remove(&key) {
            self.unreachable.remove(&key);
            self.unreachable_daemons -= peer.daemons;
        }
    }

    /// Moves peers to the stages that they have reached by now. `find` returns the state of a peer.
    pub fn advance(&mut self, now: MonotonicTime, find: impl Fn(u64) -> Option<TrackedPeer>) {
        while let Some(key) = pop_stale(&mut self.fresh, now, self.thresholds.late_after) {
            self.late.insert(key);
            if let Some(peer) = find(key.1) {
                let since = key.0 + self.thresholds.late_after;
                self.stale.add(since, peer.daemons);
                if peer.same_zone {
                    self.stale_same_zone.add(since, peer.daemons);
                }
            }
        }
        while let Some(key) = pop_stale(&mut self.late, now, self.thresholds.unreachable_after) {
            self.unreachable.insert(key);
            self.unreachable_daemons += find(key.1).map_or(0, |peer| peer.daemons);
        }
    }

    /// Returns the peer that has been unreachable longest, if its last message is at least `time`
    /// old.
    #[must_use]
    pub fn stale_for(&self, now: MonotonicTime, time: Duration) -> Option<u64> {
        let first = self.unreachable.first()?;
        (now.since(first.0) >= time).then_some(first.1)
    }
}

/// Removes and returns the peer with the oldest message, if that is at least `time` old.
fn pop_stale(
    peers: &mut BTreeSet<StalenessKey>,
    now: MonotonicTime,
    time: Duration,
) -> Option<StalenessKey> {
    let first = *peers.first()?;
    if now.since(first.0) < time {
        return None;
    }
    peers.remove(&first);
    Some(first)
}
