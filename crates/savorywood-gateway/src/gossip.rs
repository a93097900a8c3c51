//! Selection of the peers that receive each kind of gossip message, and of the intervals between
//! them.

mod bootstrap;

use crate::{
    coordination::ZoneView,
    label::ZoneLabel,
    message::{DaemonRole, PeerHeartbeat, PeerSummary, SlotUpdate},
    peer::{PeerState, PeerTable},
    quarantine::CrashGossip,
    rendezvous::{address_hash, rendezvous_weight},
    upstream_limit::LimitGossip,
    zone::ZoneDigest,
};
use bootstrap::BootstrapCandidate;
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// Up to this many daemons send summaries to each other directly; above it, zones exchange digests.
pub const MAX_DIRECT_DAEMONS: u32 = 13;
/// A contact is removed when it was neither heard from nor listed for this long. The list of
/// daemons is read at shorter intervals.
const CONTACT_TTL: Duration = Duration::from_secs(75);
/// Interval between two summaries or digests sent to the same daemon, for one round.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two slot updates.
const SLOT_UPDATE_INTERVAL: Duration = Duration::from_millis(80);
/// Slots in a slot update of typical size. A zone that uses more sends its updates at longer
/// intervals, so that the bytes sent between two daemons do not grow with the number of upstreams.
const SLOTS_PER_MESSAGE: usize = 175;
/// Fraction of the last interval between slot updates of a zone that must have passed before the
/// next one: the rounds of a daemon are jittered.
const MIN_SLOT_ROUND_FRACTION: f64 = 0.6;
/// Interval between two heartbeats of a member of the entry set.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(160);
/// Daemons of the own zone that one round of summaries covers. With more daemons each of them
/// receives summaries less often.
const PEERS_PER_ROUND: usize = 16;
/// Maximum number of rounds. A summary that is less frequent would arrive after the time-outs of
/// what it tells; in a zone that would need more rounds, daemons report to coordinators instead.
const MAX_ROUNDS: usize = 4;
/// Rounds to which the interval of summaries is stretched where daemons report to coordinators,
/// whatever the size of the zone.
const COORDINATED_ROUNDS: usize = 2;
/// Further contacts, chosen at random, that receive them in a round.
const RANDOM_CONTACTS: usize = 2;

/// Message between daemons. Encoded with postcard: the order of variants is part of the format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// State of the sending daemon.
    Summary(Box<PeerSummary>),
    /// State of the sending daemon's zone.
    Digest(ZoneDigest),
    /// Newer slots in use of a daemon or of its zone.
    Slots(SlotUpdate),
    /// Heartbeat of a member of the entry set.
    Heartbeat(PeerHeartbeat),
    /// Requests under which upstreams crashed.
    Crashes(CrashGossip),
    /// Rate limits that upstreams sent.
    Limits(LimitGossip),
    /// View of a large zone, in reply to a summary.
    View(Box<ZoneView>),
}

/// Address at which a daemon may be reachable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerContact {
    /// Address for messages between daemons.
    pub address: SocketAddr,
    /// Availability zone of the daemon; absent when it is not known, as for addresses from the
    /// settings.
    pub zone: Option<ZoneLabel>,
    /// Processor time that its host may use, in thousandths of a core; 0 when it is not known.
    pub processor_millis: u32,
}

/// Targets of the summaries and digests that are due.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipPlan {
    /// Daemons that receive a summary of this daemon.
    pub summary_targets: Vec<SocketAddr>,
    /// Daemons that receive a digest of this daemon's zone with its slots, as they dispatch
    /// requests.
    pub digest_targets: Vec<SocketAddr>,
    /// Daemons that receive a digest without slots, as they dispatch no requests.
    pub slotless_digest_targets: Vec<SocketAddr>,
}

/// Targets of the slot updates that are due.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotPlan {
    /// Daemons that receive the slots of this daemon.
    pub daemon_slot_targets: Vec<SocketAddr>,
    /// Daemons that receive the slots of this daemon's zone.
    pub zone_slot_targets: Vec<SocketAddr>,
}

/// Returns the number of typical messages that an update with this many slots is worth.
#[must_use]
pub fn slot_rounds(slots: usize) -> u32 {
    u32::try_from(slots.div_ceil(SLOTS_PER_MESSAGE).max(1)).unwrap_or(u32::MAX)
}

