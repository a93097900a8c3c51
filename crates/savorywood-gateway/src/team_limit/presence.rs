//! Peers that share the limits of teams, and how much of the rates those not heard from are assumed
//! to use.
//!
//! One instance serves the limiters of all teams. If each limiter tracked all peers, a message would
//! cost its receiver an update for each team, also where the sender has used none of them.

use super::staleness::{StalenessIndex, StalenessThresholds, TrackedPeer};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Interval between messages of a peer until the actual one is known.
const DEFAULT_MESSAGE_INTERVAL: Duration = Duration::from_millis(250);
/// A peer that has not been heard from for this long is considered removed, if most other peers are
/// reachable.
const PEER_TTL: Duration = Duration::from_secs(20);
/// The same while this daemon reaches at most half of all daemons. It is then likely to be
/// partitioned itself, and the others continue to run.
const PARTITIONED_PEER_TTL: Duration = Duration::from_secs(60);

/// Message by which a peer is heard from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PresenceReport {
    /// Digest of the peer's name.
    pub peer: u64,
    /// Incarnation of the peer.
    pub incarnation: u64,
    /// Uptime of that incarnation.
    pub uptime: Duration,
    /// Number of daemons that the message stands for.
    pub daemons: u32,
    /// The peer is in this daemon's zone.
    pub same_zone: bool,
}

/// Use that is assumed for peers not heard from, summed since the start, as seconds of a team's
/// full rate.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct AssumedUse {
    /// Of all peers.
    pub total_s: f64,
    /// Of the peers in this daemon's zone.
    pub same_zone_s: f64,
}

#[derive(Debug, Clone, Copy)]
struct KnownPeer {
    incarnation: u64,
    tracked: TrackedPeer,
}

/// Peers with the time of their last message.
#[derive(Debug, Clone)]
pub struct PeerPresence {
    now: MonotonicTime,
    /// Number of daemons known by other means than their messages, such as membership.
    expected_daemons: u32,
    peers: BTreeMap<u64, KnownPeer>,
    staleness: StalenessIndex,
    assumed: AssumedUse,
}

impl Default for PeerPresence {
    fn default() -> Self {
        let thresholds = StalenessThresholds::for_interval(DEFAULT_MESSAGE_INTERVAL);
        Self {
            now: MonotonicTime::default(),
            expected_daemons: 1,
            peers: BTreeMap::new(),
            staleness: StalenessIndex::new(thresholds),
            assumed: AssumedUse::default(),
        }
    }
}

impl PeerPresence {
    /// Returns the time up to which the assumed use is summed.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        self.now
    }

    /// Returns the number of daemons known by other means than their messages.
    #[must_use]
    pub fn expected_daemons(&self) -> u32 {
        self.expected_daemons
    }

    /// Returns the expected interval between two messages of a peer.
    #[must_use]
    pub fn message_interval(&self) -> Duration {
        self.staleness.thresholds().interval
    }

    /// Returns the number of tracked daemons, including this one.
    #[must_use]
    pub fn daemons(&self) -> u32 {
        self.staleness.daemons() + 1
    }

    /// Returns the number of tracked daemons that are reachable, including this one.
    #[must_use]
    pub fn reachable_daemons(&self) -> u32 {
        self.staleness.reachable_daemons() + 1
    }

    /// Returns the fraction of the tracked daemons that are reachable.
    #[must_use]
    pub fn reachable_fraction(&self) -> f64 {
        f64::from(self.reachable_daemons()) / f64::from(self.daemons())
    }

    pub(super) fn assumed(&self) -> AssumedUse {
        self.assumed
    }

    /// Returns the time of the previous message of the incarnation that sent `report`.
    pub(super) fn last_message_at(&self, report: &PresenceReport) -> Option<MonotonicTime> {
        let known = self.peers.get(&report.peer)?;
        (known.incarnation == report.incarnation).then_some(known.tracked.received_at)
    }

    /// Sums up the assumed use until `now`. An earlier time than before changes nothing, as the same
    /// period must not count twice.
    pub fn advance(&mut self, now: MonotonicTime) {
        let now = now.max(self.now);
        let before = self.staleness.stale_time(self.now);
        let peers = &self.peers;
        let find = |peer| peers.get(&peer).map(|known| known.tracked);
        self.staleness.advance(now, find);
        let after = self.staleness.stale_time(now);
        let daemons = f64::from(self.daemons());
        self.assumed.total_s += (after.total_s - before.total_s) / daemons;
        self.assumed.same_zone_s += (after.same_zone_s - before.same_zone_s) / daemons;
        self.now = now;
    }

    /// Records a message. Use that was assumed while the peer was not heard from is taken back, as
    /// the message reports it.
    pub fn record_message(&mut self, now: MonotonicTime, report: &PresenceReport) {
        self.advance(now);
        let now = self.now;
        if let Some(known) = self.peers.get(&report.peer).copied() {
            if known.incarnation == report.incarnation {
                let share = f64::from(known.tracked.daemons) / f64::from(self.daemons());
                let stale = self.staleness.staleness_of(known.tracked, now);
                let assumed_s = stale.as_secs_f64() * share;
                self.assumed.total_s -= assumed_s;
                if report.same_zone {
                    self.assumed.same_zone_s -= assumed_s;
                }
            }
            self.staleness.remove(known.tracked);
        }
        let tracked = TrackedPeer {
            peer: report.peer,
            received_at: now,
            daemons: report.daemons,
            same_zone: report.same_zone,
        };
        self.staleness.insert(tracked);
        let known = KnownPeer {
            incarnation: report.incarnation,
            tracked,
        };
        self.peers.insert(report.peer, known);
    }

    /// Removes a peer that is known to have ended.
    pub fn remove(&mut self, now: MonotonicTime, peer: u64) {
        self.advance(now);
        if let Some(known) = self.peers.remove(&peer) {
            self.staleness.remove(known.tracked);
        }
    }

    /// Removes the peers that were not heard from for long, and returns them.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<u64> {
        self.advance(now);
        let ttl = if self.reachable_fraction() > 0.5 {
            PEER_TTL
        } else {
            PARTITIONED_PEER_TTL
        };
        let mut expired = Vec::new();
        while let Some(peer) = self.staleness.stale_for(now, ttl) {
            self.remove(now, peer);
            expired.push(peer);
        }
        expired
    }

    /// Sets the number of daemons, whether heard from or not, and the interval at which each sends
    /// its messages.
    pub fn set_expected(&mut self, now: MonotonicTime, daemons: u32, message_interval: Duration) {
        self.advance(now);
        self.expected_daemons = daemons;
        let thresholds = StalenessThresholds::for_interval(message_interval);
        if self.staleness.thresholds() == thresholds {
            return;
        }
        self.staleness = StalenessIndex::new(thresholds);
        for known in self.peers.values() {
            self.staleness.insert(known.tracked);
        }
        let peers = &self.peers;
        let find = |peer| peers.get(&peer).map(|known| known.tracked);
        self.staleness.advance(now, find);
    }
}
