//! Why a call of the platform failed, with the step and the peer.

use savorywood_http::SendError;
use snafu::Snafu;
use std::net::SocketAddr;
use strum::{Display, IntoStaticStr};

/// What a call was about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PlatformStep {
    /// Table service.
    CallTable,
    /// Writing an object.
    PutObject,
    /// Reading an object.
    GetObject,
    /// Deleting an object.
    DeleteObject,
    /// Reading the host list.
    ListHosts,
    /// Reading weights.
    GetWeights,
}

/// Why a call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// The duty's budget is used up. Nothing was sent.
    #[snafu(display("{step} at {peer}: the duty's budget is used up"))]
    OverBudget {
        /// What was being done.
        step: PlatformStep,
        /// Whom.
        peer: SocketAddr,
    },
    /// The breaker is open after failures. Nothing was sent.
    #[snafu(display("{step} at {peer}: the service failed lately; not tried"))]
    BreakerOpen {
        /// What was being done.
        step: PlatformStep,
        /// Whom.
        peer: SocketAddr,
    },
    /// No whole answer came.
    #[snafu(display("{step} at {peer}: {source}"))]
    NoAnswer {
        /// What was being done.
        step: PlatformStep,
        /// Whom.
        peer: SocketAddr,
        /// What went wrong.
        source: SendError,
    },
    /// The service answered with a status that is no success.
    #[snafu(display("{step} at {peer}: status {status}: {detail}"))]
    BadStatus {
        /// What was being done.
        step: PlatformStep,
        /// Whom.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Beginning of the body.
        detail: String,
    },
    /// The answer can't be decoded.
    #[snafu(display("{step} at {peer}: the answer can't be read: {source}"))]
    BadAnswer {
        /// What was being done.
        step: PlatformStep,
        /// Whom.
        peer: SocketAddr,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

/// Statuses by which the service says that it did nothing: malformed, forbidden, too many calls,
/// or out.
const WITHOUT_EFFECT: [u16; 7] = [400, 401, 403, 404, 413, 429, 503];

impl PlatformError {
    /// Whether the call certainly took no effect. Everything that is not certain counts as
    /// "may have": a status 500 or 504 can come from a relay in front of a service that has
    /// committed, and believing it would end in a second write.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::OverBudget { .. } | Self::BreakerOpen { .. } => true,
            Self::NoAnswer { source, .. } => matches!(source, SendError::NotSent { .. }),
            Self::BadStatus { status, .. } => WITHOUT_EFFECT.contains(status),
            Self::BadAnswer { .. } => false,
        }
    }

    /// Whether the service itself seems to be in trouble, which the breaker counts.
    #[must_use]
    pub fn is_outage(&self) -> bool {
        match self {
            Self::OverBudget { .. } | Self::BreakerOpen { .. } => false,
            Self::NoAnswer { .. } | Self::BadAnswer { .. } => true,
            Self::BadStatus { status, .. } => *status >= 500,
        }
    }
}
