//! A caller's request as parsed by the adapter for the reducer.

use std::{fmt, time::Duration};

/// Identifier of a request, unique within one incarnation of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LocalRequest(pub u64);

/// Size of a model request, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the response.
    pub max_output_tokens: u32,
}

/// A segment of a prompt; segments are listed in order from the beginning of the prompt. Shared
/// leading segments indicate a shared prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the segment's text: equal texts have equal identifiers.
    pub id: u64,
    /// Tokens of the segment.
    pub tokens: u32,
}

/// Maximum number of segments that a log line names.
const MAX_LOGGED_PARTS: usize = 8;

/// Text form of a prompt's segments for the log: their identifiers in hexadecimal, in order.
#[derive(Debug, Clone, Copy)]
pub struct PartList<'a>(pub &'a [PromptPart]);

impl fmt::Display for PartList<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, others @ ..] = self.0 else {
            return formatter.write_str("-");
        };
        write!(formatter, "{:x}", first.id)?;
        for part in others.iter().take(MAX_LOGGED_PARTS - 1) {
            write!(formatter, ",{:x}", part.id)?;
        }
        Ok(())
    }
}

/// Digest of a request's content, equal at all daemons and for each repeat: it covers method, host,
/// path and body, or the query where there is no body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentDigest(pub u64);

impl fmt::Display for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A complete request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestArrival {
    /// Request identifier given by the caller, for the log.
    pub request_id: String,
    /// Host that the caller named, in lower case and without port.
    pub host: String,
    /// Path without query.
    pub path: String,
    /// Digest of the content, used to recognise repeats.
    pub content_digest: ContentDigest,
    /// API key of the caller; absent when the request carries none.
    pub api_key: Option<String>,
    /// Time that the caller is willing to wait for the response, from arrival.
    pub deadline: Option<Duration>,
    /// Size in tokens; absent when the request does not report it.
    pub size: Option<RequestSize>,
    /// Length of the response in tokens as estimated by the caller.
    pub expected_output_tokens: Option<u32>,
    /// Segments of the prompt; empty when the request does not report them.
    pub prompt_parts: Vec<PromptPart>,
}
