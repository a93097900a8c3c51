//! State of the roll-out of one service, and the decisions on it.

use super::{
    AcceptanceCheck, PaceComparison, RolloutEvidence, RolloutOrder, RolloutPhase, RolloutStage,
    RouteDigest, RouteEvidence,
    acceptance::{self, AcceptanceVerdict},
    upstreams::{DemandAverage, UpstreamKey, VersionUpstreams},
};
use crate::{message::VersionTally, peer::name_digest, position::StorePosition};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

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

/// State of the roll-out of one service.
#[derive(Debug, Clone)]
pub struct RolloutState {
    pub(super) order: RolloutOrder,
    pub(super) started_at: MonotonicTime,
    pub(super) own: VersionTally,
    pub(super) peers: BTreeMap<u64, VersionTally>,
    pub(super) upstreams: VersionUpstreams,
    /// Requests of the service in progress at all daemons, on average.
    pub(super) demand: DemandAverage,
    /// Good responses by upstream of the new version; those of upstreams that are gone do not speak for
    /// it any more.
    pub(super) good_responses: BTreeMap<UpstreamKey, BTreeMap<RouteDigest, u32>>,
    pub(super) phase: RolloutPhase,
    /// Final phase that a write in progress records.
    pub(super) pending_phase: Option<RolloutPhase>,
    /// Time since which the version receives all requests.
    pub(super) switched_at: Option<MonotonicTime>,
    /// Time at which this daemon rejected the version.
    pub(super) rejected_at: Option<MonotonicTime>,
    /// Position of the status row.
    pub(super) position: StorePosition,
    pub(super) written: bool,
    pub(super) write_pending: bool,
    pub(super) next_write_at: MonotonicTime,
}

fn digest(order: &RolloutOrder) -> u64 {
    name_digest(order.service.as_str()) ^ name_digest(order.target_version.as_str()).rotate_left(17)
}

impl RolloutState {
    /// Returns the state at the receipt of an order. `position` is that of the status row.
    pub fn new(now: MonotonicTime, order: RolloutOrder, position: StorePosition) -> Self {
        let own = VersionTally {
            rollout: digest(&order),
            age_ms: 0,
            evidence: RolloutEvidence::default(),
            rejected: false,
        };
        Self {
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
        }
    }

    /// Returns the tally over all daemons.
    pub fn total(&self) -> VersionTally {
        self.sum(|_| true)
    }

    /// Returns the sum of the tallies of this daemon and of the peers that `includes` accepts.
    pub fn sum(&self, includes: impl Fn(u64) -> bool) -> VersionTally {
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
    pub fn is_same_after_restore(&self, order: &RolloutOrder) -> bool {
        let current = &self.order;
        current.position.era < order.position.era
            && current.target_version == order.target_version
            && current.time_limit == order.time_limit
    }

    /// Returns whether peers are told this daemon's tally. They are told of a rejection until they
    /// have had the time to read it in the store.
    pub fn is_reported(&self, now: MonotonicTime) -> bool {
        let is_recent = |at: MonotonicTime| now.since(at) < REJECTION_REPORT_PERIOD;
        let is_read = self.written && !self.rejected_at.is_some_and(is_recent);
        self.phase == RolloutPhase::Running || (self.own.rejected && !is_read)
    }

    /// Returns whether the next request on a route may go to the new version in the canary phase.
    ///
    /// The tallies of other daemons are older than a round of gossip. Each daemon therefore keeps to a
    /// share of its own requests, too: all of them together would otherwise send their first ones to
    /// the first upstream of the new version at once, and take its queue for the version's fault.
    pub fn allows_canary(
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
    pub fn is_rejected(&self, now: MonotonicTime, total: &VersionTally) -> bool {
        let max_slowdown = if self.progress(now) < SWITCH_FRACTION {
            MAX_SLOWDOWN
        } else {
            MAX_LOADED_SLOWDOWN
        };
        total.rejected
            || acceptance::is_significantly_worse(&total.evidence, &self.upstreams)
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
    pub fn stage(&self, now: MonotonicTime, total: &RolloutEvidence) -> RolloutStage {
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

    /// Returns what speaks for accepting the version now.
    pub fn check(&self, total: &RolloutEvidence) -> AcceptanceCheck {
        AcceptanceCheck::new(total, &self.upstreams, self.demand.requests())
    }

    /// Records the upstreams of both versions as they are registered now.
    pub fn record_upstreams(&mut self, now: MonotonicTime, upstreams: VersionUpstreams) {
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
    pub fn advance(&mut self, now: MonotonicTime, is_leader: bool) -> Option<RolloutPhase> {
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

    /// Returns the time since the order, in milliseconds.
    pub fn age_ms(&self, now: MonotonicTime) -> u32 {
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
