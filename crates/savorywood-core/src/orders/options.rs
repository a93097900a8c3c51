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
    pub(super) longest_order: Duration,
    pub(super) loads_at_once: usize,
}

impl Default for OrderOptions {
    fn default() -> Self {
        Self {
            longest_order: LONGEST_ORDER,
            loads_at_once: LOADS_AT_ONCE,
        }
    }
}

impl OrderOptions {
    /// Sets how long an order may be under way at most.
    #[must_use]
    pub fn longest_order(self, longest_order: Duration) -> Self {
        Self {
            longest_order,
            ..self
        }
    }

    /// Sets how many engines load at once.
    #[must_use]
    pub fn loads_at_once(self, loads_at_once: usize) -> Self {
        Self {
            loads_at_once,
            ..self
        }
    }
}
