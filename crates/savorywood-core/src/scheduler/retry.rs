//! Bounds on work that comes again: attempts after a failed connection, and callers told to
//! return.

use std::time::Duration;

/// Retries earned by each new request, in thousandths.
const EARNED_PER_MILLE: u32 = 100;
/// Retries saved at most, in thousandths.
const MAX_SAVED: u32 = 20_000;
/// Cost of a retry, in thousandths.
const RETRY_COST: u32 = 1_000;
/// Shortest time told to a caller.
const MIN_RETURN: Duration = Duration::from_secs(1);
/// Longest time told to a caller, before jitter.
const MAX_RETURN: Duration = Duration::from_secs(60);

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

/// Time to tell a refused caller whose turn can't come for `wait`. `jitter` is between 0 and 1 and
/// spreads callers who are refused together over as long again: told the same time, they would
/// come back together and be refused together again.
#[must_use]
pub fn return_after(wait: Duration, jitter: f64) -> Duration {
    wait.clamp(MIN_RETURN, MAX_RETURN).mul_f64(1.0 + jitter)
}
