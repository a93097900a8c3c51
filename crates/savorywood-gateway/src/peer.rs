//! State that daemons gossip, and what each knows of the others.

use crate::{
    label::{HostLabel, UpstreamLabel, ZoneLabel},
    message::{DaemonRole, PeerHeartbeat, PeerPhase, PeerSummary, SlotScope, SlotUpdate, SlotUse},
    zone::{DigestOutcome, ZoneDigest, ZoneState},
};
use savorywood_protocol::MonotonicTime;
use std::{
    cell::OnceCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

/// A peer whose last message is older than this gets no callers sent.
const ALIVE_TIME: Duration = Duration::from_millis(1_300);
/// Slots that a peer reported are counted for this long.
const SLOTS_TIMEOUT: Duration = Duration::from_millis(1_300);
/// A member of the entry set that sent nothing for this long is left out.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// Peers that must leave an upstream out before others hold back.
const ENOUGH_SUSPECTING: u32 = 2;
/// A peer silent for this long is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Short number of a name, the same at all daemons (FNV-1a).
#[must_use]
pub fn name_digest(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Part of an upstream's digest by which slots are counted: messages on slots are most of what
/// daemons exchange, and half of a digest is enough for some thousand upstreams.
#[must_use]
pub fn slot_key(digest: u64) -> u32 {
    digest as u32
}

/// Requests at one upstream as the sum of what was reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotTotal {
    /// Requests there.
    pub running: u32,
    /// Prompt tokens of those of which no event has come yet.
    pub unread_prompt_tokens: u32,
}

/// A peer and when it was last seen.
#[derive(Debug, Clone)]
pub struct PeerState {
    /// Its newest message.
    pub summary: PeerSummary,
    /// When that came.
    pub received_at: MonotonicTime,
    /// Digest of its host's name.
    pub digest: u64,
    /// End of its last silence, if it had one.
    resumed_at: Option<MonotonicTime>,
}

impl PeerState {
    /// It takes callers now.
    #[must_use]
    pub fn accepts_callers(&self, now: MonotonicTime) -> bool {
        self.summary.phase == PeerPhase::Ready && self.is_live(now)
    }

    /// It takes callers, and sends the heartbeats that a member of the entry set owes.
    #[must_use]
    pub fn is_member_candidate(&self, now: MonotonicTime, heartbeats: bool) -> bool {
        let owes = heartbeats && self.summary.role == DaemonRole::Entry;
        let silent = now.since(self.received_at) >= HEARTBEAT_TIMEOUT;
        self.accepts_callers(now) && !(owes && silent)
    }

    /// Time for which it has been running without a silence that was noticed here. Silences that
    /// ended when the observer itself went on, at `own_resumed_at`, were the observer's.
    #[must_use]
    pub fn stable_for(
        &self,
        now: MonotonicTime,
        own_resumed_at: Option<MonotonicTime>,
    ) -> Duration {
        let age = Duration::from_millis(self.summary.uptime_ms) + now.since(self.received_at);
        let resumed = self.resumed_at.filter(|at| {
            let is_own = |own: MonotonicTime| *at >= own && at.since(own) < ALIVE_TIME;
            !own_resumed_at.is_some_and(is_own)
        });
        resumed.map_or(age, |at| now.since(at).min(age))
    }

    /// Notes a message; a silence that it ends is remembered.
    fn record_message(&mut self, now: MonotonicTime) {
        if now.since(self.received_at) >= ALIVE_TIME {
            self.resumed_at = Some(now);
        }
        self.received_at = now;
    }

    /// It was seen lately.
    #[must_use]
    pub fn is_live(&self, now: MonotonicTime) -> bool {
        now.since(self.received_at) < ALIVE_TIME
    }
}

/// All peers: those seen directly, and other zones as one of their daemons reports them.
#[derive(Debug, Clone)]
pub struct PeerTable {
    own_zone: ZoneLabel,
    peers: BTreeMap<HostLabel, PeerState>,
    zones: BTreeMap<ZoneLabel, ZoneState>,
    /// When something changed last.
    changed_at: MonotonicTime,
    /// Sums as of then, once somebody asks for them: messages are many more than picks at a
    /// daemon that stands by.
    sums: OnceCell<PeerSums>,
}

/// What all others reported, by the digest of an upstream's name.
#[derive(Debug, Clone, Default)]
struct PeerSums {
    /// Slots in use.
    slots: HashMap<u32, SlotTotal>,
    /// Peers that leave the upstream out.
    suspects: HashMap<u64, u32>,
}

impl PeerTable {
    /// A table of a daemon in a zone.
    #[must_use]
    pub fn new(own_zone: ZoneLabel) -> Self {
        Self {
            own_zone,
            peers: BTreeMap::new(),
            zones: BTreeMap::new(),
            changed_at: MonotonicTime::default(),
            sums: OnceCell::new(),
        }
    }

    /// Takes a peer's message, unless a newer one is known. Returns whether it was taken.
    pub fn receive(&mut self, now: MonotonicTime, summary: PeerSummary) -> bool {
        let host = HostLabel::from(summary.host.as_str());
        let known = self.peers.get(&host).map(|peer| &peer.summary);
        let is_old = known.is_some_and(|known| {
            (known.incarnation, known.sequence) >= (summary.incarnation, summary.sequence)
        });
        if is_old {
            return false;
        }
        match self.peers.get_mut(&host) {
            Some(peer) => {
                peer.record_message(now);
                peer.summary = summary;
            }
            None => {
                let peer = PeerState {
                    digest: name_digest(&summary.host),
                    summary,
                    received_at: now,
                    resumed_at: None,
                };
                self.peers.insert(host, peer);
            }
        }
        self.note_change(now);
        true
    }

    /// Takes the message of a daemon of another zone on that zone.
    pub fn receive_digest(&mut self, now: MonotonicTime, digest: ZoneDigest) -> DigestOutcome {
        let zone = ZoneLabel::from(digest.zone.as_str());
        if zone == self.own_zone {
            return DigestOutcome::Ignored;
        }
        let known = self.zones.get(&zone);
        let outcome = known.map_or(DigestOutcome::NewSender { before: None }, |known| {
            known.compare(now, &digest)
        });
        if outcome != DigestOutcome::Ignored {
            match self.zones.get_mut(&zone) {
                Some(known) => known.replace(now, digest),
                None => {
                    self.zones.insert(zone, ZoneState::new(now, digest));
                }
            }
            self.note_change(now);
        }
        outcome
    }

    /// Takes newer slots of a peer, or of a zone, that is known. Returns whether they were taken.
    pub fn apply_slot_update(&mut self, now: MonotonicTime, slots: SlotUpdate) -> bool {
        let taken = match slots.scope {
            SlotScope::Daemon => {
                let beat = PeerHeartbeat {
                    sender: slots.sender,
                    incarnation: slots.incarnation,
                    sequence: slots.sequence,
                };
                self.apply_heartbeat(now, beat).is_some_and(|peer| {
                    peer.summary.slots = slots.slots;
                    true
                })
            }
            SlotScope::Zone(zone) => {
                let mut zones = self.zones.iter_mut();
                let known = zones.find(|(name, _)| name_digest(name.as_str()) == zone);
                known.is_some_and(|(_, known)| known.apply_slot_update(now, slots))
            }
        };
        if taken {
            self.note_change(now);
        }
        taken
    }

    /// Takes a sign of life of a peer that is known, unless it is an old one.
    pub fn apply_heartbeat(
        &mut self,
        now: MonotonicTime,
        beat: PeerHeartbeat,
    ) -> Option<&mut PeerState> {
        let mut peers = self.peers.values_mut();
        let peer = peers.find(|peer| peer.digest == beat.sender)?;
        let summary = &mut peer.summary;
        if summary.incarnation != beat.incarnation || summary.sequence >= beat.sequence {
            return None;
        }
        summary.sequence = beat.sequence;
        peer.record_message(now);
        Some(peer)
    }

    /// Forgets a peer that ended.
    pub fn remove(&mut self, host: &HostLabel) {
        self.peers.remove(host);
    }

    /// Time passes: what others reported drops out of the sums once they are silent for too long.
    pub fn refresh(&mut self, now: MonotonicTime) {
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < FORGET_TIME);
        self.note_change(now);
    }

    fn note_change(&mut self, now: MonotonicTime) {
        self.changed_at = now;
        self.sums.take();
    }

    fn sums(&self) -> &PeerSums {
        self.sums.get_or_init(|| self.sum_up(self.changed_at))
    }

    fn sum_up(&self, now: MonotonicTime) -> PeerSums {
        let mut sums = PeerSums::default();
        let fresh = |at: MonotonicTime| now.since(at) < SLOTS_TIMEOUT;
        let peers = self.peers.values().filter(|peer| fresh(peer.received_at));
        for peer in peers {
            if counts_itself(&self.own_zone, &self.zones, now, &peer.summary.zone) {
                add_slots(&mut sums.slots, &peer.summary.slots);
                for upstream in &peer.summary.ejected_upstreams {
                    *sums.suspects.entry(*upstream).or_default() += 1;
                }
            }
        }
        for zone in self.zones.values().filter(|zone| zone.is_fresh(now)) {
            add_slots(&mut sums.slots, zone.slots());
        }
        sums
    }

    /// Requests of all others at an upstream, as they last reported.
    #[must_use]
    pub fn slots_at(&self, upstream: &UpstreamLabel) -> SlotTotal {
        self.slots_by_digest(name_digest(upstream.as_str()))
    }

    /// The same for an upstream by the digest of its name.
    #[must_use]
    pub fn slots_by_digest(&self, digest: u64) -> SlotTotal {
        let sum = self.sums().slots.get(&slot_key(digest));
        sum.copied().unwrap_or_default()
    }

    /// Several peers leave an upstream out. One alone may have lost its way there.
    #[must_use]
    pub fn is_ejected_by_peers(&self, upstream: &UpstreamLabel) -> bool {
        let digest = name_digest(upstream.as_str());
        let peers = self.sums().suspects.get(&digest).copied();
        peers.unwrap_or_default() >= ENOUGH_SUSPECTING
    }

    /// A peer was seen lately.
    #[must_use]
    pub fn is_live(&self, now: MonotonicTime, host: &str) -> bool {
        self.peers.get(host).is_some_and(|peer| peer.is_live(now))
    }

    /// Peers that count by their own message: those of a zone of which a digest is known do not.
    fn direct_peers(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerState> {
        let peers = self.peers.values();
        peers.filter(move |peer| self.uses_direct_summary(now, &peer.summary.zone))
    }

    /// The message of this peer counts, not that of another daemon of its zone.
    #[must_use]
    pub fn uses_direct_summary(&self, now: MonotonicTime, zone: &str) -> bool {
        counts_itself(&self.own_zone, &self.zones, now, zone)
    }

    /// Peers that take callers, as far as they count themselves.
    pub fn ready_peers(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerState> {
        self.direct_peers(now)
            .filter(move |peer| peer.accepts_callers(now))
    }

    /// Other zones of which one daemon reports.
    pub fn zone_digests(&self, now: MonotonicTime) -> impl Iterator<Item = &ZoneDigest> {
        let fresh = self.zones.values().filter(move |zone| zone.is_fresh(now));
        fresh.map(|zone| &zone.digest)
    }

    /// Peers of the own zone seen lately that do not leave.
    pub fn neighbours(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerState> {
        let alive = self.live_peers(now);
        alive.filter(|peer| {
            peer.summary.zone == self.own_zone.as_str() && peer.summary.phase != PeerPhase::Leaving
        })
    }

    /// Peers of a zone that could be members of its entry set. `heartbeats`: members send these.
    pub fn member_candidates<'a>(
        &'a self,
        now: MonotonicTime,
        zone: &'a str,
        heartbeats: bool,
    ) -> impl Iterator<Item = &'a PeerState> {
        let peers = self.peers.values();
        peers.filter(move |peer| {
            peer.summary.zone == zone && peer.is_member_candidate(now, heartbeats)
        })
    }

    /// Zones of which the daemons count themselves, the own one included.
    pub fn direct_zones(&self, now: MonotonicTime) -> BTreeSet<&str> {
        let peers = self.direct_peers(now);
        peers.map(|peer| peer.summary.zone.as_str()).collect()
    }

    /// Daemons of other zones that place requests, as these zones' digests name them.
    #[must_use]
    pub fn remote_serving_addresses(&self, now: MonotonicTime) -> BTreeSet<SocketAddr> {
        let members = self.zone_digests(now).flat_map(|zone| &zone.members);
        members.map(|member| member.peer_address).collect()
    }

    /// Daemons of the own zone that have not left, this one and silent ones included.
    #[must_use]
    pub fn zone_daemon_count(&self) -> usize {
        let peers = self.peers.values();
        let here = peers.filter(|peer| {
            peer.summary.zone == self.own_zone.as_str() && peer.summary.phase != PeerPhase::Leaving
        });
        here.count() + 1
    }

    /// More than half of the daemons that are known were seen or reported lately, this one
    /// included.
    #[must_use]
    pub fn sees_majority(&self, now: MonotonicTime) -> bool {
        let mut seen = 1;
        let mut known = 1;
        for peer in self.direct_peers(now) {
            known += 1;
            seen += u64::from(peer.is_live(now));
        }
        for zone in self.zones.values() {
            // A zone of which no digest comes may be reported by its daemons themselves.
            if zone.is_fresh(now) {
                known += u64::from(zone.digest.daemons);
                seen += u64::from(zone.digest.daemons);
            } else if !self.sees_zone(now, &zone.digest.zone) {
                known += u64::from(zone.digest.daemons);
            }
        }
        seen * 2 > known
    }

    fn sees_zone(&self, now: MonotonicTime, zone: &str) -> bool {
        self.live_peers(now).any(|peer| peer.summary.zone == zone)
    }

    /// Peers seen lately.
    pub fn live_peers(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter(move |peer| peer.is_live(now))
    }

    /// Number of other daemons seen or reported within the last minute.
    #[must_use]
    pub fn peer_count(&self, now: MonotonicTime) -> usize {
        let far = self.zone_digests(now).map(|zone| zone.daemons as usize);
        self.direct_peers(now).count() + far.sum::<usize>()
    }
}

fn counts_itself(
    own_zone: &ZoneLabel,
    zones: &BTreeMap<ZoneLabel, ZoneState>,
    now: MonotonicTime,
    zone: &str,
) -> bool {
    zone == own_zone.as_str() || zones.get(zone).is_none_or(|known| !known.is_fresh(now))
}

fn add_slots(sums: &mut HashMap<u32, SlotTotal>, slots: &[SlotUse]) {
    for slot in slots {
        let sum = sums.entry(slot_key(slot.upstream)).or_default();
        sum.running += u32::from(slot.running);
        sum.unread_prompt_tokens = sum
            .unread_prompt_tokens
            .saturating_add(slot.unread_prompt_tokens);
    }
}
