//! Slow start of cold upstreams, bounded for the sum over all daemons.
//!
//! An upstream that has just started is idle, so every daemon would select it at the same moment,
//! and together they would send more than it can handle while it is cold. During the cold period a
//! single daemon holds the warm-up lease and limits the rate of requests. Daemons agree on the
//! holder without messages, as each computes it from the entry set members that it sees. While the
//! set changes two daemons may both consider themselves the holder, so each keeps to half of the
//! bound.

use std::time::Duration;

/// Maximum number of concurrent holders of one lease: the one before a change of the entry set and
/// the one after it.
const MAX_HOLDERS: f64 = 2.0;
/// Minimum rate as a fraction of the bound, for bounds whose half is less than one request per
/// second.
const MIN_RATE_FRACTION: f64 = 0.2;

/// Slow start of the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupSpec {
    /// Time for which an upstream is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold upstream can handle.
    pub per_second: f64,
}

/// Allowed excess over the rate of a cold upstream within a second; set by operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupTolerance {
    /// Factor of the rate.
    pub overage: f64,
    /// Requests in addition to the factor.
    pub slack: f64,
}

impl WarmupSpec {
    /// Returns the minimum interval between two requests of one holder to a cold upstream, so that
    /// the bound for a second holds with two holders. A window of a second may contain one request
    /// more than the rate.
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
