//! Attempts whose upstream has fallen silent, and what becomes of them.

use super::{
    Gateway, GatewayEffects,
    record::{RequestPlace, RequestRecord, RunningAttempt},
};
use crate::{arrival::LocalRequest, effect::GatewayEffect, upstream::UpstreamState};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;
use strum::Display;

/// Silence before the first event that is out of the ordinary, against what was expected.
const FIRST_FACTOR: f64 = 4.0;
/// The same against the route's objective.
const OBJECTIVE_PART: f64 = 0.6;
/// Silence of all that runs at an upstream that is out of the ordinary, against the longest
/// pauses that are usual there.
const PAUSE_FACTOR: f64 = 2.0;
/// The same for one stream while others there go on: its connection may be dead.
const LONE_FACTOR: f64 = 4.0;
/// The same against the time in which its unread prompts are expected to be read.
const READING_FACTOR: f64 = 2.0;
/// Longest time by which unread prompts excuse a silence: callers leave a little later.
const MOST_READING: Duration = Duration::from_secs(1);
/// Least silence that says anything.
const LEAST_SILENCE: Duration = Duration::from_millis(400);
/// Least silence of one stream while others there go on.
const LEAST_LONE_SILENCE: Duration = Duration::from_millis(1_000);
/// An upstream counts as seen for this long.
const ATTESTATION_TIMEOUT: Duration = Duration::from_millis(300);
/// A process that handled no event for this long has slept.
const SLEPT_TIME: Duration = Duration::from_millis(250);

/// What is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum SilenceKind {
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
    pub(super) fn watch_silence(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let before = self.watched_at.replace(now);
        if before.is_none_or(|before| now.since(before) > SLEPT_TIME) {
            // What came while this process slept has not been read yet.
            self.awake_at = now;
        }
        for (request, kind) in self.silent_requests(now) {
            self.move_away(now, request, kind, effects);
        }
    }

    fn silent_requests(&self, now: MonotonicTime) -> Vec<(LocalRequest, SilenceKind)> {
        let mut silent = Vec::new();
        for (request, record) in &self.requests {
            let RequestPlace::Running(attempt) = &record.place else {
                continue;
            };
            if !record.may_run_once_more() || attempt.abandoned {
                continue;
            }
            let Some(state) = self.fleet.get(&attempt.upstream) else {
                continue;
            };
            let kind = self.silence(now, record, attempt, state);
            silent.extend(kind.map(|kind| (*request, kind)));
        }
        silent
    }

    fn silence(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        attempt: &RunningAttempt,
        state: &UpstreamState,
    ) -> Option<SilenceKind> {
        let received_at = attempt.moved_at.unwrap_or(attempt.sent_at);
        let own = now.since(received_at.max(self.awake_at));
        if attempt.began_at.is_none() {
            let expected = Duration::from_secs_f64(attempt.expected_ms * FIRST_FACTOR / 1e3);
            let objective = record.route.objective.mul_f64(OBJECTIVE_PART);
            let mut most = expected.max(objective).max(LEAST_SILENCE);
            let others_go_on = state.last_received_at > received_at;
            if record.route.retry_safety.is_stream() && others_go_on {
                // It reads the prompts that came before this one.
                most = most.max(record.route.objective);
            }
            return (own > most).then_some(SilenceKind::First);
        }
        let usual = self.fleet.service_latency(&record.service);
        let pause = Duration::from_secs_f64(state.latency.longest_gap_ms(&usual) / 1e3);
        let reading = self.reading_time(record, state);
        let whole = now.since(state.last_received_at.max(received_at).max(self.awake_at));
        if whole > pause.mul_f64(PAUSE_FACTOR).max(LEAST_SILENCE) + reading
            && self.hears_others(now, record, state)
        {
            return Some(SilenceKind::Upstream);
        }
        let most = pause.mul_f64(LONE_FACTOR).max(LEAST_LONE_SILENCE) + reading;
        (own > most).then_some(SilenceKind::Stream)
    }

    /// Time for which an upstream may be silent because it reads the prompts that are still to be
    /// read there.
    fn reading_time(&self, record: &RequestRecord, state: &UpstreamState) -> Duration {
        let unread = state.unread_prompt_tokens
            + self
                .peers
                .slots_by_digest(state.digest)
                .unread_prompt_tokens;
        if unread == 0 {
            return Duration::ZERO;
        }
        let usual = self.fleet.service_latency(&record.service);
        let millis = state.latency.first_event_ms(&usual, unread) * READING_FACTOR;
        Duration::from_secs_f64(millis / 1e3).min(MOST_READING)
    }

    /// A daemon that has lost its own way receives nothing: that is no evidence against an upstream.
    fn hears_others(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        silent: &UpstreamState,
    ) -> bool {
        let mut members = self.fleet.members(&record.service);
        members.any(|state| {
            state.entry.name != silent.entry.name
                && now.since(state.last_received_at) < ATTESTATION_TIMEOUT
        })
    }

    fn move_away(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        kind: SilenceKind,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let RequestPlace::Running(attempt) = record.place.clone() else {
            return;
        };
        let mut tried = record.tried.clone();
        tried.push(attempt.upstream.clone());
        if self.pick_beside(now, record, &tried).is_err() || !self.spend_try(now, request) {
            return;
        }
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        record.has_try = true;
        if let RequestPlace::Running(attempt) = &mut record.place {
            attempt.abandoned = true;
        }
        let silent = now.since(attempt.moved_at.unwrap_or(attempt.sent_at));
        let line = LogLine::new(LogLevel::Info, "attempt-abandoned")
            .with("request", &record.identity)
            .with("upstream", &attempt.upstream)
            .with("silent", kind)
            .with("silent_ms", silent.as_millis())
            .with("events", attempt.events)
            .with("expected_ms", format_args!("{:.0}", attempt.expected_ms));
        effects.push(GatewayEffect::Log(line));
        effects.push(GatewayEffect::AbandonAttempt { request });
    }
}
