//! Outcomes and refusal codes of requests that get no response from an upstream.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether an upstream executed a request.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OutcomeKind {
    /// Not executed: no byte of the request can have reached an upstream.
    NotRun,
    /// An upstream executed the request.
    Ran,
    /// The request may or may not have been executed.
    Unknown,
}

/// Machine-readable reason of a refusal or failure. Codes stay the same between releases.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The bearer token is missing or belongs to no team.
    Unauthorized,
    /// The team is not allowed to make this request.
    Forbidden,
    /// The service, route or resource does not exist.
    NotFound,
    /// The head or body exceeds its size limit.
    TooLarge,
    /// The head or body was not received within its time limit.
    TooSlow,
    /// A call that is not idempotent has no `Idempotency-Key`.
    KeyRequired,
    /// The idempotency key is older than the claim retention of the service.
    KeyExpired,
    /// The idempotency key was used before; the outcome of the first call is reported.
    KeyUsed,
    /// The deadline can't be met, by the estimated queue wait.
    Overloaded,
    /// The deadline passed while the request waited.
    DeadlineExceeded,
    /// The tier is less important than the lowest tier that is admitted now.
    TierShed,
    /// No upstream of the service accepts requests.
    NoUpstream,
    /// This daemon is shutting down or not ready yet.
    NotReady,
    /// This daemon can't confirm that its configuration is up to date.
    ConfigStale,
    /// The call needs the table service, which does not respond.
    StoreUnavailable,
    /// The upstream failed or its response was truncated.
    UpstreamFailed,
    /// The caller closed the connection.
    CallerLeft,
    /// The resume token is invalid, expired or belongs to another team.
    BadResumeToken,
    /// The resource was changed since the revision that the write was based on.
    RevisionConflict,
    /// Internal error of the daemon.
    Internal,
}

impl RefusalCode {
    /// Returns whether the caller caused the error. Such errors don't count against the
    /// objectives of the service.
    #[must_use]
    pub fn is_caller_error(self) -> bool {
        match self {
            Self::BadRequest
            | Self::Unauthorized
            | Self::Forbidden
            | Self::NotFound
            | Self::TooLarge
            | Self::TooSlow
            | Self::KeyRequired
            | Self::KeyExpired
            | Self::KeyUsed
            | Self::CallerLeft
            | Self::BadResumeToken
            | Self::RevisionConflict => true,
            Self::Overloaded
            | Self::DeadlineExceeded
            | Self::TierShed
            | Self::NoUpstream
            | Self::NotReady
            | Self::ConfigStale
            | Self::StoreUnavailable
            | Self::UpstreamFailed
            | Self::Internal => false,
        }
    }

    /// Returns the HTTP status of a response with this code.
    #[must_use]
    pub fn http_status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyRequired | Self::BadResumeToken => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::TooSlow => 408,
            Self::RevisionConflict | Self::KeyUsed => 409,
            Self::KeyExpired => 410,
            Self::TooLarge => 413,
            Self::Overloaded | Self::TierShed => 429,
            Self::CallerLeft => 499,
            Self::Internal => 500,
            Self::UpstreamFailed => 502,
            Self::NoUpstream | Self::NotReady | Self::ConfigStale | Self::StoreUnavailable => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

/// Final response to a request that gets no response from an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRefusal {
    /// Whether an upstream executed the request.
    pub outcome: OutcomeKind,
    /// Machine-readable reason.
    pub code: RefusalCode,
    /// Human-readable description: what is wrong and what to do.
    pub detail: String,
    /// Delay before a retry is useful; absent when a retry doesn't help.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Creates a refusal of a request that no upstream has received.
    #[must_use]
    pub fn not_run(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            outcome: OutcomeKind::NotRun,
            code,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates a failure after which the request may or may not have been executed.
    #[must_use]
    pub fn unknown(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            outcome: OutcomeKind::Unknown,
            ..Self::not_run(code, detail)
        }
    }

    /// Returns whether the request is refused for lack of capacity. Such refusals follow the
    /// order of the tiers.
    #[must_use]
    pub fn is_overload(&self) -> bool {
        matches!(self.code, RefusalCode::Overloaded | RefusalCode::TierShed)
    }

    /// Returns the refusal with a retry-after delay.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}
