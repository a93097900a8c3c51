//! Roll-outs: traffic of a service moves to a new version within a time limit, or is rolled back.

mod acceptance;
mod evidence;
mod pace;
mod preference;
mod upstreams;

use crate::{
    label::{ServiceLabel, UpstreamLabel, VersionLabel},
    message::VersionTally,
    peer::name_digest,
    position::StorePosition,
    upstream::{UpstreamEntry, UpstreamState},
};
pub use acceptance::{AcceptanceCheck, RolloutStage};
use acceptance::{AcceptanceVerdict, is_significantly_worse};
pub use evidence::{RolloutEvidence, RouteDigest, RouteEvidence};
pub use pace::{PaceComparison, PaceSums, UpstreamSketch};
pub use preference::VersionPreference;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};
use strum::{Display, EnumString, IntoStaticStr};
use upstreams::DemandAverage;
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

/// Fraction of the allowed canary share that is used.
const CANARY_SHARE_FRACTION: f64 = 0.6;
/// Fraction of the allowed canary slack that is used for responses by which a version is accepted.
const CANARY_SLACK_FRACTION: f64 = 0.5;
/// Fraction of this daemon's requests on a route that go to a version without enough responses there,
/// beyond the canary share, unless the route is rare or all requests would go to an accepted version.
const PROBE_SHARE: f64 = 0.5;
/// Fraction of the time limit after which an accepted version may receive any request.
const CANARY_END_FRACTION: f64 = 0.45;
/// Fraction of the time limit after which an accepted version receives all requests.
const SWITCH_FRACTION: f64 = 0.7;
/// Fraction of the time limit after which the roll-out is completed.
const COMPLETION_FRACTION: f64 = 0.85;
/// Fraction of the time limit for which a version receives all requests before it is completed: some
/// faults only show under load.
const MIN_SWITCHED_FRACTION: f64 = 0.1;
/// Fraction of the time limit after which a version that is not accepted is rolled back.
const GIVE_UP_FRACTION: f64 = 0.95;

/// Factor by which the responses of a new version may be slower than those of the old ones.
const MAX_SLOWDOWN: f64 = 1.5;
/// The same once the old versions receive no traffic: the new one then bears more load than they did.
const MAX_LOADED_SLOWDOWN: f64 = 2.5;

/// Interval between two attempts to write a status row.
const WRITE_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which peers are told of a rejection at least.
const REJECTION_REPORT_PERIOD: Duration = Duration::from_secs(10);

/// Bounds for the canary phase of roll-outs; set by operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CanaryOptions {
    /// Fraction of a service's traffic that a new version may receive in the canary phase.
    pub share: f64,
    /// Requests that it may receive in addition to this share.
    pub slack: f64,
    /// Requests that this daemon may send to it ahead of its own share.
    pub head_start: f64,
}

/// Requests that a new version may receive ahead of its share, over all daemons.
pub const CANARY_HEAD_START: f64 = 2.0;

/// Name and incarnation of an upstream.
type UpstreamKey = (UpstreamLabel, u64);

#[derive(Debug, Clone)]
struct RolloutState {
    order: RolloutOrder,
    started_at: MonotonicTime,
    own: VersionTally,
    peers: BTreeMap<u64, VersionTally>,
    upstreams: VersionUpstreams,
    /// Requests of the service in progress at all daemons, on average.
    demand: DemandAverage,
    /// Good responses by upstream of the new version; those of upstreams that are gone do not speak for
    /// it any more.
    good_responses: BTreeMap<UpstreamKey, BTreeMap<RouteDigest, u32>>,
    phase: RolloutPhase,
    /// Final phase that a write in progress records.
    pending_phase: Option<RolloutPhase>,
    /// Time since which the version receives all requests.
    switched_at: Option<MonotonicTime>,
    /// Time at which this daemon rejected the version.
    rejected_at: Option<MonotonicTime>,
    /// Position of the status row.
    position: StorePosition,
    written: bool,
    write_pending: bool,
    next_write_at: MonotonicTime,
}

impl RolloutState {
    fn total(&self) -> VersionTally {
        self.sum(|_| true)
    }

    fn sum(&self, includes: impl Fn(u64) -> bool) -> VersionTally {
        let mut total = self.own.clone();
        let peers = self.peers.iter().filter(|(peer, _)| includes(**peer));
        for (_, tally) in peers {
            total.evidence.add(&tally.evidence);
            total.rejected |= tally.rejected;
        }
        total
    }

