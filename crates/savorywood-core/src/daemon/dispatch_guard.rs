//! Guard between the decisions of the duties and their effects. Tracks every open request and
//! enforces the invariants that span several duties.

use crate::{
    effect::{DispatchCommand, EffectQueue},
    event::UpstreamEvent,
    invariant::{self, InvariantName},
    request::QueuedRequest,
};
use savorywood_protocol::{AttemptNumber, OutcomeKind, RequestId, RequestRefusal, UpstreamName};
use std::collections::BTreeMap;

/// Whether a request may have reached an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DispatchStage {
    /// No byte of the request can have left this host.
    Local,
    /// The request may have reached an upstream in this attempt.
    Dispatched(AttemptNumber),
}

/// State of one open request.
#[derive(Debug)]
struct GuardedRequest {
    stage: DispatchStage,
    request: QueuedRequest,
    /// Upstream of the latest dispatch; `None` before the first.
    upstream: Option<UpstreamName>,
    /// Number for the next attempt.
    next_attempt: AttemptNumber,
    /// No caller waits for the response any longer, but the attempt has not ended.
    abandoned: bool,
}

/// Open requests with their dispatch state.
#[derive(Debug, Default)]
pub struct DispatchGuard {
    entries: BTreeMap<RequestId, GuardedRequest>,
}

impl DispatchGuard {
    /// Adds a request that passed the admission checks.
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

    /// Returns the upstream of the latest dispatch of a request.
    pub fn upstream_of(&self, request: RequestId) -> Option<&UpstreamName> {
        self.entries.get(&request)?.upstream.as_ref()
    }

    /// Returns the number for the next attempt. Numbers are never reused, also when a request was
    /// held in between: late events of an earlier attempt would otherwise be attributed to the
    /// later one.
    pub fn next_attempt(&self, request: RequestId) -> AttemptNumber {
        let entry = self.entries.get(&request);
        entry.map(|entry| entry.next_attempt).unwrap_or_default()
    }

    /// Returns an open request.
    pub fn get(&self, request: RequestId) -> Option<&QueuedRequest> {
        self.entries.get(&request).map(|entry| &entry.request)
    }

    /// Removes a request that has ended.
    pub fn close(&mut self, request: RequestId) {
        self.entries.remove(&request);
    }

    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether a request is idempotent. Requests that are not open count as not idempotent.
    pub fn is_idempotent(&self, request: RequestId) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|entry| entry.request.idempotent)
    }

    /// Whether a request may have reached an upstream.
    pub fn is_dispatched(&self, request: RequestId) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|entry| entry.stage != DispatchStage::Local)
    }

    /// Marks a request whose caller no longer waits for the response.
    pub fn abandon(&mut self, request: RequestId) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.abandoned = true;
        }
    }

    /// Whether an abandoned request was never sent. No further event ends such a request; if it
    /// stayed open, a planned stop would wait for it forever.
    pub fn is_abandoned_unsent(&self, request: RequestId) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|entry| entry.abandoned && entry.stage == DispatchStage::Local)
    }

    /// Whether an event belongs to the current attempt of its request, or to no request at all.
    ///
    /// Late events of earlier attempts must be ignored: a late
    /// [`NotSent`](UpstreamEvent::NotSent) would release the claim of a call that is running, and
    /// a repeat of the call would then run as well.
    pub fn is_current_attempt(&self, event: &UpstreamEvent) -> bool {
        let Some(key) = attempt_key(event) else {
            return true;
        };
        let entry = self.entries.get(&key.request);
        entry.is_some_and(|entry| entry.stage == DispatchStage::Dispatched(key.attempt))
    }

    /// Checks and records a dispatch; returns `false` when it must not happen. `accepts_work` is
    /// whether the upstream may receive new requests.
    ///
    /// A second dispatch while an attempt is open could execute the request twice, for example
    /// charge a customer twice. The scheduler's table prevents this already; this check is
    /// independent of that table.
    pub fn dispatch(
        &mut self,
        command: &DispatchCommand,
        accepts_work: bool,
        effects: &mut EffectQueue,
    ) -> bool {
        invariant::check(
            effects,
            InvariantName::NoDispatchToLeaving,
            accepts_work,
            || format!("request={} upstream={}", command.request, command.upstream),
        );
        let entry = self.entries.get_mut(&command.request);
        let undispatched = entry.filter(|entry| entry.stage == DispatchStage::Local);
        let is_first = undispatched.is_some();
        if let Some(entry) = undispatched {
            entry.stage = DispatchStage::Dispatched(command.attempt);
            entry.next_attempt = command.attempt.next();
            entry.upstream = Some(command.upstream.clone());
        }
        invariant::check(effects, InvariantName::DispatchAtMostOnce, is_first, || {
            format!("request={} attempt={}", command.request, command.attempt)
        });
        is_first && accepts_work
    }

    /// Records an event of the current attempt.
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

    /// Checks a refusal, corrects its outcome if necessary, and closes the request.
    ///
    /// A caller retries a request whose outcome is "not run". If the request may have reached an
    /// upstream, the outcome is corrected to unknown, since a retry could execute it twice.
    ///
    /// A non-idempotent call that may have reached its upstream stays open until its attempt ends:
    /// its outcome is still to be recorded, and a planned stop waits for that.
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

/// Identifies one attempt of one request.
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
