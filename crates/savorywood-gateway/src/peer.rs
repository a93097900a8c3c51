//! State received from peers: summaries of daemons, digests of other zones, and totals over both.

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

/// A peer that was not heard from for this long is not live and is given no callers.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Slots reported by a peer count for this long after its last message.
const SLOTS_TIMEOUT: Duration = Duration::from_millis(1_300);
/// A member of the entry set that was not heard from for this long is no candidate any more.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// A member that sent a heartbeat within this time sends them to this daemon.
const HEARTBEAT_MEMORY: Duration = Duration::from_secs(3);
/// Number of peers that must have ejected an upstream before others avoid it as well.
const MIN_EJECTING_PEERS: u32 = 2;
/// A peer that was not heard from for this long is removed.
const PEER_TTL: Duration = Duration::from_secs(60);

/// Returns a digest of a name that is equal at all daemons (FNV-1a).
#[must_use]
pub fn name_digest(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns the part of an upstream's digest by which slots are counted. Slot updates are most of
/// the traffic between daemons, and 32 bits suffice for some thousand upstreams.
#[must_use]
pub fn slot_key(digest: u64) -> u32 {
    digest as u32
}

/// Slots in use at one upstream, summed over the reports of all peers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotTotal {
    /// Requests in progress there.
    pub running: u32,
    /// Prompt tokens of the requests whose first event has not been received yet (prefill backlog).
    pub unread_prompt_tokens: u32,
}

/// Last state received from a peer.
#[derive(Debug, Clone)]
pub struct PeerState {
    /// Newest summary, with the slots and sequence number of newer messages.
    pub summary: PeerSummary,
    /// Time of the last message.
    pub received_at: MonotonicTime,
    /// Digest of the peer's host name.
    pub digest: u64,
    /// Time of the last summary.
    summary_at: MonotonicTime,
    /// Time of the last heartbeat.
    heartbeat_at: Option<MonotonicTime>,
    /// Time at which messages resumed after the last gap that exceeded `LIVENESS_TIMEOUT`.
    resumed_at: Option<MonotonicTime>,
}

impl PeerState {
    /// Returns whether the peer is live and ready for callers.
    #[must_use]
    pub fn accepts_callers(&self, now: MonotonicTime) -> bool {
        self.summary.phase == PeerPhase::Ready && self.is_live(now)
    }

    /// Returns whether the peer accepts callers and, if it is a member of the entry set and
    /// `heartbeats` are in use, has sent its heartbeats.
    #[must_use]
    pub fn is_member_candidate(&self, now: MonotonicTime, heartbeats: bool) -> bool {
        let last = self.heartbeat_at.map(|at| now.since(at));
        let sends_heartbeats = heartbeats
            && self.summary.role == DaemonRole::Entry
            && last.is_some_and(|age| age < HEARTBEAT_MEMORY);
        let is_overdue = now.since(self.received_at) >= HEARTBEAT_TIMEOUT;
        self.accepts_callers(now) && !(sends_heartbeats && is_overdue)
    }

    /// Returns the time for which the peer has been running without a gap in its messages.
    ///
    /// Gaps that ended when this daemon itself resumed, at `own_resumed_at`, do not count: this
    /// daemon was the one that was frozen.
    #[must_use]
    pub fn stable_for(
        &self,
        now: MonotonicTime,
        own_resumed_at: Option<MonotonicTime>,
    ) -> Duration {
        let age = Duration::from_millis(self.summary.uptime_ms) + now.since(self.summary_at);
        let resumed = self.resumed_at.filter(|at| {
            let is_own = |own: MonotonicTime| *at >= own && at.since(own) < LIVENESS_TIMEOUT;
            !own_resumed_at.is_some_and(is_own)
        });
        resumed.map_or(age, |at| now.since(at).min(age))
    }

    /// Records that a message was received, and the end of a gap in the messages.
    fn record_message(&mut self, now: MonotonicTime) {
        if now.since(self.received_at) >= LIVENESS_TIMEOUT {
            self.resumed_at = Some(now);
        }
        self.received_at = now;
    }

    /// Returns whether a message was received within `LIVENESS_TIMEOUT`.
    #[must_use]
    pub fn is_live(&self, now: MonotonicTime) -> bool {
        now.since(self.received_at) < LIVENESS_TIMEOUT
    }
}

