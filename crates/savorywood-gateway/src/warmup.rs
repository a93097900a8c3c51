//! Slow start of cold upstreams under a bound that holds for the sum over all daemons.
//!
//! The load that this answers: an upstream that has just started is empty, so every daemon takes
//! it for the best at the same moment, and together they send what it can't bear while it is cold.
//! For as long as it is cold one daemon alone holds the lease of its start and paces its requests.
//! Daemons agree on the holder without messages, as each computes it from the members of the entry
//! set that it sees. While the set changes two of them may both take themselves for the holder, so
//! each keeps to half of the bound.

use std::time::Duration;

/// Holders of one lease at a moment at most: the one before a change of the entry set and the one
/// after it.
const MAX_HOLDERS: f64 = 2.0;
/// Least requests a second, as a part of the bound, where half of it is less than a request.
const MIN_RATE_FRACTION: f64 = 0.2;

/// How cold upstreams of a service start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupSpec {
    /// Time for which an upstream is cold after its start.
    pub duration: Duration,
    /// Requests a second that a cold one bears.
    pub per_second: f64,
}

/// By how much the requests of a cold upstream within a second may exceed its rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupTolerance {
    /// Factor of the rate.
    pub overage: f64,
    /// Requests on top.
    pub slack: f64,
}

impl WarmupSpec {
    /// Least time between two requests of one holder to a cold upstream, so that the bound for a
    /// second holds with two holders. A window of a second holds one request more than the rate.
    #[must_use]
    pub fn interval(&self, tolerance: Option<WarmupTolerance>) -> Duration {
        let max_rate = tolerance.map_or(self.per_second, |tolerance| {
            let bound = self.per_second * tolerance.overage + tolerance.slack;
            (bound / MAX_HOLDERS - 1.0).max(bound * MIN_RATE_FRACTION)
        });
        let rate = max_rate.min(self.per_second).max(f64::MIN_POSITIVE);
        Duration::from_secs_f64((1.0 / rate).min(self.duration.as_secs_f64().max(1.0)))
    }
}
