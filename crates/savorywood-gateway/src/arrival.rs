//! A caller's request as the decisions see it.

use std::{fmt, time::Duration};

/// Names a request within one daemon's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LocalRequest(pub u64);

/// Tokens of a request to a model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer at most.
    pub max_output_tokens: u32,
}

/// One part of a prompt, in order from its beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Same text, same number.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// Digest of what a caller asks, the same at all daemons and for each repeat: method, host, path and
/// body, or the query where there is no body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentDigest(pub u64);

impl fmt::Display for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A request that has arrived whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestArrival {
    /// Identity that the caller gave it, for the log.
    pub request_id: String,
    /// Host that the caller named, in lower case, without port.
    pub host: String,
    /// Path without query.
    pub path: String,
    /// What it asks, to recognise repeats.
    pub content_digest: ContentDigest,
    /// Key that the caller showed.
    pub api_key: Option<String>,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Tokens, where the request names them.
    pub size: Option<RequestSize>,
    /// Tokens of the answer as the caller guesses.
    pub expected_output_tokens: Option<u32>,
    /// Parts of the prompt.
    pub prompt_parts: Vec<PromptPart>,
}
