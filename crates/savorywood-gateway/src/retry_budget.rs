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

/// Fraction of the ratio by which each request adds to the budget.
const ACCRUED_RATIO_FRACTION: f64 = 0.825;
/// Fraction of the ratio up to which retries are saved for each request of the last window.
const SAVED_RATIO_FRACTION: f64 = 0.125;
/// Fraction of the slack up to which all daemons together save retries.
const SAVED_SLACK_FRACTION: f64 = 0.8;
/// Fraction of the slack that is added in the course of each window.
const REFILLED_SLACK_FRACTION: f64 = 0.15;

/// Level of a budget at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLevel {
    /// Retries saved.
    pub saved: f64,
    /// Retries that may be saved at most.
    pub capacity: f64,
}

impl BudgetLevel {
    /// Returns whether a retry is within the budget.
    #[must_use]
    pub fn allows_retry(&self) -> bool {
        self.saved >= 1.0
    }
}

/// Retries of one service that this daemon has saved.
///
/// The retries of a window are at most what its requests and its time add, and what daemons had
/// saved before. What they can save is bounded by the requests of the window before and by equal
/// shares of the slack, so the sum over all daemons stays within the bound while they are
/// partitioned. A process starts with nothing saved, so it also holds however often they restart.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<MonotonicTime>,
    saved: f64,
    /// Time of the last addition; `None` before the first.
    refilled_at: Option<MonotonicTime>,
    /// No earlier process can have spent any of the slack.
    starts_full: bool,
}

impl RetryBudget {
    /// Creates a budget that holds this daemon's share of the slack, for a deployment that has not
    /// run before.
    #[must_use]
    pub fn full() -> Self {
        Self {
            starts_full: true,
            ..Self::default()
        }
    }

    /// Records an incoming request, which adds to the budget of this daemon, one of `daemons`.
    pub fn record_request(
        &mut self,
        now: MonotonicTime,
        options: &RetryBudgetOptions,
        daemons: usize,
    ) {
        self.requests.push_back(now);
        let capacity = self.refill(now, options, daemons).capacity;
        self.saved = (self.saved + options.ratio * ACCRUED_RATIO_FRACTION).min(capacity);
    }

    /// Returns the level of the budget of this daemon, one of `daemons`, after adding what the time
    /// since the last call is worth.
    pub fn refill(
        &mut self,
        now: MonotonicTime,
        options: &RetryBudgetOptions,
        daemons: usize,
    ) -> BudgetLevel {
        self.evict_expired(now, options.window);
        let share = options.slack / daemons.max(1) as f64;
        let requests = self.requests.len() as f64;
        let capacity =
            share * SAVED_SLACK_FRACTION + requests * options.ratio * SAVED_RATIO_FRACTION;
        let added = match self.refilled_at.replace(now) {
            Some(before) => {
                let windows = now.since(before).as_secs_f64() / options.window.as_secs_f64();
                share * REFILLED_SLACK_FRACTION * windows
            }
            None if self.starts_full => capacity,
            None => 0.0,
        };
        self.saved = (self.saved + added).min(capacity);
        BudgetLevel {
            saved: self.saved,
            capacity,
        }
    }

    /// Spends a retry and returns true if the budget of this daemon, one of `daemons`, allows it.
    pub fn try_spend(
        &mut self,
        now: MonotonicTime,
        options: &RetryBudgetOptions,
        daemons: usize,
    ) -> bool {
        let is_allowed = self.refill(now, options, daemons).allows_retry();
        if is_allowed {
            self.saved -= 1.0;
        }
        is_allowed
    }

    fn evict_expired(&mut self, now: MonotonicTime, window: Duration) {
        let window_start = now - window;
        while self.requests.front().is_some_and(|at| *at < window_start) {
            self.requests.pop_front();
        }
    }
}
