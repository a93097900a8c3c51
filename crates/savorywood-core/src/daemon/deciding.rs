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
    pub(super) fn schedule(
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
                    self.refuse(now, request, refusal, effects);
                }
                other => effects.push(other),
            }
        }
    }

    /// Hands a request to the scheduler for the first time.
    pub(super) fn admit(
        &mut self,
        now: CoreTime,
        request: QueuedRequest,
        effects: &mut EffectQueue,
    ) {
        let service = request.service.clone();
        let event = SchedulerEvent::Arrived(Box::new(request));
        self.schedule(now, event, effects);
        self.note_queue(now, &service, effects);
    }

    fn dispatch(&mut self, now: CoreTime, order: DispatchCommand, effects: &mut EffectQueue) {
        let request = order.request;
        let idempotent = self.gate.is_idempotent(request);
        let takes_work = self.takes_work(&order.upstream);
        self.check_version(&order, effects);
        let passes = self.gate.dispatch(&order, takes_work, effects)
            && self.claims.may_dispatch(request, idempotent, effects);
        if passes {
            effects.push(DaemonEffect::Dispatch(order));
            return;
        }
        let detail = "the daemon kept the request from being sent wrongly; send it again";
        let refusal = RequestRefusal::unknown(RefusalCode::Internal, detail);
        self.give_refusal(now, request, refusal, effects);
        self.close(now, request, effects);
        self.schedule(now, SchedulerEvent::CallerLeft { request }, effects);
    }

    /// A version that was stopped, or has no share yet, gets nothing: a caller of it would meet
    /// the fault that it was stopped for.
    fn check_version(&self, order: &DispatchCommand, effects: &mut EffectQueue) {
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

    fn takes_work(&self, upstream: &UpstreamName) -> bool {
        let spec = self.config.view().upstreams.get(upstream);
        let leaving = self.leaving_upstreams.contains(upstream);
        spec.is_some_and(|spec| !spec.draining) && !leaving
    }

    /// Refuses what the scheduler turned away, unless others must yield first.
    fn refuse(
        &mut self,
        now: CoreTime,
        request: RequestId,
        refusal: RequestRefusal,
        effects: &mut EffectQueue,
    ) {
        let queued = self.gate.get(request).cloned();
        if let Some(queued) = queued {
            if !self.may_shed(now, &queued, &refusal, effects) {
                return;
            }
            if refusal.is_for_load() {
                self.shed_lower_held(now, &queued, effects);
            }
        }
        self.give_refusal(now, request, refusal, effects);
    }

    /// Gives a request its final answer and closes what other duties hold for it.
    pub(super) fn give_refusal(
        &mut self,
        now: CoreTime,
        request: RequestId,
        refusal: RequestRefusal,
        effects: &mut EffectQueue,
    ) {
        let goes_on = self.gate.is_dispatched(request) && !self.gate.is_idempotent(request);
        let refusal = self.gate.refuse(request, refusal, effects);
        if !goes_on {
            self.close(now, request, effects);
        }
        effects.refuse(request, refusal);
    }

    /// Nothing more will come of a request.
    fn close(&mut self, now: CoreTime, request: RequestId, effects: &mut EffectQueue) {
        self.gate.close(request);
        self.claim(now, ClaimEvent::Closed { request }, effects);
    }

    /// Steps the claim duty; calls whose claim holds go to the scheduler.
    pub(super) fn claim(&mut self, now: CoreTime, event: ClaimEvent, effects: &mut EffectQueue) {
        let view = ClaimView {
            members: self.membership.view(),
        };
        let mut decided = EffectQueue::new();
        let verdicts = self.claims.step(now, event, view, &mut decided);
        for effect in decided.drain() {
            match effect {
                DaemonEffect::Refuse { request, refusal } => {
                    let refusal = self.gate.refuse(request, refusal, effects);
                    effects.refuse(request, refusal);
                }
                DaemonEffect::Replay { request, response } => {
                    self.gate.close(request);
                    self.objectives.forget(request);
                    effects.push(DaemonEffect::Replay { request, response });
                }
                other => effects.push(other),
            }
        }
        for ClaimVerdict::Granted(request) in verdicts {
            self.admit(now, *request, effects);
        }
    }

    pub(super) fn upstream(
        &mut self,
        now: CoreTime,
        event: UpstreamEvent,
        effects: &mut EffectQueue,
    ) {
        if self.gate.is_current(&event) {
            self.note_attempt(now, &event, effects);
        }
        self.schedule(now, SchedulerEvent::Upstream(event), effects);
    }

    /// Notes what came of the attempt that is under way, before the scheduler acts on it.
    fn note_attempt(&mut self, now: CoreTime, event: &UpstreamEvent, effects: &mut EffectQueue) {
        self.sample_version(now, event, effects);
        self.objectives
            .upstream(now.monotonic, event, &mut self.burn);
        if self.claims.open_claims() > 0 {
            self.claim(now, ClaimEvent::Upstream(event.clone()), effects);
        }
        self.gate.upstream(event);
        if let UpstreamEvent::NotSent { request, .. } = event
            && self.gate.is_given_up(*request)
        {
            self.close(now, *request, effects);
        }
    }

    pub(super) fn caller(&mut self, now: CoreTime, event: CallerEvent, effects: &mut EffectQueue) {
        match event {
            CallerEvent::Arrived(arrival) => self.arrive(now, &arrival, effects),
            CallerEvent::Disconnected { request } => self.caller_left(now, request, effects),
            CallerEvent::Resumed(arrival) => self.resume(now, &arrival, effects),
        }
    }

    /// A call that may not be repeated and may have reached its upstream goes on without its
    /// caller: cancelled halfway, its outcome would stay unknown for good, and the caller's retry
    /// could not be answered.
    fn caller_left(&mut self, now: CoreTime, request: RequestId, effects: &mut EffectQueue) {
        let idempotent = self.gate.is_idempotent(request);
        if self.gate.is_dispatched(request) && !idempotent {
            return;
        }
        self.objectives.forget(request);
        self.resumed.remove(&request);
        // The scheduler first: as in any of its steps, a seat that has become free may go to this
        // very request before it hears that the caller left.
        self.schedule(now, SchedulerEvent::CallerLeft { request }, effects);
        self.held.remove(request);
        if self.gate.is_dispatched(request) {
            self.gate.abandon(request);
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
                self.resumed.insert(arrival.request);
                effects.push(DaemonEffect::Resume(order));
            }
            Err(refusal) => effects.refuse(arrival.request, refusal),
        }
    }
}
