//! Request lifecycle: turns the decisions of the scheduler and of the claim duty into effects.

use super::DaemonCore;
use crate::{
    claims::{ClaimDecision, ClaimEvent, ClaimView},
    effect::{DaemonEffect, DispatchCommand, EffectQueue},
    event::{CallerEvent, UpstreamEvent},
    invariant::{self, InvariantName},
    request::{QueuedRequest, ResumeArrival},
    resume::resolve_resume,
    scheduler::{SchedulerEvent, SchedulerView},
};
use savorywood_protocol::{CoreTime, RefusalCode, RequestId, RequestRefusal, UpstreamName};

impl DaemonCore {
    /// Steps the scheduler, then checks and forwards its decisions.
    pub(super) fn step_scheduler(
        &mut self,
        now: CoreTime,
        event: SchedulerEvent,
        effects: &mut EffectQueue,
    ) {
        let view = SchedulerView {
            config: self.config.view(),
            zone: &self.options.zone,
            splits: &self.scheduler_inputs.splits,
            grants: &self.scheduler_inputs.grants,
            floors: &self.scheduler_inputs.floors,
        };
        let mut decisions = EffectQueue::new();
        self.scheduler.step(now, event, view, &mut decisions);
        for effect in decisions.drain() {
            match effect {
                DaemonEffect::Dispatch(command) => self.dispatch(now, command, effects),
                DaemonEffect::Refuse { request, refusal } => {
                    self.handle_scheduler_refusal(now, request, refusal, effects);
                }
                other => effects.push(other),
            }
        }
    }

    /// Submits a request to the scheduler for the first time.
    pub(super) fn submit(
        &mut self,
        now: CoreTime,
        request: QueuedRequest,
        effects: &mut EffectQueue,
    ) {
        let service = request.service.clone();
        let event = SchedulerEvent::Arrived(Box::new(request));
        self.step_scheduler(now, event, effects);
        self.update_queue_state(now, &service, effects);
    }

    fn dispatch(&mut self, now: CoreTime, command: DispatchCommand, effects: &mut EffectQueue) {
        let request = command.request;
        let idempotent = self.guard.is_idempotent(request);
        let accepts_work = self.accepts_work(&command.upstream);
        self.check_version_split(&command, effects);
        let permitted = self.guard.dispatch(&command, accepts_work, effects)
            && self.claims.authorize_dispatch(request, idempotent, effects);
        if permitted {
            effects.push(DaemonEffect::Dispatch(command));
            return;
        }
        let detail = "the daemon blocked an invalid dispatch of this request; retry it";
        let refusal = RequestRefusal::unknown(RefusalCode::Internal, detail);
        self.send_refusal(now, request, refusal, effects);
        self.close(now, request, effects);
        self.step_scheduler(now, SchedulerEvent::CallerLeft { request }, effects);
    }

    /// Reports an invariant violation if the dispatch goes to a new version whose share is zero: a
    /// version whose move was stopped may fail its callers.
    fn check_version_split(&self, command: &DispatchCommand, effects: &mut EffectQueue) {
        let spec = self.config.view().upstreams.get(&command.upstream);
        let split = spec.and_then(|spec| self.scheduler_inputs.splits.get(&spec.service));
        let (Some(spec), Some(split)) = (spec, split) else {
            return;
        };
        let excluded = split.new_per_mille == 0 && spec.version == split.new;
        invariant::check(effects, InvariantName::BadVersionBounded, !excluded, || {
            format!("request={} version={}", command.request, spec.version)
        });
    }

    fn accepts_work(&self, upstream: &UpstreamName) -> bool {
        let spec = self.config.view().upstreams.get(upstream);
        let leaving = self.leaving_upstreams.contains(upstream);
        spec.is_some_and(|spec| !spec.draining) && !leaving
    }

    /// Handles a refusal by the scheduler. A refusal for load is held back while requests of lower
    /// tiers can be shed first.
    fn handle_scheduler_refusal(
        &mut self,
        now: CoreTime,
        request: RequestId,
        refusal: RequestRefusal,
        effects: &mut EffectQueue,
    ) {
        let queued = self.guard.get(request).cloned();
        if let Some(queued) = queued {
            if !self.may_shed(now, &queued, &refusal, effects) {
                return;
            }
            if refusal.is_overload() {
                self.shed_lower_held(now, &queued, effects);
            }
        }
        self.send_refusal(now, request, refusal, effects);
    }