/// State of all peers: daemons that send summaries here, and other zones as one of their daemons
/// reports them.
#[derive(Debug, Clone)]
pub struct PeerTable {
    own_zone: ZoneLabel,
    peers: BTreeMap<HostLabel, PeerState>,
    zones: BTreeMap<ZoneLabel, ZoneState>,
    /// Time of the last change.
    changed_at: MonotonicTime,
    /// Totals as of the last change, computed on first use: a standby daemon receives many more
    /// messages than it selects upstreams.
    totals: OnceCell<ReportedTotals>,
}

/// Totals over the reports of all peers, by the digest of the upstream's name.
#[derive(Debug, Clone, Default)]
struct ReportedTotals {
    /// Slots in use.
    slots: HashMap<u32, SlotTotal>,
    /// Number of peers that have ejected the upstream.
    ejecting_peers: HashMap<u64, u32>,
}

/// Number of daemons that one daemon knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonCount {
    /// Those that were heard from recently.
    pub live: u64,
    /// All, with those that may be lost.
    pub known: u64,
}

impl PeerTable {
    /// Creates a table without peers. `own_zone` is the availability zone of this daemon.
    #[must_use]
    pub fn new(own_zone: ZoneLabel) -> Self {
        Self {
            own_zone,
            peers: BTreeMap::new(),
            zones: BTreeMap::new(),
            changed_at: MonotonicTime::default(),
            totals: OnceCell::new(),
        }
    }

