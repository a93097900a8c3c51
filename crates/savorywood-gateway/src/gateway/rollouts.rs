//! Roll-outs: evidence of responses, decisions and their log.

use super::{
    Gateway, GatewayEffects,
    feedback::is_past_expected,
    record::{RequestState, RunningAttempt},
};
use crate::{
    arrival::LocalRequest,
    config::RouteSpec,
    effect::GatewayEffect,
    event::AttemptOutcome,
    label::{ServiceLabel, VersionLabel},
    peer::PeerTable,
    rollout::{RolloutWrite, RouteDigest, VersionUpstreams},
    upstream::UpstreamFleet,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;

/// Factor over the expected duration above which a response that is not a stream counts against its
/// version, and so does one that its caller has waited for in vain.
const SLOW_FACTOR: f64 = 3.0;
/// Margin, in milliseconds, that must be exceeded in addition to the factor.
const SLOW_MARGIN_MS: f64 = 200.0;
/// Events of a stream after which its pace is known. Those that are quick would otherwise count
/// before those that are not.
const PACE_EVENTS: u32 = 6;
/// Events that a shorter stream must have had at its end.
const MIN_PACE_EVENTS: u32 = 4;

/// Returns whether the time without data exceeds by far what is expected.
fn is_slow(millis: f64, expected_ms: f64) -> bool {
    millis > expected_ms * SLOW_FACTOR + SLOW_MARGIN_MS
}

/// Returns the upstreams of a service by version.
fn version_upstreams(
    now: MonotonicTime,
    fleet: &UpstreamFleet,
    peers: &PeerTable,
    service: &ServiceLabel,
    new_version: &VersionLabel,
) -> VersionUpstreams {
    let mut upstreams = VersionUpstreams::default();
    let service_latency = fleet.service_latency(service);
    for state in fleet.members(service) {
        let entry = &state.entry;
        let is_available = state.accepts_requests(now) && !state.unreachable;
        let slots = if is_available { entry.slots } else { 0 };
        upstreams.running += state.running + peers.slots_by_digest(state.digest).running;
        if entry.version == *new_version {
            let key = (entry.name.clone(), entry.incarnation);
            upstreams.new_present.insert(key);
            upstreams.new_available += u32::from(is_available);
            upstreams.new_slots += slots;
            continue;
        }
        upstreams.old_available += u32::from(is_available);
        upstreams.old_slots += slots;
        if state.latency.has_responses() {
            upstreams.add_old(state.latency.throughput(&service_latency));
        }
    }
    upstreams
}

impl Gateway {
    /// Decides on roll-outs, and writes their status if this daemon leads them.
    pub(super) fn advance_rollouts(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let (fleet, peers) = (&self.fleet, &self.peers);
        self.rollouts.record_upstreams(now, |service, version| {
            version_upstreams(now, fleet, peers, service, version)
        });
        self.leads_rollouts = self.is_leader(now);
        for write in self.rollouts.advance(now, self.leads_rollouts) {
            effects.push(GatewayEffect::Log(self.rollout_line(&write)));
            effects.push(GatewayEffect::WriteRollout(write));
        }
    }

    /// Records the pace of a stream that has had enough events.
    pub(super) fn record_running_pace(&mut self, request: LocalRequest) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let RequestState::Running(attempt) = &mut record.state else {
            return;
        };
        if attempt.events < PACE_EVENTS || attempt.pace_recorded {
            return;
        }
        attempt.pace_recorded = true;
        let attempt = attempt.clone();
        let route = RouteDigest::new(&record.route.name);
        self.record_pace_of(&attempt, route);
    }

    fn record_pace_of(&mut self, attempt: &RunningAttempt, route: RouteDigest) {
        let Some(state) = self.fleet.get(&attempt.upstream) else {
            return;
        };
        // An upstream that warms up is slow whatever its version.
        let was_warm = state.cold_until <= attempt.dispatched_at;
        if let Some(pace) = attempt.event_pace().filter(|_| was_warm) {
            self.rollouts.record_pace(state, route, pace);
        }
    }

    /// Records the outcome for the version that the upstream runs, while a roll-out is in progress.
    pub(super) fn record_rollout_result(
        &mut self,
        now: MonotonicTime,
        route: &RouteSpec,
        attempt: &RunningAttempt,
        outcome: &AttemptOutcome,
    ) {
        let stream = route.retry_safety.is_stream();
        let route = RouteDigest::new(&route.name);
        if stream && !attempt.pace_recorded && attempt.events >= MIN_PACE_EVENTS {
            self.record_pace_of(attempt, route);
        }
        let Some(state) = self.fleet.get(&attempt.upstream) else {
            return;
        };
        let entry = &state.entry;
        // An upstream that warms up is slow whatever its version.
        let was_warm = state.cold_until <= attempt.dispatched_at;
        let elapsed = now.since(attempt.dispatched_at);
        let is_late = || match attempt.last_event_at {
            None => is_slow(elapsed.as_secs_f64() * 1e3, attempt.expected_first_event_ms),
            Some(last_event_at) => {
                let service_latency = self.fleet.service_latency(&entry.service);
                let usual_ms = state.latency.longest_gap_ms(&service_latency);
                is_slow(now.since(last_event_at).as_secs_f64() * 1e3, usual_ms)
            }
        };
        let is_failure = match outcome {
            AttemptOutcome::Failed { .. }
            | AttemptOutcome::Broken { .. }
            | AttemptOutcome::StreamBroken(_) => true,
            AttemptOutcome::Expired if is_past_expected(now, attempt) => true,
            // What a caller gave up on after a moment says nothing about the version.
            AttemptOutcome::CallerDisconnected if was_warm && is_late() => true,
            AttemptOutcome::Delivered { .. } => {
                !stream && is_slow(elapsed.as_secs_f64() * 1e3, attempt.expected_first_event_ms)
            }
            AttemptOutcome::NotSent
            | AttemptOutcome::NotRelayed
            | AttemptOutcome::NotRun { .. }
            | AttemptOutcome::Expired
            | AttemptOutcome::CallerDisconnected => {
                return self.rollouts.record_unjudged(entry, route);
            }
        };
        if !stream && was_warm && matches!(outcome, AttemptOutcome::Delivered { .. }) {
            self.rollouts.record_pace(state, route, elapsed);
        }
        self.rollouts.record_response(state, route, is_failure);
    }

    /// Returns the log line of a step with the evidence on which it was decided.
    pub(super) fn rollout_line(&self, write: &RolloutWrite) -> LogLine {
        let line = LogLine::new(LogLevel::Info, "rollout-step")
            .with("service", &write.service)
            .with("to", &write.target_version)
            .with("state", write.phase);
        let evidence = self.rollouts.evidence(&write.service);
        let Some((evidence, check)) = evidence.zip(self.rollouts.check(&write.service)) else {
            return line;
        };
        let slowdown = evidence.compare_paces().slowdown().unwrap_or(1.0);
        let total = evidence.total();
        line.with("sent", total.dispatched)
            .with("sent_new", total.dispatched_new)
            .with("responses_new", total.new_responses)
            .with("bad_new", total.new_bad)
            .with("good_new", check.good_responses)
            .with("needed", check.needed_responses)
            .with("unproven_routes", check.unproven_routes)
            .with("unjudged_new", total.new_unjudged)
            .with("responses_old", total.old_responses)
            .with("bad_old", total.old_bad)
            .with("paces_new", total.new_paces.count())
            .with("paces_old", total.old_paces.count())
            .with("slowdown", format_args!("{slowdown:.2}"))
            .with("upstreams_new", check.upstreams)
            .with("slots_new", check.slots)
            .with("demand", format_args!("{:.1}", check.demand))
            .with("verdict", check.verdict())
    }
}
