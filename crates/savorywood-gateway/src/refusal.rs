//! Reasons for which the daemon refuses a request itself.

use strum::{Display, EnumIter, IntoStaticStr};

/// Reason for which a request gets no response of an upstream.
///
/// The text form is part of the metrics, the log and the responses to callers.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The configuration or the upstreams have not been read, or have not been confirmed recently.
    NotReady,
    /// The daemon stops before the request could end.
    Stopping,
    /// No route matches the host and path.
    NoRoute,
    /// A key is required, and the request has none or an unknown one.
    UnknownKey,
    /// The team has exceeded its limit.
    OverLimit,
    /// The service has no upstream that the request could be dispatched to.
    NoUpstream,
    /// The response would come too late (load shedding).
    Overloaded,
    /// All attempted upstreams reported that they did not execute the request.
    NotRun,
    /// The deadline passed before the request was dispatched.
    ExpiredUnsent,
    /// The deadline passed, and an upstream may have executed the request.
    ExpiredUnknown,
    /// Upstreams crashed under earlier requests with the same fingerprint.
    Quarantined,
    /// The request was dispatched, and no complete response was received.
    #[strum(serialize = "broken-answer")]
    IncompleteResponse,
}

impl RefusalReason {
    /// Returns whether the refusal guarantees that the request has not been and will not be
    /// executed.
    #[must_use]
    pub fn guarantees_not_executed(self) -> bool {
        match self {
            Self::NotReady
            | Self::Stopping
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
