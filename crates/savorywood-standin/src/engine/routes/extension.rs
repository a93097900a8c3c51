//! Extension paths (`docs/UPSTREAM.md`).

use super::completion;
use crate::{
    body::{BodyReader, BodyState},
    engine::{
        cache::PrefixCache, loading, orders::OrderOutcome, server::EngineShared, state::KeptStream,
    },
    http::{self, HandlerResult},
    tasks::lock,
};
use http_types::{Method, Request, Response, StatusCode};
use savorywood_protocol::extension::{KvDocument, OrderDocument, StreamStateDocument};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Serves one stream: the rest of its bytes, or its end.
pub(super) async fn stream(
    engine: &Arc<EngineShared>,
    request: &Request,
    name: &str,
) -> HandlerResult {
    let Some(stream) = lock(&engine.state).stream(name) else {
        return Ok(http::error_reply(StatusCode::NotFound, "no such stream"));
    };
    match request.method() {
        Method::Get => Ok(resume(request, &stream).await),
        Method::Delete => Ok(cancel(engine, &stream)),
        _ => Ok(http::error_reply(
            StatusCode::MethodNotAllowed,
            "use GET or DELETE",
        )),
    }
}

async fn resume(request: &Request, stream: &KeptStream) -> Response {
    let offset = http::query(request, "offset").unwrap_or("0");
    let Ok(offset) = offset.parse::<usize>() else {
        return http::error_reply(StatusCode::BadRequest, "the offset is no number");
    };
    if !stream.streamed && stream.body.ended().await != BodyState::Finished {
        return completion::cancelled();
    }
    let ended = stream.body.state() != BodyState::Running;
    if ended && offset > stream.body.len() {
        let message = "the offset lies beyond the end of the answer";
        return http::error_reply(StatusCode::RequestedRangeNotSatisfiable, message);
    }
    let reader = BodyReader::new(&stream.body, offset);
    if stream.streamed {
        completion::streamed_reply(reader)
    } else {
        completion::whole_reply(reader, stream.body.len() - offset)
    }
}

fn cancel(engine: &EngineShared, stream: &KeptStream) -> Response {
    lock(&engine.state).cancel(stream.number);
    let document = StreamStateDocument {
        state: stream.body.state().to_string(),
        bytes: stream.body.len() as u64,
    };
    http::json_reply(StatusCode::Ok, &document)
}

pub(super) fn load(engine: &EngineShared) -> Response {
    let state = lock(&engine.state);
    let lag = Duration::from_millis(state.faults.load_lag_ms);
    let document = state.loads.report(Instant::now(), lag);
    http::json_reply(StatusCode::Ok, &document)
}

pub(super) fn cache_events(engine: &EngineShared, request: &Request) -> Response {
    let after = http::query(request, "after").unwrap_or("0");
    let Ok(after) = after.parse::<u64>() else {
        return http::error_reply(StatusCode::BadRequest, "`after` is no number");
    };
    let state = lock(&engine.state);
    let lag = Duration::from_millis(state.faults.cache_lag_ms);
    let document = state.events.after(after, Instant::now(), lag);
    http::json_reply(StatusCode::Ok, &document)
}

pub(super) fn read_orders(engine: &EngineShared) -> Response {
    http::json_reply(StatusCode::Ok, lock(&engine.state).orders.state())
}

pub(super) async fn take_order(engine: &Arc<EngineShared>, mut request: Request) -> HandlerResult {
    let body = http::read_body(&mut request).await?;
    let order = match http::parse_json::<OrderDocument>(&body) {
        Ok(order) => order,
        Err(reply) => return Ok(*reply),
    };
    let outcome = lock(&engine.state).orders.take(order);
    match outcome {
        OrderOutcome::Fenced(fenced) => {
            return Ok(http::json_reply(StatusCode::Conflict, &fenced));
        }
        OrderOutcome::Load { number, weights } => {
            if let Some(group) = engine.group.upgrade() {
                group.spawn(loading::load_version(Arc::clone(engine), number, weights));
            }
        }
        OrderOutcome::Settled => {}
    }
    Ok(read_orders(engine))
}

pub(super) async fn export_kv(engine: &EngineShared, mut request: Request) -> HandlerResult {
    let body = http::read_body(&mut request).await?;
    let mut document = match http::parse_json::<KvDocument>(&body) {
        Ok(document) => document,
        Err(reply) => return Ok(*reply),
    };
    let state = lock(&engine.state);
    document.version.clone_from(&state.orders.state().version);
    let cache: &PrefixCache = state.batch.cache();
    let held = document
        .blocks
        .iter()
        .take_while(|block| cache.contains(block.0));
    let held = held.count();
    document.blocks.truncate(held);
    Ok(http::json_reply(StatusCode::Ok, &document))
}

pub(super) async fn import_kv(engine: &EngineShared, mut request: Request) -> HandlerResult {
    let body = http::read_body(&mut request).await?;
    let document = match http::parse_json::<KvDocument>(&body) {
        Ok(document) => document,
        Err(reply) => return Ok(*reply),
    };
    let mut state = lock(&engine.state);
    if document.version != state.orders.state().version {
        let message = "KV blocks of another version can't be used";
        return Ok(http::error_reply(StatusCode::Conflict, message));
    }
    let hashes: Vec<u64> = document.blocks.iter().map(|block| block.0).collect();
    state.import(&hashes);
    Ok(http::json_reply(StatusCode::Ok, &document))
}
