//! Rate limits.

use std::time::{Duration, Instant};

/// Work that may be done at once after a pause.
const BURST: Duration = Duration::from_millis(100);

/// A rate limit by theoretical arrival time (the generic cell rate algorithm of ATM networks):
/// one point in time says how much has been given out.
#[derive(Debug, Default)]
pub(crate) struct RatePace {
    free_at: Option<Instant>,
}

impl RatePace {
    /// Takes `amount` if the rate allows it now.
    pub(crate) fn try_take(&mut self, now: Instant, amount: u64, per_second: u64) -> bool {
        let free_at = self.free_at.map_or(now, |at| at.max(now));
        let cost = cost(amount, per_second);
        if free_at > now + BURST {
            return false;
        }
        self.free_at = Some(free_at + cost);
        true
    }

    /// Takes `amount` and says when it may be used.
    pub(crate) fn take(&mut self, now: Instant, amount: u64, per_second: u64) -> Instant {
        let free_at = self.free_at.map_or(now, |at| at.max(now));
        let free_at = free_at + cost(amount, per_second);
        self.free_at = Some(free_at);
        free_at
    }
}

fn cost(amount: u64, per_second: u64) -> Duration {
    let nanos = u128::from(amount) * 1_000_000_000 / u128::from(per_second.max(1));
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
