//! Retry budget of a service that all daemons respect without exchanging messages.

use savorywood_protocol::MonotonicTime;
use std::{collections::VecDeque, time::Duration};

/// Bounds on retries of one service, over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries allowed for each request, as a ratio.
    pub ratio: f64,
    /// Retries allowed in a window in addition to the ratio.
    pub slack: f64,
    /// Window over which requests and retries are counted.
    pub window: Duration,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Fraction of the slack that daemons use; the rest covers what daemons that have left had spent.
const USABLE_SLACK_FRACTION: f64 = 0.6;
/// Fraction of the ratio that daemons use. A caller that retries later is counted as a request only
/// when it does.
const USABLE_RATIO_FRACTION: f64 = 0.9;

/// Requests and retries of one service at this daemon within the window.
///
/// Each daemon earns retries with its own requests and holds an equal share of the slack, so the
/// sum over all daemons stays within the bound even while they are partitioned from each other.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<MonotonicTime>,
    retries: VecDeque<MonotonicTime>,
}

impl RetryBudget {
    /// Records an incoming request, which adds to the budget.
    pub fn record_request(&mut self, now: MonotonicTime) {
        self.requests.push_back(now);
    }

    /// Records a retry and returns true if the budget of this daemon, one of `daemons`, allows it.
    pub fn try_acquire(
        &mut self,
        now: MonotonicTime,
        options: &RetryBudgetOptions,
        daemons: usize,
    ) -> bool {
        self.evict_expired(now, options.window);
        let earned = self.requests.len() as f64 * options.ratio * USABLE_RATIO_FRACTION;
        let share = options.slack * USABLE_SLACK_FRACTION / daemons.max(1) as f64;
        if self.retries.len() as f64 + 1.0 > earned + share {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn evict_expired(&mut self, now: MonotonicTime, window: Duration) {
        let window_start = now - window;
        while self.requests.front().is_some_and(|at| *at < window_start) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|at| *at < window_start) {
            self.retries.pop_front();
        }
    }
}
