//! Feedback from responses and ended attempts to the state of upstreams and versions.

use super::{
    Gateway, GatewayEffects,
    record::{EndedAttempt, RequestState, RunningAttempt},
};
use crate::{
    arrival::LocalRequest,
    effect::GatewayEffect,
    event::{AttemptOutcome, ResponseMetadata},
    label::{ServiceLabel, UpstreamLabel},
    latency::LatencyModel,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

/// Factor over the expected time to the first event above which a missing response counts against
/// its upstream.
const OVERDUE_FACTOR: f64 = 4.0;
/// Margin, in milliseconds, that must be exceeded in addition to the factor.
const OVERDUE_MARGIN_MS: f64 = 500.0;

/// Measurements of a complete response that update latency models.
struct CompletedResponse {
    /// Number of events; absent for a response that is not a stream.
    events: Option<u32>,
    /// Tokens that the caller expected.
    expected_output_tokens: u32,
    /// Longest gap between two events.
    max_event_gap: Duration,
    /// Time from the first event to the last.
    after_first_event: Duration,
    /// Time from dispatch to the end.
    total: Duration,
}

impl CompletedResponse {
    fn record_in(&self, latency: &mut LatencyModel) {
        match self.events {
            Some(events) => {
                latency.record_stream(
                    events,
                    self.expected_output_tokens,
                    self.after_first_event,
                    self.total,
                );
                latency.record_longest_gap(self.max_event_gap);
            }
            None => latency.record_response(self.total),
        }
    }
}

/// Returns whether the first event is so late that the upstream is at fault rather than the size of
/// the request.
pub(super) fn is_past_expected(now: MonotonicTime, attempt: &RunningAttempt) -> bool {
    let millis = now.since(attempt.dispatched_at).as_secs_f64() * 1e3;
    let exceeds_limit =
        millis > attempt.expected_first_event_ms * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
    attempt.first_event_at.is_none() && exceeds_limit
}

impl Gateway {
    pub(super) fn response_started(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        metadata: ResponseMetadata,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let RequestState::Running(attempt) = &mut record.state else {
            return;
        };
        let is_first = attempt.first_event_at.is_none();
        attempt.first_event_at.get_or_insert(now);
        attempt.record_events(now, 1);
        record.response_started |= record.route.retry_safety.is_stream();
        let elapsed = now.since(attempt.dispatched_at);
        let upstream = attempt.upstream.clone();
        let dispatched_at = attempt.dispatched_at;
        let number = attempt.number;
        self.fleet.record_received(now, &upstream);
        self.keep_attempt(request);
        self.record_pace(now, &upstream, metadata);
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        if is_first && let Some(state) = self.fleet.get_mut(&upstream) {
            state.unread_prompt_tokens = state
                .unread_prompt_tokens
                .saturating_sub(record.size.prompt_tokens);
        }
        if record.route.retry_safety.is_stream() {
            let prompt = record.size.prompt_tokens;
            let service = record.service.clone();
            let service_latency = self.fleet.service_latency(&service);
            let elapsed = self.remove_pace(now, &upstream, elapsed, |latency| {
                latency.first_event_ms(&service_latency, prompt)
            });
            self.fleet
                .service_latency_mut(&service)
                .record_first_event(prompt, elapsed);
            if let Some(state) = self.fleet.get_mut(&upstream) {
                state.latency.record_first_event(prompt, elapsed);
            }
        }
        self.record_acceptance(&upstream, number);
        self.record_response(now, &upstream, dispatched_at);
        self.record_limit(now, &upstream, dispatched_at, metadata.rate_limit, effects);
        self.apply_metadata(now, &upstream, metadata, 0);
    }

    /// Records further events of a stream.
    pub(super) fn response_progressed(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        events: u32,
    ) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        if let RequestState::Running(attempt) = &mut record.state {
            attempt.record_events(now, events);
            self.fleet.record_received(now, &attempt.upstream);
            self.keep_attempt(request);
            self.record_running_pace(request);
        }
    }

    /// Records the pace that a response reports, if the settings enable it.
    fn record_pace(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamLabel,
        metadata: ResponseMetadata,
    ) {
        let reading = metadata.load.and_then(|load| load.pace.reading());
        if self.options.overload.upstream_pace
            && let Some(reading) = reading
            && let Some(state) = self.fleet.get_mut(upstream)
        {
            state.pace.record(now, reading);
        }
    }

    /// Returns the time that a response would have taken at the upstream's usual pace, and compares
    /// it with the one that the latency model predicts.
    fn remove_pace(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamLabel,
        elapsed: Duration,
        predict_ms: impl FnOnce(&LatencyModel) -> f64,
    ) -> Duration {
        let Some(state) = self.fleet.get_mut(upstream) else {
            return elapsed;
        };
        let predicted_ms = predict_ms(&state.latency);
        let observed_ms = elapsed.as_secs_f64() * 1e3;
        state
            .pace
            .record_observation(now, observed_ms, predicted_ms);
        elapsed.div_f64(state.pace.factor(now, Duration::ZERO))
    }

    /// Applies the metadata of a response head. `ended` is the number of requests that the reported
    /// load includes although they have ended here.
    fn apply_metadata(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamLabel,
        metadata: ResponseMetadata,
        ended: u32,
    ) {
        let Some(state) = self.fleet.get_mut(upstream) else {
            return;
        };
        if let Some(load) = metadata.load {
            let slots = state.entry.slots;
            state
                .reservation
                .report
                .record(now, load, state.running + ended, slots);
        }
        if let Some(cold_for) = metadata.cold_for {
            state.extend_cold(now + cold_for);
        }
    }

    /// Frees the slot and updates latency models, outlier state and roll-outs from the outcome.
    pub(super) fn release_slot(
        &mut self,
        now: MonotonicTime,
        ended: EndedAttempt<'_>,
        effects: &mut GatewayEffects,
    ) {
        let EndedAttempt {
            request,
            attempt,
            outcome,
        } = ended;
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let service = record.service.clone();
        let route = Arc::clone(&record.route);
        let stream = route.retry_safety.is_stream();
        if let Some(state) = self.fleet.get_mut(&attempt.upstream) {
            state.memory.record_end(record.size);
        }
        if attempt.first_event_at.is_none()
            && let Some(state) = self.fleet.get_mut(&attempt.upstream)
        {
            state.unread_prompt_tokens = state
                .unread_prompt_tokens
                .saturating_sub(record.size.prompt_tokens);
        }
        let expected_output_tokens = record.expected_output_tokens;
        if outcome.has_response() {
            self.fleet.record_received(now, &attempt.upstream);
            self.record_response(now, &attempt.upstream, attempt.dispatched_at);
        }
        // Metadata of a stream's head was applied at its beginning and is outdated at its end.
        let metadata_applied = attempt.first_event_at.is_some();
        if let Some(metadata) = outcome.metadata().filter(|_| !metadata_applied) {
            self.record_pace(now, &attempt.upstream, metadata);
        }
        if let AttemptOutcome::Delivered { events, .. } = outcome {
            let mut total = now.since(attempt.dispatched_at);
            if !stream {
                let service_latency = self.fleet.service_latency(&service);
                total = self.remove_pace(now, &attempt.upstream, total, |latency| {
                    latency.response_ms(&service_latency)
                });
            }
            let response = CompletedResponse {
                events: stream.then_some(*events),
                expected_output_tokens,
                max_event_gap: attempt.max_event_gap,
                after_first_event: now.since(attempt.first_event_at.unwrap_or(now)),
                total,
            };
            self.record_latency(&service, &attempt.upstream, &response);
        }
        self.update_outlier_state(now, &service, attempt, outcome, effects);
        self.record_rollout_result(now, &route, attempt, outcome);
        if let Some(metadata) = outcome.metadata().filter(|_| !metadata_applied) {
            let dispatched_at = attempt.dispatched_at;
            self.record_limit(
                now,
                &attempt.upstream,
                dispatched_at,
                metadata.rate_limit,
                effects,
            );
            let executed = !matches!(outcome, AttemptOutcome::NotRun { .. });
            self.apply_metadata(now, &attempt.upstream, metadata, u32::from(executed));
        }
    }

    fn record_latency(
        &mut self,
        service: &ServiceLabel,
        upstream: &UpstreamLabel,
        response: &CompletedResponse,
    ) {
        response.record_in(self.fleet.service_latency_mut(service));
        if let Some(state) = self.fleet.get_mut(upstream) {
            response.record_in(&mut state.latency);
        }
    }

    /// Ejects the upstream after failures, or ends its ejection after a success.
    fn update_outlier_state(
        &mut self,
        now: MonotonicTime,
        service: &ServiceLabel,
        attempt: &RunningAttempt,
        outcome: &AttemptOutcome,
        effects: &mut GatewayEffects,
    ) {
        // Only failures that the upstream reports itself are compared with the rate of the service.
        let is_failure = matches!(outcome, AttemptOutcome::Failed { .. });
        let service_failure_ratio =
            is_failure.then(|| self.fleet.median_failure_ratio(now, service));
        let overdue = is_past_expected(now, attempt);
        let Some(state) = self.fleet.get_mut(&attempt.upstream) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        if !matches!(outcome, AttemptOutcome::NotRun { .. }) {
            state.reservation.released_at = Some(now);
        }
        // A single response may be lost while others continue; an upstream that sends no data at
        // all is ejected at once.
        let no_data_since =
            state.last_received_at <= attempt.last_event_at.unwrap_or(attempt.dispatched_at);
        let outlier = &mut state.outlier;
        let mut has_recovered = false;
        // During a partition, failures of direct attempts are those of this daemon's own links.
        let is_own_failure =
            self.reachability.is_partitioned() && !attempt.relayed && !outcome.has_response();
        let ejected = match outcome {
            _ if is_own_failure => {
                outlier.cancel_probe();
                false
            }
            AttemptOutcome::NotSent => outlier.record_connection_failure(now, false),
            AttemptOutcome::Failed { .. } => {
                outlier.record_failure(now, service_failure_ratio.unwrap_or_default())
            }
            AttemptOutcome::Broken { stalled } => {
                outlier.record_connection_failure(now, *stalled && no_data_since)
            }
            AttemptOutcome::StreamBroken(end) => {
                outlier.record_connection_failure(now, end.stalled && no_data_since)
            }
            AttemptOutcome::Expired if overdue => outlier.record_connection_failure(now, false),
            AttemptOutcome::Delivered { .. } => {
                has_recovered = outlier.record_success(now);
                false
            }
            AttemptOutcome::NotRun { .. }
            | AttemptOutcome::NotRelayed
            | AttemptOutcome::Expired
            | AttemptOutcome::CallerDisconnected => {
                outlier.cancel_probe();
                false
            }
        };
        if let AttemptOutcome::NotRun {
            misdirected: true, ..
        } = outcome
        {
            state.removed_at = Some(now);
        }
        let is_unreachable = match outcome {
            AttemptOutcome::NotSent => true,
            AttemptOutcome::Broken { stalled } => *stalled && no_data_since,
            AttemptOutcome::StreamBroken(end) => end.stalled && no_data_since,
            _ => false,
        };
        state.unreachable |= ejected && is_unreachable;
        if has_recovered {
            self.fleet.record_recovery(now, &attempt.upstream);
            let line =
                LogLine::new(LogLevel::Info, "upstream-back").with("upstream", &attempt.upstream);
            effects.push(GatewayEffect::Log(line));
        }
        if ejected {
            let states = self.fleet.iter();
            let suspected = states.filter(|state| state.outlier.is_ejected()).count();
            let mut line = LogLine::new(LogLevel::Warn, "upstream-suspected")
                .with("upstream", &attempt.upstream)
                .with("service", service)
                .with("cause", outcome.name())
                .with("suspected", suspected)
                .with("upstreams", self.fleet.iter().count());
            if let Some(service_failure_ratio) = service_failure_ratio {
                line = line.with("usual_failures", format_args!("{service_failure_ratio:.2}"));
            }
            effects.push(GatewayEffect::Log(line));
        }
    }
}
