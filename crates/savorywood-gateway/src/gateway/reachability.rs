//! Checks whether upstreams can be reached, and the consequences of a partition.

use super::{
    Gateway, GatewayEffects,
    record::{RequestState, RunningAttempt},
};
use crate::{
    effect::GatewayEffect,
    event::AttemptOutcome,
    label::UpstreamLabel,
    reachability::{CheckCause, ReachabilityChange, UPSTREAMS_TO_CHECK},
    upstream::UpstreamState,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

/// Upstreams to which a check opens connections.
const CHECK_TARGETS: usize = 3;
/// Time without data from any upstream after which a silence is checked.
const MIN_SILENCE: Duration = Duration::from_millis(300);
/// Factor over the expected time to the first event, above which its absence is a silence.
const SILENCE_FACTOR: f64 = 2.0;
/// Ejections of the last seconds before a partition was noticed are its effect.
const FORGIVEN_EJECTION_AGE: Duration = Duration::from_secs(3);

impl Gateway {
    /// Returns whether this daemon can't reach any upstream over its own links.
    #[must_use]
    pub fn is_partitioned(&self) -> bool {
        self.reachability.is_partitioned()
    }

    /// Starts a check if the outcome of a direct attempt adds to the evidence for a partition.
    pub(super) fn record_reachability(
        &mut self,
        now: MonotonicTime,
        attempt: &RunningAttempt,
        outcome: &AttemptOutcome,
        effects: &mut GatewayEffects,
    ) {
        let has_failed = matches!(
            outcome,
            AttemptOutcome::NotSent
                | AttemptOutcome::Broken { .. }
                | AttemptOutcome::StreamBroken(_)
        );
        if has_failed && !attempt.relayed {
            self.connection_failed(now, &attempt.upstream, effects);
        }
    }

    /// Records a connection to an upstream, of this daemon's own or for a peer, that failed.
    pub(super) fn connection_failed(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamLabel,
        effects: &mut GatewayEffects,
    ) {
        let known = self.fleet.iter().count();
        if self.reachability.record_failure(now, upstream, known) {
            self.check_reachability(now, CheckCause::Failures, effects);
        }
    }

    /// Starts the checks that are due: during a partition, and while all upstreams are silent.
    pub(super) fn check_upstreams(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        if self.is_partitioned() {
            self.check_reachability(now, CheckCause::Recovery, effects);
        } else if self.are_upstreams_silent(now) {
            self.check_reachability(now, CheckCause::Silence, effects);
        }
    }

    /// Returns whether direct attempts at several upstreams wait for data that is overdue while no
    /// upstream sends any.
    fn are_upstreams_silent(&self, now: MonotonicTime) -> bool {
        let records = self.requests.values();
        let attempts = records.filter_map(|record| match &record.state {
            RequestState::Running(attempt) => Some(attempt),
            RequestState::Waiting(_) => None,
        });
        let overdue = attempts.filter(|attempt| self.is_silent(now, attempt));
        let overdue: BTreeSet<&UpstreamLabel> = overdue.map(|attempt| &attempt.upstream).collect();
        if overdue.is_empty() {
            return false;
        }
        let has_data = |state: &UpstreamState| now.since(state.last_received_at) < MIN_SILENCE;
        let known = self.fleet.iter().count();
        overdue.len() >= UPSTREAMS_TO_CHECK.min(known) && !self.fleet.iter().any(has_data)
    }

    fn is_silent(&self, now: MonotonicTime, attempt: &RunningAttempt) -> bool {
        let last = attempt.last_event_at.unwrap_or(attempt.dispatched_at);
        let expected = if attempt.first_event_at.is_none() {
            Duration::from_secs_f64(attempt.expected_first_event_ms * SILENCE_FACTOR / 1e3)
        } else {
            attempt.max_event_gap.mul_f64(SILENCE_FACTOR)
        };
        !attempt.relayed && now.since(last.max(self.last_wake_at)) > expected.max(MIN_SILENCE)
    }

    fn check_reachability(
        &mut self,
        now: MonotonicTime,
        cause: CheckCause,
        effects: &mut GatewayEffects,
    ) {
        if !self.reachability.try_start_check(now, cause) {
            return;
        }
        let targets = self.check_targets(now);
        if targets.is_empty() {
            return;
        }
        let line = LogLine::new(LogLevel::Debug, "upstream-check-started")
            .with("cause", cause)
            .with("targets", targets.len());
        effects.push(GatewayEffect::Log(line));
        effects.push(GatewayEffect::CheckUpstreams(targets));
    }

    /// Returns the addresses of a few upstreams to check, others each time. Those that are not
    /// suspected come first, and those of different services and zones, so that the failure of one
    /// service or zone is no partition.
    fn check_targets(&mut self, now: MonotonicTime) -> Vec<SocketAddr> {
        let offset = self.random.next();
        let states = self.fleet.iter();
        let mut states: Vec<&UpstreamState> =
            states.filter(|state| state.accepts_requests(now)).collect();
        if states.is_empty() {
            return Vec::new();
        }
        let rotation = (offset * states.len() as f64) as usize % states.len();
        states.rotate_left(rotation);
        states.sort_by_key(|state| (state.unreachable, state.outlier.is_ejected()));
        let mut services = BTreeSet::new();
        let mut zones = BTreeSet::new();
        let (mut first, rest): (Vec<&UpstreamState>, Vec<&UpstreamState>) =
            states.into_iter().partition(|state| {
                let is_new_service = services.insert(&state.entry.service);
                let is_new_zone = zones.insert(&state.entry.zone);
                is_new_service || is_new_zone
            });
        first.extend(rest);
        let targets = first.into_iter().take(CHECK_TARGETS);
        targets.map(|state| state.entry.address).collect()
    }

    /// Applies the result of a check.
    pub(super) fn upstreams_checked(
        &mut self,
        now: MonotonicTime,
        reached: usize,
        effects: &mut GatewayEffects,
    ) {
        match self.reachability.finish_check(now, reached) {
            None => {}
            Some(ReachabilityChange::Partitioned) => self.enter_partition(now, effects),
            Some(ReachabilityChange::Recovered(length)) => {
                let line = LogLine::new(LogLevel::Info, "upstreams-regained")
                    .with("reached", reached)
                    .with("after_ms", length.as_millis());
                effects.push(GatewayEffect::Log(line));
            }
        }
        self.dispatch_all_waiting(now, effects);
    }

    fn enter_partition(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let mut forgiven = 0;
        for state in self.fleet.iter_mut() {
            if state.outlier.forgive_ejection(now, FORGIVEN_EJECTION_AGE) {
                state.unreachable = false;
                forgiven += 1;
            }
        }
        let line = LogLine::new(LogLevel::Warn, "upstreams-lost")
            .with("forgiven", forgiven)
            .with("waiting", self.waiting_requests())
            .with("running", self.running_requests())
            .with("relays", self.relay_count(now));
        effects.push(GatewayEffect::Log(line));
        effects.push(GatewayEffect::CloseIdleConnections);
    }
}
