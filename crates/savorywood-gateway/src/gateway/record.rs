//! What a gateway knows of one open request.

use crate::{
    arrival::{PromptPart, RequestSize},
    config::{RouteSpec, TeamSpec},
    label::{ServiceLabel, UpstreamLabel},
    quarantine::RequestFingerprint,
    queue::{QueuePosition, RequestRank},
};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

/// An attempt under way.
#[derive(Debug, Clone)]
pub struct RunningAttempt {
    /// Where.
    pub upstream: UpstreamLabel,
    /// Since when.
    pub dispatched_at: MonotonicTime,
    /// When its answer began.
    pub first_event_at: Option<MonotonicTime>,
    /// Milliseconds that were expected until then.
    pub expected_first_event_ms: f64,
    /// When its newest event came.
    pub last_event_at: Option<MonotonicTime>,
    /// Longest pause between its events.
    pub max_event_gap: Duration,
    /// Events that came.
    pub events: u32,
    /// It is being ended, as its upstream is silent.
    pub abandoned: bool,
}

impl RunningAttempt {
    /// Events came.
    pub fn record_events(&mut self, now: MonotonicTime, events: u32) {
        if let Some(before) = self.last_event_at {
            self.max_event_gap = self.max_event_gap.max(now.since(before));
        }
        self.last_event_at = Some(now);
        self.events += events;
    }
}

/// Where a request is.
#[derive(Debug, Clone)]
pub enum RequestState {
    /// It waits.
    Waiting(QueuePosition),
    /// It runs.
    Running(RunningAttempt),
}

/// One open request.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Identity of the caller's, for the log.
    pub request_id: String,
    /// What it asks, to recognise repeats.
    pub fingerprint: RequestFingerprint,
    /// It is the one trial of a request in quarantine.
    pub is_probe: bool,
    /// Its route.
    pub route: Arc<RouteSpec>,
    /// Service drawn from the route's split.
    pub service: ServiceLabel,
    /// Team of its key.
    pub team: Option<Arc<TeamSpec>>,
    /// Units taken from the team's limit.
    pub charged_units: f64,
    /// Its rank.
    pub rank: RequestRank,
    /// Its size.
    pub size: RequestSize,
    /// Tokens of its answer as the caller expects.
    pub expected_output_tokens: u32,
    /// Parts of its prompt.
    pub prompt_parts: Vec<PromptPart>,
    /// When it came.
    pub arrived_at: MonotonicTime,
    /// When it must have its final answer.
    pub give_up_at: MonotonicTime,
    /// When its caller leaves if nothing has come.
    pub caller_timeout_at: MonotonicTime,
    /// Where it is.
    pub state: RequestState,
    /// Upstreams that have had it.
    pub attempted_upstreams: Vec<UpstreamLabel>,
    /// Times that it was sent.
    pub attempts: u32,
    /// Upstreams that may have run it.
    pub executions: u32,
    /// An upstream's own failure is kept for the caller.
    pub has_upstream_failure: bool,
    /// A try of the budget is already spent for its next send.
    pub has_reserved_retry: bool,
    /// Events or bytes have reached the caller.
    pub response_started: bool,
}

/// Time kept for a refusal's way to a caller that is about to leave.
const LEAVING_MARGIN: Duration = Duration::from_millis(100);

impl RequestRecord {
    /// When its caller leaves if nothing comes after this moment.
    pub fn caller_timeout_after(&self, received_at: MonotonicTime) -> MonotonicTime {
        let caller_timeout = self.route.caller_idle_timeout;
        let leave_at = caller_timeout
            .map(|caller_timeout| received_at + caller_timeout.saturating_sub(LEAVING_MARGIN));
        leave_at.map_or(self.give_up_at, |at| at.min(self.give_up_at))
    }

    /// The route allows one more run beside the one under way.
    pub fn allows_concurrent_execution(&self) -> bool {
        self.route.retry_safety.is_idempotent() && self.executions + 1 < self.route.max_attempts
    }

    /// A second run is allowed by the route.
    pub fn allows_another_execution(&self) -> bool {
        self.route.retry_safety.is_idempotent() && self.executions < self.route.max_attempts.max(1)
    }
}
