//! Measures each request against its service's objectives.

use crate::{burn::BurnLedger, event::UpstreamEvent, request::QueuedRequest};
use savorywood_protocol::{
    MonotonicTime, RequestId, ServiceName, TierRank, burn::BurnObjective,
    resource::ServiceObjectives,
};
use std::{collections::HashMap, time::Duration};

/// One request that is being measured.
#[derive(Debug)]
struct MeasuredRequest {
    service: ServiceName,
    rank: TierRank,
    arrived_at: MonotonicTime,
    deadline_at: MonotonicTime,
    objectives: ServiceObjectives,
    first_token_at: Option<MonotonicTime>,
    tokens_after_first: u32,
}

/// Requests that are being measured. Looked up by key alone, so the map's order reaches nothing.
#[derive(Debug, Default)]
pub struct ObjectiveTracker {
    requests: HashMap<RequestId, MeasuredRequest>,
}

impl ObjectiveTracker {
    /// Begins to measure a request.
    pub fn start(&mut self, request: &QueuedRequest, objectives: ServiceObjectives) {
        let measured = MeasuredRequest {
            service: request.service.clone(),
            rank: request.rank,
            arrived_at: request.arrived_at,
            deadline_at: request.deadline_at,
            objectives,
            first_token_at: None,
            tokens_after_first: 0,
        };
        self.requests.insert(request.request, measured);
    }

    /// Microseconds between two tokens of a request so far, if there were two.
    pub fn micros_per_token(&self, now: MonotonicTime, request: RequestId) -> Option<u32> {
        let measured = self.requests.get(&request)?;
        let gaps = measured.tokens_after_first.checked_sub(1)?;
        let elapsed = match gaps {
            0 => now.since(measured.arrived_at),
            _ => now.since(measured.first_token_at?) / gaps,
        };
        u32::try_from(elapsed.as_micros()).ok()
    }

    /// The caller left: nobody was kept waiting.
    pub fn discard(&mut self, request: RequestId) {
        self.requests.remove(&request);
    }

    /// A request was refused after it had been admitted, or at once for want of room: its
    /// deadline was missed.
    pub fn record_missed_deadline(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        burn: &mut BurnLedger,
    ) {
        if let Some(measured) = self.requests.remove(&request) {
            measured.record(now, BurnObjective::Deadline, false, burn);
        }
    }

    /// Notes what an upstream did.
    pub fn record_event(
        &mut self,
        now: MonotonicTime,
        event: &UpstreamEvent,
        burn: &mut BurnLedger,
    ) {
        match event {
            UpstreamEvent::FirstToken { request, .. } => {
                if let Some(measured) = self.requests.get_mut(request) {
                    measured.first_token_at = Some(now);
                }
            }
            UpstreamEvent::Tokens { request, count, .. } => {
                if let Some(measured) = self.requests.get_mut(request) {
                    measured.tokens_after_first += count;
                }
            }
            UpstreamEvent::Finished { request, .. } => {
                if let Some(measured) = self.requests.remove(request) {
                    measured.record_completion(now, burn);
                }
            }
            UpstreamEvent::Failed { request, .. } => {
                self.record_missed_deadline(now, *request, burn)
            }
            UpstreamEvent::NotSent { .. }
            | UpstreamEvent::LoadReported { .. }
            | UpstreamEvent::CacheChanged { .. } => {}
        }
    }
}

impl MeasuredRequest {
    fn record_completion(&self, now: MonotonicTime, burn: &mut BurnLedger) {
        let first_token_at = self.first_token_at.unwrap_or(now);
        let first_limit = Duration::from_millis(self.objectives.first_token_ms.into());
        let first_met = first_token_at.since(self.arrived_at) <= first_limit;
        self.record(now, BurnObjective::FirstToken, first_met, burn);
        let gaps = self.tokens_after_first.saturating_sub(1);
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
        burn: &mut BurnLedger,
    ) {
        burn.record(now, &self.service, self.rank, objective, met);
    }
}
