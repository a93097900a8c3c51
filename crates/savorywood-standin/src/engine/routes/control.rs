//! Paths for people and tests: models, health, records and faults.

use crate::{
    engine::{faults::EngineFaults, server::EngineShared},
    http::{self, HandlerResult},
    tasks::lock,
};
use http_types::{Request, Response, StatusCode};
use serde::Serialize;

#[derive(Debug, Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Debug, Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

#[derive(Debug, Serialize)]
struct HealthBody {
    ready: bool,
}

pub(super) fn models(engine: &EngineShared) -> Response {
    let state = lock(&engine.state);
    let entry = ModelEntry {
        id: &state.orders.state().version,
        object: "model",
        created: 0,
        owned_by: "savorywood-standin",
    };
    let list = ModelList {
        object: "list",
        data: vec![entry],
    };
    http::json_reply(StatusCode::Ok, &list)
}

pub(super) fn health(engine: &EngineShared) -> Response {
    let ready = lock(&engine.state).orders.state().ready;
    let status = if ready {
        StatusCode::Ok
    } else {
        StatusCode::ServiceUnavailable
    };
    http::json_reply(status, &HealthBody { ready })
}

pub(super) fn runs(engine: &EngineShared) -> Response {
    http::json_reply(StatusCode::Ok, lock(&engine.state).runs.report())
}

pub(super) fn orders(engine: &EngineShared) -> Response {
    http::json_reply(StatusCode::Ok, &lock(&engine.state).orders.records())
}

pub(super) fn read_faults(engine: &EngineShared) -> Response {
    http::json_reply(StatusCode::Ok, &lock(&engine.state).faults)
}

pub(super) async fn set_faults(engine: &EngineShared, mut request: Request) -> HandlerResult {
    let body = http::read_body(&mut request).await?;
    let faults = match http::parse_json::<EngineFaults>(&body) {
        Ok(faults) => faults,
        Err(reply) => return Ok(*reply),
    };
    lock(&engine.state).faults = faults;
    engine.wake();
    Ok(read_faults(engine))
}
