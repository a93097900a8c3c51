//! What the core knows of a request. Bodies stay in the shell.

use savorywood_protocol::{MonotonicTime, RequestId, ServiceName, TeamName, TierRank};
use std::time::Duration;

/// SHA-256 of a bearer token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenDigest(pub [u8; 32]);

/// Size of a prompt and the hashes by which engines name its prefixes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Estimated prompt tokens; for a plain call, its body's size in kilobytes plus one.
    pub tokens: u32,
    /// Chained hash of each whole block of the prompt, longest prefix last.
    pub prefix_hashes: Vec<u64>,
    /// Output tokens at most, when the caller says so.
    pub max_output_tokens: Option<u32>,
}

/// A request as the shell hands it in: nothing in it has been believed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestArrival {
    /// Identity, made by the shell.
    pub request: RequestId,
    /// Digest of the bearer token, if there was one.
    pub token: Option<TokenDigest>,
    /// Service that the caller named.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path within the service, with a leading slash.
    pub path: String,
    /// Tier that the caller asked for.
    pub tier: Option<String>,
    /// Time that the caller gives for the whole answer.
    pub deadline: Option<Duration>,
    /// Value of `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// SHA-256 over method, path and body: tells a repeat from another call with the same key.
    pub fingerprint: [u8; 32],
    /// Size of the work.
    pub prompt: PromptShape,
}

/// A request whose team, service and tier are known: what the scheduler works with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identity.
    pub request: RequestId,
    /// Service that it is for.
    pub service: ServiceName,
    /// Route within the service: `METHOD /path` for plain calls, the path for model calls.
    pub route: String,
    /// Who asks.
    pub team: TeamName,
    /// Share of the team within its tier.
    pub weight: u32,
    /// Tier, bounded by what the team may use.
    pub rank: TierRank,
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// When it arrived.
    pub arrived_at: MonotonicTime,
    /// When its whole answer must be there.
    pub deadline_at: MonotonicTime,
    /// Size of the work.
    pub prompt: PromptShape,
}

/// A caller's wish for the rest of a stream that another daemon began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeArrival {
    /// Identity of this call, made by the shell.
    pub request: RequestId,
    /// Digest of the bearer token, if there was one.
    pub token: Option<TokenDigest>,
    /// Signed resume token that the first daemon gave.
    pub resume_token: String,
    /// Bytes of the answer that the caller has.
    pub offset: u64,
}

/// Answer of a call that may not be repeated, kept so that a repeat gets the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`; empty when there was none.
    pub content_type: String,
    /// Body; `None` when it was too large to keep.
    pub body: Option<Vec<u8>>,
}
