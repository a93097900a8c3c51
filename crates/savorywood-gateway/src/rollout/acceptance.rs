//! Acceptance of a new version by what it has shown.

use super::{RolloutEvidence, RouteEvidence, VersionUpstreams};
use strum::{Display, IntoStaticStr};

/// Number of responses of the new version after which it may receive any request.
const MIN_RESPONSES: u32 = 30;
/// Number of good responses of the new version that are needed to accept it; fewer are enough where few
/// requests arrive.
const MIN_GOOD_RESPONSES: u32 = 6;
/// Good responses that are needed in addition for each bad one beyond the ratio of the old versions.
const GOOD_RESPONSES_PER_BAD: f64 = 5.0;
/// Requests of the service for each good response that is needed.
const REQUESTS_PER_GOOD_RESPONSE: u32 = 2;
/// Requests in progress for each slot of the new version with which it still has room: requests take longer
/// where many are in progress, so that they would need fewer slots than their number.
const MAX_DEMAND_PER_SLOT: f64 = 2.0;
/// Attempts without a result that do not keep others from following.
const MAX_UNJUDGED: u32 = 6;
/// Number of bad responses of the new version that are needed to reject it.
const MIN_BAD_RESPONSES: u32 = 3;

/// Part of a service's requests that goes to the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RolloutStage {
    /// A small share.
    Canary,
    /// Any request.
    Shared,
    /// All requests.
    Switched,
}

/// Whether a new version may be completed, and what is missing otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AcceptanceVerdict {
    /// It may.
    Accepted,
    /// None of its upstreams takes requests.
    NoUpstream,
    /// It has too few good responses.
    FewResponses,
    /// It has too few good responses on some route.
    UnprovenRoute,
    /// Its upstreams have too few slots for the requests of the service.
    NoRoom,
}

/// What speaks for accepting the new version, and what is needed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AcceptanceCheck {
    /// Good responses of upstreams of the new version that are still registered.
    pub good_responses: u32,
    /// Good responses that are needed.
    pub needed_responses: u32,
    /// Routes on which it has too few.
    pub unproven_routes: usize,
    /// Upstreams of the new version that take requests.
    pub upstreams: u32,
    /// Their slots.
    pub slots: u32,
    /// Requests in progress that need room: those of the service, on average, as far as the old versions
    /// have slots for them.
    pub demand: f64,
}

impl AcceptanceCheck {
    /// Sums up the evidence of all daemons.
    #[must_use]
    pub fn new(evidence: &RolloutEvidence, upstreams: &VersionUpstreams, demand: f64) -> Self {
        let total = evidence.total();
        let unproven = evidence.routes().filter(|route| !is_proven(route));
        Self {
            good_responses: total.new_good_present,
            needed_responses: needed_responses(&total, 1.0, evidence.usual_bad()).max(1),
            unproven_routes: unproven.count(),
            upstreams: upstreams.new_available,
            slots: upstreams.new_slots,
            demand: if upstreams.old_slots > 0 {
                demand.min(f64::from(upstreams.old_slots))
            } else {
                demand
            },
        }
    }

    /// Returns whether the new version may be completed.
    #[must_use]
    pub fn verdict(&self) -> AcceptanceVerdict {
        if self.upstreams == 0 {
            AcceptanceVerdict::NoUpstream
        } else if self.good_responses < self.needed_responses {
            AcceptanceVerdict::FewResponses
        } else if self.unproven_routes > 0 {
            AcceptanceVerdict::UnprovenRoute
        } else if self.demand > f64::from(self.slots) * MAX_DEMAND_PER_SLOT {
            AcceptanceVerdict::NoRoom
        } else {
            AcceptanceVerdict::Accepted
        }
    }
}

/// Returns the number of good responses that are needed where `usual_good` is the fraction of good ones
/// that any version can have, and `usual_bad` the number of bad ones to be expected.
fn needed_responses(evidence: &RouteEvidence, usual_good: f64, usual_bad: f64) -> u32 {
    let by_requests = evidence.dispatched / REQUESTS_PER_GOOD_RESPONSE;
    let usual = f64::from(by_requests.min(MIN_GOOD_RESPONSES)) * usual_good;
    let excess_bad = (f64::from(evidence.new_bad) - usual_bad).max(0.0);
    usual as u32 + (excess_bad * GOOD_RESPONSES_PER_BAD).ceil() as u32
}

/// Returns the good responses that are needed on one route. None are where neither version has had a
/// response: all its callers may have left.
fn needed_on_route(route: &RouteEvidence) -> u32 {
    let usual_bad_ratio = route.old_bad_ratio();
    let usual_good = match usual_bad_ratio {
        Some(ratio) => 1.0 - ratio,
        None if route.new_responses > 0 => 1.0,
        None => 0.0,
    };
    let usual_bad = f64::from(route.new_responses) * usual_bad_ratio.unwrap_or_default();
    needed_responses(route, usual_good, usual_bad)
}

fn is_proven(route: &RouteEvidence) -> bool {
    route.new_good_present >= needed_on_route(route)
}

/// Returns whether the new version lacks good responses on a route, also with those that are on their way.
/// They are needed one after the other until `progress`, a fraction of the time for them, is 1: upstreams
/// of the new version register one after the other, and the first one may differ from the rest.
pub fn needs_probe(route: &RouteEvidence, progress: f64) -> bool {
    let ended = route.new_responses + route.new_unjudged.min(MAX_UNJUDGED);
    let running = route.dispatched_new.saturating_sub(ended);
    let needed = needed_on_route(route).max(MIN_GOOD_RESPONSES);
    f64::from(route.new_good_present + running) < f64::from(needed) * progress.min(1.0)
}

/// Returns whether a route has so few requests that all of them are needed for the responses that are to
/// be known at this `progress`.
pub fn is_rare(route: &RouteEvidence, progress: f64) -> bool {
    let enough = f64::from(MIN_GOOD_RESPONSES * REQUESTS_PER_GOOD_RESPONSE);
    f64::from(route.dispatched) < enough * progress.min(1.0)
}

/// Returns whether the new version has had enough responses to receive any request.
pub fn is_well_known(evidence: &RolloutEvidence) -> bool {
    evidence.total().new_responses >= MIN_RESPONSES
}

/// Returns whether the ratio of bad responses is significantly higher at the new version, on all routes
/// together or on one of them.
pub fn is_significantly_worse(evidence: &RolloutEvidence, upstreams: &VersionUpstreams) -> bool {
    let total = evidence.total();
    let mut routes = evidence.routes();
    exceeds_usual_bad(&total, evidence.usual_bad(), upstreams)
        || routes.any(|route| {
            let ratio = route.old_bad_ratio().unwrap_or_default();
            let usual_bad = f64::from(route.new_responses) * ratio;
            exceeds_usual_bad(route, usual_bad, upstreams)
        })
}

/// Returns whether the ratio of bad responses of the new version is above the usual one by three standard
/// deviations and 0.02, with bad responses of several upstreams.
fn exceeds_usual_bad(
    evidence: &RouteEvidence,
    usual_bad: f64,
    upstreams: &VersionUpstreams,
) -> bool {
    let has_enough = evidence.new_bad >= MIN_BAD_RESPONSES && evidence.new_responses > 0;
    if !has_enough || !evidence.bad_sources.is_spread(upstreams) {
        return false;
    }
    let responses = f64::from(evidence.new_responses);
    let ratio = f64::from(evidence.new_bad) / responses;
    let usual = usual_bad / responses;
    let std_error = (usual.max(0.02) * (1.0 - usual.min(0.98)) / responses).sqrt();
    ratio > usual + 3.0 * std_error + 0.02
}
