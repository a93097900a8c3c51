//! Planned stop: the daemon leaves without cutting off a request.
//!
//! Callers keep the addresses that they were given, and other daemons go on naming ours until
//! the leaving mark has reached them. So the daemon serves whatever still comes for as long as
//! the two take together, then finishes every stream, and only then exits.

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

/// Time between two looks at whether all is done.
const LOOK_PERIOD: Duration = Duration::from_millis(200);

/// Time between two log lines that say what the stop waits for.
const REPORT_PERIOD: Duration = Duration::from_secs(30);

/// Times of the planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOptions {
    /// Time that callers may keep an address answer.
    pub address_max_age: Duration,
    /// Time until every daemon knows that this one leaves.
    pub propagation_delay: Duration,
    /// Time without any open request after which nothing more is expected. A caller that
    /// connected in the last moment must have time to send its request.
    pub idle_period: Duration,
}

impl Default for StopOptions {
    /// The usual max-age of ten seconds, three for the mark, one of quiet.
    fn default() -> Self {
        Self {
            address_max_age: Duration::from_secs(10),
            propagation_delay: Duration::from_secs(3),
            idle_period: Duration::from_secs(1),
        }
    }
}

/// What happens to the stop duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopEvent {
    /// The process was told to stop.
    Requested,
    /// Its timer fired.
    TimerFired,
    /// Requests ended or came.
    WorkChanged,
}

/// What is still open in the other duties.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Requests that wait or run, streams that are read on included.
    pub requests: usize,
    /// Claims whose outcome is not recorded yet.
    pub claims: usize,
}

impl OpenWork {
    fn is_none(self) -> bool {
        self.requests == 0 && self.claims == 0
    }
}

/// What other duties have to do for the stop, in the order given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAction {
    /// Membership: announce that this daemon leaves. Address answers leave it out at once.
    AnnounceLeaving,
    /// Leases: give up all that are held, and take no more.
    ReleaseLeases,
    /// Credits: give all seats back.
    ReleaseCredits,
    /// Membership: announce that this daemon is gone.
    AnnounceLeft,
}

/// How far the stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopPhase {
    Serving,
    Leaving {
        serve_until: MonotonicTime,
        quiet_since: Option<MonotonicTime>,
        reported_at: MonotonicTime,
    },
    Exited,
}

/// State of the stop duty.
#[derive(Debug)]
pub struct StopState {
    options: StopOptions,
    phase: StopPhase,
}

impl StopState {
    /// A daemon that serves.
    #[must_use]
    pub fn new(options: StopOptions) -> Self {
        Self {
            options,
            phase: StopPhase::Serving,
        }
    }

    /// Whether the stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.phase != StopPhase::Serving
    }

    /// Handles one event.
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
            (_, StopPhase::Leaving { .. }) => self.look(now, open, effects),
            (_, StopPhase::Serving | StopPhase::Exited) => Vec::new(),
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
            quiet_since: open.is_none().then_some(now),
            reported_at: now,
        };
        log_open("stop_begun", open, effects);
        effects.set_timer(STOP_TIMER, now + LOOK_PERIOD);
        vec![StopAction::AnnounceLeaving, StopAction::ReleaseLeases]
    }

    fn look(
        &mut self,
        now: MonotonicTime,
        open: OpenWork,
        effects: &mut EffectQueue,
    ) -> Vec<StopAction> {
        let StopPhase::Leaving {
            serve_until,
            quiet_since,
            reported_at,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        *quiet_since = match open.is_none() {
            true => Some(quiet_since.unwrap_or(now)),
            false => None,
        };
        if now.since(*reported_at) >= REPORT_PERIOD {
            *reported_at = now;
            log_open("stop_waits", open, effects);
        }
        let quiet_for = quiet_since.map_or(Duration::ZERO, |since| now.since(since));
        let quiet = quiet_since.is_some() && quiet_for >= self.options.idle_period;
        if now < *serve_until || !quiet {
            effects.set_timer(STOP_TIMER, now + LOOK_PERIOD);
            return Vec::new();
        }
        self.exit(open, effects)
    }

    /// The last verdicts. They are carried out before [`Self::finish`] pushes the exit.
    fn exit(&mut self, open: OpenWork, effects: &mut EffectQueue) -> Vec<StopAction> {
        self.phase = StopPhase::Exited;
        log_open("stop_done", open, effects);
        invariant::check(
            effects,
            InvariantName::StopCompletesRequests,
            open.is_none(),
            || format!("requests={} claims={}", open.requests, open.claims),
        );
        vec![StopAction::ReleaseCredits, StopAction::AnnounceLeft]
    }

    /// Pushes the exit, once the last verdicts were carried out.
    pub fn finish(&self, effects: &mut EffectQueue) {
        if self.phase == StopPhase::Exited {
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
