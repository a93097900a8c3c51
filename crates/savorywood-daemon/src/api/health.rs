//! Liveness, readiness and metrics.

use crate::daemon::DaemonShared;
use http_types::{Response, StatusCode};
use serde::Serialize;

/// The process answers.
pub fn alive() -> Response {
    text(StatusCode::Ok, "ok\n")
}

/// The daemon takes new work.
pub fn ready(shared: &DaemonShared) -> Response {
    let ready = shared.driver.with_core(|core, now, _| core.readiness(now));
    match ready {
        Ok(()) => text(StatusCode::Ok, "ready\n"),
        Err(reason) => text(StatusCode::ServiceUnavailable, &format!("{reason}\n")),
    }
}

/// All metrics.
pub fn metrics(shared: &DaemonShared) -> Response {
    let open = shared.driver.registry.len();
    let metrics = &shared.driver.metrics;
    shared
        .driver
        .with_core(|core, _, _| metrics.take_core(core));
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(metrics.render(open));
    response.insert_header("content-type", "text/plain; version=0.0.4");
    response
}

/// A JSON answer.
pub fn json(body: &impl Serialize) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(body).unwrap_or_default());
    response.insert_header("content-type", "application/json");
    response
}

fn text(status: StatusCode, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}
