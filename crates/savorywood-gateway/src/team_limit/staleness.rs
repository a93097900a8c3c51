//! How long peers have been silent, summed up without walking all of them.
//!
//! Every report of every peer on every team asks for these sums. Walked each time, they would cost
//! a daemon work that grows with teams times the square of the daemons.

#[cfg(test)]
mod tests;

use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeSet, time::Duration};

/// Time beyond a usual pause after which a message counts as missing.
const LATE_TIME: Duration = Duration::from_millis(50);
/// Usual pauses without a message after which a peer counts as out of reach.
const OVERDUE_PAUSES: f64 = 1.8;

/// How long a peer may be silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceTimes {
    /// Usual time between two messages.
    pub pause: Duration,
    /// From then on it is taken to use its even share; what it reports next settles that, so that a
    /// lost message costs nothing.
    pub assumed: Duration,
    /// From then on it counts as out of reach.
    pub overdue: Duration,
}

impl SilenceTimes {
    /// Times for peers that send a message after each pause.
    #[must_use]
    pub fn of(pause: Duration) -> Self {
        Self {
            pause,
            assumed: pause + LATE_TIME,
            overdue: pause.mul_f64(OVERDUE_PAUSES),
        }
    }
}

/// A peer in the index: when it was received last, and its number.
type SilenceKey = (MonotonicTime, u64);

/// Silences of a set of peers, summed over their daemons.
#[derive(Debug, Clone, Copy, Default)]
struct SilenceSum {
    /// Daemons of these peers.
    daemons: u64,
    /// Sum of daemons times the microsecond from which they are taken to use their share.
    weighted_since: u128,
}

impl SilenceSum {
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
    fn silent_s(&self, now: MonotonicTime) -> f64 {
        let until = u128::from(now.0) * u128::from(self.daemons);
        until.saturating_sub(self.weighted_since) as f64 / 1e6
    }
}

/// What the index must know of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilentPeer {
    /// Number of the peer.
    pub peer: u64,
    /// When its last message came.
    pub received_at: MonotonicTime,
    /// Daemons that it speaks for.
    pub daemons: u32,
    /// It is of this daemon's own zone.
    pub near: bool,
}

/// Time for which peers have been silent, in seconds of one daemon, beyond the assumed time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SilentTime {
    /// Of all peers.
    pub all_s: f64,
    /// Of those of the own zone.
    pub near_s: f64,
}

/// Peers by the time of their last message, in three stages.
#[derive(Debug, Clone)]
pub struct SilenceIndex {
    times: SilenceTimes,
    /// Received lately.
    fresh: BTreeSet<SilenceKey>,
    /// Silent for the assumed time, and not yet out of reach.
    assumed: BTreeSet<SilenceKey>,
    /// Out of reach.
    overdue: BTreeSet<SilenceKey>,
    daemons: u32,
    overdue_daemons: u32,
    silent: SilenceSum,
    silent_near: SilenceSum,
}

impl SilenceIndex {
    /// An index without peers.
    #[must_use]
    pub fn new(times: SilenceTimes) -> Self {
        Self {
            times,
            fresh: BTreeSet::new(),
            assumed: BTreeSet::new(),
            overdue: BTreeSet::new(),
            daemons: 0,
            overdue_daemons: 0,
            silent: SilenceSum::default(),
            silent_near: SilenceSum::default(),
        }
    }

    /// How long peers may be silent.
    #[must_use]
    pub fn times(&self) -> SilenceTimes {
        self.times
    }

    /// Daemons of all peers.
    #[must_use]
    pub fn daemons(&self) -> u32 {
        self.daemons
    }

    /// Daemons of the peers that are in reach.
    #[must_use]
    pub fn daemons_in_reach(&self) -> u32 {
        self.daemons - self.overdue_daemons
    }

    /// Silences as of a moment that is not before the last advance.
    #[must_use]
    pub fn silent_time(&self, now: MonotonicTime) -> SilentTime {
        SilentTime {
            all_s: self.silent.silent_s(now),
            near_s: self.silent_near.silent_s(now),
        }
    }

    /// Time for which one peer has been silent beyond the assumed time.
    #[must_use]
    pub fn silence_of(&self, peer: SilentPeer, now: MonotonicTime) -> Duration {
        now.since(peer.received_at)
            .saturating_sub(self.times.assumed)
    }

    /// Adds a peer whose message came just now.
    pub fn insert(&mut self, peer: SilentPeer) {
        self.fresh.insert((peer.received_at, peer.peer));
        self.daemons += peer.daemons;
    }

    /// Takes a peer out.
    pub fn remove(&mut self, peer: SilentPeer) {
        let key = (peer.received_at, peer.peer);
        self.daemons -= peer.daemons;
        if self.fresh.remove(&key) {
            return;
        }
        let since = peer.received_at + self.times.assumed;
        self.silent.remove(since, peer.daemons);
        if peer.near {
            self.silent_near.remove(since, peer.daemons);
        }
        if !self.assumed.remove(&key) {
            self.overdue.remove(&key);
            self.overdue_daemons -= peer.daemons;
        }
    }

    /// Moves peers to the stages that they have reached by now. `find` looks a peer up.
    pub fn advance(&mut self, now: MonotonicTime, find: impl Fn(u64) -> Option<SilentPeer>) {
        while let Some(key) = pop_silent(&mut self.fresh, now, self.times.assumed) {
            self.assumed.insert(key);
            if let Some(peer) = find(key.1) {
                let since = key.0 + self.times.assumed;
                self.silent.add(since, peer.daemons);
                if peer.near {
                    self.silent_near.add(since, peer.daemons);
                }
            }
        }
        while let Some(key) = pop_silent(&mut self.assumed, now, self.times.overdue) {
            self.overdue.insert(key);
            self.overdue_daemons += find(key.1).map_or(0, |peer| peer.daemons);
        }
    }

    /// A peer that has been silent for some time, the longest silent one first.
    #[must_use]
    pub fn silent_for(&self, now: MonotonicTime, time: Duration) -> Option<u64> {
        let first = self.overdue.first()?;
        (now.since(first.0) >= time).then_some(first.1)
    }
}

/// Takes out the peer that has been silent longest, if it has been so for some time.
fn pop_silent(
    peers: &mut BTreeSet<SilenceKey>,
    now: MonotonicTime,
    time: Duration,
) -> Option<SilenceKey> {
    let first = *peers.first()?;
    if now.since(first.0) < time {
        return None;
    }
    peers.remove(&first);
    Some(first)
}
