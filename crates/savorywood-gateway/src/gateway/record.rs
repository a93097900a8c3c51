//! State of one open request.

use crate::{
    arrival::{LocalRequest, PromptPart, RequestSize},
    config::{RouteSpec, TeamSpec},
    event::AttemptOutcome,
    label::{ServiceLabel, UpstreamLabel},
    quarantine::RequestFingerprints,
    queue::{QueuePosition, RequestRank},
};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

/// An attempt in progress at an upstream.
#[derive(Debug, Clone)]
pub struct RunningAttempt {
    /// Number of the dispatch, unique within the process.
    pub number: u64,
    /// Upstream that received the request.
    pub upstream: UpstreamLabel,
    /// The request goes through a peer.
    pub relayed: bool,
    /// Time of dispatch.
    pub dispatched_at: MonotonicTime,
    /// Time of the first event, or of the head of a response that is not a stream.
    pub first_event_at: Option<MonotonicTime>,
    /// Expected milliseconds from dispatch to the first event, or to the end of a response that is
    /// not a stream.
    pub expected_first_event_ms: f64,
    /// Time of the newest event.
    pub last_event_at: Option<MonotonicTime>,
    /// Longest gap between two events.
    pub max_event_gap: Duration,
    /// Events received.
    pub events: u32,
    /// Its pace was compared with that of other versions.
    pub pace_recorded: bool,
    /// The attempt is being cancelled because its upstream is stalled.
    pub abandoned: bool,
}

/// An attempt that has ended, with its outcome.
#[derive(Debug, Clone, Copy)]
pub struct EndedAttempt<'a> {
    /// Request that was sent.
    pub request: LocalRequest,
    /// The attempt as it was in progress.
    pub attempt: &'a RunningAttempt,
    /// How it ended.
    pub outcome: &'a AttemptOutcome,
}

impl RunningAttempt {
    /// Records received events and the gap before them.
    pub fn record_events(&mut self, now: MonotonicTime, events: u32) {
        if let Some(before) = self.last_event_at {
            self.max_event_gap = self.max_event_gap.max(now.since(before));
        }
        self.last_event_at = Some(now);
        self.events += events;
    }

    /// Returns the mean time between the events so far, without the longest gap, which may be due
    /// to the prompt of another request.
    pub fn event_pace(&self) -> Option<Duration> {
        let streaming = self.last_event_at?.since(self.first_event_at?);
        let gaps = self.events.checked_sub(2).filter(|gaps| *gaps > 0)?;
        Some(streaming.saturating_sub(self.max_event_gap) / gaps)
    }
}

/// State of an open request.
#[derive(Debug, Clone)]
pub enum RequestState {
    /// It waits for a free slot.
    Waiting(QueuePosition),
    /// It is in progress at an upstream.
    Running(RunningAttempt),
}

/// An admitted request that has no final response yet.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Request identifier given by the caller, for the log.
    pub request_id: String,
    /// Fingerprints of the request, used by the quarantine.
    pub fingerprints: RequestFingerprints,
    /// The request is the probe of a quarantined fingerprint.
    pub is_probe: bool,
    /// Route that the request matched.
    pub route: Arc<RouteSpec>,
    /// Service selected at random by the route's traffic split.
    pub service: ServiceLabel,
    /// Team of the API key; absent on public routes without a known key.
    pub team: Option<Arc<TeamSpec>>,
    /// Units charged to the team's limit: tokens or requests; 0 without a limit.
    pub charged_units: f64,
    /// Priority in the queue.
    pub rank: RequestRank,
    /// Size in tokens; zero when the request does not report it.
    pub size: RequestSize,
    /// Expected tokens of the response: the caller's estimate, or else the maximum.
    pub expected_output_tokens: u32,
    /// Segments of the prompt.
    pub prompt_parts: Vec<PromptPart>,
    /// Time of arrival.
    pub arrived_at: MonotonicTime,
    /// Time by which it must start in order to meet its objective.
    pub start_by: MonotonicTime,
    /// Time at which the request is given up so that a refusal reaches its caller in time.
    pub give_up_at: MonotonicTime,
    /// Deadline of the final response.
    pub deadline_at: MonotonicTime,
    /// Time at which the caller is expected to give up if it receives nothing more.
    pub caller_timeout_at: MonotonicTime,
    /// Whether the request waits or is in progress.
    pub state: RequestState,
    /// Upstreams that have received an attempt.
    pub attempted_upstreams: Vec<UpstreamLabel>,
    /// Number of attempts dispatched.
    pub attempts: u32,
    /// Number of them of which no byte reached an upstream.
    pub unsent_attempts: u32,
    /// Number of attempts that an upstream may have executed.
    pub executions: u32,
    /// Number of attempts that were cancelled because their upstreams were stalled.
    pub abandoned_attempts: u32,
    /// The failure response of an upstream is kept and can be forwarded.
    pub has_upstream_failure: bool,
    /// Upstream at which a slot is held for the next attempt.
    pub successor: Option<UpstreamLabel>,
    /// The next attempt is a retry that has not been charged to the budget.
    pub owes_retry: bool,
    /// Earliest time of the next attempt.
    pub resume_at: MonotonicTime,
    /// A retry has already been charged to the budget for the next attempt.
    pub has_reserved_retry: bool,
    /// Events of a stream have reached the caller, or are about to.
    pub response_started: bool,
    /// The request was refused before, as far as that is recognised.
    pub returned: bool,
}

/// Maximum number of attempts of a request that may reach an upstream, including those that upstreams did
/// not execute. A stream that has begun is resumed beyond it.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum number of attempts of a request that reach no upstream.
const MAX_UNSENT_ATTEMPTS: u32 = 12;
/// Time reserved for sending a refusal to a caller before its timeout.
const LEAVING_MARGIN: Duration = Duration::from_millis(100);

impl RequestRecord {
    /// Returns when the caller is expected to give up if it receives nothing after `received_at`.
    pub fn caller_timeout_after(&self, received_at: MonotonicTime) -> MonotonicTime {
        let caller_timeout = self.route.caller_idle_timeout;
        let timeout_at = caller_timeout
            .map(|caller_timeout| received_at + caller_timeout.saturating_sub(LEAVING_MARGIN));
        timeout_at.map_or(self.give_up_at, |at| at.min(self.give_up_at))
    }

    /// Returns whether another attempt may be dispatched. Those that reached no upstream have a limit of
    /// their own: the registrations of several upstreams may outlive them.
    pub fn has_attempts_left(&self) -> bool {
        let reached = self.attempts.saturating_sub(self.unsent_attempts);
        reached < MAX_ATTEMPTS && self.unsent_attempts < MAX_UNSENT_ATTEMPTS
    }

    /// Returns whether the route allows one execution besides the one in progress.
    pub fn allows_concurrent_execution(&self) -> bool {
        self.route.retry_safety.is_idempotent() && self.executions + 1 < self.route.max_attempts
    }

    /// Returns whether the route allows another execution after those that ended.
    pub fn allows_another_execution(&self) -> bool {
        self.route.retry_safety.is_idempotent() && self.executions < self.route.max_attempts.max(1)
    }
}
