//! What daemons tell each other, and what each knows of the others.

use crate::name::{HostLabel, UpstreamLabel, ZoneLabel};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// A peer whose last word is older than this gets no callers sent.
const ALIVE_TIME: Duration = Duration::from_millis(1_300);
/// Seats that a peer told of are counted for this long.
const SEATS_TIME: Duration = Duration::from_millis(1_300);
/// A peer unheard for this long is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Short number of a name, the same at all daemons (FNV-1a).
#[must_use]
pub fn name_digest(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// What a daemon does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerPhase {
    /// It can't serve: it starts, or can't confirm its configuration.
    Unready,
    /// It takes callers.
    Ready,
    /// It is about to end.
    Leaving,
}

/// Requests of a daemon at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatUse {
    /// Digest of the upstream's name.
    pub upstream: u64,
    /// Requests there.
    pub running: u16,
}

/// What a team has used at a daemon in that daemon's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUse {
    /// Digest of the team's name.
    pub team: u64,
    /// Units used.
    pub total: u64,
}

/// Answers that a daemon has seen from one side of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionTally {
    /// Digest of the service's name and the new version.
    pub rollout: u64,
    /// Answers of the new version.
    pub new_answers: u32,
    /// Bad ones among them.
    pub new_bad: u32,
    /// Answers of the old versions meanwhile.
    pub old_answers: u32,
    /// Bad ones among them.
    pub old_bad: u32,
    /// Requests of the service that went anywhere meanwhile.
    pub sent: u32,
    /// Those that went to the new version.
    pub sent_new: u32,
    /// This daemon holds the version for bad.
    pub condemned: bool,
}

/// What a daemon tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerSummary {
    /// Its host.
    pub host: String,
    /// Its life; a later one is larger.
    pub incarnation: u64,
    /// Age of that life in milliseconds.
    pub age_ms: u64,
    /// Grows with each summary of a life.
    pub sequence: u64,
    /// Its zone.
    pub zone: String,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// What it does.
    pub phase: PeerPhase,
    /// Configuration version that it has in force.
    pub version: u64,
    /// Its requests at upstreams.
    pub seats: Vec<SeatUse>,
    /// What teams have used there.
    pub usage: Vec<TeamUse>,
    /// What it has seen of roll-outs.
    pub tallies: Vec<VersionTally>,
}

/// A peer and when it was heard.
#[derive(Debug, Clone)]
pub struct KnownPeer {
    /// Its newest word.
    pub summary: PeerSummary,
    /// When that came.
    pub heard_at: MonotonicTime,
}

impl KnownPeer {
    /// It takes callers now.
    #[must_use]
    pub fn takes_callers(&self, now: MonotonicTime) -> bool {
        self.summary.phase == PeerPhase::Ready && self.is_alive(now)
    }

    /// It was heard lately.
    #[must_use]
    pub fn is_alive(&self, now: MonotonicTime) -> bool {
        now.since(self.heard_at) < ALIVE_TIME
    }
}

/// All peers.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    peers: BTreeMap<HostLabel, KnownPeer>,
}

impl PeerTable {
    /// Takes a peer's word, unless a newer one is known. Returns whether it was taken.
    pub fn hear(&mut self, now: MonotonicTime, summary: PeerSummary) -> bool {
        let host = HostLabel::from(summary.host.as_str());
        let known = self.peers.get(&host).map(|peer| &peer.summary);
        let is_old = known.is_some_and(|known| {
            (known.incarnation, known.sequence) >= (summary.incarnation, summary.sequence)
        });
        if is_old {
            return false;
        }
        let peer = KnownPeer {
            summary,
            heard_at: now,
        };
        self.peers.insert(host, peer);
        self.peers
            .retain(|_, peer| now.since(peer.heard_at) < FORGET_TIME);
        true
    }

    /// Forgets a peer that ended.
    pub fn remove(&mut self, host: &HostLabel) {
        self.peers.remove(host);
    }

    /// Requests of all peers at an upstream, as they last told.
    #[must_use]
    pub fn seats_at(&self, now: MonotonicTime, upstream: &UpstreamLabel) -> u32 {
        let digest = name_digest(upstream.as_str());
        let fresh = self
            .peers
            .values()
            .filter(|peer| now.since(peer.heard_at) < SEATS_TIME);
        fresh
            .flat_map(|peer| &peer.summary.seats)
            .filter(|seat| seat.upstream == digest)
            .map(|seat| u32::from(seat.running))
            .sum()
    }

    /// Peers that take callers.
    pub fn ready(&self, now: MonotonicTime) -> impl Iterator<Item = &KnownPeer> {
        self.peers
            .values()
            .filter(move |peer| peer.takes_callers(now))
    }

    /// Peers heard lately.
    pub fn alive(&self, now: MonotonicTime) -> impl Iterator<Item = &KnownPeer> {
        self.peers.values().filter(move |peer| peer.is_alive(now))
    }

    /// Number of peers that were heard within the last minute.
    #[must_use]
    pub fn known(&self) -> usize {
        self.peers.len()
    }

    /// Zone of a peer.
    #[must_use]
    pub fn zone_of(&self, host: &HostLabel) -> Option<ZoneLabel> {
        let peer = self.peers.get(host)?;
        Some(ZoneLabel::from(peer.summary.zone.as_str()))
    }
}
