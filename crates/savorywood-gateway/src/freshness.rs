//! Mapping of the store's clock to this daemon's, to date the content of a response.

use savorywood_protocol::MonotonicTime;

/// The store may report its clock in whole milliseconds: the true time is up to this much later.
const CLOCK_STEP_MICROS: i128 = 1_000;

/// Times of one call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreExchange {
    /// Time at which the call was sent.
    pub sent: MonotonicTime,
    /// Time at which the response was received.
    pub received: MonotonicTime,
    /// Monotonic clock of the store when it responded, in microseconds; absent when it is not
    /// reported.
    pub store_micros: Option<u64>,
}

/// Maps the store's clock to this daemon's.
///
/// A response reflects the store's state at the moment when the store produced it, between sending
/// and receiving. After a freeze or on a slow link these two are far apart. Dating an old response
/// by its receipt would let a revoked key keep working; dating a long poll by its sending would
/// make it look as old as its wait. Short exchanges bound the offset between the clocks, and with
/// it that moment.
#[derive(Debug, Clone, Default)]
pub struct FreshnessClock {
    /// Smallest observed difference between the store's clock and the time of sending, in
    /// microseconds.
    max_offset: Option<i128>,
}

impl FreshnessClock {
    /// Returns the earliest moment at which the store can have produced the response.
    pub fn earliest_response_time(&mut self, exchange: StoreExchange) -> MonotonicTime {
        let Some(store_micros) = exchange.store_micros else {
            return exchange.sent;
        };
        let max_difference =
            i128::from(store_micros) + CLOCK_STEP_MICROS - i128::from(exchange.sent.0);
        let min_difference = i128::from(store_micros) - i128::from(exchange.received.0);
        let max_offset = match self.max_offset {
            // The store's clock was replaced or reset: the estimate starts over.
            Some(max_offset) if max_offset < min_difference => max_difference,
            Some(max_offset) => max_offset.min(max_difference),
            None => max_difference,
        };
        self.max_offset = Some(max_offset);
        let response_micros =
            u64::try_from(i128::from(store_micros) - max_offset).unwrap_or_default();
        MonotonicTime(response_micros.clamp(exchange.sent.0, exchange.received.0))
    }
}
