//! Roll-outs: traffic of a service moves to a new version within a time limit, or is rolled back.

mod acceptance;
mod evidence;
mod pace;
mod preference;
mod state;
mod upstreams;

use crate::{
    label::{ServiceLabel, VersionLabel},
    message::VersionTally,
    position::StorePosition,
    upstream::{UpstreamEntry, UpstreamState},
};
pub use acceptance::{AcceptanceCheck, RolloutStage};
pub use evidence::{RolloutEvidence, RouteDigest, RouteEvidence};
pub use pace::{PaceComparison, PaceSums, UpstreamSketch};
pub use preference::VersionPreference;
use savorywood_protocol::MonotonicTime;
use state::RolloutState;
pub use state::{CANARY_HEAD_START, CanaryOptions};
use std::{collections::BTreeMap, time::Duration};
use strum::{Display, EnumString, IntoStaticStr};
pub use upstreams::VersionUpstreams;

/// Order of an operator to roll out a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: ServiceLabel,
    /// Version that the traffic moves to.
    pub target_version: VersionLabel,
    /// Time from the receipt of the order until the roll-out is complete.
    pub time_limit: Duration,
    /// Position of the order's row in the store.
    pub position: StorePosition,
}

/// Phase of a roll-out, as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RolloutPhase {
    /// Traffic is moving to the new version.
    Running,
    /// All traffic goes to the new version.
    Completed,
    /// All traffic goes to the old versions.
    RolledBack,
}

/// Status row of a roll-out, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Service of the roll-out.
    pub service: ServiceLabel,
    /// Target version; `None` if the row is malformed.
    pub target_version: Option<VersionLabel>,
    /// Recorded phase; `None` if the row is missing or malformed.
    pub phase: Option<RolloutPhase>,
    /// Position of the row; its version is zero if there is no row.
    pub position: StorePosition,
}

/// Conditional write of a status row, which requires that the row has not changed since it was
/// read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutWrite {
    /// Service of the roll-out.
    pub service: ServiceLabel,
    /// Target version.
    pub target_version: VersionLabel,
    /// Phase to record.
    pub phase: RolloutPhase,
    /// Required position of the row; with version zero the row must not exist.
    pub expected_position: StorePosition,
}

/// Interval between two attempts to write a status row.
const WRITE_INTERVAL: Duration = Duration::from_millis(400);

/// State of all roll-outs by service.
#[derive(Debug, Clone, Default)]
pub struct RolloutTable {
    states: BTreeMap<ServiceLabel, RolloutState>,
}

impl RolloutTable {
    /// Applies an order. Returns true if it is new.
    pub fn apply_order(&mut self, now: MonotonicTime, order: RolloutOrder) -> bool {
        if let Some(current) = self.states.get_mut(&order.service) {
            if current.order.position >= order.position {
                return false;
            }
            if current.is_same_after_restore(&order) {
                current.order.position = order.position;
                return false;
            }
        }
        let current = self.states.get(&order.service);
        let position = current.map_or(StorePosition::default(), |state| state.position);
        let state = RolloutState::new(now, order, position);
        self.states.insert(state.order.service.clone(), state);
        true
    }

    /// Applies a status row. A final phase in the store takes precedence, whichever daemon wrote
    /// it.
    pub fn apply_status(&mut self, status: &RolloutStatus) {
        let Some(state) = self.states.get_mut(&status.service) else {
            return;
        };
        if status.position.era < state.position.era {
            return;
        }
        state.position = status.position;
        if status.target_version.as_ref() != Some(&state.order.target_version) {
            return;
        }
        match status.phase {
            Some(phase @ (RolloutPhase::Completed | RolloutPhase::RolledBack)) => {
                state.phase = phase;
                state.written = true;
            }
            Some(RolloutPhase::Running) => {
                state.written = state.phase == RolloutPhase::Running;
            }
            None => {}
        }
    }

    /// Handles a restore of the store: written rows may be missing, and are written again if the
    /// status differs.
    pub fn on_store_restored(&mut self, era: u64) {
        for state in self.states.values_mut() {
            state.position = StorePosition::new(era, 0);
            state.written = false;
            state.write_pending = false;
            state.pending_phase = None;
        }
    }

    /// Records whether the store accepted a write; `accepted` is false without a response.
    pub fn record_write(&mut self, now: MonotonicTime, service: &ServiceLabel, accepted: bool) {
        if let Some(state) = self.states.get_mut(service) {
            state.write_pending = false;
            let phase = state.pending_phase.take().filter(|_| accepted);
            // A rejection may have been found meanwhile, and is to be written over `running`.
            if let Some(phase) = phase
                && (phase != RolloutPhase::Running || state.phase == RolloutPhase::Running)
            {
                state.written = true;
                state.phase = phase;
            }
            state.next_write_at = now + WRITE_INTERVAL;
        }
    }

    /// Returns which versions are to receive the next request of a service.
    pub fn version_preference(
        &self,
        now: MonotonicTime,
        service: &ServiceLabel,
        route: RouteDigest,
        options: CanaryOptions,
    ) -> VersionPreference {
        let Some(state) = self.states.get(service) else {
            return VersionPreference::any();
        };
        let new_version = &state.order.target_version;
        match state.phase {
            RolloutPhase::Completed => return VersionPreference::completed(new_version),
            RolloutPhase::RolledBack => return VersionPreference::rejected(new_version),
            RolloutPhase::Running => {}
        }
        let total = state.total();
        if state.is_rejected(now, &total) {
            return VersionPreference::rejected(new_version);
        }
        let evidence = &total.evidence;
        match state.stage(now, evidence) {
            RolloutStage::Switched => VersionPreference::switched(new_version),
            RolloutStage::Shared => VersionPreference::any(),
            RolloutStage::Canary if state.allows_canary(now, evidence, route, options) => {
                VersionPreference::favoured(new_version)
            }
            RolloutStage::Canary => VersionPreference::withheld(new_version),
        }
    }

