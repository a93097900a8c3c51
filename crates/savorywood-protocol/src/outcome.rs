//! What a caller is told when it does not get an answer.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether the work of a request reached an upstream.
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
    /// No byte of the request can have reached an upstream.
    NotRun,
    /// The upstream ran the request.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

/// Stable, machine-readable reason of a refusal or failure.
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
    /// The request itself is malformed.
    BadRequest,
    /// The token is missing or names no team.
    Unauthorized,
    /// The team may not do this.
    Forbidden,
    /// No such service, route or resource.
    NotFound,
    /// Head or body is over the limit.
    TooLarge,
    /// The head or body arrived too slowly.
    TooSlow,
    /// A call that may not be repeated came without `Idempotency-Key`.
    KeyRequired,
    /// The key is older than the claims that are kept.
    KeyExpired,
    /// The key was used before; the first call's outcome is reported.
    KeyUsed,
    /// Queues say that the deadline can't be met.
    Overloaded,
    /// The deadline passed while the request waited.
    DeadlineExceeded,
    /// The tier is below the floor that is now admitted.
    TierShed,
    /// No upstream of the service can take work.
    NoUpstream,
    /// This daemon is leaving or not yet ready.
    NotReady,
    /// This daemon can't confirm that its configuration is current.
    ConfigStale,
    /// The table service is needed for this call and does not answer.
    StoreUnavailable,
    /// The upstream failed or its answer was cut off.
    UpstreamFailed,
    /// The caller went away.
    CallerLeft,
    /// The resume token is forged, foreign or stale.
    BadResumeToken,
    /// Another operator's write came first.
    RevisionConflict,
    /// An error inside the daemon.
    Internal,
}

impl RefusalCode {
    /// Whether the caller brought it about: then it says nothing of the service.
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

    /// HTTP status that carries this code.
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

/// The final answer to a request that gets no upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRefusal {
    /// Whether the work ran.
    pub outcome: OutcomeKind,
    /// Stable reason.
    pub code: RefusalCode,
    /// Sentence for a person: what is wrong and what to do.
    pub detail: String,
    /// When coming back makes sense, if it does.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// A refusal of work that no upstream has seen.
    #[must_use]
    pub fn not_run(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            outcome: OutcomeKind::NotRun,
            code,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// A failure after which the work may or may not have run.
    #[must_use]
    pub fn unknown(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            outcome: OutcomeKind::Unknown,
            ..Self::not_run(code, detail)
        }
    }

    /// Whether it is given for want of room, so that tiers are refused in order.
    #[must_use]
    pub fn is_overload(&self) -> bool {
        matches!(self.code, RefusalCode::Overloaded | RefusalCode::TierShed)
    }

    /// The same refusal with the time after which to come back.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}
