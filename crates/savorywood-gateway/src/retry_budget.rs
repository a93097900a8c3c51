//! Retry budget of a service that all daemons respect without exchanging messages.

use savorywood_protocol::MonotonicTime;
use std::{collections::VecDeque, time::Duration};
use strum::{Display, EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Decision on a retry. The text form is part of the log and of the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RetryDecision {
    /// The budget allows the retry, which is charged to it.
    Granted,
    /// The budget is spent.
    Denied,
    /// The attempt before did not reach an upstream, so the retry is not charged.
    Uncharged,
}

/// Number of decisions since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryCounters([u64; RetryDecision::COUNT]);

impl RetryCounters {
    /// Counts a decision.
    pub fn record(&mut self, decision: RetryDecision) {
        self.0[decision as usize] += 1;
    }

    /// Iterates over the decisions and their counts.
    pub fn iter(&self) -> impl Iterator<Item = (RetryDecision, u64)> + '_ {
        RetryDecision::iter().zip(self.0)
    }
}

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

/// Use of a budget and what it allows now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetUse {
    /// Retries charged within the window.
    pub spent: usize,
    /// Retries allowed for the requests of the window.
    pub earned: f64,
    /// Retries allowed in addition: this daemon's share of the slack.
    pub share: f64,
}

impl BudgetUse {
    /// Returns whether another retry is within the budget.
    #[must_use]
    pub fn allows_retry(&self) -> bool {
        self.spent as f64 + 1.0 <= self.earned + self.share
    }
}

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

    /// Returns the use of the budget by this daemon, one of `daemons`.
    pub fn usage(
        &mut self,
        now: MonotonicTime,
        options: &RetryBudgetOptions,
        daemons: usize,
    ) -> BudgetUse {
        self.evict_expired(now, options.window);
        BudgetUse {
            spent: self.retries.len(),
            earned: self.requests.len() as f64 * options.ratio * USABLE_RATIO_FRACTION,
            share: options.slack * USABLE_SLACK_FRACTION / daemons.max(1) as f64,
        }
    }

    /// Records a retry and returns true if the budget of this daemon, one of `daemons`, allows it.
    pub fn try_acquire(
        &mut self,
        now: MonotonicTime,
        options: &RetryBudgetOptions,
        daemons: usize,
    ) -> bool {
        let is_allowed = self.usage(now, options, daemons).allows_retry();
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
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