    /// Sends a refusal to the caller and closes the request in the other duties. A non-idempotent
    /// call that may have reached its upstream stays open until its attempt ends.
    pub(super) fn send_refusal(
        &mut self,
        now: CoreTime,
        request: RequestId,
        refusal: RequestRefusal,
        effects: &mut EffectQueue,
    ) {
        let still_running = self.guard.is_dispatched(request) && !self.guard.is_idempotent(request);
        let refusal = self.guard.refuse(request, refusal, effects);
        if !still_running {
            self.close(now, request, effects);
        }
        effects.refuse(request, refusal);
    }

    /// Removes a request that has ended from the guard and from the claim duty.
    fn close(&mut self, now: CoreTime, request: RequestId, effects: &mut EffectQueue) {
        self.guard.close(request);
        self.step_claims(now, ClaimEvent::Closed { request }, effects);
    }

    /// Steps the claim duty and submits calls whose claim was granted to the scheduler.
    pub(super) fn step_claims(
        &mut self,
        now: CoreTime,
        event: ClaimEvent,
        effects: &mut EffectQueue,
    ) {
        let view = ClaimView {
            members: self.membership.view(),
        };
        let mut decisions = EffectQueue::new();
        let verdicts = self.claims.step(now, event, view, &mut decisions);
        for effect in decisions.drain() {
            match effect {
                DaemonEffect::Refuse { request, refusal } => {
                    let refusal = self.guard.refuse(request, refusal, effects);
                    effects.refuse(request, refusal);
                }
                DaemonEffect::Replay { request, response } => {
                    self.guard.close(request);
                    self.objectives.discard(request);
                    effects.push(DaemonEffect::Replay { request, response });
                }
                other => effects.push(other),
            }
        }
        for ClaimDecision::Granted(request) in verdicts {
            self.submit(now, *request, effects);
        }
    }

    pub(super) fn handle_upstream(
        &mut self,
        now: CoreTime,
        event: UpstreamEvent,
        effects: &mut EffectQueue,
    ) {
        if self.guard.is_current_attempt(&event) {
            self.record_attempt_event(now, &event, effects);
        }
        self.step_scheduler(now, SchedulerEvent::Upstream(event), effects);
    }

    /// Records an event of the current attempt before the scheduler acts on it.
    fn record_attempt_event(
        &mut self,
        now: CoreTime,
        event: &UpstreamEvent,
        effects: &mut EffectQueue,
    ) {
        self.record_version_sample(now, event, effects);
        self.objectives
            .record_event(now.monotonic, event, &mut self.burn);
        if self.claims.open_claims() > 0 {
            self.step_claims(now, ClaimEvent::Upstream(event.clone()), effects);
        }
        self.guard.record_event(event);
        if let UpstreamEvent::NotSent { request, .. } = event
            && self.guard.is_abandoned_unsent(*request)
        {
            self.close(now, *request, effects);
        }
    }

    pub(super) fn handle_caller(
        &mut self,
        now: CoreTime,
        event: CallerEvent,
        effects: &mut EffectQueue,
    ) {
        match event {
            CallerEvent::Arrived(arrival) => self.handle_arrival(now, &arrival, effects),
            CallerEvent::Disconnected { request } => self.handle_disconnect(now, request, effects),
            CallerEvent::Resumed(arrival) => self.resume(now, &arrival, effects),
        }
    }

    /// Handles a caller that disconnected. A non-idempotent call that may have reached its upstream
    /// continues without its caller: if it were cancelled, its outcome would stay unknown, and a
    /// retry by the caller could not be answered.
    fn handle_disconnect(&mut self, now: CoreTime, request: RequestId, effects: &mut EffectQueue) {
        let idempotent = self.guard.is_idempotent(request);
        if self.guard.is_dispatched(request) && !idempotent {
            return;
        }
        self.objectives.discard(request);
        self.resumed_requests.remove(&request);
        // The scheduler runs first: in this step it may still dispatch this request to a slot that
        // has become free, before it processes the disconnect.
        self.step_scheduler(now, SchedulerEvent::CallerLeft { request }, effects);
        self.held_requests.remove(request);
        if self.guard.is_dispatched(request) {
            self.guard.abandon(request);
        } else {
            self.close(now, request, effects);
        }
    }

    fn resume(&mut self, now: CoreTime, arrival: &ResumeArrival, effects: &mut EffectQueue) {
        let Some(key) = &self.options.resume_key else {
            let detail = "this daemon has no key for resume tokens";
            let refusal = RequestRefusal::unknown(RefusalCode::BadResumeToken, detail);
            return effects.refuse(arrival.request, refusal);
        };
        match resolve_resume(now, arrival, key, self.config.view()) {
            Ok(command) => {
                self.resumed_requests.insert(arrival.request);
                effects.push(DaemonEffect::Resume(command));
            }
            Err(refusal) => effects.refuse(arrival.request, refusal),
        }
    }
}
