//! Planned stop: graceful shutdown that completes all requests first.
//!
//! Callers cache address responses, and other daemons include this one in theirs until they
//! receive by gossip that it is leaving. So the daemon accepts requests for the sum of both times,
//! then completes every stream, and only then exits.

use crate::{
    effect::{DaemonEffect, EffectQueue, LogLevel, LogLine},
    event::{DutyKind, TimerKey},
    invariant::{self, InvariantName},
};
use savorywood_protocol::{CoreTime, MonotonicTime};
use std::time::Duration;

const STOP_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Stop,
    number: 0,
};

/// Interval between two checks whether all work is finished.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two log lines that report what the stop waits for.
const REPORT_INTERVAL: Duration = Duration::from_secs(30);

/// Periods of the planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOptions {
    /// How long callers may cache an address response.
    pub address_max_age: Duration,
    /// Time until every daemon has received by gossip that this one is leaving.
    pub propagation_delay: Duration,
    /// Time without open requests that must pass before the daemon exits, so that a caller that has
    /// just connected can still send its request.
    pub idle_period: Duration,
}

impl Default for StopOptions {
    /// Returns an address max-age of 10 s, a propagation delay of 3 s and an idle period of 1 s.
    fn default() -> Self {
        Self {
            address_max_age: Duration::from_secs(10),
            propagation_delay: Duration::from_secs(3),
            idle_period: Duration::from_secs(1),
        }
    }
}

/// Input events of the stop duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopEvent {
    /// The process was asked to shut down.
    Requested,
    /// The duty's timer expired.
    TimerFired,
    /// An event was handled that may have opened or ended a request.
    WorkChanged,
}

/// Work that is still open in the other duties.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Requests that wait or run, resumed streams included.
    pub requests: usize,
    /// Claims of idempotency keys whose outcome is not recorded yet.
    pub claims: usize,
}

impl OpenWork {
    fn is_empty(self) -> bool {
        self.requests == 0 && self.claims == 0
    }
}

/// An action for another duty. Actions are executed in the order in which they are returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAction {
    /// Membership announces that this daemon is leaving. Address responses of daemons that have
    /// received the announcement no longer include it.
    AnnounceLeaving,
    /// The lease duty releases all leases and acquires no more.
    ReleaseLeases,
    /// The credit duty returns all slots that were granted to this daemon.
    ReleaseCredits,
    /// Membership announces that this daemon has left.
    AnnounceLeft,
}

/// Phase of the planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopPhase {
    Serving,
    Leaving {
        serve_until: MonotonicTime,
        idle_since: Option<MonotonicTime>,
        reported_at: MonotonicTime,
    },
    Finished,
}

/// State machine of the stop duty.
#[derive(Debug)]
pub struct StopState {
    options: StopOptions,
    phase: StopPhase,
}

impl StopState {
    /// Creates the state of a daemon that is not stopping.
    #[must_use]
    pub fn new(options: StopOptions) -> Self {
        Self {
            options,
            phase: StopPhase::Serving,
        }
    }

    /// Whether a planned stop has been requested.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.phase != StopPhase::Serving
    }

    /// Handles one event and returns the actions for other duties.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: StopEvent,
        open: OpenWork,
        effects: &mut EffectQueue,
    ) -> Vec<StopAction> {
        let now = now.monotonic;
        match (event, self.phase) {
            (StopEvent::Requested, StopPhase::Serving) => self.begin(now, open, effects),
            (_, StopPhase::Leaving { .. }) => self.check_progress(now, open, effects),
            (_, StopPhase::Serving | StopPhase::Finished) => Vec::new(),
        }
    }

    fn begin(
        &mut self,
        now: MonotonicTime,
        open: OpenWork,
        effects: &mut EffectQueue,
    ) -> Vec<StopAction> {
        let serve_until = now + self.options.propagation_delay + self.options.address_max_age;
        self.phase = StopPhase::Leaving {
            serve_until,
            idle_since: open.is_empty().then_some(now),
            reported_at: now,
        };
        log_open("stop_begun", open, effects);
        effects.set_timer(STOP_TIMER, now + CHECK_INTERVAL);
        vec![StopAction::AnnounceLeaving, StopAction::ReleaseLeases]
    }

    fn check_progress(
        &mut self,
        now: MonotonicTime,
        open: OpenWork,
        effects: &mut EffectQueue,
    ) -> Vec<StopAction> {
        let StopPhase::Leaving {
            serve_until,
            idle_since,
            reported_at,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        *idle_since = match open.is_empty() {
            true => Some(idle_since.unwrap_or(now)),
            false => None,
        };
        if now.since(*reported_at) >= REPORT_INTERVAL {
            *reported_at = now;
            log_open("stop_waits", open, effects);
        }
        let idle_for = idle_since.map_or(Duration::ZERO, |since| now.since(since));
        let is_idle = idle_since.is_some() && idle_for >= self.options.idle_period;
        if now < *serve_until || !is_idle {
            effects.set_timer(STOP_TIMER, now + CHECK_INTERVAL);
            return Vec::new();
        }
        self.exit(open, effects)
    }

    /// Returns the last actions. The caller executes them before [`Self::finish`] pushes the exit.
    fn exit(&mut self, open: OpenWork, effects: &mut EffectQueue) -> Vec<StopAction> {
        self.phase = StopPhase::Finished;
        log_open("stop_done", open, effects);
        invariant::check(
            effects,
            InvariantName::StopCompletesRequests,
            open.is_empty(),
            || format!("requests={} claims={}", open.requests, open.claims),
        );
        vec![StopAction::ReleaseCredits, StopAction::AnnounceLeft]
    }

    /// Pushes [`DaemonEffect::Exit`] if the stop is complete. Called after the last actions were
    /// executed.
    pub fn finish(&self, effects: &mut EffectQueue) {
        if self.phase == StopPhase::Finished {
            effects.push(DaemonEffect::Exit);
        }
    }
}

fn log_open(event: &'static str, open: OpenWork, effects: &mut EffectQueue) {
    let line = LogLine::new(LogLevel::Info, event)
        .with("requests", open.requests)
        .with("claims", open.claims);
    effects.log(line);
}
