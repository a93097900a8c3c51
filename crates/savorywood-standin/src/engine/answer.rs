//! Bytes of completion answers, in the OpenAI-compatible shape.

use super::{
    prompt::{self, PromptBody},
    text::TokenWriter,
};
use savorywood_protocol::prefix;
use serde::{Deserialize, Serialize};

/// Output tokens of a request that names no number.
const DEFAULT_OUTPUT_TOKENS: u32 = 16;

/// End mark of a stream of chunks.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Which of the two completion protocols.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    Chat,
    Text,
}

/// Members of a completion request that matter to the stand-in; others are let pass.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CompletionBody {
    model: String,
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    standin_output_tokens: Option<u32>,
    #[serde(flatten)]
    prompt: PromptBody,
}

/// A completion request that was understood.
#[derive(Debug, Clone)]
pub(crate) struct CompletionRequest {
    pub(crate) kind: CompletionKind,
    pub(crate) stream: bool,
    pub(crate) prompt_tokens: u32,
    pub(crate) prefix_hashes: Vec<u64>,
    pub(crate) output_tokens: u32,
    model: String,
    writer: TokenWriter,
    cut_by_limit: bool,
}

impl CompletionRequest {
    /// Reads a request; `Err` says what is wrong with it.
    pub(crate) fn parse(
        kind: CompletionKind,
        body: &[u8],
        header_tokens: Option<u32>,
    ) -> Result<Self, String> {
        let fields: CompletionBody =
            serde_json::from_slice(body).map_err(|error| format!("bad body: {error}"))?;
        let prompt = fields.prompt.text();
        if prompt.is_empty() {
            return Err("the body has no textual prompt".to_owned());
        }
        let limit = fields.max_completion_tokens.or(fields.max_tokens);
        let wanted = header_tokens.or(fields.standin_output_tokens);
        let natural = wanted.or(limit).unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let output_tokens = natural.min(limit.unwrap_or(u32::MAX)).max(1);
        Ok(Self {
            kind,
            stream: fields.stream,
            prompt_tokens: prompt::count_tokens(&prompt),
            prefix_hashes: prefix::prefix_hashes(prompt.as_bytes()),
            output_tokens,
            model: fields.model,
            writer: TokenWriter::new(&prompt),
            cut_by_limit: limit.is_some_and(|limit| limit <= output_tokens),
        })
    }

    fn finish_reason(&self) -> &'static str {
        if self.cut_by_limit { "length" } else { "stop" }
    }

    fn usage(&self, cached_tokens: u32) -> UsageBody {
        UsageBody {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.output_tokens,
            total_tokens: self.prompt_tokens + self.output_tokens,
            prompt_tokens_details: PromptDetails { cached_tokens },
        }
    }

    /// Bytes of one streamed token.
    pub(crate) fn token_chunk(&self, id: &str, index: u32) -> Vec<u8> {
        let text = self.writer.token(index);
        self.chunk(id, vec![self.choice(text, None)], None)
    }

    /// Bytes after the last streamed token: finish reason, usage and end mark.
    pub(crate) fn closing_chunks(&self, id: &str, cached_tokens: u32) -> Vec<u8> {
        let choice = self.choice(String::new(), Some(self.finish_reason()));
        let mut bytes = self.chunk(id, vec![choice], None);
        bytes.extend(self.chunk(id, Vec::new(), Some(self.usage(cached_tokens))));
        bytes.extend_from_slice(DONE);
        bytes
    }

    /// Bytes of an answer that is not streamed.
    pub(crate) fn whole(&self, id: &str, cached_tokens: u32) -> Vec<u8> {
        let text = (0..self.output_tokens).map(|index| self.writer.token(index));
        let text: String = text.collect();
        let finish_reason = Some(self.finish_reason());
        let choice = match self.kind {
            CompletionKind::Chat => ChoiceBody {
                message: Some(DeltaBody::assistant(text)),
                finish_reason,
                ..ChoiceBody::default()
            },
            CompletionKind::Text => ChoiceBody {
                text: Some(text),
                finish_reason,
                ..ChoiceBody::default()
            },
        };
        let object = match self.kind {
            CompletionKind::Chat => "chat.completion",
            CompletionKind::Text => "text_completion",
        };
        encode(&self.answer(id, object, vec![choice], Some(self.usage(cached_tokens))))
    }

    fn choice(&self, text: String, finish_reason: Option<&'static str>) -> ChoiceBody {
        match self.kind {
            CompletionKind::Chat => ChoiceBody {
                delta: Some(DeltaBody::assistant(text)),
                finish_reason,
                ..ChoiceBody::default()
            },
            CompletionKind::Text => ChoiceBody {
                text: Some(text),
                finish_reason,
                ..ChoiceBody::default()
            },
        }
    }

    fn chunk(&self, id: &str, choices: Vec<ChoiceBody>, usage: Option<UsageBody>) -> Vec<u8> {
        let object = match self.kind {
            CompletionKind::Chat => "chat.completion.chunk",
            CompletionKind::Text => "text_completion",
        };
        let mut bytes = b"data: ".to_vec();
        bytes.extend(encode(&self.answer(id, object, choices, usage)));
        bytes.extend_from_slice(b"\n\n");
        bytes
    }

    fn answer<'a>(
        &'a self,
        id: &'a str,
        object: &'static str,
        choices: Vec<ChoiceBody>,
        usage: Option<UsageBody>,
    ) -> AnswerBody<'a> {
        AnswerBody {
            id,
            object,
            // A real time would make a resumed answer differ from the first one.
            created: 0,
            model: &self.model,
            choices,
            usage,
        }
    }
}

fn encode(answer: &AnswerBody<'_>) -> Vec<u8> {
    serde_json::to_vec(answer).unwrap_or_default()
}

#[derive(Debug, Serialize)]
struct AnswerBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<ChoiceBody>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageBody>,
}

#[derive(Debug, Default, Serialize)]
struct ChoiceBody {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<DeltaBody>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<DeltaBody>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct DeltaBody {
    role: &'static str,
    content: String,
}

impl DeltaBody {
    fn assistant(content: String) -> Self {
        Self {
            role: "assistant",
            content,
        }
    }
}

#[derive(Debug, Serialize)]
struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: PromptDetails,
}

#[derive(Debug, Serialize)]
struct PromptDetails {
    cached_tokens: u32,
}
