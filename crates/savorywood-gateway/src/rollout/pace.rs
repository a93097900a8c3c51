//! Pace of responses of two versions, compared over all daemons.

use super::VersionUpstreams;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Units of a logarithm of milliseconds in the sums.
const UNITS: f64 = 1_000.0;
/// Responses of each version that are needed for a comparison.
const MIN_RESPONSES: u32 = 6;
/// Upstreams of the new version that they must come from, if it has as many: a single one may be slow for
/// reasons of its own.
const MIN_SOURCES: u32 = 3;
/// Standard errors by which the difference must exceed its bound.
const CONFIDENCE: f64 = 3.0;
/// Least standard deviation of the logarithms that is assumed: few responses may be alike by chance.
const MIN_DEVIATION: f64 = 0.3;

/// Sums over the logarithms of the times of responses, or of the times between their events.
///
/// Each daemon observes few responses of a new version, so the sums of all daemons are added.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceSums {
    /// Number of responses.
    count: u32,
    /// Sum of the natural logarithms of milliseconds, in thousandths.
    sum: i64,
    /// Sum of the squares of these numbers.
    squares: u64,
}

impl PaceSums {
    /// Adds the time of a response, or between its events.
    pub fn record(&mut self, time: Duration) {
        let millis = (time.as_secs_f64() * 1e3).max(1.0 / UNITS);
        let value = (millis.ln() * UNITS).round() as i64;
        self.count = self.count.saturating_add(1);
        self.sum = self.sum.saturating_add(value);
        let square = value.unsigned_abs().saturating_mul(value.unsigned_abs());
        self.squares = self.squares.saturating_add(square);
    }

    /// Adds the sums of another daemon.
    pub fn add(&mut self, other: &Self) {
        self.count = self.count.saturating_add(other.count);
        self.sum = self.sum.saturating_add(other.sum);
        self.squares = self.squares.saturating_add(other.squares);
    }

    /// Returns the number of responses.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.count
    }

    fn mean(&self) -> f64 {
        self.sum as f64 / UNITS / f64::from(self.count.max(1))
    }

    fn variance(&self) -> f64 {
        let mean = self.mean();
        let squares = self.squares as f64 / (UNITS * UNITS) / f64::from(self.count.max(1));
        (squares - mean * mean).max(MIN_DEVIATION * MIN_DEVIATION)
    }

    /// Returns the factor by which these responses are slower than others, at the geometric mean;
    /// `None` with too few of either.
    #[must_use]
    pub fn slowdown(&self, others: &Self) -> Option<f64> {
        let has_enough = self.count.min(others.count) >= MIN_RESPONSES;
        has_enough.then(|| (self.mean() - others.mean()).exp())
    }

    /// Returns whether these responses, of the given upstreams, are significantly slower than others
    /// by more than `factor`.
    #[must_use]
    pub fn is_slower(
        &self,
        others: &Self,
        factor: f64,
        sources: UpstreamSketch,
        upstreams: &VersionUpstreams,
    ) -> bool {
        if sources.count() < upstreams.new_count().min(MIN_SOURCES) {
            return false;
        }
        let variance = self.variance() / f64::from(self.count.max(1))
            + others.variance() / f64::from(others.count.max(1))
            + upstreams.variance_of_difference(sources);
        let bound = factor * (CONFIDENCE * variance.sqrt()).exp();
        self.slowdown(others)
            .is_some_and(|slowdown| slowdown > bound)
    }
}

/// Set of upstreams of which only the number is known, and that only up to 64; several daemons add up
/// theirs without counting an upstream twice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSketch(u64);

impl UpstreamSketch {
    /// Adds the upstream with this digest.
    pub fn insert(&mut self, digest: u64) {
        self.0 |= 1 << (digest % u64::from(u64::BITS));
    }

    /// Adds the upstreams that another daemon knows.
    pub fn add(&mut self, other: Self) {
        self.0 |= other.0;
    }

    /// Returns the number of upstreams; it is too low if the digests of some fall together.
    #[must_use]
    pub fn count(self) -> u32 {
        self.0.count_ones()
    }
}
