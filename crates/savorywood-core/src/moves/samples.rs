//! What this daemon sees of the two versions of a move, gathered until it is sent.

use savorywood_protocol::{
    ServiceName, VersionName,
    peer::moves::{RouteStatistics, VersionStatistics},
};
use std::collections::BTreeMap;

/// Routes told apart in one move. More are put together, so that a message stays small.
const MAX_ROUTES: usize = 16;

/// Name under which further routes are put together.
const OTHER_ROUTES: &str = "other routes";

/// How one request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveSample {
    /// Service.
    pub service: ServiceName,
    /// Route within the service.
    pub route: String,
    /// Version of the upstream that it was dispatched to.
    pub version: VersionName,
    /// Whether the upstream failed it. A caller that left is no failure.
    pub failed: bool,
    /// Microseconds between two tokens (model) or for the whole answer (plain), if measured.
    pub micros: Option<u32>,
}

/// Which of the two versions a request met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ComparedVersion {
    /// The one that had the traffic.
    Old,
    /// The one that gets it.
    New,
}

/// Evidence of one move since it was sent last.
#[derive(Debug, Clone, Default)]
pub struct SampleBuffer {
    routes: BTreeMap<String, RouteStatistics>,
}

impl SampleBuffer {
    /// Adds one request.
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

    /// Takes out what was gathered.
    pub fn take(&mut self) -> Vec<RouteStatistics> {
        std::mem::take(&mut self.routes).into_values().collect()
    }

    /// Whether the new version failed since the last message: told sooner than the rest.
    #[must_use]
    pub fn has_new_failures(&self) -> bool {
        self.routes
            .values()
            .any(|statistics| statistics.new.failed > 0)
    }
}
