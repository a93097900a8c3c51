//! Final answers that the daemon gives itself.

use strum::{Display, EnumIter, IntoStaticStr};

/// Why a request gets no answer of an upstream.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// Configuration or upstreams are not known, or not confirmed lately.
    NotReady,
    /// No route matches.
    NoRoute,
    /// A key is needed and none, or one that nobody holds, was shown.
    UnknownKey,
    /// The team is over its limit.
    OverLimit,
    /// No upstream of the service is known.
    NoUpstream,
    /// It would not be answered in time.
    Overloaded,
    /// All upstreams asked said that they did not run it.
    NotRun,
    /// The time is up and it was never sent.
    ExpiredUnsent,
    /// The time is up and it may have run.
    ExpiredUnknown,
    /// Upstreams crashed under earlier requests that asked the same.
    Quarantined,
    /// It was sent, and no whole answer came.
    #[strum(serialize = "broken-answer")]
    IncompleteResponse,
}

impl RefusalReason {
    /// Says whether the reason promises that the request has not run and never will.
    #[must_use]
    pub fn guarantees_not_executed(self) -> bool {
        match self {
            Self::NotReady
            | Self::NoRoute
            | Self::UnknownKey
            | Self::OverLimit
            | Self::NoUpstream
            | Self::Overloaded
            | Self::NotRun
            | Self::Quarantined
            | Self::ExpiredUnsent => true,
            Self::ExpiredUnknown | Self::IncompleteResponse => false,
        }
    }
}
