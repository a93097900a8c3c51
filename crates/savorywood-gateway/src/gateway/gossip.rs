//! Readiness of the daemon, and the state that it sends to its peers.

use super::{Gateway, entry::DISCOVERY_PERIOD, record::RequestState};
use crate::{
    gossip::{GossipPlan, LastSlotUpdate, SlotPlan},
    label::{ServiceLabel, ZoneLabel},
    message::{
        DaemonRole, PeerHeartbeat, PeerPhase, PeerSummary, SlotScope, SlotUpdate, SlotUse, TeamUse,
    },
    peer::{name_digest, slot_key},
    store_reads::StoreAttestation,
    zone::{ZoneDigest, ZoneMember},
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Fraction of the maximum confirmation age after which a daemon without a newer confirmation is
/// not ready: callers are better served elsewhere.
const READY_CONFIRMATION_FRACTION: f64 = 0.54;
/// Interval between two rounds of gossip of a daemon that has just started. When all daemons
/// restart together, each must discover the others to determine its share of the teams' limits.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(100);
/// The same in a large zone, where the coordinators receive all messages.
const LARGE_ZONE_DISCOVERY_INTERVAL: Duration = Duration::from_millis(200);
/// Fraction of a service's slots in use above which free slots count as scarce.
const SCARCE_SLOT_FRACTION: f64 = 0.7;

/// Slots of a service, used by this daemon and its peers.
#[derive(Default)]
struct SlotCount {
    in_use: u32,
    total: u32,
}

/// Status of a gateway at one moment, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayStatus {
    /// The daemon is ready for callers.
    pub ready: bool,
    /// Version of the configuration in force; 0 when there is none.
    pub config_version: u64,
    /// Time since the store last confirmed the configuration; an hour when it never did.
    pub time_since_confirmed: Duration,
}

