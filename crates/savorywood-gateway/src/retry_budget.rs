//! Second tries, under a budget that all daemons share without talking.

use savorywood_protocol::MonotonicTime;
use std::{collections::VecDeque, time::Duration};

/// Bounds of second tries of a service, over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetOptions {
    /// Second tries for each request.
    pub ratio: f64,
    /// Second tries in a window beside these.
    pub slack: f64,
    /// The window.
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

/// Part of the slack that is used; the rest covers what daemons that left have spent.
const USABLE_SLACK_FRACTION: f64 = 0.6;
/// Part of the ratio that is used; callers that come back count as requests only once they come.
const USABLE_RATIO_FRACTION: f64 = 0.9;

/// Requests and second tries of one service at this daemon within the window.
///
/// Each daemon earns with its own requests and holds an even part of the slack, so that the sum
/// over all stays within the bound also while they can't reach each other.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<MonotonicTime>,
    retries: VecDeque<MonotonicTime>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn record_request(&mut self, now: MonotonicTime) {
        self.requests.push_back(now);
    }

    /// Takes one second try, if one is left for this daemon among `daemons`.
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
        let from = now - window;
        while self.requests.front().is_some_and(|at| *at < from) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|at| *at < from) {
            self.retries.pop_front();
        }
    }
}
