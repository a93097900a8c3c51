//! Timers of the scheduler. A timer is set again only if it must fire earlier.

use super::{RequestScheduler, SchedulerView, feedback::TICK_INTERVAL};
use crate::{
    effect::EffectQueue,
    event::{DutyKind, TimerKey},
};
use savorywood_protocol::MonotonicTime;

/// Fires when a waiting request can no longer meet its deadline.
const WAIT_TIMER: u64 = 0;
/// Fires when the deadline of an attempt passes.
const ATTEMPT_TIMER: u64 = 1;
/// Fires at intervals while requests wait.
const TICK_TIMER: u64 = 2;

/// Times at which the timers are set to fire; `None` if a timer is not set.
#[derive(Debug, Default)]
pub struct PlannedTimers {
    wait_at: Option<MonotonicTime>,
    attempt_at: Option<MonotonicTime>,
    tick_at: Option<MonotonicTime>,
}

impl RequestScheduler {
    pub(super) fn handle_timer(
        &mut self,
        now: MonotonicTime,
        number: u64,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        match number {
            WAIT_TIMER => self.timers.wait_at = None,
            ATTEMPT_TIMER => self.timers.attempt_at = None,
            TICK_TIMER => {
                self.timers.tick_at = None;
                self.dispatch_all_waiting(now, view, effects);
            }
            _ => {}
        }
    }

    pub(super) fn set_timers(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        let wait_at = self.waits.next_expiry();
        set_if_earlier(&mut self.timers.wait_at, wait_at, WAIT_TIMER, effects);
        let attempt_at = self.attempts.next_deadline();
        set_if_earlier(
            &mut self.timers.attempt_at,
            attempt_at,
            ATTEMPT_TIMER,
            effects,
        );
        if self.waits.len() > 0 && self.timers.tick_at.is_none() {
            let tick_at = Some(now + TICK_INTERVAL);
            set_if_earlier(&mut self.timers.tick_at, tick_at, TICK_TIMER, effects);
        }
    }
}

/// Sets a timer unless it fires early enough already. A timer that fires too early is then set
/// again, which is cheaper than changing it with every request.
fn set_if_earlier(
    planned: &mut Option<MonotonicTime>,
    target: Option<MonotonicTime>,
    number: u64,
    effects: &mut EffectQueue,
) {
    let Some(target) = target else {
        return;
    };
    if planned.is_some_and(|planned| planned <= target) {
        return;
    }
    *planned = Some(target);
    let duty = DutyKind::Scheduler;
    effects.set_timer(TimerKey { duty, number }, target);
}
