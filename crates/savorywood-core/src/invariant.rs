//! Invariants of the daemon, checked at run time in every build.

use crate::effect::{DaemonEffect, EffectQueue};
use strum::{Display, EnumIter, IntoStaticStr};

/// Identifies an invariant. The text form is the label of the violation counter.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum InvariantName {
    /// A request has at most one open dispatch.
    DispatchAtMostOnce,
    /// A higher tier is never shed before a lower one.
    ShedLowestFirst,
    /// A new version that fails receives only a small share of the traffic, and none soon after the
    /// failures are detected.
    BadVersionBounded,
    /// A caller receives the complete response to its own request.
    #[strum(serialize = "whole-own-answer")]
    ResponseMatchesRequest,
    /// A request that is refused as "not run" was not executed.
    #[strum(serialize = "not-run-is-true")]
    NotExecutedIsAccurate,
    /// A non-idempotent call is dispatched only after its claim was granted, so that it runs at
    /// most once.
    ClaimBeforeDispatch,
    /// A draining upstream, or one on a leaving host, receives no new requests.
    #[strum(serialize = "leaving-gets-nothing")]
    NoDispatchToLeaving,
    /// A planned stop ends only after all requests are complete.
    #[strum(serialize = "stop-cuts-nothing")]
    StopCompletesRequests,
    /// The configuration in force never reverts to an older revision.
    ConfigNeverReverts,
    /// Only the current holder of a lease acts under it.
    #[strum(serialize = "holder-acts-alone")]
    ExclusiveLeaseHolder,
}

/// One observed violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvariantViolation {
    /// Invariant that was violated.
    pub name: InvariantName,
    /// Details of the violation, for the log.
    pub detail: String,
}

/// Pushes [`DaemonEffect::InvariantViolated`] unless `holds`. The detail is built only on a
/// violation.
pub fn check(
    effects: &mut EffectQueue,
    name: InvariantName,
    holds: bool,
    detail: impl FnOnce() -> String,
) {
    if !holds {
        let detail = detail();
        effects.push(DaemonEffect::InvariantViolated(InvariantViolation {
            name,
            detail,
        }));
    }
}
