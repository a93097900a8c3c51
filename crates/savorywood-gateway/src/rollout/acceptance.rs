//! Acceptance of a new version by what it has shown.

use super::VersionUpstreams;
use crate::message::VersionTally;
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
    pub fn new(total: &VersionTally, upstreams: &VersionUpstreams, demand: f64) -> Self {
        let needed = total.dispatched / REQUESTS_PER_GOOD_RESPONSE;
        let usual_bad = f64::from(total.new_responses) * old_bad_ratio(total);
        let excess_bad = (f64::from(total.new_bad) - usual_bad).max(0.0);
        Self {
            good_responses: total.new_good_present,
            needed_responses: needed.clamp(1, MIN_GOOD_RESPONSES)
                + (excess_bad * GOOD_RESPONSES_PER_BAD).ceil() as u32,
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
        } else if self.demand > f64::from(self.slots) * MAX_DEMAND_PER_SLOT {
            AcceptanceVerdict::NoRoom
        } else {
            AcceptanceVerdict::Accepted
        }
    }
}

/// Returns whether the new version lacks good responses, also with those that are on their way. They
/// are needed one after the other until `progress`, a fraction of the time for them, is 1: upstreams of the
/// new version register one after the other, and the first one may differ from the rest.
pub fn needs_probe(total: &VersionTally, check: &AcceptanceCheck, progress: f64) -> bool {
    let ended = total.new_responses + total.new_unjudged.min(MAX_UNJUDGED);
    let running = total.dispatched_new.saturating_sub(ended);
    let needed = check.needed_responses.max(MIN_GOOD_RESPONSES);
    f64::from(check.good_responses + running) < f64::from(needed) * progress.min(1.0)
}

/// Returns whether the new version has had enough responses to receive any request.
pub fn is_well_known(total: &VersionTally) -> bool {
    total.new_responses >= MIN_RESPONSES
}

fn old_bad_ratio(total: &VersionTally) -> f64 {
    f64::from(total.old_bad) / f64::from(total.old_responses.max(1))
}

/// Returns true if the ratio of bad responses is significantly higher at the new version: above
/// that of the old versions by three standard deviations and 0.02.
pub fn is_significantly_worse(total: &VersionTally) -> bool {
    if total.new_bad < MIN_BAD_RESPONSES || total.new_responses == 0 {
        return false;
    }
    let new = f64::from(total.new_bad) / f64::from(total.new_responses);
    let old = old_bad_ratio(total);
    let std_error = (old.max(0.02) * (1.0 - old.min(0.98)) / f64::from(total.new_responses)).sqrt();
    new > old + 3.0 * std_error + 0.02
}
