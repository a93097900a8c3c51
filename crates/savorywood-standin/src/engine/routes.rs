//! Paths that an engine serves.

mod completion;
mod control;
mod extension;

use super::server::EngineShared;
use crate::http::{self, HandlerResult};
use http_types::{Method, Request, StatusCode};
use savorywood_protocol::extension::{
    CACHE_EVENTS_PATH, KV_EXPORT_PATH, KV_IMPORT_PATH, LOAD_PATH, ORDERS_PATH, STREAM_PATH_PREFIX,
};
use std::sync::Arc;

/// Hands a request to what serves its path.
pub(crate) async fn handle(engine: Arc<EngineShared>, request: Request) -> HandlerResult {
    let path = request.url().path().to_owned();
    if let Some(name) = path.strip_prefix(STREAM_PATH_PREFIX) {
        return extension::stream(&engine, &request, name).await;
    }
    match (request.method(), path.as_str()) {
        (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
            completion::complete(&engine, request).await
        }
        (Method::Get, "/v1/models") => Ok(control::models(&engine)),
        (Method::Get, "/health") => Ok(control::health(&engine)),
        (Method::Get, LOAD_PATH) => Ok(extension::load(&engine)),
        (Method::Get, CACHE_EVENTS_PATH) => Ok(extension::cache_events(&engine, &request)),
        (Method::Get, ORDERS_PATH) => Ok(extension::read_orders(&engine)),
        (Method::Put, ORDERS_PATH) => extension::take_order(&engine, request).await,
        (Method::Post, KV_EXPORT_PATH) => extension::export_kv(&engine, request).await,
        (Method::Post, KV_IMPORT_PATH) => extension::import_kv(&engine, request).await,
        (Method::Get, "/standin/runs") => Ok(control::runs(&engine)),
        (Method::Get, "/standin/orders") => Ok(control::orders(&engine)),
        (Method::Get, "/standin/faults") => Ok(control::read_faults(&engine)),
        (Method::Put, "/standin/faults") => control::set_faults(&engine, request).await,
        _ => Ok(http::error_reply(StatusCode::NotFound, "no such path")),
    }
}
