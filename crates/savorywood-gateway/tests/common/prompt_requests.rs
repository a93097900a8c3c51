//! Requests with prompts of several parts, drawn from pools.
#![allow(dead_code, reason = "each test file uses a part of the module")]

use crate::{callers::SeededRandom, harness::arrival};
use savorywood_gateway::{ContentDigest, PromptPart, RequestArrival, name_digest};
use std::collections::BTreeSet;

/// First parts of prompts, each shared by all requests of a kind.
pub const KINDS: u64 = 4;
/// Parts in the middle of prompts; those with low numbers are popular.
const MIDDLE_PARTS: usize = 60;
/// Most parts that a prompt has in its middle.
const MAX_MIDDLE_PARTS: usize = 3;

/// Returns the first part of the prompts of a kind.
pub fn first_part(kind: u64) -> u64 {
    1 + kind
}

/// Returns a part from the middle of prompts.
pub fn middle_part(number: usize) -> u64 {
    100 + u64::try_from(number).expect("a small number")
}

/// Draws the parts of a prompt but the last: the first of its kind and some of the middle.
pub fn shared_parts(random: &mut SeededRandom, kind: u64) -> Vec<u64> {
    let mut parts = vec![first_part(kind)];
    for _ in 0..1 + random.below(MAX_MIDDLE_PARTS) {
        let bound = 1 + random.below(MIDDLE_PARTS);
        let part = middle_part(random.below(bound));
        if !parts.contains(&part) {
            parts.push(part);
        }
    }
    parts
}

/// Draws a kind of requests.
pub fn any_kind(random: &mut SeededRandom) -> u64 {
    let kinds = usize::try_from(KINDS).expect("a small number");
    u64::try_from(random.below(kinds)).expect("a small number")
}

/// A request of a caller, with the parts of its prompt.
#[derive(Debug, Clone)]
pub struct PromptRequest {
    /// Number that no other request has; repeats by its caller have the same.
    pub number: u64,
    pub parts: Vec<u64>,
    pub sender: RequestSender,
}

/// Who sends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestSender {
    Team,
    /// Nobody in particular, on a route that needs no key.
    Public,
    /// The team, on a route whose requests are executed at most once.
    Once,
}

impl PromptRequest {
    /// Returns a request whose last part no other has.
    pub fn new(number: u64, shared_parts: &[u64]) -> Self {
        let mut parts = shared_parts.to_vec();
        parts.push(u64::MAX - number);
        Self {
            number,
            parts,
            sender: RequestSender::Team,
        }
    }

    pub fn to_arrival(&self) -> RequestArrival {
        let parts = self.parts.iter();
        let (path, api_key) = match self.sender {
            RequestSender::Team => ("/safe/prompts", Some("key".to_owned())),
            RequestSender::Public => ("/open/prompts", None),
            RequestSender::Once => ("/once/prompts", Some("key".to_owned())),
        };
        RequestArrival {
            api_key,
            content_digest: ContentDigest(name_digest(&format!("body-{}", self.number))),
            prompt_parts: parts
                .map(|id| PromptPart {
                    id: *id,
                    tokens: 60,
                })
                .collect(),
            ..arrival(path)
        }
    }

    /// Returns the crashing parts of the prompt; the last part never is one.
    pub fn crashing_parts(&self, crashing: &BTreeSet<u64>) -> Vec<u64> {
        let others = &self.parts[..self.parts.len() - 1];
        let found = others.iter().copied();
        found.filter(|part| crashing.contains(part)).collect()
    }
}
