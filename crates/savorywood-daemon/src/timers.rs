//! Timers that the core has set.

use crate::clock::RuntimeClock;
use event_listener::Event;
use futures_lite::future;
use savorywood_core::TimerKey;
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// Wait when no timer is set.
const IDLE_WAIT: Duration = Duration::from_secs(3_600);

/// One timer by when it is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueTimer {
    at: MonotonicTime,
    key: TimerKey,
}

#[derive(Debug, Default)]
struct TimerState {
    by_key: BTreeMap<TimerKey, MonotonicTime>,
    by_time: BTreeSet<DueTimer>,
}

/// Timers by key and by time.
#[derive(Debug, Default)]
pub struct TimerTable {
    state: Mutex<TimerState>,
    earlier: Event,
}

/// A timer that came due.
#[derive(Debug, Clone, Copy)]
pub struct FiredTimer {
    /// Which.
    pub key: TimerKey,
    /// How late it is: a blocked or starved executor shows here.
    pub lag: Duration,
}

impl TimerTable {
    /// Sets a timer; replaces one with the same key.
    pub fn set(&self, key: TimerKey, at: MonotonicTime) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(before) = state.by_key.insert(key, at) {
            state.by_time.remove(&DueTimer { at: before, key });
        }
        let due = DueTimer { at, key };
        state.by_time.insert(due);
        if state.by_time.first() == Some(&due) {
            self.earlier.notify(1);
        }
    }

    /// Waits until a timer is due and takes it out.
    pub async fn next(&self, clock: &RuntimeClock) -> FiredTimer {
        loop {
            let changed = self.earlier.listen();
            let now = clock.now().monotonic;
            let wake_at = match self.take_due(now) {
                Ok(fired) => return fired,
                Err(next) => next.unwrap_or(now + IDLE_WAIT),
            };
            future::or(clock.sleep_until(wake_at), changed).await;
        }
    }

    fn take_due(&self, now: MonotonicTime) -> Result<FiredTimer, Option<MonotonicTime>> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(first) = state.by_time.first().copied() else {
            return Err(None);
        };
        if first.at > now {
            return Err(Some(first.at));
        }
        state.by_time.remove(&first);
        state.by_key.remove(&first.key);
        Ok(FiredTimer {
            key: first.key,
            lag: now.since(first.at),
        })
    }
}
