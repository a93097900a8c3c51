//! Completion of attempts: retries, final responses and the end of requests.

use super::{
    Gateway, GatewayEffects,
    record::{EndedAttempt, RequestState},
};
use crate::{
    arrival::{LocalRequest, PartList},
    effect::GatewayEffect,
    event::AttemptOutcome,
    label::ServiceLabel,
    quarantine::QuarantineVerdict,
    queue::{QueuePosition, QueueStage},
    refusal::RefusalReason,
    retry_budget::RetryDecision,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;

impl Gateway {
    pub(super) fn caller_disconnected(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        match &record.state {
            RequestState::Waiting(_) => {
                self.refund_units(request);
                self.close(now, request, "caller-left", effects);
            }
            RequestState::Running(_) => {
                self.attempt_ended(now, request, &AttemptOutcome::CallerDisconnected, effects);
            }
        }
    }

    pub(super) fn attempt_ended(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        outcome: &AttemptOutcome,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let RequestState::Running(attempt) = record.state.clone() else {
            return;
        };
        let service = record.service.clone();
        let ended = EndedAttempt {
            request,
            attempt: &attempt,
            outcome,
        };
        self.log_interruption(ended, effects);
        self.record_reachability(now, &attempt, outcome, effects);
        let memory_exceeded = self.record_exceeded_memory(now, ended, effects);
        self.record_rejection_outcome(now, ended, effects);
        self.release_slot(now, ended, effects);
        if !memory_exceeded {
            self.record_crash(now, ended, effects);
        }
        let had_successor = self.release_successor(request);
        self.retry_or_finish(now, ended, effects);
        self.refuse_unfinishable(now, &service, effects);
        if had_successor {
            self.dispatch_first(now, request, effects);
        }
        self.dispatch_waiting(now, &service, effects);
    }

    /// Logs an interrupted attempt with the number of concurrent requests at the upstream.
    fn log_interruption(&self, ended: EndedAttempt<'_>, effects: &mut GatewayEffects) {
        let EndedAttempt {
            request,
            attempt,
            outcome,
        } = ended;
        let is_broken = matches!(
            outcome,
            AttemptOutcome::Broken { .. } | AttemptOutcome::StreamBroken(_)
        );
        let Some(record) = self.requests.get(&request).filter(|_| is_broken) else {
            return;
        };
        let state = self.fleet.get(&attempt.upstream);
        let own_concurrent = state.map_or(0, |state| state.running.saturating_sub(1));
        let peer_concurrent =
            state.map_or(0, |state| self.peers.slots_by_digest(state.digest).running);
        let line = LogLine::new(LogLevel::Info, "attempt-broken")
            .with("request", &record.request_id)
            .with("fingerprint", record.fingerprints.whole)
            .with("parts", PartList(&record.prompt_parts))
            .with("upstream", &attempt.upstream)
            .with("cause", outcome.name())
            .with("events", attempt.events)
            .with("beside_own", own_concurrent)
            .with("beside_peers", peer_concurrent);
        effects.push(GatewayEffect::Log(line));
    }

    /// Retries the request or gives it its final response.
    fn retry_or_finish(
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
        let upstream = self.fleet.get(&attempt.upstream);
        let is_refused_by_owners = *outcome == AttemptOutcome::NotRelayed
            && upstream.is_some_and(|state| state.rejections.owner_relay.has_owners());
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        if is_refused_by_owners {
            // This daemon pauses its requests to them.
            record.attempts -= 1;
        } else {
            record.attempted_upstreams.push(attempt.upstream.clone());
        }
        match outcome {
            AttemptOutcome::Delivered { .. } => return self.close(now, request, "served", effects),
            AttemptOutcome::CallerDisconnected => {
                return self.close(now, request, "caller-left", effects);
            }
            AttemptOutcome::NotSent | AttemptOutcome::NotRelayed => {
                record.unsent_attempts += u32::from(*outcome == AttemptOutcome::NotSent);
                if record.has_attempts_left() {
                    self.retry_counters.record(RetryDecision::Uncharged);
                    return self.requeue(request, outcome, effects);
                }
                if self.resume_later(now, ended, effects) {
                    return;
                }
                return self.finish(now, request, RefusalReason::NoUpstream, effects);
            }
            AttemptOutcome::NotRun { .. } => {
                if record.has_attempts_left() && self.spend_retry(now, request, effects) {
                    return self.requeue(request, outcome, effects);
                }
                if self.resume_later(now, ended, effects) {
                    return;
                }
                return self.finish(now, request, RefusalReason::NotRun, effects);
            }
            AttemptOutcome::Expired => {
                record.executions += 1;
                return self.finish(now, request, RefusalReason::ExpiredUnknown, effects);
            }
            AttemptOutcome::Failed { .. } => {
                record.executions += 1;
                record.has_upstream_failure = true;
            }
            AttemptOutcome::Broken { .. } | AttemptOutcome::StreamBroken(_) => {
                record.executions += 1;
            }
        }
        let may_retry = record.allows_another_execution() && record.has_attempts_left();
        let is_quarantined =
            self.quarantine.verdict_on(&record.fingerprints) != QuarantineVerdict::Clear;
        if may_retry && !is_quarantined && self.spend_retry(now, request, effects) {
            return self.requeue(request, outcome, effects);
        }
        if !is_quarantined && self.resume_later(now, ended, effects) {
            return;
        }
        self.finish(now, request, RefusalReason::IncompleteResponse, effects);
    }

    /// Returns a request to its queue with its original start time. While it can be in time, it goes
    /// ahead of the requests of its rank that have not been attempted.
    pub(super) fn requeue(
        &mut self,
        request: LocalRequest,
        outcome: &AttemptOutcome,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        if let RequestState::Running(attempt) = &record.state
            && let Some(last_event_at) = attempt.last_event_at
        {
            // The caller's timeout restarts with each event.
            record.caller_timeout_at = record.caller_timeout_after(last_event_at);
        }
        let position = QueuePosition {
            rank: record.rank,
            stage: if record.response_started {
                QueueStage::Resumed
            } else {
                QueueStage::New
            },
            unattempted: false,
            start_by: record.start_by,
            request,
        };
        record.state = RequestState::Waiting(position);
        let line = LogLine::new(LogLevel::Info, "request-again")
            .with("request", &record.request_id)
            .with("after", outcome.name())
            .with("sends", record.attempts)
            .with("runs", record.executions);
        effects.push(GatewayEffect::Log(line));
        let queue = self.queues.entry(record.service.clone()).or_default();
        queue.insert(position);
    }

    /// Gives a request its final response. No other function decides what the response states about
    /// execution: a request that may have been executed is never refused as not executed.
    pub(super) fn finish(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        reason: RefusalReason,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        if record.response_started {
            let line = LogLine::new(LogLevel::Warn, "response-cut")
                .with("request", &record.request_id)
                .with("reason", reason)
                .with("sends", record.attempts)
                .with("runs", record.executions)
                .with("max_runs", record.route.max_attempts)
                .with("abandoned", record.abandoned_attempts)
                .with("left_ms", record.deadline_at.since(now).as_millis())
                .with("config", self.config_version());
            effects.push(GatewayEffect::Log(line));
            effects.push(GatewayEffect::AbortResponse { request, reason });
            return self.close(now, request, "broken-off", effects);
        }
        if record.has_upstream_failure {
            effects.push(GatewayEffect::ForwardFailure { request });
            return self.close(now, request, "failure-passed", effects);
        }
        let reason = match (record.executions > 0, reason.guarantees_not_executed()) {
            (true, true) if reason == RefusalReason::ExpiredUnsent => RefusalReason::ExpiredUnknown,
            (true, true) => RefusalReason::IncompleteResponse,
            _ => reason,
        };
        let retry_after = if reason.guarantees_not_executed() {
            self.retry_after_delay(now, request, reason, effects)
        } else {
            None
        };
        if reason.guarantees_not_executed() {
            self.refund_units(request);
        }
        effects.push(GatewayEffect::Refuse {
            request,
            reason,
            retry_after,
        });
        self.close(now, request, reason.into(), effects);
    }

    fn refund_units(&mut self, request: LocalRequest) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        if let Some(team) = &record.team
            && record.executions == 0
            && let Some(limiter) = self.team_limiters.get_mut(&team.name)
        {
            limiter.refund(record.charged_units);
        }
    }

    fn close(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        outcome: &'static str,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.remove(&request) else {
            return;
        };
        if let RequestState::Waiting(position) = &record.state {
            self.remove_from_queue(&record.service, position);
        }
        let mut line = LogLine::new(LogLevel::Info, "request-ended")
            .with("request", &record.request_id)
            .with("end", outcome)
            .with("took_ms", now.since(record.arrived_at).as_millis())
            .with("sends", record.attempts)
            .with("runs", record.executions);
        if let RequestState::Running(attempt) = &record.state {
            line = line.with("upstream", &attempt.upstream);
            if let Some(first_event_at) = attempt.first_event_at {
                line = line
                    .with(
                        "first_ms",
                        first_event_at.since(record.arrived_at).as_millis(),
                    )
                    .with("pause_ms", attempt.max_event_gap.as_millis())
                    .with("events", attempt.events)
                    .with("guess", record.expected_output_tokens);
            }
        }
        effects.push(GatewayEffect::Log(line));
    }

    fn remove_from_queue(&mut self, service: &ServiceLabel, position: &QueuePosition) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(position);
        }
    }
}