    /// Records the summary of a peer. Returns false when a newer message was received already.
    pub fn record_summary(&mut self, now: MonotonicTime, summary: PeerSummary) -> bool {
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
                peer.summary_at = now;
                peer.summary = summary;
            }
            None => {
                let peer = PeerState {
                    digest: name_digest(&summary.host),
                    summary,
                    received_at: now,
                    summary_at: now,
                    heartbeat_at: None,
                    resumed_at: None,
                };
                self.peers.insert(host, peer);
            }
        }
        self.invalidate_totals(now);
        true
    }

    /// Records the digest that a daemon of another zone sent about that zone.
    pub fn record_digest(&mut self, now: MonotonicTime, digest: ZoneDigest) -> DigestOutcome {
        let zone = ZoneLabel::from(digest.zone.as_str());
        if zone == self.own_zone {
            return DigestOutcome::Ignored;
        }
        let known = self.zones.get(&zone);
        let outcome = known.map_or(DigestOutcome::NewSender { before: None }, |known| {
            known.classify(now, &digest)
        });
        if outcome != DigestOutcome::Ignored {
            match self.zones.get_mut(&zone) {
                Some(known) => known.replace(now, digest),
                None => {
                    self.zones.insert(zone, ZoneState::new(now, digest));
                }
            }
            self.invalidate_totals(now);
        }
        outcome
    }

    /// Records newer slots of a known peer or zone. Returns false when they are not applied.
    pub fn apply_slot_update(&mut self, now: MonotonicTime, slots: SlotUpdate) -> bool {
        let applied = match slots.scope {
            SlotScope::Daemon => {
                let heartbeat = PeerHeartbeat {
                    sender: slots.sender,
                    incarnation: slots.incarnation,
                    sequence: slots.sequence,
                };
                self.apply_heartbeat(now, heartbeat).is_some_and(|peer| {
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
        if applied {
            self.invalidate_totals(now);
        }
        applied
    }

    /// Records a heartbeat and returns its sender. Returns `None` when the sender is unknown, has
    /// another incarnation, or sent a newer message already.
    pub fn apply_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: PeerHeartbeat,
    ) -> Option<&mut PeerState> {
        let mut peers = self.peers.values_mut();
        let peer = peers.find(|peer| peer.digest == heartbeat.sender)?;
        let summary = &mut peer.summary;
        if summary.incarnation != heartbeat.incarnation || summary.sequence >= heartbeat.sequence {
            return None;
        }
        summary.sequence = heartbeat.sequence;
        peer.record_message(now);
        peer.heartbeat_at = Some(now);
        Some(peer)
    }

    /// Removes a peer that ended.
    pub fn remove(&mut self, host: &HostLabel) {
        self.peers.remove(host);
    }

    /// Removes expired peers and drops expired reports from the totals.
    pub fn refresh(&mut self, now: MonotonicTime) {
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < PEER_TTL);
        self.invalidate_totals(now);
    }

    fn invalidate_totals(&mut self, now: MonotonicTime) {
        self.changed_at = now;
        self.totals.take();
    }

    fn totals(&self) -> &ReportedTotals {
        self.totals
            .get_or_init(|| self.compute_totals(self.changed_at))
    }

    fn compute_totals(&self, now: MonotonicTime) -> ReportedTotals {
        let mut totals = ReportedTotals::default();
        let fresh = |at: MonotonicTime| now.since(at) < SLOTS_TIMEOUT;
        let peers = self.peers.values().filter(|peer| fresh(peer.received_at));
        for peer in peers {
            if uses_direct_summary(&self.own_zone, &self.zones, now, &peer.summary.zone) {
                add_slots(&mut totals.slots, &peer.summary.slots);
                for upstream in &peer.summary.ejected_upstreams {
                    *totals.ejecting_peers.entry(*upstream).or_default() += 1;
                }
            }
        }
        for zone in self.zones.values().filter(|zone| zone.is_fresh(now)) {
            add_slots(&mut totals.slots, zone.slots());
        }
        totals
    }

    /// Returns the slots that all peers together use at an upstream, as last reported.
    #[must_use]
    pub fn slots_at(&self, upstream: &UpstreamLabel) -> SlotTotal {
        self.slots_by_digest(name_digest(upstream.as_str()))
    }

    /// Returns the slots that all peers together use at the upstream whose name has this digest.
    #[must_use]
    pub fn slots_by_digest(&self, digest: u64) -> SlotTotal {
        let sum = self.totals().slots.get(&slot_key(digest));
        sum.copied().unwrap_or_default()
    }

    /// Returns whether several peers have ejected an upstream. A single peer may have lost its own
    /// connection to it.
    #[must_use]
    pub fn is_ejected_by_peers(&self, upstream: &UpstreamLabel) -> bool {
        let digest = name_digest(upstream.as_str());
        let peers = self.totals().ejecting_peers.get(&digest).copied();
        peers.unwrap_or_default() >= MIN_EJECTING_PEERS
    }

    /// Returns whether the peer with this host name was heard from within `LIVENESS_TIMEOUT`.
    #[must_use]
    pub fn is_live(&self, now: MonotonicTime, host: &str) -> bool {
        self.peers.get(host).is_some_and(|peer| peer.is_live(now))
    }

    /// Returns the peers whose own summaries are used, rather than a digest of their zone.
    fn direct_peers(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerState> {
        let peers = self.peers.values();
        peers.filter(move |peer| self.uses_direct_summary(now, &peer.summary.zone))
    }

    /// Returns whether the own summaries of a zone's daemons are used, rather than a digest of the
    /// zone.
    #[must_use]
    pub fn uses_direct_summary(&self, now: MonotonicTime, zone: &str) -> bool {
        uses_direct_summary(&self.own_zone, &self.zones, now, zone)
    }

    /// Returns the peers that are ready for callers, among those whose own summaries are used.
    pub fn ready_peers(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerState> {
        self.direct_peers(now)
            .filter(move |peer| peer.accepts_callers(now))
    }

    /// Returns the digests of other zones that are not stale.
    pub fn zone_digests(&self, now: MonotonicTime) -> impl Iterator<Item = &ZoneDigest> {
        let fresh = self.zones.values().filter(move |zone| zone.is_fresh(now));
        fresh.map(|zone| &zone.digest)
    }

    /// Returns whether a digest of a zone is held that is not stale.
    #[must_use]
    pub fn has_digest(&self, now: MonotonicTime, zone: &ZoneLabel) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|known| known.is_fresh(now))
    }

    /// Records the state of another zone that a coordinator of the own zone lists. A digest that
    /// was received from the zone itself takes precedence while it is fresh.
    pub fn record_listed_zone(&mut self, now: MonotonicTime, digest: ZoneDigest) {
        let zone = ZoneLabel::from(digest.zone.as_str());
        if zone == self.own_zone {
            return;
        }
        match self.zones.get_mut(&zone) {
            Some(known) if known.is_fresh(now) && !known.is_listed => {}
            Some(known) => known.replace_listed(now, digest),
            None => {
                self.zones.insert(zone, ZoneState::listed(now, digest));
            }
        }
    }

    /// Forgets the gaps in the messages of all peers, and the daemons of the own zone that are in one.
    pub fn forget_gaps(&mut self, now: MonotonicTime) {
        self.remove_silent(now, LIVENESS_TIMEOUT);
        for peer in self.peers.values_mut() {
            peer.resumed_at = None;
        }
    }

    /// Removes the daemons of the own zone that were not heard from for `time`. Returns the digests
    /// of their host names.
    pub fn remove_silent(&mut self, now: MonotonicTime, time: Duration) -> Vec<u64> {
        let own_zone = self.own_zone.as_str();
        let is_silent =
            |peer: &PeerState| peer.summary.zone == own_zone && now.since(peer.received_at) >= time;
        let silent = self.peers.values().filter(|peer| is_silent(peer));
        let removed = silent.map(|peer| peer.digest).collect();
        self.peers.retain(|_, peer| !is_silent(peer));
        removed
    }

    /// Returns the live peers of the own zone that are not leaving.
    pub fn neighbours(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerState> {
        let live = self.live_peers(now);
        live.filter(|peer| {
            peer.summary.zone == self.own_zone.as_str() && peer.summary.phase != PeerPhase::Leaving
        })
    }

    /// Returns the peers of a zone that are candidates for its entry set. `heartbeats`: members of
    /// the set send heartbeats.
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

    /// Returns the zones whose daemons' own summaries are used, the own zone included.
    pub fn direct_zones(&self, now: MonotonicTime) -> BTreeSet<&str> {
        let peers = self.direct_peers(now);
        peers.map(|peer| peer.summary.zone.as_str()).collect()
    }

    /// Returns the peer addresses of the daemons of other zones that dispatch requests, according
    /// to the digests of these zones.
    #[must_use]
    pub fn remote_serving_addresses(&self, now: MonotonicTime) -> BTreeSet<SocketAddr> {
        let members = self.zone_digests(now).flat_map(|zone| &zone.members);
        members.map(|member| member.peer_address).collect()
    }

    /// Returns the number of daemons of the own zone that are not leaving, including this one and
    /// those that are not live.
    #[must_use]
    pub fn zone_daemon_count(&self) -> usize {
        let peers = self.peers.values();
        let zone_peers = peers.filter(|peer| {
            peer.summary.zone == self.own_zone.as_str() && peer.summary.phase != PeerPhase::Leaving
        });
        zone_peers.count() + 1
    }

    /// Returns whether more than half of the known daemons, this one included, are live or reported
    /// in a digest that is not stale.
    #[must_use]
    pub fn sees_majority(&self, now: MonotonicTime) -> bool {
        let count = self.count_daemons(now);
        count.live * 2 > count.known
    }

    /// Counts the known daemons, this one included.
    #[must_use]
    pub fn count_daemons(&self, now: MonotonicTime) -> DaemonCount {
        let mut count = DaemonCount { live: 1, known: 1 };
        for peer in self.direct_peers(now) {
            count.known += 1;
            count.live += u64::from(peer.is_live(now));
        }
        for zone in self.zones.values() {
            // Without a digest, the daemons of the zone may still report themselves.
            if zone.is_fresh(now) {
                count.known += u64::from(zone.digest.daemons);
                count.live += u64::from(zone.digest.daemons);
            } else if !self.is_zone_live(now, &zone.digest.zone) {
                count.known += u64::from(zone.digest.daemons);
            }
        }
        count
    }

    fn is_zone_live(&self, now: MonotonicTime, zone: &str) -> bool {
        self.live_peers(now).any(|peer| peer.summary.zone == zone)
    }

    /// Returns the peers that were heard from within `LIVENESS_TIMEOUT`.
    pub fn live_peers(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter(move |peer| peer.is_live(now))
    }

    /// Returns the number of other daemons, including those not heard from that have not been
    /// removed yet.
    #[must_use]
    pub fn peer_count(&self, now: MonotonicTime) -> usize {
        let reported = self.zone_digests(now).map(|zone| zone.daemons as usize);
        self.direct_peers(now).count() + reported.sum::<usize>()
    }
}

fn uses_direct_summary(
    own_zone: &ZoneLabel,
    zones: &BTreeMap<ZoneLabel, ZoneState>,
    now: MonotonicTime,
    zone: &str,
) -> bool {
    zone == own_zone.as_str() || zones.get(zone).is_none_or(|known| !known.is_fresh(now))
}

fn add_slots(totals: &mut HashMap<u32, SlotTotal>, slots: &[SlotUse]) {
    for slot in slots {
        let total = totals.entry(slot_key(slot.upstream)).or_default();
        total.running += u32::from(slot.running);
        total.unread_prompt_tokens = total
            .unread_prompt_tokens
            .saturating_add(slot.unread_prompt_tokens);
    }
}
