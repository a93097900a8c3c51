//! What upstreams' answers teach: speed, limits, health, lengths and caches.

use super::{
    RequestScheduler, SchedulerMechanism, SchedulerView,
    admission::objectives_of,
    fleet::UpstreamId,
    limit::LatencyTargets,
    table::{AttemptKey, AttemptRecord},
};
use crate::{
    effect::{EffectQueue, LogLevel, LogLine},
    event::{FailureCause, ResponseReport, UpstreamEvent},
};
use rand::Rng;
use savorywood_protocol::{AttemptNumber, MonotonicTime, RequestId};
use std::time::Duration;

/// Least status of an upstream's own failure.
const SERVER_ERROR: u16 = 500;
/// Largest share of a service's upstreams that may be out at once, as a divisor. When more fail,
/// the fault is likelier the load or this host, and the rest would be overrun.
const EJECTED_DIVISOR: usize = 3;

impl RequestScheduler {
    pub(super) fn upstream(
        &mut self,
        now: MonotonicTime,
        event: &UpstreamEvent,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        match event {
            UpstreamEvent::NotSent { request, attempt } => {
                let key = attempt_key(*request, *attempt);
                self.not_sent(now, key, view, effects);
            }
            UpstreamEvent::FirstToken { request, attempt } => {
                self.first_token(now, attempt_key(*request, *attempt));
            }
            UpstreamEvent::Tokens {
                request,
                attempt,
                count,
            } => self.tokens(now, attempt_key(*request, *attempt), *count, view),
            UpstreamEvent::Finished {
                request,
                attempt,
                report,
            } => {
                let key = attempt_key(*request, *attempt);
                self.finished(now, key, *report, view, effects);
            }
            UpstreamEvent::Failed {
                request,
                attempt,
                cause,
            } => {
                let key = attempt_key(*request, *attempt);
                self.broken(now, key, *cause, view, effects);
            }
            UpstreamEvent::LoadReported { upstream, report } => {
                let id = self.fleet.id(upstream);
                if let Some(state) = id.and_then(|id| self.fleet.get_mut(id)) {
                    state.note_load(now, *report);
                }
            }
            UpstreamEvent::CacheChanged { upstream, batch } => {
                if let Some(id) = self.fleet.id(upstream)
                    && self.options.has(SchedulerMechanism::Affinity)
                {
                    self.prefixes.note_events(now, id, batch);
                }
            }
        }
    }

    fn first_token(&mut self, now: MonotonicTime, key: AttemptKey) {
        let Some(record) = self.attempts.get_mut(key) else {
            return;
        };
        if record.first_at.is_some() {
            return;
        }
        record.first_at = Some(now);
        record.heard_at = now;
        record.tokens += 1;
        let took = now.since(record.sent_at);
        let uncached = record.uncached;
        if let Some(service) = self.services.get_mut(&record.request.service) {
            service.speed.first_token(now, took, uncached);
        }
        if let Some(state) = self.fleet.get_mut(record.upstream) {
            state.health.note_heard(now);
            state.speed.first_token(now, took, uncached);
            state.limit.note_first_token(now, took, uncached);
            state.pending_prefill = state.pending_prefill.saturating_sub(uncached.into());
        }
    }

    fn tokens(&mut self, now: MonotonicTime, key: AttemptKey, count: u32, view: SchedulerView<'_>) {
        if self
            .attempts
            .get_mut(key)
            .is_some_and(|record| record.first_at.is_none())
        {
            self.first_token(now, key);
            return;
        }
        let Some(record) = self.attempts.get_mut(key) else {
            return;
        };
        let took = now.since(record.heard_at);
        record.heard_at = now;
        record.tokens = record.tokens.saturating_add(count);
        let upstream = record.upstream;
        if let Some(service) = self.services.get_mut(&record.request.service) {
            service.speed.tokens(now, took, count);
        }
        if let Some(state) = self.fleet.get_mut(upstream) {
            state.health.note_heard(now);
            state.speed.tokens(now, took, count);
            state.limit.note_tokens(took, count);
        }
        self.adjust_limit(now, upstream, view);
    }

    fn adjust_limit(&mut self, now: MonotonicTime, upstream: UpstreamId, view: SchedulerView<'_>) {
        if !self.options.has(SchedulerMechanism::AdaptiveLimit) {
            return;
        }
        let Some(state) = self.fleet.get_mut(upstream) else {
            return;
        };
        let objectives = objectives_of(&state.service, view);
        let targets = LatencyTargets {
            first_token: f64::from(objectives.first_token_ms.max(1)) / 1_000.0,
            gap: f64::from(objectives.token_gap_ms.max(1)) / 1_000.0,
        };
        state.limit.adjust(now, targets);
    }

