//! Processes events from upstreams: updates latency models, limits, health, length predictions and
//! the prefix index.

use super::{
    RequestScheduler, SchedulerMechanism, SchedulerView,
    admission::service_objectives,
    attempts::{AttemptKey, AttemptRecord},
    fleet::UpstreamId,
    limit::LatencyTargets,
};
use crate::{
    effect::{EffectQueue, LogLevel, LogLine},
    event::{FailureCause, ResponseReport, UpstreamEvent},
};
use rand::Rng;
use savorywood_protocol::{AttemptNumber, MonotonicTime, RequestId};
use std::time::Duration;

/// Lowest HTTP status that counts as a failure of the upstream.
const MIN_SERVER_ERROR_STATUS: u16 = 500;
/// At most one in this many upstreams of a service may be ejected at once, but always one. If more
/// fail, the cause is more likely the load or this host, and the remaining upstreams would be
/// overloaded.
const MAX_EJECTED_DIVISOR: usize = 3;

impl RequestScheduler {
    pub(super) fn handle_upstream(
        &mut self,
        now: MonotonicTime,
        event: &UpstreamEvent,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        match event {
            UpstreamEvent::NotSent { request, attempt } => {
                let key = attempt_key(*request, *attempt);
                self.handle_not_sent(now, key, view, effects);
            }
            UpstreamEvent::FirstToken { request, attempt } => {
                self.handle_first_token(now, attempt_key(*request, *attempt));
            }
            UpstreamEvent::Tokens {
                request,
                attempt,
                count,
            } => self.handle_tokens(now, attempt_key(*request, *attempt), *count, view),
            UpstreamEvent::Finished {
                request,
                attempt,
                report,
            } => {
                let key = attempt_key(*request, *attempt);
                self.handle_finished(now, key, *report, view, effects);
            }
            UpstreamEvent::Failed {
                request,
                attempt,
                cause,
            } => {
                let key = attempt_key(*request, *attempt);
                self.handle_broken(now, key, *cause, view, effects);
            }
            UpstreamEvent::LoadReported { upstream, report } => {
                let id = self.fleet.id(upstream);
                if let Some(state) = id.and_then(|id| self.fleet.get_mut(id)) {
                    state.record_load(now, *report);
                }
            }
            UpstreamEvent::CacheChanged { upstream, batch } => {
                if let Some(id) = self.fleet.id(upstream)
                    && self.options.has(SchedulerMechanism::Affinity)
                {
                    self.prefixes.apply_events(now, id, batch);
                }
            }
        }
    }

    fn handle_first_token(&mut self, now: MonotonicTime, key: AttemptKey) {
        let Some(record) = self.attempts.get_mut(key) else {
            return;
        };
        if record.first_token_at.is_some() {
            return;
        }
        record.first_token_at = Some(now);
        record.last_token_at = now;
        record.tokens += 1;
        let took = now.since(record.dispatched_at);
        let uncached = record.uncached;
        if let Some(service) = self.services.get_mut(&record.request.service) {
            service.speed.record_first_token(now, took, uncached);
        }
        if let Some(state) = self.fleet.get_mut(record.upstream) {
            state.health.record_data(now);
            state.speed.record_first_token(now, took, uncached);
            state.limit.record_first_token(now, took, uncached);
            state.pending_prefill = state.pending_prefill.saturating_sub(uncached.into());
        }
    }

