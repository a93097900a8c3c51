//! How long peers have been silent, summed up without walking all of them.
//!
//! Every report of every peer on every team asks for these sums. Walked each time, they would cost
//! a daemon work that grows with teams times the square of the daemons.

#[cfg(test)]
mod tests;

use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeSet, time::Duration};

/// From so long after its last message a peer is taken to use its even share; what it reports next
/// settles that, so that a lost message costs nothing.
const ASSUMED_TIME: Duration = Duration::from_millis(300);
/// A peer that sent nothing for this long counts as out of reach.
const OVERDUE_TIME: Duration = Duration::from_millis(450);

/// A peer in the index: when it was received last, and its number.
type SilenceKey = (MonotonicTime, u64);

/// Daemons and their silences, as sums over a set of peers.
#[derive(Debug, Clone, Copy, Default)]
struct SilenceSum {
    /// Daemons of these peers.
    daemons: u64,
    /// Sum of daemons times the microsecond from which they are taken to use their share.
    weighted_since: u128,
}

impl SilenceSum {
    fn add(&mut self, received_at: MonotonicTime, daemons: u32) {
        self.daemons += u64::from(daemons);
        self.weighted_since += Self::weight(received_at, daemons);
    }

    fn remove(&mut self, received_at: MonotonicTime, daemons: u32) {
        self.daemons -= u64::from(daemons);
        self.weighted_since -= Self::weight(received_at, daemons);
    }

    fn weight(received_at: MonotonicTime, daemons: u32) -> u128 {
        u128::from((received_at + ASSUMED_TIME).0) * u128::from(daemons)
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
#[derive(Debug, Clone, Default)]
pub struct SilenceIndex {
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
    pub fn silence_of(peer: SilentPeer, now: MonotonicTime) -> Duration {
        now.since(peer.received_at).saturating_sub(ASSUMED_TIME)
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
        self.silent.remove(peer.received_at, peer.daemons);
        if peer.near {
            self.silent_near.remove(peer.received_at, peer.daemons);
        }
        if !self.assumed.remove(&key) {
            self.overdue.remove(&key);
            self.overdue_daemons -= peer.daemons;
        }
    }

    /// Moves peers to the stages that they have reached by now. `find` looks a peer up.
    pub fn advance(&mut self, now: MonotonicTime, find: impl Fn(u64) -> Option<SilentPeer>) {
        while let Some(key) = pop_silent(&mut self.fresh, now, ASSUMED_TIME) {
            self.assumed.insert(key);
            if let Some(peer) = find(key.1) {
                self.silent.add(key.0, peer.daemons);
                if peer.near {
                    self.silent_near.add(key.0, peer.daemons);
                }
            }
        }
        while let Some(key) = pop_silent(&mut self.assumed, now, OVERDUE_TIME) {
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
