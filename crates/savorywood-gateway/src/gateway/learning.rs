//! What answers and attempts that ended say of upstreams and versions.

use super::{
    Gateway, GatewayEffects,
    record::{RequestPlace, RunningAttempt},
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
use std::time::Duration;

/// A plain answer that took this many times what was expected speaks against a version.
const SLOW_FACTOR: f64 = 3.0;
/// And so many milliseconds more.
const SLOW_MARGIN_MS: f64 = 200.0;
/// An upstream from which nothing came in this many times what was expected is at fault.
const OVERDUE_FACTOR: f64 = 4.0;
/// And in so many milliseconds more.
const OVERDUE_MARGIN_MS: f64 = 500.0;

/// A whole answer, as far as speed can be learned from it.
struct SeenAnswer {
    /// Events, if it was a stream.
    events: Option<u32>,
    /// Tokens that the caller expected.
    output: u32,
    /// Longest pause between its events.
    longest_pause: Duration,
    /// Time from its first event to its last.
    after_first: Duration,
    /// Time from the sending to its end.
    whole: Duration,
}

impl SeenAnswer {
    fn teach(&self, pace: &mut LatencyModel) {
        match self.events {
            Some(events) => {
                pace.record_stream(events, self.output, self.after_first, self.whole);
                pace.record_longest_gap(self.longest_pause);
            }
            None => pace.record_response(self.whole),
        }
    }
}

/// Nothing came for so long that the upstream is at fault, not the size of the request.
fn is_overdue(now: MonotonicTime, attempt: &RunningAttempt) -> bool {
    let millis = now.since(attempt.sent_at).as_secs_f64() * 1e3;
    let late = millis > attempt.expected_ms * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
    attempt.began_at.is_none() && late
}

impl Gateway {
    pub(super) fn answer_began(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        marks: ResponseMetadata,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let RequestPlace::Running(attempt) = &mut record.place else {
            return;
        };
        let is_first = attempt.began_at.is_none();
        attempt.began_at.get_or_insert(now);
        attempt.moved(now, 1);
        record.has_begun |= record.route.retry_safety.is_stream();
        let elapsed = now.since(attempt.sent_at);
        let upstream = attempt.upstream.clone();
        self.fleet.record_received(now, &upstream);
        let sent_at = attempt.sent_at;
        if is_first && let Some(state) = self.fleet.get_mut(&upstream) {
            state.unread_prompt_tokens = state
                .unread_prompt_tokens
                .saturating_sub(record.size.prompt_tokens);
        }
        if record.route.retry_safety.is_stream() {
            let prompt = record.size.prompt_tokens;
            self.fleet
                .service_latency_mut(&record.service)
                .record_first_event(prompt, elapsed);
            if let Some(state) = self.fleet.get_mut(&upstream) {
                state.latency.record_first_event(prompt, elapsed);
            }
        }
        self.note_alive(now, &upstream, sent_at);
        self.note_limit(now, &upstream, sent_at, marks.rate_limit, effects);
        self.mark(now, &upstream, marks);
    }

    /// More events of a stream came.
    pub(super) fn answer_moved(&mut self, now: MonotonicTime, request: LocalRequest, events: u32) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        if let RequestPlace::Running(attempt) = &mut record.place {
            attempt.moved(now, events);
            self.fleet.record_received(now, &attempt.upstream);
        }
    }

    fn mark(&mut self, now: MonotonicTime, upstream: &UpstreamLabel, marks: ResponseMetadata) {
        let Some(state) = self.fleet.get_mut(upstream) else {
            return;
        };
        if let Some(cold) = marks.cold_for {
            state.extend_cold(now + cold);
        }
    }

    /// Frees the place and learns from the outcome.
    pub(super) fn release(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        attempt: &RunningAttempt,
        outcome: &AttemptOutcome,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let service = record.service.clone();
        let stream = record.route.retry_safety.is_stream();
        if attempt.began_at.is_none()
            && let Some(state) = self.fleet.get_mut(&attempt.upstream)
        {
            state.unread_prompt_tokens = state
                .unread_prompt_tokens
                .saturating_sub(record.size.prompt_tokens);
        }
        let output = record.output;
        if outcome.was_received() {
            self.fleet.record_received(now, &attempt.upstream);
            self.note_alive(now, &attempt.upstream, attempt.sent_at);
        }
        if let AttemptOutcome::Delivered { events, .. } = outcome {
            let seen = SeenAnswer {
                events: stream.then_some(*events),
                output,
                longest_pause: attempt.longest_pause,
                after_first: now.since(attempt.began_at.unwrap_or(now)),
                whole: now.since(attempt.sent_at),
            };
            self.learn_pace(&service, &attempt.upstream, &seen);
        }
        self.judge_upstream(now, &service, attempt, outcome, effects);
        self.judge_version(now, &service, attempt, outcome, stream);
        // The head of a stream was read at its beginning, and says nothing newer at its end.
        let is_read = attempt.began_at.is_some();
        match outcome {
            AttemptOutcome::NotRun { metadata, .. }
            | AttemptOutcome::Failed { metadata }
            | AttemptOutcome::Delivered { metadata, .. }
                if !is_read =>
            {
                let sent_at = attempt.sent_at;
                self.note_limit(
                    now,
                    &attempt.upstream,
                    sent_at,
                    metadata.rate_limit,
                    effects,
                );
                self.mark(now, &attempt.upstream, *metadata);
            }
            _ => {}
        }
    }

    fn learn_pace(&mut self, service: &ServiceLabel, upstream: &UpstreamLabel, seen: &SeenAnswer) {
        seen.teach(self.fleet.service_latency_mut(service));
        if let Some(state) = self.fleet.get_mut(upstream) {
            seen.teach(&mut state.latency);
        }
    }

    /// Whether the upstream is left out, or in again.
    fn judge_upstream(
        &mut self,
        now: MonotonicTime,
        service: &ServiceLabel,
        attempt: &RunningAttempt,
        outcome: &AttemptOutcome,
        effects: &mut GatewayEffects,
    ) {
        // Only failures of its own are compared with those of the whole service.
        let is_failure = matches!(outcome, AttemptOutcome::Failed { .. });
        let usual = is_failure.then(|| self.fleet.median_failure_ratio(now, service));
        let overdue = is_overdue(now, attempt);
        let Some(state) = self.fleet.get_mut(&attempt.upstream) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        // One answer may be lost where others go on; an upstream that says nothing is out at once.
        let dark = state.last_received_at <= attempt.moved_at.unwrap_or(attempt.sent_at);
        let outlier = &mut state.outlier;
        let mut is_back = false;
        let taken_out = match outcome {
            AttemptOutcome::NotSent => outlier.record_connection_failure(now, false),
            AttemptOutcome::Failed { .. } => outlier.record_failure(now, usual.unwrap_or_default()),
            AttemptOutcome::Broken { stalled } => {
                outlier.record_connection_failure(now, *stalled && dark)
            }
            AttemptOutcome::StreamBroken(end) => {
                outlier.record_connection_failure(now, end.stalled && dark)
            }
            AttemptOutcome::Expired if overdue => outlier.record_connection_failure(now, false),
            AttemptOutcome::Delivered { .. } => {
                is_back = outlier.record_success(now);
                false
            }
            AttemptOutcome::NotRun { .. }
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
        let loses = match outcome {
            AttemptOutcome::NotSent => true,
            AttemptOutcome::Broken { stalled } => *stalled && dark,
            AttemptOutcome::StreamBroken(end) => end.stalled && dark,
            _ => false,
        };
        state.unreachable |= taken_out && loses;
        if is_back {
            self.fleet.record_recovery(now, &attempt.upstream);
            let line =
                LogLine::new(LogLevel::Info, "upstream-back").with("upstream", &attempt.upstream);
            effects.push(GatewayEffect::Log(line));
        }
        if taken_out {
            let mut line = LogLine::new(LogLevel::Warn, "upstream-suspected")
                .with("upstream", &attempt.upstream)
                .with("service", service)
                .with("cause", outcome.name());
            if let Some(usual) = usual {
                line = line.with("usual_failures", format_args!("{usual:.2}"));
            }
            effects.push(GatewayEffect::Log(line));
        }
    }

    /// What the outcome says of the version that the upstream runs, while a roll-out is under way.
    fn judge_version(
        &mut self,
        now: MonotonicTime,
        service: &ServiceLabel,
        attempt: &RunningAttempt,
        outcome: &AttemptOutcome,
        stream: bool,
    ) {
        let bad = match outcome {
            AttemptOutcome::Failed { .. }
            | AttemptOutcome::Broken { .. }
            | AttemptOutcome::StreamBroken(_) => true,
            AttemptOutcome::Expired if is_overdue(now, attempt) => true,
            AttemptOutcome::Delivered { .. } => {
                let millis = now.since(attempt.sent_at).as_secs_f64() * 1e3;
                !stream && millis > attempt.expected_ms * SLOW_FACTOR + SLOW_MARGIN_MS
            }
            AttemptOutcome::NotSent
            | AttemptOutcome::NotRun { .. }
            | AttemptOutcome::Expired
            | AttemptOutcome::CallerDisconnected => return,
        };
        if let Some(state) = self.fleet.get(&attempt.upstream) {
            self.rollouts
                .record_response(service, &state.entry.version, bad);
        }
    }
}
