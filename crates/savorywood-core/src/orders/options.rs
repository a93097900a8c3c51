//! Settings of the order duty.

use std::time::Duration;

/// Longest time that an order may be under way after its holder sent it: the shell's timeout, and
/// what the network may still deliver of a connection that was given up.
const LONGEST_ORDER: Duration = Duration::from_secs(30);

/// Engines that load at once. They share the weight store's rate: with more at once all would be
/// ready late, with few some are ready soon.
const LOADS_AT_ONCE: usize = 2;

/// Settings of the order duty.
#[derive(Debug, Clone)]
pub struct OrderOptions {
    pub(super) max_order_duration: Duration,
    pub(super) max_concurrent_loads: usize,
}

impl Default for OrderOptions {
    fn default() -> Self {
        Self {
            max_order_duration: LONGEST_ORDER,
            max_concurrent_loads: LOADS_AT_ONCE,
        }
    }
}

impl OrderOptions {
    /// Sets how long an order may be under way at most.
    #[must_use]
    pub fn max_order_duration(self, max_order_duration: Duration) -> Self {
        Self {
            max_order_duration,
            ..self
        }
    }

    /// Sets how many engines load at once.
    #[must_use]
    pub fn max_concurrent_loads(self, max_concurrent_loads: usize) -> Self {
        Self {
            max_concurrent_loads,
            ..self
        }
    }
}
