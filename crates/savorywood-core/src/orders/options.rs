//! Settings of the order duty.

use std::time::Duration;

/// Longest time between the sending of an order and its arrival: the timeout of the call plus the
/// time in which the network may still deliver data of an abandoned connection.
const MAX_ORDER_DURATION: Duration = Duration::from_secs(30);

/// Default number of engines that load weights concurrently. They share the bandwidth of the weight
/// store: if all loaded at once, none would be ready early.
const MAX_CONCURRENT_LOADS: usize = 2;

/// Settings of the order duty.
#[derive(Debug, Clone)]
pub struct OrderOptions {
    pub(super) max_order_duration: Duration,
    pub(super) max_concurrent_loads: usize,
}

impl Default for OrderOptions {
    fn default() -> Self {
        Self {
            max_order_duration: MAX_ORDER_DURATION,
            max_concurrent_loads: MAX_CONCURRENT_LOADS,
        }
    }
}

impl OrderOptions {
    /// Sets the longest time that an order may be in flight.
    #[must_use]
    pub fn max_order_duration(self, max_order_duration: Duration) -> Self {
        Self {
            max_order_duration,
            ..self
        }
    }

    /// Sets how many engines may load weights concurrently.
    #[must_use]
    pub fn max_concurrent_loads(self, max_concurrent_loads: usize) -> Self {
        Self {
            max_concurrent_loads,
            ..self
        }
    }
}
