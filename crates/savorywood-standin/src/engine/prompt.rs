//! The prompt of a completion request, as daemons read it too (`docs/UPSTREAM.md`).

use savorywood_protocol::prefix::PREFIX_BLOCK_BYTES;
use serde::Deserialize;
use serde_json::Value;

/// Bytes of prompt text counted as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: u32 = (PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN) as u32;

/// The members of a completion request from which its prompt is made.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct PromptBody {
    messages: Vec<PromptMessage>,
    prompt: Value,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct PromptMessage {
    role: String,
    content: Value,
}

impl PromptBody {
    /// Roles and contents in order, one a line, then the prompt.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push('\n');
            push_content(&mut text, &message.content);
            text.push('\n');
        }
        push_content(&mut text, &self.prompt);
        text
    }
}

fn push_content(text: &mut String, content: &Value) {
    match content {
        Value::String(part) => text.push_str(part),
        Value::Array(parts) => parts.iter().for_each(|part| push_content(text, part)),
        Value::Object(members) => {
            if let Some(part) = members.get("text") {
                push_content(text, part);
            }
        }
        Value::Null | Value::Bool(_) | Value::Number(_) => {}
    }
}

/// Tokens of a prompt, at least one.
pub(crate) fn count_tokens(text: &str) -> u32 {
    let tokens = text.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Prompt text of a chat with one message of the user, for callers that check an answer.
#[must_use]
pub fn chat_prompt(content: &str) -> String {
    format!("user\n{content}\n")
}