impl Gateway {
    /// Returns whether the daemon is ready for callers: it is not stopping, and its configuration,
    /// upstreams and peers are known and the configuration was confirmed recently.
    #[must_use]
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        let known = self.config.is_some() && self.upstreams_read;
        known
            && self.has_peer_list()
            && self.has_caught_up()
            && !self.is_stopping()
            && self.time_since_confirmed(now)
                < self
                    .options
                    .bounds
                    .max_confirmation_age()
                    .mul_f64(READY_CONFIRMATION_FRACTION)
    }

    /// Returns whether the number of daemons is known. A restarted daemon without this number would
    /// admit much more of a team's limit than its share.
    pub(super) fn has_peer_list(&self) -> bool {
        self.contacts_read || self.options.first_start
    }

    /// Returns the status at the time `now`.
    #[must_use]
    pub fn status(&self, now: MonotonicTime) -> GatewayStatus {
        GatewayStatus {
            ready: self.is_ready(now),
            config_version: self.config_version(),
            time_since_confirmed: self.time_since_confirmed(now),
        }
    }

    pub(super) fn phase(&self, now: MonotonicTime) -> PeerPhase {
        if self.is_stopping() {
            PeerPhase::Leaving
        } else if self.is_ready(now) {
            PeerPhase::Ready
        } else {
            PeerPhase::Unready
        }
    }

    fn uptime_ms(&mut self, now: MonotonicTime) -> u64 {
        let started_at = *self.started_at.get_or_insert(now);
        u64::try_from(now.since(started_at).as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the next summary of this daemon and advances the sequence number.
    pub fn summary(&mut self, now: MonotonicTime) -> PeerSummary {
        self.sequence += 1;
        let uptime_ms = self.uptime_ms(now);
        let attestation = self.attestation(now);
        self.presence.advance(now);
        for limiter in self.team_limiters.values_mut() {
            limiter.mark_reported();
            if limiter.own_total() > 0 {
                limiter.refill(&self.presence);
            }
        }
        let usage = self.team_limiters.iter().map(|(team, limiter)| TeamUse {
            team: name_digest(team.as_str()),
            total: limiter.own_total(),
            levels: limiter.levels(),
        });
        PeerSummary {
            host: self.options.host.as_str().to_owned(),
            incarnation: self.options.incarnation,
            uptime_ms,
            sequence: self.sequence,
            zone: self.options.zone.as_str().to_owned(),
            peer_address: self.options.peer_address,
            caller_address: self.options.caller_address,
            phase: self.phase(now),
            config_version: self.config_version(),
            partitioned: self.is_partitioned(),
            slots: self.own_slots(),
            ejected_upstreams: self.own_ejected(now),
            usage: usage.filter(|used| used.total > 0).collect(),
            tallies: self.rollouts.tallies(now),
            role: self.role(),
            keeps_member_callers: self.keeps_member_callers(now),
            capacity: self.options.capacity,
            load: self.load,
            peak: self.peak.load(),
            sent_at: now,
            view_revision: self.view_revision(),
            coordinates: self.is_established(now),
            // In a large zone each summary is replied to with an echo of its own.
            echoes: if attestation.is_some() && !self.has_coordinators() {
                self.store_reads.echoes(now)
            } else {
                Vec::new()
            },
            attestation,
        }
    }

    /// Returns the attestation of this daemon. A stopping daemon gives none, so that another one
    /// takes over reading the store.
    fn attestation(&self, now: MonotonicTime) -> Option<StoreAttestation> {
        let attestations = self.contacts.uses_zone_digests() && !self.is_stopping();
        attestations
            .then(|| self.store_reads.attestation(now))
            .flatten()
    }

    /// Returns the neighbours to which changed rows are forwarded at once; none unless this daemon
    /// attests, or coordinates a large zone.
    #[must_use]
    pub fn row_update_targets(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let reads_store = self.attestation(now).is_some();
        if self.has_coordinators() {
            return self.row_targets(now, reads_store);
        }
        if !reads_store {
            return Vec::new();
        }
        let neighbours = self.peers.neighbours(now);
        neighbours.map(|peer| peer.summary.peer_address).collect()
    }

    /// Returns the upstreams that this daemon has ejected recently. A partitioned daemon reports
    /// none: what it last observed was its own partition.
    fn own_ejected(&self, now: MonotonicTime) -> Vec<u64> {
        if self.is_partitioned() {
            return Vec::new();
        }
        let states = self.fleet.iter();
        let failed = states.filter(|state| state.outlier.ejected_recently(now));
        failed.map(|state| state.digest).collect()
    }

    fn own_slots(&self) -> Vec<SlotUse> {
        let states = self.fleet.iter().filter(|state| state.running > 0);
        let slots = states.map(|state| SlotUse {
            upstream: u64::from(slot_key(state.digest)),
            running: u16::try_from(state.running).unwrap_or(u16::MAX),
            unread_prompt_tokens: state.unread_prompt_tokens,
        });
        slots.collect()
    }

    /// Returns the slots that all daemons of this zone use, by upstream.
    fn zone_slots(&self, now: MonotonicTime) -> Vec<SlotUse> {
        let mut totals: BTreeMap<u64, SlotUse> = BTreeMap::new();
        let mut add = |slots: &[SlotUse]| {
            for slot in slots {
                let total = totals.entry(slot.upstream).or_insert(SlotUse {
                    upstream: slot.upstream,
                    running: 0,
                    unread_prompt_tokens: 0,
                });
                total.running = total.running.saturating_add(slot.running);
                total.unread_prompt_tokens = total
                    .unread_prompt_tokens
                    .saturating_add(slot.unread_prompt_tokens);
            }
        };
        add(&self.own_slots());
        for peer in self.peers.neighbours(now) {
            add(&peer.summary.slots);
        }
        totals.into_values().collect()
    }

    /// Returns an update of this daemon's slots to be sent between two summaries; absent while
    /// slots are not scarce or no slot has changed.
    pub fn slot_update(&mut self, now: MonotonicTime) -> Option<SlotUpdate> {
        let is_idle = self.requests.is_empty() && self.last_sent_slots.is_empty();
        if is_idle || !self.are_slots_scarce(now) {
            return None;
        }
        let slots = self.own_slots();
        if slots == self.last_sent_slots {
            return None;
        }
        self.last_sent_slots.clone_from(&slots);
        self.sequence += 1;
        Some(self.build_slot_update(SlotScope::Daemon, slots))
    }

    /// Returns an update of the slots that all daemons of the zone use.
    pub fn zone_slot_update(&mut self, now: MonotonicTime) -> SlotUpdate {
        self.sequence += 1;
        let zone = name_digest(self.options.zone.as_str());
        let slots = self.zone_slots(now);
        self.last_sent_zone_slots = LastSlotUpdate {
            sent_at: now,
            count: slots.len(),
        };
        self.build_slot_update(SlotScope::Zone(zone), slots)
    }

    /// Returns the targets of the slot updates that are due.
    #[must_use]
    pub fn plan_slots(&self, now: MonotonicTime) -> SlotPlan {
        let sent = self.is_entry_member().then_some(self.last_sent_zone_slots);
        self.contacts.plan_slots(now, &self.peers, sent)
    }

    /// Returns the heartbeat of a member of the entry set and the daemons of its zone that receive
    /// it, so that they replace the member soon after it fails: in a large zone the other members,
    /// otherwise all.
    ///
    /// Absent when zones do not exchange digests: the summaries of few daemons are as frequent.
    pub fn heartbeat(&mut self, now: MonotonicTime) -> Option<(PeerHeartbeat, Vec<SocketAddr>)> {
        if !self.contacts.uses_zone_digests() || !self.is_entry_member() {
            return None;
        }
        self.sequence += 1;
        let heartbeat = PeerHeartbeat {
            sender: name_digest(self.options.host.as_str()),
            incarnation: self.options.incarnation,
            sequence: self.sequence,
        };
        let targets = if self.has_coordinators() {
            self.member_peer_addresses(now)
        } else {
            self.contacts.zone_contacts()
        };
        Some((heartbeat, targets))
    }

    /// Returns the interval between two heartbeats.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        self.contacts.heartbeat_interval()
    }

    fn build_slot_update(&self, scope: SlotScope, slots: Vec<SlotUse>) -> SlotUpdate {
        SlotUpdate {
            sender: name_digest(self.options.host.as_str()),
            incarnation: self.options.incarnation,
            sequence: self.sequence,
            scope,
            slots,
        }
    }

    /// Returns whether requests wait, or most slots of some service are in use.
    fn are_slots_scarce(&self, now: MonotonicTime) -> bool {
        if self.waiting_requests() > 0 {
            return true;
        }
        let mut services: BTreeMap<&ServiceLabel, SlotCount> = BTreeMap::new();
        for state in self
            .fleet
            .iter()
            .filter(|state| state.accepts_requests(now))
        {
            let count = services.entry(&state.entry.service).or_default();
            let others = self.peers.slots_by_digest(state.digest).running;
            count.in_use += state.running + others;
            count.total += state.entry.slots;
        }
        let mut counts = services.values();
        counts.any(|count| f64::from(count.in_use) > f64::from(count.total) * SCARCE_SLOT_FRACTION)
    }

    /// Returns the interval between two slot updates.
    #[must_use]
    pub fn slot_update_interval(&self) -> Duration {
        self.contacts.slot_update_interval()
    }

    /// Returns the digest of this daemon's zone. `include_slots`: list the slots in use, for
    /// receivers that dispatch requests.
    pub fn zone_digest(&mut self, now: MonotonicTime, include_slots: bool) -> ZoneDigest {
        self.sequence += 1;
        let uptime_ms = self.uptime_ms(now);
        self.presence.advance(now);
        for limiter in self.team_limiters.values_mut() {
            limiter.refill(&self.presence);
        }
        let usage = self.team_limiters.iter().map(|(team, limiter)| TeamUse {
            team: name_digest(team.as_str()),
            total: limiter.zone_total(),
            levels: limiter.levels(),
        });
        let neighbours = self.peers.neighbours(now);
        let neighbour_digests: Vec<u64> = neighbours.map(|peer| peer.digest).collect();
        ZoneDigest {
            zone: self.options.zone.as_str().to_owned(),
            sender: name_digest(self.options.host.as_str()),
            incarnation: self.options.incarnation,
            uptime_ms,
            sequence: self.sequence,
            members: self.serving_members(now),
            daemons: u32::try_from(self.peers.zone_daemon_count()).unwrap_or(u32::MAX),
            slots: if include_slots {
                self.zone_slots(now)
            } else {
                Vec::new()
            },
            usage: usage.filter(|used| used.total > 0).collect(),
            tallies: self.rollouts.tallies_with(now, &neighbour_digests),
        }
    }

    /// Returns the daemons of the own zone that dispatch requests.
    fn serving_members(&self, now: MonotonicTime) -> Vec<ZoneMember> {
        let own = ZoneMember {
            peer_address: self.options.peer_address,
            caller_address: self.options.caller_address,
            phase: self.phase(now),
            role: self.role(),
            partitioned: self.is_partitioned(),
        };
        let neighbours = self.peers.neighbours(now);
        let members = neighbours.map(|peer| ZoneMember {
            peer_address: peer.summary.peer_address,
            caller_address: peer.summary.caller_address,
            phase: peer.summary.phase,
            partitioned: peer.summary.partitioned,
            role: if self.entry.contains(peer.digest) {
                DaemonRole::Entry
            } else if peer.summary.slots.is_empty() && !peer.summary.keeps_member_callers {
                DaemonRole::Standby
            } else {
                DaemonRole::Draining
            },
        });
        let members = members.chain([own]);
        members
            .filter(|member| member.role != DaemonRole::Standby)
            .collect()
    }

    /// Returns the targets of the summaries and digests that are due.
    pub fn plan_gossip(&mut self, now: MonotonicTime) -> GossipPlan {
        if self.followed_view(now).is_none() {
            self.contacts.expire(now);
        }
        let mut plan = if self.has_coordinators() {
            self.plan_large_zone(now)
        } else {
            let random = &mut self.random;
            self.contacts.plan(now, &self.peers, || random.next())
        };
        if self.is_stopping() || !self.has_discovered_zone(now) {
            // Another daemon of the zone takes over before this one has stopped; and daemons that
            // have not discovered each other yet would all send digests to all other daemons.
            plan.digest_targets.clear();
            plan.slotless_digest_targets.clear();
        }
        plan
    }

    fn plan_large_zone(&mut self, now: MonotonicTime) -> GossipPlan {
        let mut plan = GossipPlan {
            summary_targets: self.report_targets(now),
            ..GossipPlan::default()
        };
        if self.is_established(now) {
            let senders = self.other_coordinators(now);
            let random = &mut self.random;
            let sample = || random.next();
            self.contacts
                .plan_digests(now, &self.peers, &senders, sample, &mut plan);
        }
        plan
    }

    /// Returns the interval between two rounds of gossip.
    #[must_use]
    pub fn gossip_interval(&self, now: MonotonicTime) -> Duration {
        let interval = self.contacts.gossip_interval();
        if self.contacts.uses_zone_digests() && self.uptime(now) < DISCOVERY_PERIOD {
            let discovery = if self.has_coordinators() {
                LARGE_ZONE_DISCOVERY_INTERVAL
            } else {
                DISCOVERY_INTERVAL
            };
            interval.min(discovery)
        } else {
            interval
        }
    }

    /// Returns whether this daemon is the leader, which performs writes that one daemon suffices
    /// for: the ready daemon with the first host name in the first zone. Two daemons that both
    /// regard themselves as the leader do no harm, as each write is conditional.
    pub(super) fn is_leader(&self, now: MonotonicTime) -> bool {
        if self.has_coordinators() && !self.is_established(now) {
            return false;
        }
        let own = self.options.host.as_str();
        let zone = self.options.zone.as_str();
        let leads_zone = self
            .peers
            .ready_peers(now)
            .filter(|peer| self.may_lead(peer.digest))
            .all(|peer| peer.summary.host.as_str() > own);
        let mut zones = self.peers.zone_digests(now);
        let is_ready = |member: &ZoneMember| member.phase == PeerPhase::Ready;
        let is_first_zone =
            zones.all(|digest| digest.zone.as_str() > zone || !digest.members.iter().any(is_ready));
        self.is_ready(now) && leads_zone && is_first_zone
    }

    /// Returns whether a daemon of the own zone may be the leader: in a large zone, only a
    /// coordinator.
    fn may_lead(&self, host: u64) -> bool {
        !self.has_coordinators() || self.is_coordinator_host(host)
    }

    /// Returns the availability zone of this daemon.
    #[must_use]
    pub fn zone(&self) -> &ZoneLabel {
        &self.options.zone
    }

    /// Returns the number of requests in progress at upstreams.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        let records = self.requests.values();
        records
            .filter(|record| matches!(record.state, RequestState::Running(_)))
            .count()
    }
}