    /// Returns true if the order is unchanged but has a new position, as after a restore of the
    /// store.
    fn is_same_after_restore(&self, order: &RolloutOrder) -> bool {
        let current = &self.order;
        current.position.era < order.position.era
            && current.target_version == order.target_version
            && current.time_limit == order.time_limit
    }

    /// Returns whether peers are told this daemon's tally. They are told of a rejection until they
    /// have had the time to read it in the store.
    fn is_reported(&self, now: MonotonicTime) -> bool {
        let is_recent = |at: MonotonicTime| now.since(at) < REJECTION_REPORT_PERIOD;
        let is_read = self.written && !self.rejected_at.is_some_and(is_recent);
        self.phase == RolloutPhase::Running || (self.own.rejected && !is_read)
    }

    /// Returns whether the next request on a route may go to the new version in the canary phase.
    ///
    /// The tallies of other daemons are older than a round of gossip. Each daemon therefore keeps to a
    /// share of its own requests, too: all of them together would otherwise send their first ones to
    /// the first upstream of the new version at once, and take its queue for the version's fault.
    fn allows_canary(
        &self,
        now: MonotonicTime,
        total: &RolloutEvidence,
        route: RouteDigest,
        options: CanaryOptions,
    ) -> bool {
        let share = options.share * CANARY_SHARE_FRACTION;
        let sum = total.total();
        let allowed = f64::from(sum.dispatched) * share + CANARY_HEAD_START;
        let sent = f64::from(sum.dispatched_new);
        if sent < allowed && has_own_share(&self.own.evidence.total(), share, options) {
            return true;
        }
        let progress = self.progress(now);
        let probe_progress = progress / CANARY_END_FRACTION;
        let on_route = total.route(route);
        let needs_all =
            progress >= SWITCH_FRACTION || acceptance::is_rare(&on_route, probe_progress);
        let probe_share = if needs_all { 1.0 } else { PROBE_SHARE };
        sent < allowed + options.slack * CANARY_SLACK_FRACTION
            && acceptance::needs_probe(&on_route, probe_progress)
            && has_own_share(&self.own.evidence.route(route), probe_share, options)
    }

    /// Returns whether the evidence of all daemons is against the new version.
    fn is_rejected(&self, now: MonotonicTime, total: &VersionTally) -> bool {
        let max_slowdown = if self.progress(now) < SWITCH_FRACTION {
            MAX_SLOWDOWN
        } else {
            MAX_LOADED_SLOWDOWN
        };
        total.rejected
            || is_significantly_worse(&total.evidence)
            || self.is_slower(&total.evidence, max_slowdown)
    }

    /// Returns whether the new version is slower by more than a factor, on all routes together or on one
    /// of them.
    fn is_slower(&self, evidence: &RolloutEvidence, factor: f64) -> bool {
        let on_one = |route: &RouteEvidence| {
            let mut comparison = PaceComparison::default();
            comparison.add(route);
            comparison.is_slower(factor, &self.upstreams)
        };
        let comparison = evidence.compare_paces();
        comparison.is_slower(factor, &self.upstreams) || evidence.routes().any(on_one)
    }

    /// Returns which part of the requests may go to the new version.
    fn stage(&self, now: MonotonicTime, total: &RolloutEvidence) -> RolloutStage {
        let verdict = self.check(total).verdict();
        let progress = self.progress(now);
        match verdict {
            AcceptanceVerdict::NoUpstream
            | AcceptanceVerdict::FewResponses
            | AcceptanceVerdict::UnprovenRoute => return RolloutStage::Canary,
            AcceptanceVerdict::Accepted if progress >= SWITCH_FRACTION => {
                return RolloutStage::Switched;
            }
            AcceptanceVerdict::Accepted | AcceptanceVerdict::NoRoom => {}
        }
        let slowdown = total.compare_paces().slowdown();
        let is_as_quick = slowdown.is_none_or(|slowdown| slowdown <= MAX_SLOWDOWN);
        if progress >= CANARY_END_FRACTION && is_as_quick && acceptance::is_well_known(total) {
            RolloutStage::Shared
        } else {
            RolloutStage::Canary
        }
    }

