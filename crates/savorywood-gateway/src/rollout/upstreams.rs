//! Upstreams of the versions of a roll-out, and the requests that they have to serve.

use super::UpstreamSketch;
use crate::label::UpstreamLabel;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeSet, time::Duration};

/// Least standard deviation of the logarithms of the speeds of upstreams of one version that is assumed.
const MIN_UPSTREAM_DEVIATION: f64 = 0.15;
/// Time over which the requests in progress are averaged.
const DEMAND_PERIOD: Duration = Duration::from_secs(2);

/// Name and incarnation of an upstream.
pub type UpstreamKey = (UpstreamLabel, u64);

/// Upstreams of the versions of a roll-out.
///
/// Upstreams differ in speed whatever their version, so that responses of a single one are not as much
/// evidence as those of several.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VersionUpstreams {
    /// Registered upstreams of the new version.
    pub new_present: BTreeSet<UpstreamKey>,
    /// Those of them that take requests.
    pub new_available: u32,
    /// Slots of the latter.
    pub new_slots: u32,
    /// Upstreams of the old versions that take requests.
    pub old_available: u32,
    /// Slots of these.
    pub old_slots: u32,
    /// Requests of all daemons in progress, at upstreams of any version.
    pub running: u32,
    old_observed: u32,
    sum: f64,
    squares: f64,
}

impl VersionUpstreams {
    /// Adds an upstream of an old version whose responses were observed, with its throughput up to a
    /// factor common to all.
    pub fn add_old(&mut self, throughput: f64) {
        let value = throughput.ln();
        self.old_observed += 1;
        self.sum += value;
        self.squares += value * value;
    }

    /// Returns the number of registered upstreams of the new version.
    #[must_use]
    pub fn new_count(&self) -> u32 {
        u32::try_from(self.new_present.len()).unwrap_or(u32::MAX)
    }

    /// Returns the variance of the difference between the mean logarithms of the speed of the upstreams
    /// of the new version that responses come from, and those of the old versions.
    #[must_use]
    pub fn variance_of_difference(&self, sources: UpstreamSketch) -> f64 {
        let inverse = |count: u32| 1.0 / f64::from(count.max(1));
        self.variance() * (inverse(sources.count()) + inverse(self.old_observed))
    }

    /// Returns the variance of the logarithms of the speed of upstreams of one version.
    fn variance(&self) -> f64 {
        let least = MIN_UPSTREAM_DEVIATION * MIN_UPSTREAM_DEVIATION;
        if self.old_observed < 2 {
            return least;
        }
        let count = f64::from(self.old_observed);
        let spread = self.squares - self.sum * self.sum / count;
        (spread / (count - 1.0)).max(least)
    }
}

/// Moving average of a service's requests in progress: what its upstreams need room for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandAverage {
    requests: f64,
    recorded_at: Option<MonotonicTime>,
}

impl DemandAverage {
    /// Records the requests in progress.
    pub fn record(&mut self, now: MonotonicTime, running: u32) {
        let running = f64::from(running);
        self.requests = match self.recorded_at {
            None => running,
            Some(before) => {
                let periods = now.since(before).as_secs_f64() / DEMAND_PERIOD.as_secs_f64();
                running + (self.requests - running) * (-periods).exp()
            }
        };
        self.recorded_at = Some(now);
    }

    /// Returns the average.
    #[must_use]
    pub fn requests(&self) -> f64 {
        self.requests
    }
}
