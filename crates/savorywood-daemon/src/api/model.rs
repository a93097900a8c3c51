//! Model services by the OpenAI-compatible protocol.

use super::requests::{self, PreparedCall};
use crate::{
    daemon::DaemonShared,
    relay::{OutgoingCall, OutgoingHeader},
};
use http_types::Response;
use savorywood_core::{PromptShape, RequestArrival};
use savorywood_http::IncomingRequest;
use savorywood_protocol::{
    RefusalCode, RequestRefusal, prefix::prefix_hashes, resource::ServiceProtocol,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::sync::Arc;

/// Bytes of prompt text for each token, as a first estimate; the upstreams' own counts correct it.
const BYTES_PER_TOKEN: usize = 4;

/// The members of a completion request that matter for scheduling. All others pass unread.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<Value>,
    stream_options: Option<StreamOptions>,
}

impl CompletionBody {
    fn asks_for_usage(&self) -> bool {
        let options = self.stream_options.as_ref();
        options.is_some_and(|options| options.include_usage)
    }
}

#[derive(Debug, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: Value,
}

#[derive(Debug, Serialize)]
struct ModelList<'a> {
    object: &'a str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Debug, Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    owned_by: &'a str,
}

/// Path below which single model services are told of.
pub const ENTRY_PREFIX: &str = "/v1/models/";

impl<'a> ModelEntry<'a> {
    fn new(id: &'a str) -> Self {
        Self {
            id,
            object: "model",
            created: 0,
            owned_by: "savorywood",
        }
    }
}

/// Tells whether there is a model service.
pub fn get(shared: &DaemonShared, incoming: &IncomingRequest) -> Response {
    let config = shared.driver.config();
    if let Err(refusal) = check_team(shared, incoming) {
        return requests::refuse(&refusal);
    }
    let path = incoming.request.url().path();
    let name = path.strip_prefix(ENTRY_PREFIX).unwrap_or_default();
    let spec = config.services.get(name);
    if spec.is_some_and(|spec| spec.protocol == ServiceProtocol::Model) {
        return super::health::json(&ModelEntry::new(name));
    }
    let detail = format!("there is no model service {name:?}; GET /v1/models lists them");
    requests::refuse(&RequestRefusal::not_run(RefusalCode::NotFound, detail))
}

fn check_team(shared: &DaemonShared, incoming: &IncomingRequest) -> Result<(), RequestRefusal> {
    if requests::team(shared, incoming).is_some() {
        return Ok(());
    }
    let detail = "send `Authorization: Bearer TOKEN` with a token of one of the teams";
    Err(RequestRefusal::not_run(RefusalCode::Unauthorized, detail))
}

/// Lists the model services.
pub fn list(shared: &DaemonShared, incoming: &IncomingRequest) -> Response {
    let config = shared.driver.config();
    if let Err(refusal) = check_team(shared, incoming) {
        return requests::refuse(&refusal);
    }
    let services = config.services.iter();
    let data = services
        .filter(|(_, spec)| spec.protocol == ServiceProtocol::Model)
        .map(|(name, _)| ModelEntry::new(name.as_str()))
        .collect();
    super::health::json(&ModelList {
        object: "list",
        data,
    })
}

/// Completes a chat or a prompt.
pub async fn complete(shared: &Arc<DaemonShared>, incoming: IncomingRequest) -> Response {
    if incoming.request.method() != http_types::Method::Post {
        let refusal = RequestRefusal::not_run(RefusalCode::BadRequest, "use POST");
        return requests::refuse(&refusal);
    }
    requests::read_and_serve(shared, incoming, prepare).await
}

fn prepare(
    shared: &DaemonShared,
    incoming: &IncomingRequest,
    body: Vec<u8>,
) -> Result<PreparedCall, RequestRefusal> {
    let parsed: CompletionBody = serde_json::from_slice(&body).map_err(|error| {
        let detail = format!("the body is not a completion request: {error}");
        RequestRefusal::not_run(RefusalCode::BadRequest, detail)
    })?;
    let path = incoming.request.url().path().to_owned();
    let arrival = RequestArrival {
        request: requests::new_request_id(),
        token: requests::bearer_digest(incoming),
        service: parsed.model.clone(),
        method: "POST".to_owned(),
        path: path.clone(),
        tier: incoming.header(requests::TIER_HEADER).map(str::to_owned),
        deadline: requests::deadline(incoming)?,
        idempotency_key: None,
        fingerprint: [0; 32],
        prompt: shape(&parsed),
    };
    let call = OutgoingCall {
        protocol: ServiceProtocol::Model,
        method: http_types::Method::Post,
        target: path,
        headers: passed_headers(incoming),
        body,
        idempotent: true,
        hides_usage: !parsed.asks_for_usage(),
        team: requests::team(shared, incoming),
    };
    Ok(PreparedCall { arrival, call })
}

/// Headers that engines understand; the bearer token is the daemon's matter and is not passed on.
fn passed_headers(incoming: &IncomingRequest) -> Vec<OutgoingHeader> {
    let mut headers = vec![OutgoingHeader {
        name: "content-type".to_owned(),
        value: "application/json".to_owned(),
    }];
    for (name, values) in &incoming.request {
        let passes =
            name == "accept" || name == "user-agent" || name.as_str().starts_with("x-standin-");
        if passes {
            let values = values.iter().map(|value| OutgoingHeader {
                name: name.as_str().to_owned(),
                value: value.as_str().to_owned(),
            });
            headers.extend(values);
        }
    }
    headers
}

fn shape(body: &CompletionBody) -> PromptShape {
    let text = prompt_text(body);
    let tokens = text.len().div_ceil(BYTES_PER_TOKEN).max(1);
    PromptShape {
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        prefix_hashes: prefix_hashes(text.as_bytes()),
        max_output_tokens: body.max_completion_tokens.or(body.max_tokens),
    }
}

/// Text whose prefixes engines cache: roles and contents in order (`docs/UPSTREAM.md`).
fn prompt_text(body: &CompletionBody) -> String {
    let mut text = String::new();
    for message in body.messages.iter().flatten() {
        text.push_str(&message.role);
        text.push('\n');
        push_content(&mut text, &message.content);
        text.push('\n');
    }
    if let Some(prompt) = &body.prompt {
        push_content(&mut text, prompt);
    }
    text
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

#[cfg(test)]
mod tests;
