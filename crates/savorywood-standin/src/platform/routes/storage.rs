//! Table service, object store and host list.

use super::CallKind;
use crate::{
    http::{self, HandlerResult},
    platform::server::{PlatformShared, PlatformState},
    tasks::lock,
};
use http_types::{Method, Request, Response, StatusCode};
use savorywood_protocol::{
    host_list::HostDocument,
    table::{TableRequest, TableResponse},
};
use serde::Serialize;
use std::time::{Duration, Instant};

const OBJECTS: &str = "/v1/objects";
const HOSTS: &str = "/v1/hosts";

/// One object in a listing.
#[derive(Debug, Serialize)]
struct ObjectEntry<'a> {
    key: &'a str,
    bytes: usize,
}

/// Executes a table request. A commit's answer may be lost after it took effect.
pub(super) fn table(platform: &PlatformShared, body: &[u8]) -> HandlerResult {
    let request = match http::parse_json::<TableRequest>(body) {
        Ok(request) => request,
        Err(reply) => return Ok(*reply),
    };
    let kind = match request {
        TableRequest::Get { .. } | TableRequest::Scan { .. } => CallKind::Read,
        TableRequest::Commit(_) => CallKind::Write,
    };
    let mut state = lock(&platform.state);
    if let Err(reply) = state.count(kind) {
        return Ok(*reply);
    }
    let answer = state.table.execute(&request);
    let committed = matches!(answer, TableResponse::Committed { .. });
    if committed && state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return Err(http_types::format_err!("answer lost on purpose"));
    }
    Ok(http::json_reply(StatusCode::Ok, &answer))
}

/// Serves objects and hosts.
pub(super) fn serve(
    platform: &PlatformShared,
    request: &Request,
    path: &str,
    body: Vec<u8>,
) -> Response {
    let mut state = lock(&platform.state);
    let kind = match request.method() {
        Method::Get => CallKind::Read,
        _ => CallKind::Write,
    };
    if let Err(reply) = state.count(kind) {
        return *reply;
    }
    if let Some(key) = path.strip_prefix(OBJECTS) {
        match key.strip_prefix('/') {
            Some(key) => object(&mut state, request.method(), key, body),
            None => list_objects(&state, request),
        }
    } else if let Some(name) = path.strip_prefix(HOSTS) {
        host(&mut state, request.method(), name, &body)
    } else {
        not_found()
    }
}

fn object(state: &mut PlatformState, method: Method, key: &str, body: Vec<u8>) -> Response {
    match method {
        Method::Get => match state.objects.get(key) {
            Some(bytes) => http::bytes_reply("application/octet-stream", bytes.clone()),
            None => not_found(),
        },
        Method::Put => {
            state.objects.insert(key.to_owned(), body);
            Response::new(StatusCode::NoContent)
        }
        Method::Delete => {
            state.objects.remove(key);
            Response::new(StatusCode::NoContent)
        }
        _ => http::error_reply(StatusCode::MethodNotAllowed, "use GET, PUT or DELETE"),
    }
}

fn list_objects(state: &PlatformState, request: &Request) -> Response {
    let prefix = http::query(request, "prefix").unwrap_or_default();
    let objects = state.objects.iter();
    let entries = objects.filter(|(key, _)| key.starts_with(prefix));
    let entries = entries.map(|(key, bytes)| ObjectEntry {
        key,
        bytes: bytes.len(),
    });
    let entries: Vec<_> = entries.collect();
    http::json_reply(StatusCode::Ok, &entries)
}

fn host(state: &mut PlatformState, method: Method, name: &str, body: &[u8]) -> Response {
    let now = Instant::now();
    match (method, name.strip_prefix('/')) {
        (Method::Get, None) => {
            let lag = Duration::from_millis(state.faults.hosts_lag_ms);
            http::json_reply(StatusCode::Ok, &state.hosts.list(now, lag))
        }
        (Method::Put, Some(name)) => match http::parse_json::<HostDocument>(body) {
            Ok(host) if host.host.as_str() == name => {
                state.hosts.put(now, host);
                Response::new(StatusCode::NoContent)
            }
            Ok(_) => {
                let message = "the name in the path differs from `host` in the body";
                http::error_reply(StatusCode::BadRequest, message)
            }
            Err(reply) => *reply,
        },
        (Method::Delete, Some(name)) => {
            state.hosts.remove(now, name);
            Response::new(StatusCode::NoContent)
        }
        _ => not_found(),
    }
}

fn not_found() -> Response {
    http::error_reply(StatusCode::NotFound, "no such thing")
}
