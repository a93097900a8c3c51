//! Outcomes of claimed calls and their recording.

use super::{
    ClaimOutcome, ClaimStage, ClaimState, ClaimView, RecordedResponse, batch::RowOperation,
};
use crate::{effect::EffectQueue, event::UpstreamEvent, request::StoredResponse};
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

    /// Returns the claim to `Held` when no byte of the call was sent.
    fn not_sent(&mut self, request: RequestId) {
        let claim = self.open.get_mut(&request);
        if let Some(claim) = claim.filter(|claim| claim.stage == ClaimStage::Dispatched) {
            claim.stage = ClaimStage::Held;
        }
    }

    pub(super) fn add_response(&mut self, request: RequestId, response: &StoredResponse) {
        let max_body = self.options.max_recorded_body_bytes;
        if let Some(claim) = self.open.get_mut(&request) {
            claim.response = Some(RecordedResponse::from_response(response, max_body));
        }
    }

    fn outcome_of(&self, request: RequestId, status: u16) -> ClaimOutcome {
        let claim = self.open.get(&request);
        let response = claim.and_then(|claim| claim.response.clone());
        ClaimOutcome::Answered(response.unwrap_or_else(|| RecordedResponse {
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
        claim.attempts = 0;
        let kind = RowOperation::Record;
        self.enqueue(now.monotonic, request, kind, view, effects);
    }

    /// Handles a call that the scheduler dropped. If no byte of it was sent, its claim is deleted
    /// so that the key can be used again; otherwise the claim stays.
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
                let kind = RowOperation::Release;
                self.enqueue(now.monotonic, request, kind, view, effects);
            }
            ClaimStage::Pending => claim.stage = ClaimStage::Releasing,
            ClaimStage::Dispatched => {
                self.record(now, request, ClaimOutcome::Unknown, view, effects);
            }
            ClaimStage::Recording | ClaimStage::Releasing => {}
        }
    }
}