/// The last update of the own zone's slots that this daemon sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct LastSlotUpdate {
    /// Time of sending.
    pub sent_at: MonotonicTime,
    /// Slots in the message.
    pub count: usize,
}

impl LastSlotUpdate {
    /// Returns whether the next update is due. The interval grows with the size of the last one.
    fn is_next_due(&self, now: MonotonicTime) -> bool {
        let rounds = f64::from(slot_rounds(self.count)) - 1.0 + MIN_SLOT_ROUND_FRACTION;
        now.since(self.sent_at) >= SLOT_UPDATE_INTERVAL.mul_f64(rounds)
    }
}

#[derive(Debug, Clone)]
struct ContactState {
    address_hash: u64,
    zone: Option<ZoneLabel>,
    processor_millis: u32,
    seen_at: MonotonicTime,
}

impl ContactState {
    fn candidate(&self, address: SocketAddr) -> BootstrapCandidate {
        BootstrapCandidate {
            address,
            address_hash: self.address_hash,
            processor_millis: self.processor_millis,
        }
    }
}

/// Addresses of other daemons, from the settings, the store and received messages.
#[derive(Debug, Clone)]
pub struct ContactTable {
    own_address: SocketAddr,
    own_address_hash: u64,
    own_zone: ZoneLabel,
    own_processor_millis: u32,
    contacts: BTreeMap<SocketAddr, ContactState>,
    /// Contacts of the own zone.
    zone_contacts: usize,
    /// Number of daemons that the view of a coordinator reports, in the own zone and in all.
    reported: ReportedDaemons,
}

/// Number of daemons as a coordinator of the zone reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedDaemons {
    /// Daemons of the own zone.
    pub zone: u32,
    /// Daemons of all zones.
    pub total: u32,
}

/// Returns whether the daemons of a zone of this size report to coordinators.
#[must_use]
pub const fn uses_coordinators(daemons: usize) -> bool {
    daemons > PEERS_PER_ROUND * MAX_ROUNDS
}

fn peer_address_hash(peer: &PeerState) -> u64 {
    address_hash(peer.summary.peer_address)
}

impl ContactTable {
    /// Creates a table without contacts. The own address is never recorded.
    #[must_use]
    pub fn new(own_address: SocketAddr, own_zone: ZoneLabel, own_processor_millis: u32) -> Self {
        Self {
            own_address,
            own_address_hash: address_hash(own_address),
            own_zone,
            own_processor_millis,
            contacts: BTreeMap::new(),
            zone_contacts: 0,
            reported: ReportedDaemons::default(),
        }
    }

    /// Records that a daemon is or may be reachable at an address.
    pub fn record(&mut self, now: MonotonicTime, contact: PeerContact) {
        if contact.address == self.own_address {
            return;
        }
        let previous = self.contacts.remove(&contact.address);
        let was_in_zone = previous
            .as_ref()
            .is_some_and(|known| self.is_in_own_zone(known));
        let mut state = previous.unwrap_or_else(|| ContactState {
            address_hash: address_hash(contact.address),
            zone: None,
            processor_millis: 0,
            seen_at: now,
        });
        state.seen_at = now;
        if contact.processor_millis > 0 {
            state.processor_millis = contact.processor_millis;
        }
        if contact.zone.is_some() {
            state.zone = contact.zone;
        }
        let is_in_zone = self.is_in_own_zone(&state);
        self.zone_contacts =
            self.zone_contacts + usize::from(is_in_zone) - usize::from(was_in_zone);
        self.contacts.insert(contact.address, state);
    }

    /// Returns the number of daemons that may exist, this one included.
    #[must_use]
    pub fn daemons(&self) -> u32 {
        let known = u32::try_from(self.contacts.len() + 1).unwrap_or(u32::MAX);
        known.max(self.reported.total)
    }

    /// Sets the numbers of daemons that a coordinator reports. Returns whether they have changed.
    pub fn set_reported(&mut self, reported: ReportedDaemons) -> bool {
        std::mem::replace(&mut self.reported, reported) != reported
    }

    /// Returns whether the own zone is so large that its daemons report to coordinators.
    #[must_use]
    pub fn is_large_zone(&self) -> bool {
        uses_coordinators(usize::try_from(self.zone_daemons()).unwrap_or(usize::MAX))
    }

    /// Returns the number of daemons of the own zone that may exist, this one included.
    #[must_use]
    pub fn zone_daemons(&self) -> u32 {
        let known = u32::try_from(self.zone_contacts + 1).unwrap_or(u32::MAX);
        known.max(self.reported.zone)
    }

