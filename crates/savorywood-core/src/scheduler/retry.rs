//! Bounds on repeated work: a budget for retries after failed connections, and the retry-after
//! delay of refused callers.

use std::time::Duration;

/// Budget added by each new request, in thousandths of a retry.
const EARNED_PER_REQUEST: u32 = 100;
/// Maximum budget, in thousandths of a retry.
const MAX_BALANCE: u32 = 20_000;
/// Budget used by one retry, in thousandths.
const RETRY_COST: u32 = 1_000;
/// Minimum retry-after delay, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum retry-after delay, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Retry budget of the daemon. When most connections fail, retries would add load to upstreams that
/// are failing because of load; the budget limits them to a tenth of the new requests.
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
    /// Adds the budget of a new request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes the budget of one retry. Returns `false` if there is not enough.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.balance >= RETRY_COST;
        if enough {
            self.balance -= RETRY_COST;
        }
        enough
    }
}

/// Returns the retry-after delay for a caller that could be served after `wait`. `jitter`, between
/// 0 and 1, spreads callers that are refused together over up to twice the delay: with the same
/// delay they would retry at the same time and be refused again.
#[must_use]
pub fn retry_after_delay(wait: Duration, jitter: f64) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        .mul_f64(1.0 + jitter)
}
