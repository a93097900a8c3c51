//! The daemon's HTTP interface for callers and operators.

mod addresses;
mod health;
mod model;
mod operators;
mod plain;
mod requests;
mod streams;

use crate::{daemon::DaemonShared, problem};
use http_types::Response;
use savorywood_http::{HttpHandler, IncomingRequest, server::HeadFault};
use savorywood_protocol::{RefusalCode, RequestRefusal};
use serde_json::Map;
use std::sync::Arc;

/// Answers callers and operators.
pub struct ApiHandler {
    shared: Arc<DaemonShared>,
}

impl ApiHandler {
    /// Answers in the name of a daemon.
    pub fn new(shared: Arc<DaemonShared>) -> Self {
        Self { shared }
    }
}

impl HttpHandler for ApiHandler {
    async fn handle(&self, incoming: IncomingRequest) -> Response {
        let path = incoming.request.url().path().to_owned();
        let shared = &self.shared;
        match path.as_str() {
            "/healthz" => health::alive(),
            "/readyz" => health::ready(shared),
            "/metrics" => health::metrics(shared),
            "/v1/addresses" => addresses::answer(shared, &incoming),
            "/v1/models" => model::list(shared, &incoming),
            path if path.starts_with(model::ENTRY_PREFIX) => model::get(shared, &incoming),
            "/v1/chat/completions" | "/v1/completions" => {
                Box::pin(model::complete(shared, incoming)).await
            }
            "/v1/streams" => Box::pin(streams::resume(shared, incoming)).await,
            path if path.starts_with("/services/") => Box::pin(plain::call(shared, incoming)).await,
            path if path.starts_with("/v1/") => Box::pin(operators::route(shared, incoming)).await,
            _ => not_found(&path),
        }
    }

    fn problem(&self, fault: &HeadFault) -> Response {
        let code = match fault {
            HeadFault::TooManyConnections => RefusalCode::NotReady,
            HeadFault::TooLarge { .. } => RefusalCode::TooLarge,
            HeadFault::TooSlow { .. } => RefusalCode::TooSlow,
            HeadFault::Malformed { .. } => RefusalCode::BadRequest,
        };
        let refusal = RequestRefusal::not_run(code, fault.to_string());
        problem::problem_as(&refusal, fault.status().into(), None, Map::new())
    }
}

/// Answer to a path that is not served.
fn not_found(path: &str) -> Response {
    let detail = format!("there is nothing at {path}; docs/API.md lists the paths");
    problem::problem(
        &RequestRefusal::not_run(RefusalCode::NotFound, detail),
        None,
    )
}