    /// Returns the phase to record by the evidence of this moment. Recording the completion stops the
    /// old versions and can't be undone, so time alone never leads to it.
    fn due_phase(&self, now: MonotonicTime, total: &RolloutEvidence) -> RolloutPhase {
        let progress = self.progress(now);
        let may_complete = self.check(total).verdict() == AcceptanceVerdict::Accepted;
        let min_switched = self.order.time_limit.mul_f64(MIN_SWITCHED_FRACTION);
        let has_borne_load = self
            .switched_at
            .is_some_and(|at| now.since(at) >= min_switched);
        let is_last_chance = progress >= GIVE_UP_FRACTION;
        if progress >= COMPLETION_FRACTION && may_complete && (has_borne_load || is_last_chance) {
            RolloutPhase::Completed
        } else if is_last_chance && self.upstreams.old_available > 0 {
            RolloutPhase::RolledBack
        } else {
            // Without an upstream of another version there is nothing to go back to.
            RolloutPhase::Running
        }
    }

    fn check(&self, total: &RolloutEvidence) -> AcceptanceCheck {
        AcceptanceCheck::new(total, &self.upstreams, self.demand.requests())
    }

    /// Records the upstreams of both versions as they are registered now.
    fn record_upstreams(&mut self, now: MonotonicTime, upstreams: VersionUpstreams) {
        self.demand.record(now, upstreams.running);
        self.good_responses
            .retain(|key, _| upstreams.new_present.contains(key));
        let mut counts = BTreeMap::new();
        for (route, count) in self.good_responses.values().flatten() {
            *counts.entry(*route).or_default() += count;
        }
        self.own.evidence.set_good_present(&counts);
        self.upstreams = upstreams;
    }

    /// Advances to the current time. Returns the phase to write, if any is to be written.
    fn advance(&mut self, now: MonotonicTime, is_leader: bool) -> Option<RolloutPhase> {
        let mut due = self.phase;
        if self.phase == RolloutPhase::Running {
            let total = self.total();
            if self.is_rejected(now, &total) {
                self.own.rejected = true;
                self.rejected_at = Some(now);
                self.phase = RolloutPhase::RolledBack;
                self.written = false;
                due = self.phase;
            } else {
                let is_switched = self.stage(now, &total.evidence) == RolloutStage::Switched;
                self.switched_at = is_switched.then(|| self.switched_at.unwrap_or(now));
                due = self.due_phase(now, &total.evidence);
            }
        }
        let is_due = due != self.phase || !self.written;
        if !is_leader || !is_due || self.write_pending || now < self.next_write_at {
            return None;
        }
        self.write_pending = true;
        self.pending_phase = Some(due);
        Some(due)
    }

    fn age_ms(&self, now: MonotonicTime) -> u32 {
        u32::try_from(now.since(self.started_at).as_millis()).unwrap_or(u32::MAX)
    }

    fn progress(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.started_at).as_secs_f64();
        elapsed / self.order.time_limit.as_secs_f64().max(0.001)
    }
}

/// Returns whether a daemon that sent this much itself may send another request to the new version.
fn has_own_share(own: &RouteEvidence, share: f64, options: CanaryOptions) -> bool {
    let allowed = f64::from(own.dispatched) * share + options.head_start;
    f64::from(own.dispatched_new) + 1.0 <= allowed
}

/// State of all roll-outs by service.
#[derive(Debug, Clone, Default)]
pub struct RolloutTable {
    states: BTreeMap<ServiceLabel, RolloutState>,
}

fn digest(order: &RolloutOrder) -> u64 {
    name_digest(order.service.as_str()) ^ name_digest(order.target_version.as_str()).rotate_left(17)
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
        let own = VersionTally {
            rollout: digest(&order),
            age_ms: 0,
            evidence: RolloutEvidence::default(),
            rejected: false,
        };
        let position = current.map_or(StorePosition::default(), |state| state.position);
        let state = RolloutState {
            started_at: now,
            own,
            peers: BTreeMap::new(),
            upstreams: VersionUpstreams::default(),
            demand: DemandAverage::default(),
            good_responses: BTreeMap::new(),
            phase: RolloutPhase::Running,
            pending_phase: None,
            switched_at: None,
            rejected_at: None,
            position,
            written: false,
            write_pending: false,
            next_write_at: now,
            order,
        };
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
    pub fn record_response(&mut self, upstream: &UpstreamEntry, route: RouteDigest, bad: bool) {
        let Some(state) = self.states.get_mut(&upstream.service) else {
            return;
        };
        let evidence = state.own.evidence.route_mut(route);
        if state.order.target_version != upstream.version {
            evidence.old_responses += 1;
            evidence.old_bad += u32::from(bad);
            return;
        }
        evidence.new_responses += 1;
        evidence.new_bad += u32::from(bad);
        if !bad {
            evidence.new_good_present += 1;
            let key = (upstream.name.clone(), upstream.incarnation);
            let counts = state.good_responses.entry(key).or_default();
            *counts.entry(route).or_default() += 1;
        }
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
