//! What an answer says of the work done, read as it passes.

use super::{stream::TokenStream, task::OutgoingCall};
use savorywood_core::ResponseReport;
use savorywood_http::UpstreamAnswer;
use savorywood_protocol::resource::ServiceProtocol;
use serde::Deserialize;

/// Bytes of an answer that are kept to be understood or recorded.
const KEPT_BYTES: usize = 64 * 1_024;

/// Largest answer that is recorded for repeats of a call.
const MAX_RECORDED_BYTES: usize = 16 * 1_024;

/// Counts of the OpenAI-compatible protocol.
#[derive(Debug, Default, Deserialize)]
struct UsageCounts {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Debug, Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u32,
}

#[derive(Debug, Deserialize)]
struct UsageHolder {
    usage: Option<UsageCounts>,
}

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedEnd {
    /// With its end mark, or with the length that framed it.
    Whole(ResponseReport),
    /// Without its end mark.
    Truncated,
}

/// Kind of answer, by how its work is counted.
#[derive(Debug)]
enum AnswerKind {
    Tokens(TokenStream),
    Json,
    Opaque,
}

/// Reads one answer.
#[derive(Debug)]
pub struct AnswerObserver {
    kind: AnswerKind,
    status: u16,
    content_type: String,
    kept: Option<Vec<u8>>,
    first_seen: bool,
    tokens: u32,
}

impl AnswerObserver {
    /// Begins to read an answer.
    pub fn new(call: &OutgoingCall, status: u16, answer: &UpstreamAnswer) -> Self {
        let content_type = answer.header("content-type").unwrap_or_default().to_owned();
        let is_events = content_type.starts_with("text/event-stream");
        let kind = match call.protocol {
            ServiceProtocol::Model if is_events => AnswerKind::Tokens(TokenStream::default()),
            ServiceProtocol::Model => AnswerKind::Json,
            ServiceProtocol::Plain => AnswerKind::Opaque,
        };
        let keeps = matches!(kind, AnswerKind::Json) || !call.idempotent;
        Self {
            kind,
            status,
            content_type,
            kept: keeps.then(Vec::new),
            first_seen: false,
            tokens: 0,
        }
    }

    /// Takes some bytes; says how many tokens (model) or pieces (plain) came with them.
    pub fn observe(&mut self, bytes: &[u8]) -> u32 {
        self.keep(bytes);
        let tokens = match &mut self.kind {
            AnswerKind::Tokens(stream) => stream.observe(bytes),
            AnswerKind::Json | AnswerKind::Opaque => u32::from(!self.first_seen),
        };
        self.tokens += tokens;
        tokens
    }

    /// Whether this is the first time that tokens were seen.
    pub fn take_first(&mut self) -> bool {
        !std::mem::replace(&mut self.first_seen, true)
    }

    /// The answer is a stream of tokens.
    pub fn is_token_stream(&self) -> bool {
        matches!(self.kind, AnswerKind::Tokens(_))
    }

    /// Media type of the answer.
    pub fn content_type(&self) -> &str {
        &self.content_type
    }

    /// The whole body, if it was small enough to be recorded.
    pub fn into_kept(self) -> Option<Vec<u8>> {
        self.kept.filter(|kept| kept.len() <= MAX_RECORDED_BYTES)
    }

    /// What the answer says, after its last byte.
    pub fn end(&self) -> ObservedEnd {
        let usage = match &self.kind {
            AnswerKind::Tokens(stream) if !stream.is_done() => return ObservedEnd::Truncated,
            AnswerKind::Tokens(stream) => stream.usage_data().and_then(read_usage),
            AnswerKind::Json => self.kept.as_deref().and_then(read_usage),
            AnswerKind::Opaque => None,
        };
        ObservedEnd::Whole(self.report(usage))
    }

    fn report(&self, usage: Option<UsageCounts>) -> ResponseReport {
        let mut report = ResponseReport {
            status: self.status,
            output_tokens: self.tokens,
            ..ResponseReport::default()
        };
        if let Some(usage) = usage {
            report.prompt_tokens = usage.prompt_tokens;
            report.output_tokens = usage.completion_tokens;
            report.cached_tokens = usage
                .prompt_tokens_details
                .map(|details| details.cached_tokens)
                .unwrap_or_default();
        }
        report
    }

    /// An answer that outgrows the bound is not kept at all: half of it is of no use.
    fn keep(&mut self, bytes: &[u8]) {
        let Some(kept) = &mut self.kept else {
            return;
        };
        if kept.len() + bytes.len() > KEPT_BYTES {
            self.kept = None;
        } else {
            kept.extend_from_slice(bytes);
        }
    }
}

fn read_usage(json: &[u8]) -> Option<UsageCounts> {
    let holder: UsageHolder = serde_json::from_slice(json).ok()?;
    holder.usage
}
