//! Scheduling and claiming: how their decisions become effects.

use super::DaemonCore;
use crate::{
    claims::{ClaimEvent, ClaimVerdict, ClaimView},
    effect::{DaemonEffect, DispatchCommand, EffectQueue},
    event::{CallerEvent, UpstreamEvent},
    invariant::{self, InvariantName},
    request::{QueuedRequest, ResumeArrival},
    resume::resolve_resume,
    scheduler::{SchedulerEvent, SchedulerView},
};
use savorywood_protocol::{CoreTime, RefusalCode, RequestId, RequestRefusal, UpstreamName};

impl DaemonCore {
    /// Steps the scheduler and passes its decisions on.
    pub(super) fn step_scheduler(
        &mut self,
        now: CoreTime,
        event: SchedulerEvent,
        effects: &mut EffectQueue,
    ) {
        let view = SchedulerView {
            config: self.config.view(),
            zone: &self.options.zone,
            splits: &self.inputs.splits,
            grants: &self.inputs.grants,
            floors: &self.inputs.floors,
        };
        let mut decided = EffectQueue::new();
        self.scheduler.step(now, event, view, &mut decided);
        for effect in decided.drain() {
            match effect {
                DaemonEffect::Dispatch(order) => self.dispatch(now, order, effects),
                DaemonEffect::Refuse { request, refusal } => {
                    self.handle_scheduler_refusal(now, request, refusal, effects);
                }
                other => effects.push(other),
            }
        }
    }

    /// Hands a request to the scheduler for the first time.
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

    fn dispatch(&mut self, now: CoreTime, order: DispatchCommand, effects: &mut EffectQueue) {
        let request = order.request;
        let idempotent = self.guard.is_idempotent(request);
        let takes_work = self.accepts_work(&order.upstream);
        self.check_version_split(&order, effects);
        let passes = self.guard.dispatch(&order, takes_work, effects)
            && self.claims.may_dispatch(request, idempotent, effects);
        if passes {
            effects.push(DaemonEffect::Dispatch(order));
            return;
        }
        let detail = "the daemon kept the request from being sent wrongly; send it again";
        let refusal = RequestRefusal::unknown(RefusalCode::Internal, detail);
        self.send_refusal(now, request, refusal, effects);
        self.close(now, request, effects);
        self.step_scheduler(now, SchedulerEvent::CallerLeft { request }, effects);
    }

    /// A version that was stopped, or has no share yet, gets nothing: a caller of it would meet
    /// the fault that it was stopped for.
    fn check_version_split(&self, order: &DispatchCommand, effects: &mut EffectQueue) {
        let spec = self.config.view().upstreams.get(&order.upstream);
        let split = spec.and_then(|spec| self.inputs.splits.get(&spec.service));
        let (Some(spec), Some(split)) = (spec, split) else {
            return;
        };
        let barred = split.new_per_mille == 0 && spec.version == split.new;
        invariant::check(effects, InvariantName::BadVersionBounded, !barred, || {
            format!("request={} version={}", order.request, spec.version)
        });
    }

    fn accepts_work(&self, upstream: &UpstreamName) -> bool {
        let spec = self.config.view().upstreams.get(upstream);
        let leaving = self.leaving_upstreams.contains(upstream);
        spec.is_some_and(|spec| !spec.draining) && !leaving
    }

    /// Refuses what the scheduler turned away, unless others must yield first.
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
            if refusal.is_for_load() {
                self.shed_lower_held(now, &queued, effects);
            }
        }
        self.send_refusal(now, request, refusal, effects);
    }

    /// Gives a request its final answer and closes what other duties hold for it.
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

    /// Nothing more will come of a request.
    fn close(&mut self, now: CoreTime, request: RequestId, effects: &mut EffectQueue) {
        self.guard.close(request);
        self.step_claims(now, ClaimEvent::Closed { request }, effects);
    }

    /// Steps the claim duty; calls whose claim holds go to the scheduler.
    pub(super) fn step_claims(
        &mut self,
        now: CoreTime,
        event: ClaimEvent,
        effects: &mut EffectQueue,
    ) {
        let view = ClaimView {
            members: self.membership.view(),
        };
        let mut decided = EffectQueue::new();
        let verdicts = self.claims.step(now, event, view, &mut decided);
        for effect in decided.drain() {
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
        for ClaimVerdict::Granted(request) in verdicts {
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

    /// Notes what came of the attempt that is under way, before the scheduler acts on it.
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

    /// A call that may not be repeated and may have reached its upstream goes on without its
    /// caller: cancelled halfway, its outcome would stay unknown for good, and the caller's retry
    /// could not be answered.
    fn handle_disconnect(&mut self, now: CoreTime, request: RequestId, effects: &mut EffectQueue) {
        let idempotent = self.guard.is_idempotent(request);
        if self.guard.is_dispatched(request) && !idempotent {
            return;
        }
        self.objectives.discard(request);
        self.resumed_requests.remove(&request);
        // The scheduler first: as in any of its steps, a seat that has become free may go to this
        // very request before it hears that the caller left.
        self.step_scheduler(now, SchedulerEvent::CallerLeft { request }, effects);
        self.held.remove(request);
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
            Ok(order) => {
                self.resumed_requests.insert(arrival.request);
                effects.push(DaemonEffect::Resume(order));
            }
            Err(refusal) => effects.refuse(arrival.request, refusal),
        }
    }
}
