//! Token buckets of a limit and of what is tolerated on top of it.

use crate::config::TeamLimit;
use std::time::Duration;

/// By how much the sum of what all daemons admit may exceed a limit, as operators allow it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// Span over which use is summed up.
    pub window: Duration,
    /// Share of the limit that may come on top.
    pub overage: f64,
    /// Units that may come on top.
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

/// Part of the tolerated use that is admitted knowingly; the rest covers what daemons admit
/// before they learn of each other, and what those that ended had admitted.
pub const TOLERANCE_FRACTION: f64 = 0.65;
/// The same where zones exchange digests: use is then learned of by way of another daemon, later.
pub const ZONED_TOLERANCE_FRACTION: f64 = 0.6;

/// One token bucket.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    /// Units a second.
    pub rate: f64,
    /// Units that it holds at most.
    pub capacity: f64,
    /// Units that it holds; below zero it is overdrawn.
    pub level: f64,
}

impl TokenBucket {
    /// Adds units, or takes them.
    pub fn add(&mut self, units: f64) {
        self.level = (self.level + units).min(self.capacity);
    }

    /// Holds no more than a part of what the bucket can hold.
    pub fn cap_to_fraction(&mut self, part: f64) {
        self.level = self.level.min(self.capacity * part);
    }
}

/// The bucket of a limit, full.
pub fn strict_bucket(limit: TeamLimit) -> TokenBucket {
    TokenBucket {
        rate: limit.per_second,
        capacity: limit.burst,
        level: limit.burst,
    }
}

/// A bucket that lets through the knowing part of the tolerated use within any window.
pub fn tolerated_bucket(
    limit: TeamLimit,
    tolerance: LimitTolerance,
    tolerance_fraction: f64,
) -> TokenBucket {
    let window = tolerance.window.as_secs_f64().max(0.1);
    let declared = limit.per_second * window + limit.burst;
    let tolerated = declared * (1.0 + tolerance.overage) + tolerance.slack;
    let most = declared + (tolerated - declared) * tolerance_fraction;
    TokenBucket {
        rate: (most - limit.burst) / window,
        capacity: limit.burst,
        level: limit.burst,
    }
}
