//! Attempts whose upstream has fallen silent, and what becomes of them.

use super::{
    Gateway, GatewayEffects,
    record::{RequestRecord, RequestState, RunningAttempt},
};
use crate::{arrival::LocalRequest, effect::GatewayEffect, upstream::UpstreamState};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;
use strum::Display;

/// Silence before the first event that is out of the ordinary, against what was expected.
const FIRST_EVENT_FACTOR: f64 = 4.0;
/// The same against the route's objective.
const OBJECTIVE_FRACTION: f64 = 0.6;
/// Silence of all that runs at an upstream that is out of the ordinary, against the longest
/// pauses that are usual there.
const EVENT_GAP_FACTOR: f64 = 2.0;
/// The same for one stream while others there go on: its connection may be dead.
const SINGLE_STREAM_FACTOR: f64 = 4.0;
/// The same against the time in which its unread prompts are expected to be read.
const PREFILL_FACTOR: f64 = 2.0;
/// Longest time by which unread prompts excuse a silence: callers leave a little later.
const MAX_PREFILL_ALLOWANCE: Duration = Duration::from_secs(1);
/// Least silence that says anything.
const MIN_STALL: Duration = Duration::from_millis(400);
/// Least silence of one stream while others there go on.
const MIN_SINGLE_STREAM_STALL: Duration = Duration::from_millis(1_000);
/// An upstream counts as seen for this long.
const UPSTREAM_SEEN_WINDOW: Duration = Duration::from_millis(300);
/// A process that handled no event for this long has slept.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(250);

/// What is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum StallKind {
    /// Nothing of this request has come yet.
    First,
    /// All that runs at the upstream.
    Upstream,
    /// This stream alone.
    Stream,
}

impl Gateway {
    /// Moves requests away from silent upstreams.
    ///
    /// An upstream that lost its power or its way here says nothing: its callers would wait until
    /// they leave. But one that reads a long prompt is silent as well, and an answer that is taken
    /// from it comes to nothing if no other has room. So an attempt is ended only where the next
    /// one is sure: another upstream has a place for it and a try is left.
    pub(super) fn detect_stalls(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let before = self.stalls_checked_at.replace(now);
        if before.is_none_or(|before| now.since(before) > SUSPEND_THRESHOLD) {
            // What came while this process slept has not been read yet.
            self.last_wake_at = now;
        }
        for (request, kind) in self.stalled_requests(now) {
            self.abandon_stalled(now, request, kind, effects);
        }
    }

    fn stalled_requests(&self, now: MonotonicTime) -> Vec<(LocalRequest, StallKind)> {
        let mut silent = Vec::new();
        for (request, record) in &self.requests {
            let RequestState::Running(attempt) = &record.state else {
                continue;
            };
            if !record.allows_concurrent_execution() || attempt.abandoned {
                continue;
            }
            let Some(state) = self.fleet.get(&attempt.upstream) else {
                continue;
            };
            let kind = self.stall_kind(now, record, attempt, state);
            silent.extend(kind.map(|kind| (*request, kind)));
        }
        silent
    }

    fn stall_kind(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        attempt: &RunningAttempt,
        state: &UpstreamState,
    ) -> Option<StallKind> {
        let received_at = attempt.last_event_at.unwrap_or(attempt.dispatched_at);
        let own = now.since(received_at.max(self.last_wake_at));
        if attempt.first_event_at.is_none() {
            let expected =
                Duration::from_secs_f64(attempt.expected_first_event_ms * FIRST_EVENT_FACTOR / 1e3);
            let objective = record.route.objective.mul_f64(OBJECTIVE_FRACTION);
            let mut most = expected.max(objective).max(MIN_STALL);
            let others_go_on = state.last_received_at > received_at;
            if record.route.retry_safety.is_stream() && others_go_on {
                // It reads the prompts that came before this one.
                most = most.max(record.route.objective);
            }
            return (own > most).then_some(StallKind::First);
        }
        let usual = self.fleet.service_latency(&record.service);
        let pause = Duration::from_secs_f64(state.latency.pause_ms(&usual) / 1e3);
        let reading = self.prefill_allowance(record, state);
        let whole = now.since(
            state
                .last_received_at
                .max(received_at)
                .max(self.last_wake_at),
        );
        if whole > pause.mul_f64(EVENT_GAP_FACTOR).max(MIN_STALL) + reading
            && self.receives_from_others(now, record, state)
        {
            return Some(StallKind::Upstream);
        }
        let most = pause
            .mul_f64(SINGLE_STREAM_FACTOR)
            .max(MIN_SINGLE_STREAM_STALL)
            + reading;
        (own > most).then_some(StallKind::Stream)
    }

    /// Time for which an upstream may be silent because it reads the prompts that are still to be
    /// read there.
    fn prefill_allowance(&self, record: &RequestRecord, state: &UpstreamState) -> Duration {
        let unread = state.unread_tokens
            + self
                .peers
                .slots_by_digest(state.digest)
                .unread_prompt_tokens;
        if unread == 0 {
            return Duration::ZERO;
        }
        let usual = self.fleet.service_latency(&record.service);
        let millis = state.latency.first_event_ms(&usual, unread) * PREFILL_FACTOR;
        Duration::from_secs_f64(millis / 1e3).min(MAX_PREFILL_ALLOWANCE)
    }

    /// A daemon that has lost its own way receives nothing: that is no evidence against an upstream.
    fn receives_from_others(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        silent: &UpstreamState,
    ) -> bool {
        let mut members = self.fleet.members(&record.service);
        members.any(|state| {
            state.entry.name != silent.entry.name
                && now.since(state.last_received_at) < UPSTREAM_SEEN_WINDOW
        })
    }

    fn abandon_stalled(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        kind: StallKind,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let RequestState::Running(attempt) = record.state.clone() else {
            return;
        };
        let mut tried = record.attempted_upstreams.clone();
        tried.push(attempt.upstream.clone());
        if self.pick_excluding(now, record, &tried).is_err() || !self.spend_retry(now, request) {
            return;
        }
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        record.has_reserved_retry = true;
        if let RequestState::Running(attempt) = &mut record.state {
            attempt.abandoned = true;
        }
        let silent = now.since(attempt.last_event_at.unwrap_or(attempt.dispatched_at));
        let line = LogLine::new(LogLevel::Info, "attempt-abandoned")
            .with("request", &record.request_id)
            .with("upstream", &attempt.upstream)
            .with("silent", kind)
            .with("silent_ms", silent.as_millis())
            .with("events", attempt.events)
            .with(
                "expected_ms",
                format_args!("{:.0}", attempt.expected_first_event_ms),
            );
        effects.push(GatewayEffect::Log(line));
        effects.push(GatewayEffect::AbandonAttempt { request });
    }
}
