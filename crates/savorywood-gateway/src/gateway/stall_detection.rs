//! Detection of stalled attempts, and their retry at another upstream.

use super::{
    Gateway, GatewayEffects,
    record::{RequestRecord, RequestState, RunningAttempt},
};
use crate::{arrival::LocalRequest, effect::GatewayEffect, upstream::UpstreamState};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;
use strum::Display;

/// Factor over the expected time to the first event above which the first event is overdue.
const FIRST_EVENT_FACTOR: f64 = 4.0;
/// Fraction of the route's objective within which the first event is not overdue.
const OBJECTIVE_FRACTION: f64 = 0.6;
/// Factor over the upstream's usual longest event gap above which all its requests together count
/// as stalled.
const EVENT_GAP_FACTOR: f64 = 2.0;
/// The same factor for a single stream while others there continue: its connection may be dead.
const SINGLE_STREAM_FACTOR: f64 = 4.0;
/// Factor over the expected time to read the unread prompt tokens, for the allowance that they
/// give.
const PREFILL_FACTOR: f64 = 2.0;
/// Maximum time by which unread prompt tokens extend the thresholds: callers give up a little
/// later.
const MAX_PREFILL_ALLOWANCE: Duration = Duration::from_secs(1);
/// Minimum time without data that counts as a stall.
const MIN_STALL: Duration = Duration::from_millis(400);
/// Minimum time without data on a single stream while others there continue.
const MIN_SINGLE_STREAM_STALL: Duration = Duration::from_millis(1_000);
/// Time since the last data within which an upstream counts as reachable.
const UPSTREAM_SEEN_WINDOW: Duration = Duration::from_millis(300);
/// A process that made no check for this long was suspended.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(250);

/// Scope of a stall. The text form is part of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum StallKind {
    /// No event of this request has been received.
    First,
    /// No request at the upstream receives data.
    Upstream,
    /// Only this stream receives no data.
    Stream,
    /// The connection belongs to a partition that was detected since.
    Partition,
}

impl Gateway {
    /// Cancels attempts at stalled upstreams.
    ///
    /// An upstream that lost its power or its connection sends nothing, and its callers would wait
    /// until they give up. An upstream that reads a long prompt also sends nothing, however, and
    /// cancelling its response gains nothing if no other upstream has a free slot. An attempt is
    /// therefore cancelled only when another upstream has a free slot, which is held for the request,
    /// and the budget allows a retry.
    pub(super) fn detect_stalls(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let before = self.stalls_checked_at.replace(now);
        if before.is_none_or(|before| now.since(before) > SUSPEND_THRESHOLD) {
            // Data that arrived during the suspension has not been read yet.
            self.last_wake_at = now;
        }
        for (request, kind) in self.stalled_requests(now) {
            self.abandon_stalled(now, request, kind, effects);
        }
    }

    fn stalled_requests(&self, now: MonotonicTime) -> Vec<(LocalRequest, StallKind)> {
        let mut stalled = Vec::new();
        for (request, record) in &self.requests {
            let RequestState::Running(attempt) = &record.state else {
                continue;
            };
            if !self.may_abandon(record) || attempt.abandoned {
                continue;
            }
            let Some(state) = self.fleet.get(&attempt.upstream) else {
                continue;
            };
            let kind = self.stall_kind(now, record, attempt, state);
            stalled.extend(kind.map(|kind| (*request, kind)));
        }
        stalled
    }

    /// Returns whether a request could be sent again if its attempt were cancelled.
    fn may_abandon(&self, record: &RequestRecord) -> bool {
        record.allows_concurrent_execution()
            && record.has_attempts_left()
            && !self.is_quarantined(&record.fingerprints)
    }

    fn stall_kind(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        attempt: &RunningAttempt,
        state: &UpstreamState,
    ) -> Option<StallKind> {
        let received_at = attempt.last_event_at.unwrap_or(attempt.dispatched_at);
        let since_event = now.since(received_at.max(self.last_wake_at));
        if self.is_partitioned() && !attempt.relayed && since_event > MIN_STALL {
            return Some(StallKind::Partition);
        }
        if attempt.first_event_at.is_none() {
            let expected =
                Duration::from_secs_f64(attempt.expected_first_event_ms * FIRST_EVENT_FACTOR / 1e3);
            let objective = record.route.objective.mul_f64(OBJECTIVE_FRACTION);
            let mut threshold = expected.max(objective).max(MIN_STALL);
            let others_receive_data = state.last_received_at > received_at;
            if record.route.retry_safety.is_stream() && others_receive_data {
                // The upstream may still be reading the prompts that it received before this one.
                threshold = threshold.max(record.route.objective);
            }
            return (since_event > threshold).then_some(StallKind::First);
        }
        let service_latency = self.fleet.service_latency(&record.service);
        let event_gap =
            Duration::from_secs_f64(state.latency.longest_gap_ms(&service_latency) / 1e3);
        let prefill = self.prefill_allowance(record, state);
        let since_any_data = now.since(
            state
                .last_received_at
                .max(received_at)
                .max(self.last_wake_at),
        );
        if since_any_data > event_gap.mul_f64(EVENT_GAP_FACTOR).max(MIN_STALL) + prefill
            && self.receives_from_others(now, record, state)
        {
            return Some(StallKind::Upstream);
        }
        let threshold = event_gap
            .mul_f64(SINGLE_STREAM_FACTOR)
            .max(MIN_SINGLE_STREAM_STALL)
            + prefill;
        (since_event > threshold).then_some(StallKind::Stream)
    }

    /// Returns the time for which an upstream may send nothing because it is reading prompts.
    fn prefill_allowance(&self, record: &RequestRecord, state: &UpstreamState) -> Duration {
        let unread_tokens = state.unread_prompt_tokens
            + self
                .peers
                .slots_by_digest(state.digest)
                .unread_prompt_tokens;
        if unread_tokens == 0 {
            return Duration::ZERO;
        }
        let service_latency = self.fleet.service_latency(&record.service);
        let millis = state
            .latency
            .first_event_ms(&service_latency, unread_tokens)
            * PREFILL_FACTOR;
        Duration::from_secs_f64(millis / 1e3).min(MAX_PREFILL_ALLOWANCE)
    }

    /// Returns whether other upstreams of the service still send data. If none does, this daemon
    /// may have lost its own connection, which is no evidence against an upstream.
    fn receives_from_others(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        stalled: &UpstreamState,
    ) -> bool {
        let mut members = self.fleet.members(&record.service);
        members.any(|state| {
            state.entry.name != stalled.entry.name
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
        let Some(successor) = self.find_successor(now, record, &attempt) else {
            return;
        };
        if !self.spend_retry(now, request, effects) {
            return;
        }
        self.hold_successor(request, successor);
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        record.has_reserved_retry = true;
        record.abandoned_attempts += 1;
        if let RequestState::Running(attempt) = &mut record.state {
            attempt.abandoned = true;
        }
        let without_data = now.since(attempt.last_event_at.unwrap_or(attempt.dispatched_at));
        let line = LogLine::new(LogLevel::Info, "attempt-abandoned")
            .with("request", &record.request_id)
            .with("upstream", &attempt.upstream)
            .with("silent", kind)
            .with("silent_ms", without_data.as_millis())
            .with("events", attempt.events)
            .with(
                "expected_ms",
                format_args!("{:.0}", attempt.expected_first_event_ms),
            );
        effects.push(GatewayEffect::Log(line));
        effects.push(GatewayEffect::AbandonAttempt { request });
    }
}
