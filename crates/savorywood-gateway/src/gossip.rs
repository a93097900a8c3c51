//! Who gets which messages of a daemon.

use crate::{
    label::ZoneLabel,
    message::{DaemonRole, PeerHeartbeat, PeerSummary, SlotUpdate},
    peer::{PeerState, PeerTable},
    quarantine::CrashGossip,
    rendezvous::{address_hash, rendezvous_weight},
    upstream_limit::LimitGossip,
    zone::ZoneDigest,
};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Up to so many daemons all send each other summaries; with more, zones exchange digests.
pub const MAX_DIRECT_DAEMONS: u32 = 13;
/// A contact that was neither seen nor read for this long is forgotten. The list of daemons is
/// read more often.
const FORGET_TIME: Duration = Duration::from_secs(75);
/// Time between two messages to the same daemon.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two messages on slots alone.
const SLOT_UPDATE_INTERVAL: Duration = Duration::from_millis(80);
/// Slots of a zone in one message of its usual size. A zone with more sends them more rarely, so
/// that the bytes between two daemons do not grow with the upstreams.
const USUAL_SLOTS: usize = 175;
/// Part of the time between two messages on a zone's slots that must have passed: the messages of
/// a daemon come in rounds that are spread a little.
const SLOT_ROUND_PART: f64 = 0.6;
/// Time between two heartbeats of a member of the entry set.
const HEARTBEAT_TIME: Duration = Duration::from_millis(160);
/// Daemons of the own zone that get summaries so often; with more, each gets them more rarely, so that
/// the cost of a daemon does not grow with its zone.
const OFTEN_SENT: usize = 16;

/// What travels between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A daemon on itself.
    Summary(Box<PeerSummary>),
    /// A daemon on its zone.
    Digest(ZoneDigest),
    /// Newer slots of a daemon or of its zone.
    Slots(SlotUpdate),
    /// Sign of life of a member of the entry set.
    Heartbeat(PeerHeartbeat),
    /// Requests under which upstreams crashed.
    Crashes(CrashGossip),
    /// Limits that upstreams name.
    Limits(LimitGossip),
}

/// A daemon that may be reached at an address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerContact {
    /// Where.
    pub address: SocketAddr,
    /// Its zone, where it is known.
    pub zone: Option<ZoneLabel>,
}

/// Messages to be sent now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipPlan {
    /// Who gets a summary of this daemon.
    pub summary_targets: Vec<SocketAddr>,
    /// Who gets a digest of this daemon's zone with its slots: daemons that place requests.
    pub digest_targets: Vec<SocketAddr>,
    /// Who gets a digest without slots.
    pub slotless_digest_targets: Vec<SocketAddr>,
}

/// Who gets newer slots now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotPlan {
    /// Who gets those of this daemon.
    pub daemon_slot_targets: Vec<SocketAddr>,
    /// Who gets those of this daemon's zone.
    pub zone_slot_targets: Vec<SocketAddr>,
}

/// Usual messages that so many slots are worth.
#[must_use]
pub fn slot_rounds(slots: usize) -> u32 {
    u32::try_from(slots.div_ceil(USUAL_SLOTS).max(1)).unwrap_or(u32::MAX)
}

/// Slots of a zone that were sent last.
#[derive(Debug, Clone, Copy, Default)]
pub struct SentSlots {
    /// When.
    pub sent_at: MonotonicTime,
    /// How many.
    pub count: usize,
}

impl SentSlots {
    /// The next message is due.
    fn is_next_due(&self, now: MonotonicTime) -> bool {
        let rounds = f64::from(slot_rounds(self.count)) - 1.0 + SLOT_ROUND_PART;
        now.since(self.sent_at) >= SLOT_UPDATE_INTERVAL.mul_f64(rounds)
    }
}

#[derive(Debug, Clone)]
struct KnownContact {
    number: u64,
    zone: Option<ZoneLabel>,
    seen_at: MonotonicTime,
}

/// Addresses of other daemons.
#[derive(Debug, Clone)]
pub struct ContactTable {
    own_address: SocketAddr,
    own_number: u64,
    own_zone: ZoneLabel,
    contacts: BTreeMap<SocketAddr, KnownContact>,
}

fn peer_number(peer: &PeerState) -> u64 {
    address_hash(peer.summary.peer_address)
}

impl ContactTable {
    /// A book without contacts.
    #[must_use]
    pub fn new(own_address: SocketAddr, own_zone: ZoneLabel) -> Self {
        Self {
            own_address,
            own_number: address_hash(own_address),
            own_zone,
            contacts: BTreeMap::new(),
        }
    }

