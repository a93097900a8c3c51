//! How long peers have been silent, summed up without walking all of them.
//!
//! Every report of every peer on every team asks for these sums. Walked each time, they would cost
//! a daemon work that grows with teams times the square of the daemons.

#[cfg(test)]
mod tests;

use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeSet, time::Duration};

/// Time beyond a usual pause after which a message counts as missing.
const LATE_MARGIN: Duration = Duration::from_millis(50);
/// Usual pauses without a message after which a peer counts as out of reach.
const UNREACHABLE_INTERVALS: f64 = 1.8;

/// How long a peer may be silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessThresholds {
    /// Usual time between two messages.
    pub interval: Duration,
    /// From then on it is taken to use its even share; what it reports next settles that, so that a
    /// lost message costs nothing.
    pub late_after: Duration,
    /// From then on it counts as out of reach.
    pub unreachable_after: Duration,
}

impl StalenessThresholds {
    /// Times for peers that send a message after each pause.
    #[must_use]
    pub fn for_interval(pause: Duration) -> Self {
        Self {
            interval: pause,
            late_after: pause + LATE_MARGIN,
            unreachable_after: pause.mul_f64(UNREACHABLE_INTERVALS),
        }
    }
}

/// A peer in the index: when it was received last, and its number.
type StalenessKey = (MonotonicTime, u64);

/// Silences of a set of peers, summed over their daemons.
#[derive(Debug, Clone, Copy, Default)]
struct StalenessSum {
    /// Daemons of these peers.
    daemons: u64,
    /// Sum of daemons times the microsecond from which they are taken to use their share.
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

    /// Seconds of silence beyond the assumed time, summed over daemons.
    fn stale_s(&self, now: MonotonicTime) -> f64 {
        let until = u128::from(now.0) * u128::from(self.daemons);
        until.saturating_sub(self.weighted_since) as f64 / 1e6
    }
}

/// What the index must know of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrackedPeer {
    /// Number of the peer.
    pub peer: u64,
    /// When its last message came.
    pub received_at: MonotonicTime,
    /// Daemons that it speaks for.
    pub daemons: u32,
    /// It is of this daemon's own zone.
    pub same_zone: bool,
}

/// Time for which peers have been silent, in seconds of one daemon, beyond the assumed time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StaleTime {
    /// Of all peers.
    pub all_s: f64,
    /// Of those of the own zone.
    pub same_zone_s: f64,
}

/// Peers by the time of their last message, in three stages.
#[derive(Debug, Clone)]
pub struct StalenessIndex {
    times: StalenessThresholds,
    /// Received lately.
    fresh: BTreeSet<StalenessKey>,
    /// Silent for the assumed time, and not yet out of reach.
    late: BTreeSet<StalenessKey>,
    /// Out of reach.
    unreachable: BTreeSet<StalenessKey>,
    daemons: u32,
    unreachable_daemons: u32,
    stale: StalenessSum,
    stale_same_zone: StalenessSum,
}

impl StalenessIndex {
    /// An index without peers.
    #[must_use]
    pub fn new(times: StalenessThresholds) -> Self {
        Self {
            times,
            fresh: BTreeSet::new(),
            late: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            daemons: 0,
            unreachable_daemons: 0,
            stale: StalenessSum::default(),
            stale_same_zone: StalenessSum::default(),
        }
    }

    /// How long peers may be silent.
    #[must_use]
    pub fn times(&self) -> StalenessThresholds {
        self.times
    }

    /// Daemons of all peers.
    #[must_use]
    pub fn daemons(&self) -> u32 {
        self.daemons
    }

    /// Daemons of the peers that are in reach.
    #[must_use]
    pub fn reachable_daemons(&self) -> u32 {
        self.daemons - self.unreachable_daemons
    }

    /// Silences as of a moment that is not before the last advance.
    #[must_use]
    pub fn stale_time(&self, now: MonotonicTime) -> StaleTime {
        StaleTime {
            all_s: self.stale.stale_s(now),
            same_zone_s: self.stale_same_zone.stale_s(now),
        }
    }

    /// Time for which one peer has been silent beyond the assumed time.
    #[must_use]
    pub fn staleness_of(&self, peer: TrackedPeer, now: MonotonicTime) -> Duration {
        now.since(peer.received_at)
            .saturating_sub(self.times.late_after)
    }

    /// Adds a peer whose message came just now.
    pub fn insert(&mut self, peer: TrackedPeer) {
        self.fresh.insert((peer.received_at, peer.peer));
        self.daemons += peer.daemons;
    }

    /// Takes a peer out.
    pub fn remove(&mut self, peer: TrackedPeer) {
        let key = (peer.received_at, peer.peer);
        self.daemons -= peer.daemons;
        if self.fresh.remove(&key) {
            return;
        }
        let since = peer.received_at + self.times.late_after;
        self.stale.remove(since, peer.daemons);
        if peer.same_zone {
            self.stale_same_zone.remove(since, peer.daemons);
        }
        if !self.late.remove(&key) {
            self.unreachable.remove(&key);
            self.unreachable_daemons -= peer.daemons;
        }
    }

    /// Moves peers to the stages that they have reached by now. `find` looks a peer up.
    pub fn advance(&mut self, now: MonotonicTime, find: impl Fn(u64) -> Option<TrackedPeer>) {
        while let Some(key) = pop_stale(&mut self.fresh, now, self.times.late_after) {
            self.late.insert(key);
            if let Some(peer) = find(key.1) {
                let since = key.0 + self.times.late_after;
                self.stale.add(since, peer.daemons);
                if peer.same_zone {
                    self.stale_same_zone.add(since, peer.daemons);
                }
            }
        }
        while let Some(key) = pop_stale(&mut self.late, now, self.times.unreachable_after) {
            self.unreachable.insert(key);
            self.unreachable_daemons += find(key.1).map_or(0, |peer| peer.daemons);
        }
    }

    /// A peer that has been silent for some time, the longest silent one first.
    #[must_use]
    pub fn stale_for(&self, now: MonotonicTime, time: Duration) -> Option<u64> {
        let first = self.unreachable.first()?;
        (now.since(first.0) >= time).then_some(first.1)
    }
}

/// Takes out the peer that has been silent longest, if it has been so for some time.
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
