//! What a gateway tells callers, peers and whoever watches it.

use super::{Gateway, record::RequestPlace};
use crate::{
    name::ZoneLabel,
    peer::{PeerPhase, PeerSummary, SeatUse, TeamUse, name_digest},
    reading::StoreVouch,
    talk::TalkPlan,
    zone::{ZoneDigest, ZoneMember},
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Part of the bound after which a daemon without a newer proof is not ready: callers are better
/// off elsewhere.
const READY_PART: f64 = 0.54;
/// Addresses of a caller's own zone that are enough.
const ENOUGH_NEAR: usize = 1;

/// State of a gateway at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayView {
    /// It takes callers.
    pub ready: bool,
    /// Configuration version in force.
    pub version: u64,
    /// Age of the newest proof that it is the store's.
    pub proof_age: Duration,
}

impl Gateway {
    /// It takes callers.
    #[must_use]
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        let known = self.config.is_some() && self.upstreams_read;
        known
            && !self.stopping
            && self.proof_age(now) < self.options.bounds.proof_bound().mul_f64(READY_PART)
    }

    /// State now.
    #[must_use]
    pub fn view(&self, now: MonotonicTime) -> GatewayView {
        GatewayView {
            ready: self.is_ready(now),
            version: self.config_version(),
            proof_age: self.proof_age(now),
        }
    }

    /// Addresses for a caller of a zone, those of its own zone alone if there are enough: bytes
    /// between zones are dear.
    #[must_use]
    pub fn addresses(
        &self,
        now: MonotonicTime,
        zone: Option<&str>,
        most: usize,
    ) -> Vec<SocketAddr> {
        let mut near = Vec::new();
        let mut far = Vec::new();
        let mut sort = |of: &str, address| {
            if zone == Some(of) {
                near.push(address);
            } else {
                far.push(address);
            }
        };
        if self.is_ready(now) {
            sort(self.options.zone.as_str(), self.options.caller_address);
        }
        for peer in self.peers.ready(now) {
            sort(&peer.summary.zone, peer.summary.caller_address);
        }
        for digest in self.peers.zones(now) {
            let members = digest.members.iter();
            for member in members.filter(|member| member.phase == PeerPhase::Ready) {
                sort(&digest.zone, member.caller_address);
            }
        }
        if near.len() < ENOUGH_NEAR {
            near.extend(far);
        }
        near.truncate(most);
        near
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

    /// What this daemon tells of itself.
    pub fn summary(&mut self, now: MonotonicTime) -> PeerSummary {
        self.sequence += 1;
        let age_ms = self.age_ms(now);
        let vouch = self.vouch(now);
        for meter in self.meters.values_mut() {
            meter.told();
        }
        let usage = self.meters.iter().map(|(team, meter)| TeamUse {
            team: name_digest(team.as_str()),
            total: meter.own_total(),
            levels: meter.levels(),
        });
        PeerSummary {
            host: self.options.host.as_str().to_owned(),
            incarnation: self.options.incarnation,
            age_ms,
            sequence: self.sequence,
            zone: self.options.zone.as_str().to_owned(),
            peer_address: self.options.peer_address,
            caller_address: self.options.caller_address,
            phase: self.phase(now),
            version: self.config_version(),
            seats: self.own_seats(),
            suspects: self.own_suspects(now),
            usage: usage.filter(|used| used.total > 0).collect(),
            tallies: self.rollouts.tallies(),
            sent_at: now,
            echoes: if vouch.is_some() {
                self.reads.echoes(now)
            } else {
                Vec::new()
            },
            vouch,
        }
    }

    /// A daemon that stops leaves the reading to others.
    fn vouch(&self, now: MonotonicTime) -> Option<StoreVouch> {
        let vouches = self.contacts.is_zoned() && !self.stopping;
        vouches.then(|| self.reads.vouch(now)).flatten()
    }

    /// Neighbours to whom changed rows are handed on at once.
    #[must_use]
    pub fn followers(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        if self.vouch(now).is_none() {
            return Vec::new();
        }
        let neighbours = self.peers.neighbours(now);
        neighbours.map(|peer| peer.summary.peer_address).collect()
    }

    fn own_suspects(&self, now: MonotonicTime) -> Vec<u64> {
        let states = self.fleet.iter();
        let failed = states.filter(|state| state.outlier.failed_lately(now));
        failed
            .map(|state| name_digest(state.entry.name.as_str()))
            .collect()
    }

    fn own_seats(&self) -> Vec<SeatUse> {
        let states = self.fleet.iter().filter(|state| state.running > 0);
        let seats = states.map(|state| SeatUse {
            upstream: name_digest(state.entry.name.as_str()),
            running: u16::try_from(state.running).unwrap_or(u16::MAX),
        });
        seats.collect()
    }

    /// What this daemon tells of its zone.
    pub fn digest(&mut self, now: MonotonicTime) -> ZoneDigest {
        self.sequence += 1;
        let age_ms = self.age_ms(now);
        let own = ZoneMember {
            peer_address: self.options.peer_address,
            caller_address: self.options.caller_address,
            phase: self.phase(now),
        };
        let mut members = vec![own];
        let mut seats: BTreeMap<u64, u16> = BTreeMap::new();
        let mut add = |of: &[SeatUse]| {
            for seat in of {
                let sum = seats.entry(seat.upstream).or_default();
                *sum = sum.saturating_add(seat.running);
            }
        };
        add(&self.own_seats());
        let mut near = Vec::new();
        for peer in self.peers.neighbours(now) {
            add(&peer.summary.seats);
            near.push(name_digest(&peer.summary.host));
            members.push(ZoneMember {
                peer_address: peer.summary.peer_address,
                caller_address: peer.summary.caller_address,
                phase: peer.summary.phase,
            });
        }
        let usage = self.meters.iter().map(|(team, meter)| TeamUse {
            team: name_digest(team.as_str()),
            total: meter.zone_total(),
            levels: meter.levels(),
        });
        let seats = seats
            .into_iter()
            .map(|(upstream, running)| SeatUse { upstream, running });
        ZoneDigest {
            zone: self.options.zone.as_str().to_owned(),
            teller: name_digest(self.options.host.as_str()),
            incarnation: self.options.incarnation,
            age_ms,
            sequence: self.sequence,
            members,
            daemons: u32::try_from(self.peers.daemons_here()).unwrap_or(u32::MAX),
            seats: seats.collect(),
            usage: usage.filter(|used| used.total > 0).collect(),
            tallies: self.rollouts.tallies_with(&near),
        }
    }

    /// Whom to tell of this daemon and its zone now.
    pub fn plan_talk(&mut self, now: MonotonicTime) -> TalkPlan {
        let mut plan = self.contacts.plan(now, &self.peers);
        if self.stopping {
            // Another daemon of the zone takes over before this one is gone.
            plan.digest_to.clear();
        }
        plan
    }

    /// Time until others are told again.
    #[must_use]
    pub fn talk_pause(&self) -> Duration {
        self.contacts.pause()
    }

    /// The ready daemon with the first name leads: it writes what one is enough for. Two that
    /// both think so are harmless, as each write has a condition.
    pub(super) fn leads(&self, now: MonotonicTime) -> bool {
        let own = self.options.host.as_str();
        let zone = self.options.zone.as_str();
        let first_here = self
            .peers
            .ready(now)
            .all(|peer| peer.summary.host.as_str() > own);
        let mut zones = self.peers.zones(now);
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
