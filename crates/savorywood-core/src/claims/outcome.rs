//! How claimed calls end, and what is recorded of it.

use super::{ClaimOutcome, ClaimStage, ClaimState, ClaimView, RecordedAnswer, batch::WriteKind};
use crate::{effect::EffectQueue, event::UpstreamEvent, request::KeptAnswer};
use savorywood_protocol::{CoreTime, RequestId};

impl ClaimState {
    pub(super) fn upstream(
        &mut self,
        now: CoreTime,
        event: &UpstreamEvent,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        match event {
            UpstreamEvent::NotSent { request, .. } => self.not_sent(*request),
            UpstreamEvent::Finished {
                request, report, ..
            } => {
                let outcome = self.outcome_of(*request, report.status);
                self.record(now, *request, outcome, view, effects);
            }
            UpstreamEvent::Failed { request, .. } => {
                self.record(now, *request, ClaimOutcome::Unknown, view, effects);
            }
            UpstreamEvent::FirstToken { .. }
            | UpstreamEvent::Tokens { .. }
            | UpstreamEvent::LoadReported { .. }
            | UpstreamEvent::CacheChanged { .. } => {}
        }
    }

    /// No byte left, so the claim is as if the call had never been dispatched.
    fn not_sent(&mut self, request: RequestId) {
        let claim = self.open.get_mut(&request);
        if let Some(claim) = claim.filter(|claim| claim.stage == ClaimStage::Dispatched) {
            claim.stage = ClaimStage::Held;
        }
    }

    pub(super) fn answer_kept(&mut self, request: RequestId, answer: &KeptAnswer) {
        let max_body = self.options.max_kept_body;
        if let Some(claim) = self.open.get_mut(&request) {
            claim.answer = Some(RecordedAnswer::from_kept(answer, max_body));
        }
    }

    fn outcome_of(&self, request: RequestId, status: u16) -> ClaimOutcome {
        let claim = self.open.get(&request);
        let answer = claim.and_then(|claim| claim.answer.clone());
        ClaimOutcome::Answered(answer.unwrap_or_else(|| RecordedAnswer {
            status,
            content_type: String::new(),
            body: None,
        }))
    }

    fn record(
        &mut self,
        now: CoreTime,
        request: RequestId,
        outcome: ClaimOutcome,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let claim = self.open.get_mut(&request);
        let Some(claim) = claim.filter(|claim| claim.stage == ClaimStage::Dispatched) else {
            return;
        };
        claim.stage = ClaimStage::Recording;
        claim.record.outcome = outcome;
        claim.tries = 0;
        let kind = WriteKind::Record;
        self.enqueue(now.monotonic, request, kind, view, effects);
    }

    /// The scheduler is done with a call. If no byte of it can have left, its claim is deleted,
    /// so that the same key may be tried again; otherwise it stays for good.
    pub(super) fn close(
        &mut self,
        now: CoreTime,
        request: RequestId,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(claim) = self.open.get_mut(&request) else {
            return;
        };
        match claim.stage {
            ClaimStage::Held => {
                claim.stage = ClaimStage::Releasing;
                let kind = WriteKind::Release;
                self.enqueue(now.monotonic, request, kind, view, effects);
            }
            ClaimStage::Wanted => claim.stage = ClaimStage::Releasing,
            ClaimStage::Dispatched => {
                self.record(now, request, ClaimOutcome::Unknown, view, effects);
            }
            ClaimStage::Recording | ClaimStage::Releasing => {}
        }
    }
}
