//! What must always hold, checked inside the program in every build.

use crate::effect::{DaemonEffect, EffectQueue};
use strum::{Display, EnumIter, IntoStaticStr};

/// Names an invariant; also the label of its metric.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum InvariantName {
    /// A request is dispatched at most once.
    DispatchAtMostOnce,
    /// A higher tier is never shed before a lower one.
    ShedLowestFirst,
    /// A bad version gets a small share, and none soon after it shows itself.
    BadVersionBounded,
    /// A caller gets the answer to its own request, whole.
    #[strum(serialize = "whole-own-answer")]
    ResponseMatchesRequest,
    /// A refusal that says "not run" is true.
    #[strum(serialize = "not-run-is-true")]
    NotExecutedIsAccurate,
    /// Non-idempotent work runs at most once.
    ClaimBeforeDispatch,
    /// A leaving upstream gets no new work.
    #[strum(serialize = "leaving-gets-nothing")]
    NoDispatchToLeaving,
    /// A planned stop cuts off no request.
    #[strum(serialize = "stop-cuts-nothing")]
    StopCompletesRequests,
    /// Configuration in force never reverts.
    ConfigNeverReverts,
    /// Only the holder of a lease acts under it.
    #[strum(serialize = "holder-acts-alone")]
    ExclusiveLeaseHolder,
}

/// One breach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvariantViolation {
    /// Which invariant.
    pub name: InvariantName,
    /// What was seen.
    pub detail: String,
}

/// Pushes a breach unless `holds`. The detail is only made when it is needed.
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
