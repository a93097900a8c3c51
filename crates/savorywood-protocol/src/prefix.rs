//! How a prompt is cut into blocks, so that daemons and engines name the same prefixes alike.
//!
//! Engines that publish cache events name a block by the hash of the block and of all blocks
//! before it. A daemon that computes the same hashes knows which engine holds how much of a
//! prompt without asking (`docs/UPSTREAM.md`).

use serde::Deserialize;
use std::borrow::Cow;

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 64;

/// Bytes of prompt text counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens in one block.
pub const BLOCK_TOKENS: u32 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u32;

/// The members of a completion request from which its prompt is made.
#[derive(Debug, Deserialize)]
struct PromptBody<'a> {
    #[serde(default, borrow)]
    prompt: Option<Cow<'a, str>>,
    #[serde(default, borrow)]
    messages: Vec<PromptMessage<'a>>,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
struct PromptMessage<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(default, borrow)]
    content: Cow<'a, str>,
}

/// Prompt text of a completion request's JSON body; `None` when it has no textual prompt.
#[must_use]
pub fn prompt_text(body: &[u8]) -> Option<String> {
    let body: PromptBody<'_> = serde_json::from_slice(body).ok()?;
    if let Some(prompt) = body.prompt {
        return Some(prompt.into_owned());
    }
    if body.messages.is_empty() {
        return None;
    }
    let mut text = String::new();
    for message in &body.messages {
        text.push_str(&message.role);
        text.push('\n');
        text.push_str(&message.content);
        text.push('\n');
    }
    Some(text)
}

/// Tokens of a prompt, at least one.
#[must_use]
pub fn prompt_tokens(text: &str) -> u32 {
    let tokens = text.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Chained hash of each whole block, longest prefix last. A tail shorter than a block has none.
#[must_use]
pub fn prefix_hashes(text: &str) -> Vec<u64> {
    let mut parent = 0_u64;
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            parent = chained_hash(parent, block);
            parent
        })
        .collect()
}

/// First eight bytes, little-endian, of BLAKE3 over the parent's hash and the block.
fn chained_hash(parent: u64, block: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&parent.to_le_bytes());
    hasher.update(block);
    let mut first = [0_u8; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
