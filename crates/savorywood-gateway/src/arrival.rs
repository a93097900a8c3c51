//! A caller's request as the decisions see it.

use std::time::Duration;

/// Names a request within one daemon's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LocalRequest(pub u64);

/// Tokens of a request to a model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer at most.
    pub output: u32,
}

/// One part of a prompt, in order from its beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Same text, same number.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// A request that has arrived whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestArrival {
    /// Identity that the caller gave it, for the log.
    pub identity: String,
    /// Host that the caller named, in lower case, without port.
    pub host: String,
    /// Path without query.
    pub path: String,
    /// Key that the caller showed.
    pub key: Option<String>,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Tokens, where the request names them.
    pub size: Option<RequestSize>,
    /// Tokens of the answer as the caller guesses.
    pub output_guess: Option<u32>,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
}
