//! Token buckets for a limit and for the tolerance on top of it.

use crate::config::TeamLimit;
use std::time::Duration;

/// Allowed excess over a limit, for the sum of what all daemons admit; set by operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// Window over which the use is summed up.
    pub window: Duration,
    /// Allowed excess as a fraction of the limit.
    pub overage: f64,
    /// Allowed excess in units, in addition to the fraction.
    pub slack: f64,
}

impl Default for LimitTolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overage: 0.0,
            slack: 0.0,
        }
    }
}

/// Fraction of the tolerance that daemons admit deliberately. The rest covers what daemons admit
/// before they learn of each other's use, and what daemons that have ended had admitted.
pub const TOLERANCE_FRACTION: f64 = 0.65;
/// The same where zones exchange digests: use is reported through another daemon then, and arrives
/// later.
pub const ZONED_TOLERANCE_FRACTION: f64 = 0.6;

/// A token bucket.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    /// Refill rate, in units per second.
    pub rate: f64,
    /// Maximum level, in units.
    pub capacity: f64,
    /// Current level, in units; negative if overdrawn.
    pub level: f64,
}

impl TokenBucket {
    /// Adds units up to the capacity; a negative number removes units.
    pub fn add(&mut self, units: f64) {
        self.level = (self.level + units).min(self.capacity);
    }

    /// Limits the level to a fraction of the capacity.
    pub fn cap_to_fraction(&mut self, fraction: f64) {
        self.level = self.level.min(self.capacity * fraction);
    }
}

/// Creates a full bucket that enforces a limit.
pub fn strict_bucket(limit: TeamLimit) -> TokenBucket {
    TokenBucket {
        rate: limit.per_second,
        capacity: limit.burst,
        level: limit.burst,
    }
}

/// Creates a full bucket that admits the limit and the given fraction of the tolerance in any
/// window.
pub fn tolerated_bucket(
    limit: TeamLimit,
    tolerance: LimitTolerance,
    tolerance_fraction: f64,
) -> TokenBucket {
    let window = tolerance.window.as_secs_f64().max(0.1);
    let declared = limit.per_second * window + limit.burst;
    let tolerated = declared * (1.0 + tolerance.overage) + tolerance.slack;
    let max_units = declared + (tolerated - declared) * tolerance_fraction;
    TokenBucket {
        rate: (max_units - limit.burst) / window,
        capacity: limit.burst,
        level: limit.burst,
    }
}
