//! What a gateway sends to callers, peers and whoever watches it.

use super::{Gateway, entry::DISCOVERY_TIME, record::RequestPlace};
use crate::{
    gossip::{GossipPlan, SentSlots, SlotPlan},
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

/// Part of the bound after which a daemon without a newer proof is not ready: callers are better
/// off elsewhere.
const READY_PART: f64 = 0.54;
/// Time between two rounds of gossip of a daemon that has just started. After a kill of all daemons
/// each must know the others before it knows what it may spend of teams' limits.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(100);
/// Part of a service's slots that is taken when they are scarce.
const SCARCE_PART: f64 = 0.7;

/// Slots of a service.
#[derive(Default)]
struct SlotCount {
    taken: u32,
    all: u32,
}

/// State of a gateway at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayStatus {
    /// It takes callers.
    pub ready: bool,
    /// Configuration version in force.
    pub config_version: u64,
    /// Age of the newest proof that it is the store's.
    pub time_since_confirmed: Duration,
}

impl Gateway {
    /// It takes callers.
    #[must_use]
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        let known = self.config.is_some() && self.upstreams_read;
        known
            && self.knows_members()
            && !self.stopping
            && self.proof_age(now)
                < self
                    .options
                    .bounds
                    .max_confirmation_age()
                    .mul_f64(READY_PART)
    }

    /// The number of daemons is known: a daemon that starts again without it would spend much
    /// more of a team's limit than its part.
    pub(super) fn knows_members(&self) -> bool {
        self.contacts_read || self.options.first_start
    }

    /// State now.
    #[must_use]
    pub fn status(&self, now: MonotonicTime) -> GatewayStatus {
        GatewayStatus {
            ready: self.is_ready(now),
            config_version: self.config_version(),
            time_since_confirmed: self.proof_age(now),
        }
    }

    fn phase(&self, now: MonotonicTime) -> PeerPhase {
        if self.stopping {
            PeerPhase::Leaving
        } else if self.is_ready(now) {
            PeerPhase::Ready
        } else {
            PeerPhase::Unready
        }
    }

    fn age_ms(&mut self, now: MonotonicTime) -> u64 {
        let started_at = *self.started_at.get_or_insert(now);
        u64::try_from(now.since(started_at).as_millis()).unwrap_or(u64::MAX)
    }

    /// Summary of this daemon.
    pub fn summary(&mut self, now: MonotonicTime) -> PeerSummary {
        self.sequence += 1;
        let uptime_ms = self.age_ms(now);
        let attestation = self.attestation(now);
        for meter in self.meters.values_mut() {
            meter.mark_reported();
        }
        let usage = self.meters.iter().map(|(team, meter)| TeamUse {
            team: name_digest(team.as_str()),
            total: meter.own_total(),
            levels: meter.levels(),
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
            slots: self.own_slots(),
            ejected_upstreams: self.own_suspects(now),
            usage: usage.filter(|used| used.total > 0).collect(),
            tallies: self.rollouts.tallies(),
            role: self.role(),
            capacity: self.options.capacity,
            load: self.load,
            peak: self.peak.load(),
            sent_at: now,
            echoes: if attestation.is_some() {
                self.reads.echoes(now)
            } else {
                Vec::new()
            },
            attestation,
        }
    }

    /// A daemon that stops leaves the reading to others.
    fn attestation(&self, now: MonotonicTime) -> Option<StoreAttestation> {
        let attestations = self.contacts.uses_zone_digests() && !self.stopping;
        attestations.then(|| self.reads.attestation(now)).flatten()
    }

    /// Neighbours to whom changed rows are handed on at once.
    #[must_use]
    pub fn row_update_targets(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        if self.attestation(now).is_none() {
            return Vec::new();
        }
        let neighbours = self.peers.neighbours(now);
        neighbours.map(|peer| peer.summary.peer_address).collect()
    }

    fn own_suspects(&self, now: MonotonicTime) -> Vec<u64> {
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

    /// Requests of all daemons of this zone at upstreams.
    fn zone_slots(&self, now: MonotonicTime) -> Vec<SlotUse> {
        let mut sums: BTreeMap<u64, SlotUse> = BTreeMap::new();
        let mut add = |of: &[SlotUse]| {
            for slot in of {
                let sum = sums.entry(slot.upstream).or_insert(SlotUse {
                    upstream: slot.upstream,
                    running: 0,
                    unread_prompt_tokens: 0,
                });
                sum.running = sum.running.saturating_add(slot.running);
                sum.unread_prompt_tokens = sum
                    .unread_prompt_tokens
                    .saturating_add(slot.unread_prompt_tokens);
            }
        };
        add(&self.own_slots());
        for peer in self.peers.neighbours(now) {
            add(&peer.summary.slots);
        }
        sums.into_values().collect()
    }

    /// Slots of this daemon alone, sent between two full summaries: nothing while slots are
    /// plenty, or where none has changed.
    pub fn slot_update(&mut self, now: MonotonicTime) -> Option<SlotUpdate> {
        let is_idle = self.requests.is_empty() && self.sent_slots.is_empty();
        if is_idle || !self.are_slots_scarce(now) {
            return None;
        }
        let slots = self.own_slots();
        if slots == self.sent_slots {
            return None;
        }
        self.sent_slots.clone_from(&slots);
        self.sequence += 1;
        Some(self.update_of(SlotScope::Daemon, slots))
    }

    /// The same of its whole zone.
    pub fn zone_slot_update(&mut self, now: MonotonicTime) -> SlotUpdate {
        self.sequence += 1;
        let zone = name_digest(self.options.zone.as_str());
        let slots = self.zone_slots(now);
        self.sent_zone_slots = SentSlots {
            sent_at: now,
            count: slots.len(),
        };
        self.update_of(SlotScope::Zone(zone), slots)
    }

    /// Who gets newer slots now.
    #[must_use]
    pub fn plan_slots(&self, now: MonotonicTime) -> SlotPlan {
        let sent = self.is_entry_member().then_some(self.sent_zone_slots);
        self.contacts.plan_slots(now, &self.peers, sent)
    }

    /// Heartbeat of a member of the entry set, and who gets it: daemons of its zone, so that they
    /// replace it soon after it fails. Few daemons send each other summaries as often.
    pub fn heartbeat(&mut self) -> Option<(PeerHeartbeat, Vec<SocketAddr>)> {
        if !self.contacts.uses_zone_digests() || !self.is_entry_member() {
            return None;
        }
        self.sequence += 1;
        let beat = PeerHeartbeat {
            sender: name_digest(self.options.host.as_str()),
            incarnation: self.options.incarnation,
            sequence: self.sequence,
        };
        Some((beat, self.contacts.near()))
    }

    /// Time until the next heartbeat.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        self.contacts.heartbeat_interval()
    }

    fn update_of(&self, scope: SlotScope, slots: Vec<SlotUse>) -> SlotUpdate {
        SlotUpdate {
            sender: name_digest(self.options.host.as_str()),
            incarnation: self.options.incarnation,
            sequence: self.sequence,
            scope,
            slots,
        }
    }

    /// Requests wait, or most slots of a service are taken.
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
            count.taken += state.running + others;
            count.all += state.entry.slots;
        }
        let mut counts = services.values();
        counts.any(|count| f64::from(count.taken) > f64::from(count.all) * SCARCE_PART)
    }

    /// Time until the next message on slots alone.
    #[must_use]
    pub fn slot_update_interval(&self) -> Duration {
        self.contacts.slot_update_interval()
    }

    /// Digest of this daemon's zone. `slots`: the receivers place requests.
    pub fn zone_digest(&mut self, now: MonotonicTime, slots: bool) -> ZoneDigest {
        self.sequence += 1;
        let uptime_ms = self.age_ms(now);
        let usage = self.meters.iter().map(|(team, meter)| TeamUse {
            team: name_digest(team.as_str()),
            total: meter.zone_total(),
            levels: meter.levels(),
        });
        let neighbours = self.peers.neighbours(now);
        let near: Vec<u64> = neighbours.map(|peer| peer.digest).collect();
        ZoneDigest {
            zone: self.options.zone.as_str().to_owned(),
            sender: name_digest(self.options.host.as_str()),
            incarnation: self.options.incarnation,
            uptime_ms,
            sequence: self.sequence,
            members: self.placing_members(now),
            daemons: u32::try_from(self.peers.zone_daemon_count()).unwrap_or(u32::MAX),
            slots: if slots {
                self.zone_slots(now)
            } else {
                Vec::new()
            },
            usage: usage.filter(|used| used.total > 0).collect(),
            tallies: self.rollouts.tallies_with(&near),
        }
    }

    /// Daemons of the own zone that place requests.
    fn placing_members(&self, now: MonotonicTime) -> Vec<ZoneMember> {
        let own = ZoneMember {
            peer_address: self.options.peer_address,
            caller_address: self.options.caller_address,
            phase: self.phase(now),
            role: self.role(),
        };
        let neighbours = self.peers.neighbours(now);
        let members = neighbours.map(|peer| ZoneMember {
            peer_address: peer.summary.peer_address,
            caller_address: peer.summary.caller_address,
            phase: peer.summary.phase,
            role: if self.entry.contains(peer.digest) {
                DaemonRole::Entry
            } else if peer.summary.slots.is_empty() {
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

    /// Who gets state of this daemon and its zone now.
    pub fn plan_gossip(&mut self, now: MonotonicTime) -> GossipPlan {
        let mut plan = self.contacts.plan(now, &self.peers);
        if self.stopping || !self.knows_own_zone(now) {
            // Another daemon of the zone takes over before this one is gone; and daemons that do
            // not know each other yet would all send digests to all others.
            plan.digest_targets.clear();
            plan.slotless_digest_targets.clear();
        }
        plan
    }

    /// Time until the next round of gossip.
    #[must_use]
    pub fn gossip_interval(&self, now: MonotonicTime) -> Duration {
        let pause = self.contacts.pause();
        if self.contacts.uses_zone_digests() && self.age(now) < DISCOVERY_TIME {
            pause.min(DISCOVERY_INTERVAL)
        } else {
            pause
        }
    }

    /// The ready daemon with the first name leads: it writes what one is enough for. Two that
    /// both think so are harmless, as each write has a condition.
    pub(super) fn leads(&self, now: MonotonicTime) -> bool {
        let own = self.options.host.as_str();
        let zone = self.options.zone.as_str();
        let first_here = self
            .peers
            .ready_peers(now)
            .all(|peer| peer.summary.host.as_str() > own);
        let mut zones = self.peers.zone_digests(now);
        let is_ready = |member: &ZoneMember| member.phase == PeerPhase::Ready;
        let first_zone =
            zones.all(|digest| digest.zone.as_str() > zone || !digest.members.iter().any(is_ready));
        self.is_ready(now) && first_here && first_zone
    }

    /// Zone of this daemon.
    #[must_use]
    pub fn zone(&self) -> &ZoneLabel {
        &self.options.zone
    }

    /// Requests that run at upstreams.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        let records = self.requests.values();
        records
            .filter(|record| matches!(record.place, RequestPlace::Running(_)))
            .count()
    }
}