    fn finished(
        &mut self,
        now: MonotonicTime,
        key: AttemptKey,
        report: ResponseReport,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        self.first_token(now, key);
        let Some(record) = self.release(key) else {
            return;
        };
        if report.status >= SERVER_ERROR {
            self.note_failure(now, record.upstream);
        } else if let Some(state) = self.fleet.get_mut(record.upstream) {
            state.health.note_heard(now);
            state.health.note_success(now);
        }
        self.learn_cost(now, &record, report);
        self.count_finished(now, &record, report);
        self.adjust_limit(now, record.upstream, view);
        self.fill(now, record.upstream, view, effects);
    }

    fn learn_cost(&mut self, now: MonotonicTime, record: &AttemptRecord, report: ResponseReport) {
        if report.status >= SERVER_ERROR {
            return;
        }
        let output = report.output_tokens.max(record.tokens);
        self.costs.record(&record.request, output);
        let actual = u64::from(record.estimate.prompt) + u64::from(output);
        if let Some(service) = self.services.get_mut(&record.request.service) {
            let charged = record.batch_tokens();
            service.queue.correct(&record.request, charged, actual);
            let prompt = f64::from(record.request.prompt.tokens.max(1));
            let uncached = prefilled(record, report);
            service.miss_share.record(now, f64::from(uncached) / prompt);
        }
        let estimates = &mut self.counters.estimates;
        estimates.answers += 1;
        estimates.actual_tokens += u64::from(output);
        estimates.error_tokens += u64::from(output.abs_diff(record.estimate.output_median));
    }

    fn count_finished(
        &mut self,
        now: MonotonicTime,
        record: &AttemptRecord,
        report: ResponseReport,
    ) {
        let uncached = prefilled(record, report);
        let prefill = &mut self.counters.prefill;
        prefill.total += u64::from(uncached);
        let late = now > record.request.deadline_at;
        if late {
            prefill.late += u64::from(uncached);
        } else {
            let cached = record.request.prompt.tokens.saturating_sub(uncached);
            let missed = record.cached_elsewhere.saturating_sub(cached);
            prefill.cache_miss += u64::from(missed.min(uncached));
        }
        let tier = self.counters.tier(record.request.rank);
        if late {
            tier.late += 1;
        } else {
            tier.in_time += 1;
        }
    }

    /// A byte may have left, so the request is never sent again; the shell answers its caller.
    fn broken(
        &mut self,
        now: MonotonicTime,
        key: AttemptKey,
        cause: FailureCause,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(record) = self.release(key) else {
            return;
        };
        self.counters.tier(record.request.rank).broken += 1;
        self.counters.prefill.total += u64::from(record.uncached);
        self.counters.prefill.broken += u64::from(record.uncached);
        if self.note_failure(now, record.upstream)
            && let Some(state) = self.fleet.get(record.upstream)
        {
            let line = LogLine::new(LogLevel::Warn, "upstream-ejected");
            let line = line.with("upstream", &state.name).with("cause", cause);
            effects.log(line);
        }
        self.fill(now, record.upstream, view, effects);
    }

    /// Counts a failure; says whether it took the upstream out.
    pub(super) fn note_failure(&mut self, now: MonotonicTime, upstream: UpstreamId) -> bool {
        if !self.options.has(SchedulerMechanism::Ejection) {
            return false;
        }
        let jitter: f64 = self.rng.random();
        let may_eject = self.may_eject(now, upstream);
        let Some(state) = self.fleet.get_mut(upstream) else {
            return false;
        };
        let eject = state.health.note_failure() && may_eject;
        if eject {
            state.health.eject(now, jitter);
            self.counters.ejections += 1;
        }
        eject
    }

    fn may_eject(&self, now: MonotonicTime, upstream: UpstreamId) -> bool {
        let service = self.fleet.get(upstream).map(|state| &state.service);
        let service = service.and_then(|name| self.services.get(name));
        let Some(service) = service else {
            return false;
        };
        let members = service.members.iter();
        let states = members.filter_map(|id| self.fleet.get(*id));
        let out = states.filter(|state| state.health.is_ejected(now)).count();
        let allowed = (service.members.len() / EJECTED_DIVISOR).max(1);
        out < allowed && service.members.len() > 1
    }
}

fn attempt_key(request: RequestId, attempt: AttemptNumber) -> AttemptKey {
    AttemptKey { request, attempt }
}

/// Prompt tokens that were really prefilled. An upstream that reports nothing is taken at its
/// prediction.
fn prefilled(record: &AttemptRecord, report: ResponseReport) -> u32 {
    if report.prompt_tokens == 0 {
        return record.uncached;
    }
    let share = f64::from(report.cached_tokens) / f64::from(report.prompt_tokens);
    let prompt = f64::from(record.request.prompt.tokens);
    (prompt * (1.0 - share.min(1.0))) as u32
}

/// Time between two looks at a queue that nothing else wakes: ejections end, ramps go on.
pub(super) const TICK_TIME: Duration = Duration::from_millis(100);
