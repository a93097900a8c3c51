//! Evidence on the versions of a roll-out, kept by route: a version may fail on one only.

use super::{PaceComparison, PaceSums, UpstreamSketch};
use crate::peer::name_digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Routes of a service of which each has its own evidence. Those beyond share theirs, so that a summary
/// stays small.
const MAX_ROUTES: usize = 16;

/// Digest of a route's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteDigest(u32);

impl RouteDigest {
    /// Stands for the routes that have no evidence of their own.
    const OTHERS: Self = Self(0);

    /// Returns the digest of a route's name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self(name_digest(name) as u32)
    }
}

/// Requests and responses of both versions, on one route or on several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Requests dispatched to any version.
    pub dispatched: u32,
    /// Requests dispatched to the new version.
    pub dispatched_new: u32,
    /// Those of them that ended without telling anything of the version.
    pub new_unjudged: u32,
    /// Responses of the new version.
    pub new_responses: u32,
    /// Failed or far too slow responses among them.
    pub new_bad: u32,
    /// Upstreams that the bad responses of the new version come from.
    pub bad_sources: UpstreamSketch,
    /// Good responses among them that came from upstreams that are still registered.
    pub new_good_present: u32,
    /// Responses of the old versions in the same period.
    pub old_responses: u32,
    /// Failed or far too slow responses among them.
    pub old_bad: u32,
    /// Paces of responses of the new version.
    pub new_paces: PaceSums,
    /// Paces of responses of the old versions in the same period.
    pub old_paces: PaceSums,
    /// Upstreams that the paces of the new version come from.
    pub new_sources: UpstreamSketch,
}

impl RouteEvidence {
    /// Adds the evidence of another daemon, or on another route.
    pub fn add(&mut self, other: &Self) {
        self.dispatched += other.dispatched;
        self.dispatched_new += other.dispatched_new;
        self.new_unjudged += other.new_unjudged;
        self.new_responses += other.new_responses;
        self.new_bad += other.new_bad;
        self.bad_sources.add(other.bad_sources);
        self.new_good_present += other.new_good_present;
        self.old_responses += other.old_responses;
        self.old_bad += other.old_bad;
        self.new_paces.add(&other.new_paces);
        self.old_paces.add(&other.old_paces);
        self.new_sources.add(other.new_sources);
    }

    /// Returns the fraction of bad responses of the old versions; `None` without responses.
    #[must_use]
    pub fn old_bad_ratio(&self) -> Option<f64> {
        let ratio = f64::from(self.old_bad) / f64::from(self.old_responses);
        (self.old_responses > 0).then_some(ratio)
    }
}

/// Evidence by route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutEvidence {
    routes: BTreeMap<RouteDigest, RouteEvidence>,
}

impl RolloutEvidence {
    /// Returns the key of the evidence on a route.
    fn key(&self, route: RouteDigest) -> RouteDigest {
        if self.routes.contains_key(&route) || self.routes.len() < MAX_ROUTES {
            route
        } else {
            RouteDigest::OTHERS
        }
    }

    /// Returns the evidence on a route to add to it.
    pub fn route_mut(&mut self, route: RouteDigest) -> &mut RouteEvidence {
        self.routes.entry(self.key(route)).or_default()
    }

    /// Returns the evidence on a route.
    #[must_use]
    pub fn route(&self, route: RouteDigest) -> RouteEvidence {
        let evidence = self.routes.get(&self.key(route));
        evidence.copied().unwrap_or_default()
    }

    /// Iterates over the evidence on each route.
    pub fn routes(&self) -> impl Iterator<Item = &RouteEvidence> {
        self.routes.values()
    }

    /// Adds the evidence of another daemon.
    pub fn add(&mut self, other: &Self) {
        for (route, evidence) in &other.routes {
            self.routes.entry(*route).or_default().add(evidence);
        }
    }

    /// Replaces the good responses of upstreams that are still registered.
    pub fn set_good_present(&mut self, counts: &BTreeMap<RouteDigest, u32>) {
        for evidence in self.routes.values_mut() {
            evidence.new_good_present = 0;
        }
        for (route, count) in counts {
            self.route_mut(*route).new_good_present += count;
        }
    }

    /// Returns the evidence on all routes together.
    #[must_use]
    pub fn total(&self) -> RouteEvidence {
        let mut total = RouteEvidence::default();
        for evidence in self.routes() {
            total.add(evidence);
        }
        total
    }

    /// Returns the number of bad responses that the new version would have had with the ratio of the old
    /// ones on each route. The versions may have got different shares of the routes.
    #[must_use]
    pub fn usual_bad(&self) -> f64 {
        let overall = self.total().old_bad_ratio().unwrap_or_default();
        let usual = self.routes().map(|evidence| {
            f64::from(evidence.new_responses) * evidence.old_bad_ratio().unwrap_or(overall)
        });
        usual.sum()
    }

    /// Compares the paces of both versions on each route.
    #[must_use]
    pub fn compare_paces(&self) -> PaceComparison {
        let mut comparison = PaceComparison::default();
        for evidence in self.routes() {
            comparison.add(evidence);
        }
        comparison
    }
}