    /// Records that a request on a route is sent to an upstream.
    pub fn record_dispatch(&mut self, upstream: &UpstreamEntry, route: RouteDigest) {
        if let Some(state) = self.states.get_mut(&upstream.service) {
            let is_new = state.order.target_version == upstream.version;
            let evidence = state.own.evidence.route_mut(route);
            evidence.dispatched += 1;
            evidence.dispatched_new += u32::from(is_new);
        }
    }

    /// Records a response of an upstream.
    pub fn record_response(&mut self, upstream: &UpstreamState, route: RouteDigest, bad: bool) {
        let entry = &upstream.entry;
        let Some(state) = self.states.get_mut(&entry.service) else {
            return;
        };
        let evidence = state.own.evidence.route_mut(route);
        if state.order.target_version != entry.version {
            evidence.old_responses += 1;
            evidence.old_bad += u32::from(bad);
            return;
        }
        evidence.new_responses += 1;
        if bad {
            evidence.new_bad += 1;
            evidence.bad_sources.insert(upstream.digest);
            return;
        }
        evidence.new_good_present += 1;
        let key = (entry.name.clone(), entry.incarnation);
        let counts = state.good_responses.entry(key).or_default();
        *counts.entry(route).or_default() += 1;
    }

    /// Records an attempt at an upstream that ended without telling anything of its version.
    pub fn record_unjudged(&mut self, upstream: &UpstreamEntry, route: RouteDigest) {
        if let Some(state) = self.states.get_mut(&upstream.service)
            && state.order.target_version == upstream.version
        {
            state.own.evidence.route_mut(route).new_unjudged += 1;
        }
    }

    /// Records the time of a response of an upstream, or between its events.
    pub fn record_pace(&mut self, upstream: &UpstreamState, route: RouteDigest, time: Duration) {
        let entry = &upstream.entry;
        if let Some(state) = self.states.get_mut(&entry.service) {
            let evidence = state.own.evidence.route_mut(route);
            if state.order.target_version == entry.version {
                evidence.new_paces.record(time);
                evidence.new_sources.insert(upstream.digest);
            } else {
                evidence.old_paces.record(time);
            }
        }
    }

    /// Records the tallies that a peer reports. A roll-out is as old as the daemon knows that has
    /// known it for longest: the time limit runs on when daemons restart.
    pub fn record_peer_tallies(&mut self, now: MonotonicTime, peer: u64, tallies: &[VersionTally]) {
        for state in self.states.values_mut() {
            let own = state.own.rollout;
            if let Some(tally) = tallies.iter().find(|tally| tally.rollout == own) {
                let ordered_at = now - Duration::from_millis(tally.age_ms.into());
                state.started_at = state.started_at.min(ordered_at);
                state.peers.insert(peer, tally.clone());
            }
        }
    }

    /// Records the upstreams of the roll-outs in progress; `find` returns those of a service, where
    /// the given version is the new one.
    pub fn record_upstreams(
        &mut self,
        now: MonotonicTime,
        find: impl Fn(&ServiceLabel, &VersionLabel) -> VersionUpstreams,
    ) {
        for state in self.states.values_mut() {
            if state.phase == RolloutPhase::Running {
                let upstreams = find(&state.order.service, &state.order.target_version);
                state.record_upstreams(now, upstreams);
            }
        }
    }

    /// Returns what speaks for accepting the version of a service's roll-out.
    #[must_use]
    pub fn check(&self, service: &ServiceLabel) -> Option<AcceptanceCheck> {
        let state = self.states.get(service)?;
        Some(state.check(&state.total().evidence))
    }

    /// Returns the evidence of all daemons on a service's roll-out.
    #[must_use]
    pub fn evidence(&self, service: &ServiceLabel) -> Option<RolloutEvidence> {
        let state = self.states.get(service)?;
        Some(state.total().evidence)
    }

    /// Returns this daemon's tallies of the roll-outs in progress and of those that it has rejected.
    #[must_use]
    pub fn tallies(&self, now: MonotonicTime) -> Vec<VersionTally> {
        let states = self.states.values().filter(|state| state.is_reported(now));
        let tallies = states.map(|state| VersionTally {
            age_ms: state.age_ms(now),
            ..state.own.clone()
        });
        tallies.collect()
    }

    /// Returns the sum of the tallies of this daemon and the given peers, for the same roll-outs.
    #[must_use]
    pub fn tallies_with(&self, now: MonotonicTime, peers: &[u64]) -> Vec<VersionTally> {
        let states = self.states.values().filter(|state| state.is_reported(now));
        let sums = states.map(|state| VersionTally {
            age_ms: state.age_ms(now),
            ..state.sum(|peer| peers.contains(&peer))
        });
        sums.collect()
    }

    /// Returns true if a roll-out is in progress, or its final phase is not in the store yet.
    #[must_use]
    pub fn is_active(&self) -> bool {
        let mut states = self.states.values();
        states.any(|state| state.phase == RolloutPhase::Running || !state.written)
    }

    /// Advances all roll-outs to the current time. Returns the writes to make now; only the leader,
    /// which `is_leader` marks, makes any.
    pub fn advance(&mut self, now: MonotonicTime, is_leader: bool) -> Vec<RolloutWrite> {
        let mut writes = Vec::new();
        for state in self.states.values_mut() {
            if let Some(phase) = state.advance(now, is_leader) {
                writes.push(RolloutWrite {
                    service: state.order.service.clone(),
                    target_version: state.order.target_version.clone(),
                    phase,
                    expected_position: state.position,
                });
            }
        }
        writes
    }
}
