//! What a gateway tells callers, peers and whoever watches it.

use super::{Gateway, record::RequestPlace};
use crate::{
    name::ZoneLabel,
    peer::{PeerPhase, PeerSummary, SeatUse, TeamUse, name_digest},
};
use savorywood_protocol::MonotonicTime;
use std::{net::SocketAddr, time::Duration};

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
        if near.len() < ENOUGH_NEAR {
            near.extend(far);
        }
        near.truncate(most);
        near
    }

    /// What this daemon tells its peers.
    pub fn summary(&mut self, now: MonotonicTime) -> PeerSummary {
        self.sequence += 1;
        let started_at = *self.started_at.get_or_insert(now);
        let age_ms = now.since(started_at).as_millis();
        let phase = if self.stopping {
            PeerPhase::Leaving
        } else if self.is_ready(now) {
            PeerPhase::Ready
        } else {
            PeerPhase::Unready
        };
        let states = self.fleet.iter().filter(|state| state.running > 0);
        let seats = states.map(|state| SeatUse {
            upstream: name_digest(state.entry.name.as_str()),
            running: u16::try_from(state.running).unwrap_or(u16::MAX),
        });
        let usage = self.meters.iter().map(|(team, meter)| TeamUse {
            team: name_digest(team.as_str()),
            total: meter.own_total(),
        });
        PeerSummary {
            host: self.options.host.as_str().to_owned(),
            incarnation: self.options.incarnation,
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
            sequence: self.sequence,
            zone: self.options.zone.as_str().to_owned(),
            caller_address: self.options.caller_address,
            phase,
            version: self.config_version(),
            seats: seats.collect(),
            usage: usage.collect(),
            tallies: self.rollouts.tallies(),
        }
    }

    /// The ready daemon with the first name leads: it writes what one is enough for. Two that
    /// both think so are harmless, as each write has a condition.
    pub(super) fn leads(&self, now: MonotonicTime) -> bool {
        let own = self.options.host.as_str();
        self.is_ready(now)
            && self
                .peers
                .ready(now)
                .all(|peer| peer.summary.host.as_str() > own)
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
