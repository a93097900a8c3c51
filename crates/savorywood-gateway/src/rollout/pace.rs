//! Pace of responses of two versions, compared over all daemons.

use super::{RouteEvidence, VersionUpstreams};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Units of a logarithm of milliseconds in the sums.
const UNITS: f64 = 1_000.0;
/// Responses of each version that are needed for a comparison.
const MIN_RESPONSES: u32 = 6;
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
}

/// Difference between the paces of both versions, over one route or several.
///
/// Responses are compared on each route by itself, as the versions may have got different shares of the
/// routes, and routes differ in pace.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceComparison {
    new: u32,
    old: u32,
    weight: f64,
    /// Differences between the mean logarithms, times their weights.
    difference: f64,
    /// Variances of these, times the squares of the weights.
    variance: f64,
    sources: UpstreamSketch,
}

impl PaceComparison {
    /// Adds the paces on a route, weighed by the number of responses.
    pub fn add(&mut self, evidence: &RouteEvidence) {
        let (new, old) = (&evidence.new_paces, &evidence.old_paces);
        if new.count == 0 || old.count == 0 {
            return;
        }
        let (new_count, old_count) = (f64::from(new.count), f64::from(old.count));
        let weight = new_count * old_count / (new_count + old_count);
        let variance = new.variance() / new_count + old.variance() / old_count;
        self.new += new.count;
        self.old += old.count;
        self.weight += weight;
        self.difference += weight * (new.mean() - old.mean());
        self.variance += weight * weight * variance;
        self.sources.add(evidence.new_sources);
    }

    /// Returns the factor by which the new version is slower, at the geometric mean; `None` with too few
    /// responses.
    #[must_use]
    pub fn slowdown(&self) -> Option<f64> {
        let has_enough = self.new.min(self.old) >= MIN_RESPONSES;
        has_enough.then(|| (self.difference / self.weight).exp())
    }

    /// Returns whether the new version is significantly slower by more than `factor`.
    #[must_use]
    pub fn is_slower(&self, factor: f64, upstreams: &VersionUpstreams) -> bool {
        if !self.sources.is_spread(upstreams) {
            return false;
        }
        let variance = self.variance / (self.weight * self.weight)
            + upstreams.variance_of_difference(self.sources);
        let bound = factor * (CONFIDENCE * variance.sqrt()).exp();
        self.slowdown().is_some_and(|slowdown| slowdown > bound)
    }
}

/// Upstreams of the new version that evidence against it must come from, if it has as many: a single one may
/// be slow, or crash, for reasons of its own.
const MIN_SOURCES: u32 = 3;

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

    /// Returns whether evidence from these upstreams can be the version's fault.
    #[must_use]
    pub fn is_spread(self, upstreams: &VersionUpstreams) -> bool {
        self.count() >= upstreams.new_count().min(MIN_SOURCES)
    }

    /// Returns the number of upstreams; it is too low if the digests of some fall together.
    #[must_use]
    pub fn count(self) -> u32 {
        self.0.count_ones()
    }
}
