//! Measures requests against the objectives of their services and records the results in the
//! burn ledger.

use crate::{burn::BurnTracker, event::UpstreamEvent, request::QueuedRequest};
use savorywood_protocol::{
    MonotonicTime, RequestId, ServiceName, TierRank, burn::BurnObjective,
    resource::ServiceObjectives,
};
use std::{collections::HashMap, time::Duration};

/// Measurements of one open request.
#[derive(Debug)]
struct MeasuredRequest {
    service: ServiceName,
    rank: TierRank,
    arrived_at: MonotonicTime,
    deadline_at: MonotonicTime,
    objectives: ServiceObjectives,
    first_token_at: Option<MonotonicTime>,
    output_tokens: u32,
}

/// Open requests that are being measured. The map is never iterated, so its random order can't
/// make the core non-deterministic.
#[derive(Debug, Default)]
pub struct ObjectiveTracker {
    requests: HashMap<RequestId, MeasuredRequest>,
}

impl ObjectiveTracker {
    /// Starts to measure a request.
    pub fn start(&mut self, request: &QueuedRequest, objectives: ServiceObjectives) {
        let measured = MeasuredRequest {
            service: request.service.clone(),
            rank: request.rank,
            arrived_at: request.arrived_at,
            deadline_at: request.deadline_at,
            objectives,
            first_token_at: None,
            output_tokens: 0,
        };
        self.requests.insert(request.request, measured);
    }

    /// Returns the mean time between two tokens of a request so far, in microseconds. With a single
    /// token this is the time since the request arrived; `None` without tokens.
    pub fn micros_per_token(&self, now: MonotonicTime, request: RequestId) -> Option<u32> {
        let measured = self.requests.get(&request)?;
        let gaps = measured.output_tokens.checked_sub(1)?;
        let elapsed = match gaps {
            0 => now.since(measured.arrived_at),
            _ => now.since(measured.first_token_at?) / gaps,
        };
        u32::try_from(elapsed.as_micros()).ok()
    }

    /// Stops measuring a request without a result, for example because its caller disconnected.
    pub fn discard(&mut self, request: RequestId) {
        self.requests.remove(&request);
    }

    /// Records that a request missed its deadline, because it was refused or its attempt failed.
    pub fn record_missed_deadline(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        burn: &mut BurnTracker,
    ) {
        if let Some(measured) = self.requests.remove(&request) {
            measured.record(now, BurnObjective::Deadline, false, burn);
        }
    }

    /// Records the progress or the end of an attempt.
    pub fn record_event(
        &mut self,
        now: MonotonicTime,
        event: &UpstreamEvent,
        burn: &mut BurnTracker,
    ) {
        match event {
            UpstreamEvent::FirstToken { request, .. } => {
                if let Some(measured) = self.requests.get_mut(request) {
                    measured.first_token_at = Some(now);
                }
            }
            UpstreamEvent::Tokens { request, count, .. } => {
                if let Some(measured) = self.requests.get_mut(request) {
                    measured.output_tokens += count;
                }
            }
            UpstreamEvent::Finished { request, .. } => {
                if let Some(measured) = self.requests.remove(request) {
                    measured.record_completion(now, burn);
                }
            }
            UpstreamEvent::Failed { request, .. } => {
                self.record_missed_deadline(now, *request, burn);
            }
            UpstreamEvent::NotSent { .. }
            | UpstreamEvent::LoadReported { .. }
            | UpstreamEvent::CacheChanged { .. } => {}
        }
    }
}

impl MeasuredRequest {
    fn record_completion(&self, now: MonotonicTime, burn: &mut BurnTracker) {
        let first_token_at = self.first_token_at.unwrap_or(now);
        let first_limit = Duration::from_millis(self.objectives.first_token_ms.into());
        let first_met = first_token_at.since(self.arrived_at) <= first_limit;
        self.record(now, BurnObjective::FirstToken, first_met, burn);
        let gaps = self.output_tokens.saturating_sub(1);
        if gaps > 0 {
            let gap = now.since(first_token_at) / gaps;
            let gap_limit = Duration::from_millis(self.objectives.token_gap_ms.into());
            self.record(now, BurnObjective::TokenGap, gap <= gap_limit, burn);
        }
        self.record(now, BurnObjective::Deadline, now <= self.deadline_at, burn);
    }

    fn record(
        &self,
        now: MonotonicTime,
        objective: BurnObjective,
        met: bool,
        burn: &mut BurnTracker,
    ) {
        burn.record(now, &self.service, self.rank, objective, met);
    }
}
