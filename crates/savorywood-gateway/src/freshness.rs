//! At which moment of this daemon's clock an answer of the store was true.

use savorywood_protocol::MonotonicTime;

/// The store may report its clock in whole milliseconds: the true time is less than this later.
const CLOCK_STEP_MICROS: i128 = 1_000;

/// One call to the store: when it was sent, when its answer came, and the store's clock in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreExchange {
    /// The call left.
    pub sent: MonotonicTime,
    /// The answer came.
    pub received: MonotonicTime,
    /// Clock of the store when it answered, in microseconds; it never jumps.
    pub store_micros: Option<u64>,
}

/// Maps the store's clock to this daemon's.
///
/// An answer proves what was true when the store made it. That moment lies between sending and
/// receiving, and after a freeze or on a slow link these are far apart: taken as of receiving, an
/// old answer would let a revoked key work on. Taken as of sending, each long poll would look as
/// old as its wait. Quick exchanges bound the difference of the clocks, and with it the moment.
#[derive(Debug, Clone, Default)]
pub struct FreshnessClock {
    /// Least of the store's clock minus the time of sending.
    max_offset: Option<i128>,
}

impl FreshnessClock {
    /// Earliest moment at which the store can have made the answer.
    pub fn earliest_response_time(&mut self, exchange: StoreExchange) -> MonotonicTime {
        let Some(store) = exchange.store_micros else {
            return exchange.sent;
        };
        let latest_difference = i128::from(store) + CLOCK_STEP_MICROS - i128::from(exchange.sent.0);
        let earliest_difference = i128::from(store) - i128::from(exchange.received.0);
        let upper = match self.max_offset {
            // The store's clock is another one than before: begin anew.
            Some(upper) if upper < earliest_difference => latest_difference,
            Some(upper) => upper.min(latest_difference),
            None => latest_difference,
        };
        self.max_offset = Some(upper);
        let moment = u64::try_from(i128::from(store) - upper).unwrap_or_default();
        MonotonicTime(moment.clamp(exchange.sent.0, exchange.received.0))
    }
}
