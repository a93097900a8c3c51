//! Bounds on work that comes again: attempts after a failed connection, and callers told to
//! return.

use savorywood_protocol::{MonotonicTime, TierRank};
use std::{collections::BTreeMap, time::Duration};

/// Retries earned by each new request, in thousandths.
const EARNED_PER_MILLE: u32 = 100;
/// Retries saved at most, in thousandths.
const MAX_SAVED: u32 = 20_000;
/// Cost of a retry, in thousandths.
const RETRY_COST: u32 = 1_000;
/// Shortest time told to a caller.
const MIN_RETURN: Duration = Duration::from_secs(1);
/// Longest time told to a caller.
pub const MAX_RETURN: Duration = Duration::from_secs(60);

/// Retries that may still be made. When most connections fail, retries would only add to what
/// brought the upstreams down; this keeps them to a tenth of new requests.
#[derive(Debug)]
pub struct RetryBudget {
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Notes a new request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_MILLE).min(MAX_SAVED);
    }

    /// Takes one retry; says whether there was one.
    pub fn spend(&mut self) -> bool {
        let enough = self.saved >= RETRY_COST;
        if enough {
            self.saved -= RETRY_COST;
        }
        enough
    }
}

/// Times at which refused callers were told to come back. Each refusal books its own time at the
/// rate at which work is done, so that callers refused together don't return together.
#[derive(Debug, Default)]
pub struct ReturnPlan {
    booked: BTreeMap<TierRank, MonotonicTime>,
}

impl ReturnPlan {
    /// Time to tell a caller whose turn can't come for `wait`, when its work takes `share` of the
    /// service. `jitter` is between 0 and 1.
    pub fn book(
        &mut self,
        now: MonotonicTime,
        rank: TierRank,
        wait: Duration,
        share: Duration,
        jitter: f64,
    ) -> Duration {
        let earliest = now + wait.max(MIN_RETURN);
        let booked = self.booked.entry(rank).or_default();
        *booked = (*booked).max(earliest) + share;
        let told = booked.since(now);
        if told > MAX_RETURN {
            // The plan is full: spread over its second half.
            *booked = now + MAX_RETURN;
            return MAX_RETURN.mul_f64(0.5 + jitter / 2.0);
        }
        told.mul_f64(1.0 + jitter / 5.0)
    }
}

/// Time to tell a caller without a plan.
#[must_use]
pub fn plain_return(wait: Duration) -> Duration {
    wait.clamp(MIN_RETURN, MAX_RETURN)
}