    /// Returns whether there are so many daemons that zones exchange digests.
    #[must_use]
    pub fn uses_zone_digests(&self) -> bool {
        self.daemons() > MAX_DIRECT_DAEMONS
    }

    /// Returns the interval between two rounds of summaries and digests; it grows with the own
    /// zone.
    #[must_use]
    pub fn gossip_interval(&self) -> Duration {
        SUMMARY_INTERVAL.saturating_mul(self.summary_rounds())
    }

    /// Returns the interval between two slot updates while free slots are scarce.
    #[must_use]
    pub fn slot_update_interval(&self) -> Duration {
        SLOT_UPDATE_INTERVAL
    }

    /// Returns the interval between two heartbeats of a member of the entry set.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        HEARTBEAT_INTERVAL
    }

    /// Returns the contacts of the own zone; contacts without a known zone count as its own.
    #[must_use]
    pub fn zone_contacts(&self) -> Vec<SocketAddr> {
        let contacts = self.contacts.iter();
        let contacts = contacts.filter(|(_, contact)| self.is_in_own_zone(contact));
        contacts.map(|(address, _)| *address).collect()
    }

    fn summary_rounds(&self) -> u32 {
        let rounds = self.zone_contacts.div_ceil(PEERS_PER_ROUND);
        let rounds = if self.is_large_zone() {
            COORDINATED_ROUNDS
        } else {
            rounds.max(1)
        };
        u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    fn own_zone_contacts(&self) -> impl Iterator<Item = (&SocketAddr, &ContactState)> {
        let contacts = self.contacts.iter();
        contacts.filter(|(_, contact)| self.is_in_own_zone(contact))
    }

    /// Returns whether an address is that of a contact of the own zone.
    #[must_use]
    pub fn is_zone_contact(&self, address: SocketAddr) -> bool {
        let contact = self.contacts.get(&address);
        contact.is_some_and(|contact| self.is_in_own_zone(contact))
    }

    /// Returns contacts of a zone that receive messages while its coordinators are not known. All
    /// daemons choose the same ones.
    #[must_use]
    pub fn bootstrap_contacts(&self, zone: &ZoneLabel) -> Vec<SocketAddr> {
        let contacts = self.contacts.iter().filter(|(_, contact)| {
            let known = contact.zone.as_ref();
            known.is_none_or(|known| known == zone)
        });
        let candidates = contacts.map(|(address, contact)| contact.candidate(*address));
        bootstrap::choose_contacts(zone, candidates.collect())
    }

    /// Returns a random contact of another zone.
    fn random_contact(
        &self,
        zone: &ZoneLabel,
        mut sample: impl FnMut() -> f64,
    ) -> Option<SocketAddr> {
        let contacts = self.contacts.iter();
        let mut contacts = contacts.filter(|(_, contact)| contact.zone.as_ref() == Some(zone));
        let index = (sample() * contacts.clone().count() as f64) as usize;
        contacts.nth(index).map(|(address, _)| *address)
    }

    /// Returns random contacts of the own zone.
    #[must_use]
    pub fn random_zone_contacts(&self, mut sample: impl FnMut() -> f64) -> Vec<SocketAddr> {
        let count = self.own_zone_contacts().count();
        let mut chosen = Vec::new();
        for _ in 0..RANDOM_CONTACTS.min(count) {
            let index = (sample() * count as f64) as usize;
            chosen.extend(
                self.own_zone_contacts()
                    .nth(index)
                    .map(|(address, _)| *address),
            );
        }
        chosen
    }

    /// Returns whether this daemon is one of the contacts that all daemons of the zone choose while
    /// no coordinator is known.
    #[must_use]
    pub fn is_bootstrap_contact(&self) -> bool {
        let others = self.own_zone_contacts();
        let others = others.map(|(address, contact)| contact.candidate(*address));
        let own = BootstrapCandidate {
            address: self.own_address,
            address_hash: self.own_address_hash,
            processor_millis: self.own_processor_millis,
        };
        let candidates = others.chain([own]).collect();
        bootstrap::choose_contacts(&self.own_zone, candidates).contains(&self.own_address)
    }

    /// Returns whether a zone other than the own one is so large that only some of its daemons
    /// receive digests.
    fn large_remote_zones(&self) -> BTreeSet<&ZoneLabel> {
        let mut counts: BTreeMap<&ZoneLabel, usize> = BTreeMap::new();
        for contact in self.contacts.values() {
            if let Some(zone) = &contact.zone
                && *zone != self.own_zone
            {
                *counts.entry(zone).or_default() += 1;
            }
        }
        let large = counts
            .into_iter()
            .filter(|(_, count)| uses_coordinators(*count));
        large.map(|(zone, _)| zone).collect()
    }

    fn is_in_own_zone(&self, contact: &ContactState) -> bool {
        contact
            .zone
            .as_ref()
            .is_none_or(|zone| *zone == self.own_zone)
    }

    /// Removes contacts that were neither heard from nor listed for long.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.contacts
            .retain(|_, contact| now.since(contact.seen_at) < CONTACT_TTL);
        self.zone_contacts = self.own_zone_contacts().count();
    }

    /// Returns the targets of the summaries and digests that are due in a small zone.
    #[must_use]
    pub fn plan(
        &self,
        now: MonotonicTime,
        peers: &PeerTable,
        sample: impl FnMut() -> f64,
    ) -> GossipPlan {
        let mut plan = GossipPlan::default();
        if !self.uses_zone_digests() {
            plan.summary_targets = self.contacts.keys().copied().collect();
            return plan;
        }
        let own_zone = self.own_zone_contacts();
        plan.summary_targets = own_zone.map(|(address, _)| *address).collect();
        let senders: Vec<u64> = peers.neighbours(now).map(peer_address_hash).collect();
        self.plan_digests(now, peers, &senders, sample, &mut plan);
        plan
    }

    /// Adds the targets of the digests that are due. `senders` are the address hashes of the other
    /// daemons of the own zone that send digests.
    pub fn plan_digests(
        &self,
        now: MonotonicTime,
        peers: &PeerTable,
        senders: &[u64],
        mut sample: impl FnMut() -> f64,
        plan: &mut GossipPlan,
    ) {
        let serving = peers.remote_serving_addresses(now);
        let large = self.large_remote_zones();
        for address in &serving {
            if self.is_sender_for(address_hash(*address), senders) {
                plan.digest_targets.push(*address);
            }
        }
        for (address, contact) in &self.contacts {
            let is_small = contact
                .zone
                .as_ref()
                .is_none_or(|zone| !large.contains(zone));
            if !self.is_in_own_zone(contact)
                && is_small
                && !serving.contains(address)
                && self.is_sender_for(contact.address_hash, senders)
            {
                plan.slotless_digest_targets.push(*address);
            }
        }
        // No coordinator of these zones is known yet.
        for zone in large
            .into_iter()
            .filter(|zone| !peers.has_digest(now, zone))
        {
            let contacts = self.bootstrap_contacts(zone);
            plan.slotless_digest_targets.extend(contacts);
            plan.slotless_digest_targets
                .extend(self.random_contact(zone, &mut sample));
        }
    }

    /// Returns the targets of the slot updates that are due; only daemons that dispatch requests
    /// need them.
    ///
    /// `sent` is the last update of the zone's slots that this daemon sent. It is absent when the
    /// daemon is not a member of the entry set and so does not send them.
    #[must_use]
    pub fn plan_slots(
        &self,
        now: MonotonicTime,
        peers: &PeerTable,
        sent: Option<LastSlotUpdate>,
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
                    senders.push(peer_address_hash(peer));
                    plan.daemon_slot_targets.push(peer.summary.peer_address);
                }
                DaemonRole::Draining => plan.daemon_slot_targets.push(peer.summary.peer_address),
                DaemonRole::Standby => {}
            }
        }
        if sent.is_some_and(|sent| sent.is_next_due(now)) {
            let remote = peers.remote_serving_addresses(now).into_iter();
            plan.zone_slot_targets = remote
                .filter(|address| self.is_sender_for(address_hash(*address), &senders))
                .collect();
        }
        plan
    }

    /// Returns whether this daemon is the one of its zone that sends to `receiver`. All daemons of
    /// the zone select the same sender by rendezvous hashing, which spreads the work evenly.
    fn is_sender_for(&self, receiver: u64, senders: &[u64]) -> bool {
        let own = rendezvous_weight(self.own_address_hash, receiver);
        let mut others = senders.iter();
        others.all(|sender| rendezvous_weight(*sender, receiver) < own)
    }
}
