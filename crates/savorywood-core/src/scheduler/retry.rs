//! Bounds on work that comes again: attempts after a failed connection, and callers told to
//! return.

use std::time::Duration;

/// Retries earned by each new request, in thousandths.
const EARNED_PER_REQUEST: u32 = 100;
/// Retries saved at most, in thousandths.
const MAX_BALANCE: u32 = 20_000;
/// Cost of a retry, in thousandths.
const RETRY_COST: u32 = 1_000;
/// Shortest time told to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time told to a caller, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Retries that may still be made. When most connections fail, retries would only add to what
/// brought the upstreams down; this keeps them to a tenth of new requests.
#[derive(Debug)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Notes a new request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry; says whether there was one.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.balance >= RETRY_COST;
        if enough {
            self.balance -= RETRY_COST;
        }
        enough
    }
}

/// Time to tell a refused caller whose turn can't come for `wait`. `jitter` is between 0 and 1 and
/// spreads callers who are refused together over as long again: told the same time, they would
/// come back together and be refused together again.
#[must_use]
pub fn retry_after_delay(wait: Duration, jitter: f64) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        .mul_f64(1.0 + jitter)
}
