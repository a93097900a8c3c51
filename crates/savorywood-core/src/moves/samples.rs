//! Request samples of the two versions of a move, aggregated by route until they are sent.

use savorywood_protocol::{
    ServiceName, VersionName,
    peer::moves::{RouteStatistics, VersionStatistics},
};
use std::collections::BTreeMap;

/// Routes counted separately in one move. Further routes share one entry, which bounds the size of
/// a message.
const MAX_ROUTES: usize = 16;

/// Name of the entry that further routes share.
const OTHER_ROUTES: &str = "other routes";

/// Outcome of one dispatched request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveSample {
    /// Service that the request belongs to.
    pub service: ServiceName,
    /// Route within the service.
    pub route: String,
    /// Version of the upstream that the request was dispatched to.
    pub version: VersionName,
    /// Whether the attempt failed at the upstream. A request that its caller cancels before the
    /// deadline gives no sample.
    pub failed: bool,
    /// Microseconds between two tokens (model service) or for the complete response (plain
    /// service); absent if not measured.
    pub micros: Option<u32>,
}

/// Which of the two compared versions served a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ComparedVersion {
    /// The version that the move shifts traffic from; the baseline.
    Old,
    /// The version that the move shifts traffic to; the version under test.
    New,
}

/// Statistics of one move since the last batch was taken.
#[derive(Debug, Clone, Default)]
pub struct SampleBuffer {
    routes: BTreeMap<String, RouteStatistics>,
}

impl SampleBuffer {
    /// Counts one request under its route.
    pub fn add(&mut self, version: ComparedVersion, sample: &MoveSample) {
        let is_tracked = self.routes.contains_key(&sample.route);
        let has_room = is_tracked || self.routes.len() < MAX_ROUTES;
        let route = if has_room {
            &sample.route
        } else {
            OTHER_ROUTES
        };
        let statistics = self
            .routes
            .entry(route.to_owned())
            .or_insert_with(|| RouteStatistics {
                route: route.to_owned(),
                old: VersionStatistics::default(),
                new: VersionStatistics::default(),
            });
        let counts = match version {
            ComparedVersion::Old => &mut statistics.old,
            ComparedVersion::New => &mut statistics.new,
        };
        counts.finished += 1;
        counts.failed += u32::from(sample.failed);
        if let Some(micros) = sample.micros.filter(|_| !sample.failed) {
            let log = (micros.max(1) as f32).ln();
            counts.timed += 1;
            counts.log_sum += log;
            counts.log_square += log * log;
        }
    }

    /// Returns the statistics of all routes and empties the buffer.
    pub fn take(&mut self) -> Vec<RouteStatistics> {
        std::mem::take(&mut self.routes).into_values().collect()
    }

    /// Whether a request failed on the new version since the last batch. Such a batch is sent
    /// without waiting for the send interval.
    #[must_use]
    pub fn has_new_failures(&self) -> bool {
        self.routes
            .values()
            .any(|statistics| statistics.new.failed > 0)
    }
}