    fn handle_tokens(
        &mut self,
        now: MonotonicTime,
        key: AttemptKey,
        count: u32,
        view: SchedulerView<'_>,
    ) {
        if self
            .attempts
            .get_mut(key)
            .is_some_and(|record| record.first_token_at.is_none())
        {
            self.handle_first_token(now, key);
            return;
        }
        let Some(record) = self.attempts.get_mut(key) else {
            return;
        };
        let took = now.since(record.last_token_at);
        record.last_token_at = now;
        record.tokens = record.tokens.saturating_add(count);
        let upstream = record.upstream;
        if let Some(service) = self.services.get_mut(&record.request.service) {
            service.speed.record_tokens(now, took, count);
        }
        if let Some(state) = self.fleet.get_mut(upstream) {
            state.health.record_data(now);
            state.speed.record_tokens(now, took, count);
            state.limit.record_tokens(took, count);
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
        let objectives = service_objectives(&state.service, view);
        let targets = LatencyTargets {
            first_token: f64::from(objectives.first_token_ms.max(1)) / 1_000.0,
            gap: f64::from(objectives.token_gap_ms.max(1)) / 1_000.0,
        };
        state.limit.adjust(now, targets);
    }

    fn handle_finished(
        &mut self,
        now: MonotonicTime,
        key: AttemptKey,
        report: ResponseReport,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        self.handle_first_token(now, key);
        let Some(record) = self.release_attempt(key) else {
            return;
        };
        if report.status >= MIN_SERVER_ERROR_STATUS {
            self.record_failure(now, record.upstream);
        } else if let Some(state) = self.fleet.get_mut(record.upstream) {
            state.health.record_data(now);
            state.health.record_success(now);
        }
        self.record_cost(now, &record, report);
        self.count_finished(now, &record, report);
        self.adjust_limit(now, record.upstream, view);
        self.fill_upstream(now, record.upstream, view, effects);
    }

    fn record_cost(&mut self, now: MonotonicTime, record: &AttemptRecord, report: ResponseReport) {
        if report.status >= MIN_SERVER_ERROR_STATUS {
            return;
        }
        let output = report.output_tokens.max(record.tokens);
        self.costs.record(&record.request, output);
        let actual = u64::from(record.estimate.prompt) + u64::from(output);
        if let Some(service) = self.services.get_mut(&record.request.service) {
            let charged = record.batch_tokens();
            service
                .queue
                .correct_charge(&record.request, charged, actual);
            let prompt = f64::from(record.request.prompt.tokens.max(1));
            let uncached = prefilled_tokens(record, report);
            service.miss_ratio.record(now, f64::from(uncached) / prompt);
        }
        let estimates = &mut self.counters.estimates;
        estimates.responses += 1;
        estimates.actual_tokens += u64::from(output);
        estimates.error_tokens += u64::from(output.abs_diff(record.estimate.output_median));
    }

    fn count_finished(
        &mut self,
        now: MonotonicTime,
        record: &AttemptRecord,
        report: ResponseReport,
    ) {
        let uncached = prefilled_tokens(record, report);
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

    /// Ends an attempt that failed after a byte may have been sent. The request is never dispatched
    /// again; the runtime sends the response to the caller.
    fn handle_broken(
        &mut self,
        now: MonotonicTime,
        key: AttemptKey,
        cause: FailureCause,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(record) = self.release_attempt(key) else {
            return;
        };
        self.counters.tier(record.request.rank).broken += 1;
        self.counters.prefill.total += u64::from(record.uncached);
        self.counters.prefill.broken += u64::from(record.uncached);
        if self.record_failure(now, record.upstream)
            && let Some(state) = self.fleet.get(record.upstream)
        {
            let line = LogLine::new(LogLevel::Warn, "upstream-ejected");
            let line = line.with("upstream", &state.name).with("cause", cause);
            effects.log(line);
        }
        self.fill_upstream(now, record.upstream, view, effects);
    }

    /// Records a failure of an upstream. Returns whether the upstream was ejected for it.
    pub(super) fn record_failure(&mut self, now: MonotonicTime, upstream: UpstreamId) -> bool {
        if !self.options.has(SchedulerMechanism::Ejection) {
            return false;
        }
        let jitter: f64 = self.rng.random();
        let may_eject = self.may_eject(now, upstream);
        let Some(state) = self.fleet.get_mut(upstream) else {
            return false;
        };
        let eject = state.health.record_failure() && may_eject;
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
        let ejected = states.filter(|state| state.health.is_ejected(now)).count();
        let allowed = (service.members.len() / MAX_EJECTED_DIVISOR).max(1);
        ejected < allowed && service.members.len() > 1
    }
}

fn attempt_key(request: RequestId, attempt: AttemptNumber) -> AttemptKey {
    AttemptKey { request, attempt }
}

/// Returns the prompt tokens that the upstream prefilled: by its report, or as predicted if it
/// reports none.
fn prefilled_tokens(record: &AttemptRecord, report: ResponseReport) -> u32 {
    if report.prompt_tokens == 0 {
        return record.uncached;
    }
    let share = f64::from(report.cached_tokens) / f64::from(report.prompt_tokens);
    let prompt = f64::from(record.request.prompt.tokens);
    (prompt * (1.0 - share.min(1.0))) as u32
}

/// Interval at which waiting requests are tried again without another event, since ejections end
/// and ramps progress over time.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(100);
