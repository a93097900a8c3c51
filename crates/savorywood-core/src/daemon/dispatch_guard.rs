//! The last look at a decision before it becomes an effect: invariants over all duties.

use crate::{
    effect::{DispatchCommand, EffectQueue},
    event::UpstreamEvent,
    invariant::{self, InvariantName},
    request::QueuedRequest,
};
use savorywood_protocol::{AttemptNumber, OutcomeKind, RequestId, RequestRefusal, UpstreamName};
use std::collections::BTreeMap;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DispatchStage {
    /// No byte of it can have left this host.
    Local,
    /// It may have reached an upstream in this attempt.
    Dispatched(AttemptNumber),
}

/// One open request.
#[derive(Debug)]
struct GuardedRequest {
    stage: DispatchStage,
    request: QueuedRequest,
    /// Upstream of the newest dispatch.
    upstream: Option<UpstreamName>,
    /// Attempt that comes next.
    next_attempt: AttemptNumber,
    /// Nobody waits for its answer any longer, but its attempt has not ended.
    abandoned: bool,
}

/// Open requests, and how far each has come.
#[derive(Debug, Default)]
pub struct DispatchGuard {
    entries: BTreeMap<RequestId, GuardedRequest>,
}

impl DispatchGuard {
    /// Notes a request that was let in.
    pub fn open(&mut self, request: QueuedRequest) {
        let key = request.request;
        let entry = GuardedRequest {
            stage: DispatchStage::Local,
            request,
            upstream: None,
            next_attempt: AttemptNumber::default(),
            abandoned: false,
        };
        self.entries.insert(key, entry);
    }

    /// Upstream that a request was dispatched to last.
    pub fn upstream_of(&self, request: RequestId) -> Option<&UpstreamName> {
        self.entries.get(&request)?.upstream.as_ref()
    }

    /// Attempt that comes next. A request that was held must not use a number twice: events of
    /// the first attempt would be taken for the second's.
    pub fn next_attempt(&self, request: RequestId) -> AttemptNumber {
        let entry = self.entries.get(&request);
        entry.map(|entry| entry.next_attempt).unwrap_or_default()
    }

    /// An open request.
    pub fn get(&self, request: RequestId) -> Option<&QueuedRequest> {
        self.entries.get(&request).map(|entry| &entry.request)
    }

    /// Forgets a request that is over.
    pub fn close(&mut self, request: RequestId) {
        self.entries.remove(&request);
    }

    /// Requests that are open.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether a request may run twice without harm; unknown ones may not.
    pub fn is_idempotent(&self, request: RequestId) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|entry| entry.request.idempotent)
    }

    /// Whether a request may have reached an upstream.
    pub fn is_dispatched(&self, request: RequestId) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|entry| entry.stage != DispatchStage::Local)
    }

    /// Notes that nobody waits for a request any longer.
    pub fn abandon(&mut self, request: RequestId) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.abandoned = true;
        }
    }

    /// Whether an abandoned request turned out not to have left this host. Nothing more will
    /// come of it: kept open, it would hold up a planned stop for good.
    pub fn is_abandoned_unsent(&self, request: RequestId) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|entry| entry.abandoned && entry.stage == DispatchStage::Local)
    }

    /// Whether an event is of the attempt that is under way, or of no request at all.
    ///
    /// A late event of an older attempt says nothing of the present one. Taken for it, "not
    /// sent" would release the claim of a call that runs, and its repeat would run too.
    pub fn is_current_attempt(&self, event: &UpstreamEvent) -> bool {
        let Some(key) = attempt_key(event) else {
            return true;
        };
        let entry = self.entries.get(&key.request);
        entry.is_some_and(|entry| entry.stage == DispatchStage::Dispatched(key.attempt))
    }

    /// Checks a dispatch and notes it; `false` when it must not happen. `takes_work` says whether
    /// the upstream gets new work at all.
    ///
    /// A second dispatch of the same request would run it twice: two charges, two bulletins. The
    /// scheduler's table keeps it from happening; this look does not depend on that table.
    pub fn dispatch(
        &mut self,
        order: &DispatchCommand,
        takes_work: bool,
        effects: &mut EffectQueue,
    ) -> bool {
        invariant::check(
            effects,
            InvariantName::NoDispatchToLeaving,
            takes_work,
            || format!("request={} upstream={}", order.request, order.upstream),
        );
        let entry = self.entries.get_mut(&order.request);
        let first = entry.filter(|entry| entry.stage == DispatchStage::Local);
        let once = first.is_some();
        if let Some(entry) = first {
            entry.stage = DispatchStage::Dispatched(order.attempt);
            entry.next_attempt = order.attempt.next();
            entry.upstream = Some(order.upstream.clone());
        }
        invariant::check(effects, InvariantName::DispatchAtMostOnce, once, || {
            format!("request={} attempt={}", order.request, order.attempt)
        });
        once && takes_work
    }

    /// Notes what an upstream did in the attempt that is under way.
    pub fn record_event(&mut self, event: &UpstreamEvent) {
        match event {
            UpstreamEvent::NotSent { request, .. } => {
                if let Some(entry) = self.entries.get_mut(request) {
                    entry.stage = DispatchStage::Local;
                }
            }
            UpstreamEvent::Finished { request, .. } | UpstreamEvent::Failed { request, .. } => {
                self.close(*request);
            }
            UpstreamEvent::FirstToken { .. }
            | UpstreamEvent::Tokens { .. }
            | UpstreamEvent::LoadReported { .. }
            | UpstreamEvent::CacheChanged { .. } => {}
        }
    }

    /// Checks a refusal, corrects it if it says too much, and closes the request.
    ///
    /// A caller that is told "not run" sends the request again. If it did run, it runs twice.
    ///
    /// A call that may not be repeated and may have reached its upstream stays open until its
    /// attempt ends: its outcome is still to be recorded, and a planned stop has to wait for it.
    pub fn refuse(
        &mut self,
        request: RequestId,
        mut refusal: RequestRefusal,
        effects: &mut EffectQueue,
    ) -> RequestRefusal {
        let claims_not_executed = refusal.outcome == OutcomeKind::NotRun;
        let dispatched = self.is_dispatched(request);
        let is_accurate = !(claims_not_executed && dispatched);
        invariant::check(
            effects,
            InvariantName::NotExecutedIsAccurate,
            is_accurate,
            || format!("request={request} code={}", refusal.code),
        );
        if !is_accurate {
            refusal.outcome = OutcomeKind::Unknown;
        }
        if dispatched && !self.is_idempotent(request) {
            self.abandon(request);
        } else {
            self.close(request);
        }
        refusal
    }
}

/// One attempt of one request.
#[derive(Debug, Clone, Copy)]
struct AttemptKey {
    request: RequestId,
    attempt: AttemptNumber,
}

fn attempt_key(event: &UpstreamEvent) -> Option<AttemptKey> {
    match event {
        UpstreamEvent::NotSent { request, attempt }
        | UpstreamEvent::FirstToken { request, attempt }
        | UpstreamEvent::Tokens {
            request, attempt, ..
        }
        | UpstreamEvent::Finished {
            request, attempt, ..
        }
        | UpstreamEvent::Failed {
            request, attempt, ..
        } => Some(AttemptKey {
            request: *request,
            attempt: *attempt,
        }),
        UpstreamEvent::LoadReported { .. } | UpstreamEvent::CacheChanged { .. } => None,
    }
}
