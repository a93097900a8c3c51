//! Versions that a request prefers, and when it may go to the others.

use crate::{
    label::VersionLabel,
    selection::{SelectionFailure, VersionFilter},
};

/// When a request may go to an upstream of any version although it prefers some.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionReserve {
    /// Never.
    Never,
    /// If no upstream of the preferred versions is eligible.
    NoneEligible,
    /// Also if all of them have asked for fewer requests, or warm up.
    AllRestrained,
    /// Also if none of them has a free slot.
    NoneFree,
}

/// Versions whose upstreams a request is sent to.
///
/// A roll-out decides how many requests each version gets, not whether a request is served: its filter
/// must not leave a request without an upstream while another version has one. Only a version that was
/// found bad is never used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionPreference {
    /// Versions that are tried first.
    pub first: VersionFilter,
    /// When any version may be used.
    pub reserve: VersionReserve,
}

impl VersionPreference {
    /// Returns the preference without a roll-out.
    #[must_use]
    pub fn any() -> Self {
        Self {
            first: VersionFilter::Any,
            reserve: VersionReserve::Never,
        }
    }

    /// Returns the preference for a version that is to get this request, if it has a free slot.
    #[must_use]
    pub fn favoured(version: &VersionLabel) -> Self {
        Self {
            first: VersionFilter::Only(version.clone()),
            reserve: VersionReserve::NoneFree,
        }
    }

    /// Returns the preference for a version that is to bear the load of the service.
    #[must_use]
    pub fn switched(version: &VersionLabel) -> Self {
        Self {
            first: VersionFilter::Only(version.clone()),
            reserve: VersionReserve::AllRestrained,
        }
    }

    /// Returns the preference for a version whose roll-out is completed: the others stop.
    #[must_use]
    pub fn completed(version: &VersionLabel) -> Self {
        Self {
            first: VersionFilter::Only(version.clone()),
            reserve: VersionReserve::NoneEligible,
        }
    }

    /// Returns the preference for versions other than one that has had its share.
    #[must_use]
    pub fn withheld(version: &VersionLabel) -> Self {
        Self {
            first: VersionFilter::Except(version.clone()),
            reserve: VersionReserve::NoneEligible,
        }
    }

    /// Returns the preference for versions other than a bad one.
    #[must_use]
    pub fn rejected(version: &VersionLabel) -> Self {
        Self {
            first: VersionFilter::Except(version.clone()),
            reserve: VersionReserve::Never,
        }
    }

    /// Returns whether any version may be used after the preferred ones failed to be selected.
    #[must_use]
    pub fn allows_any(&self, failure: SelectionFailure) -> bool {
        match failure {
            SelectionFailure::NoCandidate => self.reserve != VersionReserve::Never,
            SelectionFailure::AllRestrained => matches!(
                self.reserve,
                VersionReserve::AllRestrained | VersionReserve::NoneFree
            ),
            SelectionFailure::AllFull => self.reserve == VersionReserve::NoneFree,
        }
    }
}
