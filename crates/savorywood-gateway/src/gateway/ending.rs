//! Attempts end, and what becomes of the request.

use super::{
    Gateway, GatewayEffects,
    dispatch::MAX_SENDS,
    record::{RequestPlace, RunningAttempt},
};
use crate::{
    arrival::LocalRequest, effect::GatewayEffect, event::AttemptOutcome, label::ServiceLabel,
    queue::QueuePosition, refusal::RefusalReason,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;

impl Gateway {
    pub(super) fn caller_left(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        match &record.place {
            RequestPlace::Waiting(_) => {
                self.give_units_back(request);
                self.close(now, request, "caller-left", effects);
            }
            RequestPlace::Running(_) => {
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
        let RequestPlace::Running(attempt) = record.place.clone() else {
            return;
        };
        let service = record.service.clone();
        self.log_broken(request, &attempt, outcome, effects);
        self.release(now, request, &attempt, outcome, effects);
        self.note_crash(now, request, &attempt, outcome, effects);
        self.decide(now, request, &attempt, outcome, effects);
        self.pump(now, &service, effects);
    }

    /// Logs what an upstream ended under: which request, beside how many other requests.
    fn log_broken(
        &self,
        request: LocalRequest,
        attempt: &RunningAttempt,
        outcome: &AttemptOutcome,
        effects: &mut GatewayEffects,
    ) {
        let is_broken = matches!(
            outcome,
            AttemptOutcome::Broken { .. } | AttemptOutcome::StreamBroken(_)
        );
        let Some(record) = self.requests.get(&request).filter(|_| is_broken) else {
            return;
        };
        let state = self.fleet.get(&attempt.upstream);
        let own = state.map_or(0, |state| state.running.saturating_sub(1));
        let peers = state.map_or(0, |state| self.peers.slots_by_digest(state.digest).running);
        let line = LogLine::new(LogLevel::Info, "attempt-broken")
            .with("request", &record.identity)
            .with("fingerprint", record.fingerprint)
            .with("upstream", &attempt.upstream)
            .with("cause", outcome.name())
            .with("events", attempt.events)
            .with("beside_own", own)
            .with("beside_peers", peers);
        effects.push(GatewayEffect::Log(line));
    }

    /// Sends the request once more, or gives it its final answer.
    fn decide(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        attempt: &RunningAttempt,
        outcome: &AttemptOutcome,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        record.tried.push(attempt.upstream.clone());
        match outcome {
            AttemptOutcome::Delivered { .. } => return self.close(now, request, "served", effects),
            AttemptOutcome::CallerDisconnected => {
                return self.close(now, request, "caller-left", effects);
            }
            AttemptOutcome::NotSent => {
                if record.sends < MAX_SENDS {
                    return self.requeue(now, request, outcome, effects);
                }
                return self.finish(now, request, RefusalReason::NoUpstream, effects);
            }
            AttemptOutcome::NotRun { .. } => {
                if record.sends < MAX_SENDS && self.spend_try(now, request) {
                    return self.requeue(now, request, outcome, effects);
                }
                return self.finish(now, request, RefusalReason::NotRun, effects);
            }
            AttemptOutcome::Expired => {
                record.runs += 1;
                return self.finish(now, request, RefusalReason::ExpiredUnknown, effects);
            }
            AttemptOutcome::Failed { .. } => {
                record.runs += 1;
                record.has_failure = true;
            }
            AttemptOutcome::Broken { .. } | AttemptOutcome::StreamBroken(_) => record.runs += 1,
        }
        let again = record.may_run_again() && record.sends < MAX_SENDS;
        let fingerprint = record.fingerprint;
        if again && !self.is_quarantined(fingerprint) && self.spend_try(now, request) {
            return self.requeue(now, request, outcome, effects);
        }
        self.finish(now, request, RefusalReason::IncompleteResponse, effects);
    }

    pub(super) fn spend_try(&mut self, now: MonotonicTime, request: LocalRequest) -> bool {
        let Some(record) = self.requests.get_mut(&request) else {
            return false;
        };
        if std::mem::take(&mut record.has_try) {
            return true;
        }
        let daemons = self.peers.peer_count(now) + 1;
        let budget = self.budgets.entry(record.service.clone()).or_default();
        budget.try_acquire(now, &self.options.bounds.retry_budget, daemons)
    }

    /// Puts a request back into its queue; it has waited and goes first in its rank.
    fn requeue(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        outcome: &AttemptOutcome,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        if let RequestPlace::Running(attempt) = &record.place
            && let Some(moved_at) = attempt.moved_at
        {
            // Its caller's timeout begins anew with each event.
            record.leave_at = record.leave_time(moved_at);
        }
        let place = QueuePosition {
            rank: record.rank,
            start_by: now,
            request,
        };
        record.place = RequestPlace::Waiting(place);
        let line = LogLine::new(LogLevel::Info, "request-again")
            .with("request", &record.identity)
            .with("after", outcome.name())
            .with("sends", record.sends)
            .with("runs", record.runs);
        effects.push(GatewayEffect::Log(line));
        let queue = self.queues.entry(record.service.clone()).or_default();
        queue.insert(place);
    }

    /// Gives a request its final answer. This is the one place that decides which statuses are
    /// true: what may have run is never refused as not run.
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
        if record.has_begun {
            effects.push(GatewayEffect::AbortResponse { request });
            return self.close(now, request, "broken-off", effects);
        }
        if record.has_failure {
            effects.push(GatewayEffect::ForwardFailure { request });
            return self.close(now, request, "failure-passed", effects);
        }
        let reason = match (record.runs > 0, reason.guarantees_not_executed()) {
            (true, true) if reason == RefusalReason::ExpiredUnsent => RefusalReason::ExpiredUnknown,
            (true, true) => RefusalReason::IncompleteResponse,
            _ => reason,
        };
        let retry_after = reason
            .guarantees_not_executed()
            .then(|| self.return_time(now, request, reason));
        if reason.guarantees_not_executed() {
            self.give_units_back(request);
        }
        effects.push(GatewayEffect::Refuse {
            request,
            reason,
            retry_after,
        });
        self.close(now, request, reason.into(), effects);
    }

    fn give_units_back(&mut self, request: LocalRequest) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        if let Some(team) = &record.team
            && record.runs == 0
            && let Some(meter) = self.meters.get_mut(&team.name)
        {
            meter.refund(record.units);
        }
    }

    fn close(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        end: &'static str,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.remove(&request) else {
            return;
        };
        if let RequestPlace::Waiting(place) = &record.place {
            self.unqueue(&record.service, place);
        }
        let mut line = LogLine::new(LogLevel::Info, "request-ended")
            .with("request", &record.identity)
            .with("end", end)
            .with("took_ms", now.since(record.arrived_at).as_millis())
            .with("sends", record.sends)
            .with("runs", record.runs);
        if let RequestPlace::Running(attempt) = &record.place {
            line = line.with("upstream", &attempt.upstream);
            if let Some(began_at) = attempt.began_at {
                line = line
                    .with("first_ms", began_at.since(record.arrived_at).as_millis())
                    .with("pause_ms", attempt.longest_pause.as_millis())
                    .with("events", attempt.events)
                    .with("guess", record.output);
            }
        }
        effects.push(GatewayEffect::Log(line));
    }

    fn unqueue(&mut self, service: &ServiceLabel, place: &QueuePosition) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(place);
        }
    }
}
