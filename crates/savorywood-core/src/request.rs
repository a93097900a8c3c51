//! Request types of the core. Request and response bodies stay in the runtime.

use savorywood_protocol::{MonotonicTime, RequestId, ServiceName, TeamName, TierRank};
use std::time::Duration;

/// SHA-256 digest of a bearer token, by which teams are looked up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenDigest(pub [u8; 32]);

/// Size of a prompt and the hashes by which engines identify its cached prefixes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Estimated number of prompt tokens; for a plain call, the size of its body in kilobytes plus
    /// one.
    pub tokens: u32,
    /// Chained hash of each full block of the prompt, longest prefix last.
    pub prefix_hashes: Vec<u64>,
    /// Maximum number of output tokens; `None` if the caller sets none.
    pub max_output_tokens: Option<u32>,
}

/// Request as the runtime received it, before any check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestArrival {
    /// Identity, assigned by the runtime.
    pub request: RequestId,
    /// Digest of the bearer token; `None` without one.
    pub token: Option<TokenDigest>,
    /// Service named in the request.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path within the service, with a leading slash.
    pub path: String,
    /// Tier that the caller asked for; `None` for the team's first one.
    pub tier: Option<String>,
    /// Time that the caller allows for the complete response; `None` for the service's default.
    pub deadline: Option<Duration>,
    /// Value of `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// SHA-256 over method, path and body. Distinguishes a repeat from another request with the
    /// same key.
    pub fingerprint: [u8; 32],
    /// Size of the prompt.
    pub prompt: PromptShape,
}

/// Request with its team, service and tier resolved, as the scheduler handles it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identity, assigned by the runtime.
    pub request: RequestId,
    /// Service that it is for.
    pub service: ServiceName,
    /// Route within the service: `METHOD /path` for plain calls, the path for model calls.
    pub route: String,
    /// Team that owns the bearer token.
    pub team: TeamName,
    /// Weight of the team within its tier, at least 1.
    pub weight: u32,
    /// Tier; one of those that the team may use.
    pub rank: TierRank,
    /// Whether it may be executed more than once.
    pub idempotent: bool,
    /// Time of arrival.
    pub arrived_at: MonotonicTime,
    /// Time at which its complete response is due.
    pub deadline_at: MonotonicTime,
    /// Size of the prompt.
    pub prompt: PromptShape,
}

/// Request for the rest of a stream that another daemon dispatched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeArrival {
    /// Identity of this call, assigned by the runtime.
    pub request: RequestId,
    /// Digest of the bearer token; `None` without one.
    pub token: Option<TokenDigest>,
    /// Signed resume token that the first daemon issued.
    pub resume_token: String,
    /// Number of bytes of the response that the caller already has.
    pub offset: u64,
}

/// Response of a non-idempotent call, stored so that a repeat of the call gets the same response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`; empty if there was none.
    pub content_type: String,
    /// Body; `None` if it was too large to be stored.
    pub body: Option<Vec<u8>>,
}
