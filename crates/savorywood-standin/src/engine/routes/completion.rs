//! Completions, streamed or whole.

use crate::{
    body::{BodyReader, BodyState, LimitAction, ReadFault, ReadLimit},
    engine::{
        answer::{CompletionKind, CompletionRequest},
        server::EngineShared,
        state::{KeptStream, SubmitOutcome},
    },
    http::{self, HandlerResult},
    runs::RunRecord,
    tasks::lock,
};
use futures_lite::io::BufReader;
use http_types::{Body, Request, Response, StatusCode};
use std::sync::Arc;

/// Request header that sets the number of output tokens.
const TOKENS_HEADER: &str = "x-standin-output-tokens";

/// Content type of a stream of chunks.
pub(super) const EVENT_STREAM: &str = "text/event-stream";

/// Content type of a whole answer.
pub(super) const JSON: &str = "application/json";

/// Runs a completion and answers with its tokens.
pub(super) async fn complete(engine: &Arc<EngineShared>, mut request: Request) -> HandlerResult {
    let body = http::read_body(&mut request).await?;
    let tokens = http::header(&request, TOKENS_HEADER).and_then(|text| text.parse().ok());
    let kind = match request.url().path() {
        "/v1/chat/completions" => CompletionKind::Chat,
        _ => CompletionKind::Text,
    };
    let completion = match CompletionRequest::parse(kind, &body, tokens) {
        Ok(completion) => completion,
        Err(message) => return Ok(http::error_reply(StatusCode::BadRequest, &message)),
    };
    let run = RunRecord::of(&request);
    let named = run.stream.is_some();
    let path = run.path.clone();
    let outcome = lock(&engine.state).submit(completion, run);
    let stream = match outcome {
        SubmitOutcome::Taken(stream) => stream,
        SubmitOutcome::Failed => return Ok(failed()),
        SubmitOutcome::TooLarge => return Ok(too_large()),
        SubmitOutcome::Loading => return Ok(loading()),
    };
    engine.wake();
    answer(engine, &path, stream, named).await
}

async fn answer(
    engine: &Arc<EngineShared>,
    path: &str,
    stream: KeptStream,
    named: bool,
) -> HandlerResult {
    let (drops, fault) = {
        let state = lock(&engine.state);
        (
            state.faults.drops_answer(path),
            state.faults.read_fault(path),
        )
    };
    let mut reader = BodyReader::new(&stream.body, 0);
    if !named {
        // Nobody can come back for a stream without a name: work on it would be wasted.
        let engine = Arc::clone(engine);
        reader = reader.on_drop(move || lock(&engine.state).cancel(stream.number));
    }
    if drops {
        return Err(http_types::format_err!("answer dropped on purpose"));
    }
    if stream.streamed {
        return Ok(streamed_reply(reader.with_fault(fault)));
    }
    if stream.body.ended().await != BodyState::Finished {
        return Ok(cancelled());
    }
    let length = stream.body.len();
    let fault = fault.map(|fault| half_way(fault.action, length));
    Ok(whole_reply(reader.with_fault(fault), length))
}

/// A whole answer has no tokens to count: the fault strikes in its middle. With a length
/// announced there is no end in order before it.
fn half_way(action: LimitAction, length: usize) -> ReadFault {
    let limit = ReadLimit::Bytes(length / 2);
    let action = match action {
        LimitAction::Close | LimitAction::End => LimitAction::Close,
        LimitAction::Stall => LimitAction::Stall,
    };
    ReadFault { limit, action }
}

/// An answer in chunks that arrive as tokens are made.
pub(super) fn streamed_reply(reader: BodyReader) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(BufReader::new(reader), None));
    http::set_content_type(&mut response, EVENT_STREAM);
    response
}

/// An answer of known length.
pub(super) fn whole_reply(reader: BodyReader, length: usize) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(BufReader::new(reader), Some(length)));
    http::set_content_type(&mut response, JSON);
    response
}

/// Answer for work that was stopped.
pub(super) fn cancelled() -> Response {
    http::error_reply(StatusCode::Gone, "the request was cancelled")
}

fn failed() -> Response {
    http::error_reply(StatusCode::InternalServerError, "failed on purpose")
}

fn too_large() -> Response {
    let message = "the prompt and its output do not fit into the KV memory";
    http::error_reply(StatusCode::BadRequest, message)
}

fn loading() -> Response {
    http::error_reply(StatusCode::ServiceUnavailable, "a version is being loaded")
}