    /// A daemon is or may be at an address.
    pub fn learn(&mut self, now: MonotonicTime, contact: PeerContact) {
        if contact.address == self.own_address {
            return;
        }
        let known = self.contacts.entry(contact.address);
        let known = known.or_insert(KnownContact {
            number: address_hash(contact.address),
            zone: None,
            seen_at: now,
        });
        known.seen_at = now;
        if contact.zone.is_some() {
            known.zone = contact.zone;
        }
    }

    /// Daemons that there may be, this one included.
    #[must_use]
    pub fn daemons(&self) -> u32 {
        u32::try_from(self.contacts.len() + 1).unwrap_or(u32::MAX)
    }

    /// There are so many daemons that zones exchange digests.
    #[must_use]
    pub fn uses_zone_digests(&self) -> bool {
        self.daemons() > MAX_DIRECT_DAEMONS
    }

    /// Time until the next messages.
    #[must_use]
    pub fn pause(&self) -> Duration {
        SUMMARY_INTERVAL.saturating_mul(self.rounds())
    }

    /// Time until the next message on slots alone, while these are scarce.
    #[must_use]
    pub fn slot_update_interval(&self) -> Duration {
        SLOT_UPDATE_INTERVAL
    }

    /// Time until a member of the entry set sends its next heartbeat.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        HEARTBEAT_TIME
    }

    /// Daemons of the own zone.
    #[must_use]
    pub fn near(&self) -> Vec<SocketAddr> {
        let near = self.contacts.iter();
        let near = near.filter(|(_, known)| self.is_near(known));
        near.map(|(address, _)| *address).collect()
    }

    fn rounds(&self) -> u32 {
        let near = self.contacts.values().filter(|known| self.is_near(known));
        let rounds = near.count().div_ceil(OFTEN_SENT).max(1);
        u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    fn is_near(&self, contact: &KnownContact) -> bool {
        contact
            .zone
            .as_ref()
            .is_none_or(|zone| *zone == self.own_zone)
    }

    /// Who gets which messages now.
    pub fn plan(&mut self, now: MonotonicTime, peers: &PeerTable) -> GossipPlan {
        self.contacts
            .retain(|_, known| now.since(known.seen_at) < FORGET_TIME);
        let mut plan = GossipPlan::default();
        if !self.uses_zone_digests() {
            plan.summary_targets = self.contacts.keys().copied().collect();
            return plan;
        }
        let senders: Vec<u64> = peers.neighbours(now).map(peer_number).collect();
        let placing = peers.remote_serving_addresses(now);
        for (address, contact) in &self.contacts {
            if self.is_near(contact) {
                plan.summary_targets.push(*address);
            } else if self.sends_to(contact.number, &senders) {
                if placing.contains(address) {
                    plan.digest_targets.push(*address);
                } else {
                    plan.slotless_digest_targets.push(*address);
                }
            }
        }
        plan
    }

    /// Who gets newer slots now. Only daemons that place requests need them; `sent`: the zone's
    /// slots as this daemon sent them last, if it is one of those that send these to other zones.
    #[must_use]
    pub fn plan_slots(
        &self,
        now: MonotonicTime,
        peers: &PeerTable,
        sent: Option<SentSlots>,
    ) -> SlotPlan {
        let mut plan = SlotPlan::default();
        if !self.uses_zone_digests() {
            plan.daemon_slot_targets = self.contacts.keys().copied().collect();
            return plan;
        }
        let mut senders = Vec::new();
        for peer in peers.neighbours(now) {
            match peer.summary.role {
                DaemonRole::Entry => {
                    senders.push(peer_number(peer));
                    plan.daemon_slot_targets.push(peer.summary.peer_address);
                }
                DaemonRole::Draining => plan.daemon_slot_targets.push(peer.summary.peer_address),
                DaemonRole::Standby => {}
            }
        }
        if sent.is_some_and(|sent| sent.is_next_due(now)) {
            let far = peers.remote_serving_addresses(now).into_iter();
            plan.zone_slot_targets = far
                .filter(|address| self.sends_to(address_hash(*address), &senders))
                .collect();
        }
        plan
    }

    /// Each daemon of another zone learns of this zone from one of its daemons, chosen alike by
    /// all of them, so that the work is spread evenly.
    fn sends_to(&self, receiver: u64, senders: &[u64]) -> bool {
        let own = rendezvous_weight(self.own_number, receiver);
        let mut others = senders.iter();
        others.all(|sender| rendezvous_weight(*sender, receiver) < own)
    }
}
