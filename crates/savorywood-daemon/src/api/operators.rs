//! Operators' interface: create, edit and watch resources.

mod fleet;
mod watch;

use super::{health, not_found, requests};
use crate::{daemon::DaemonShared, problem};
use http_types::{Method, Response, StatusCode};
use savorywood_core::{DaemonEvent, OperatorReply, OperatorRequest};
use savorywood_http::IncomingRequest;
use savorywood_protocol::{
    ConfigRevision, RefusalCode, RequestRefusal,
    api::{AcceptedChange, ResourceList},
    resource::{ResourceDocument, ResourceKey, ResourceKind},
};
use savorywood_settings::{ResourceFile, SourceText};
use serde::Serialize;
use serde_json::{Map, Value};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// What operators' paths begin with. A caller that errs in its path must not be told that its
/// token is wrong.
const PATHS: [&str; 4] = ["/v1/members", "/v1/burn", "/v1/watch/", "/v1/resources/"];

/// Answers one call of an operator.
pub async fn route(shared: &Arc<DaemonShared>, mut incoming: IncomingRequest) -> Response {
    let path = incoming.request.url().path().to_owned();
    if !PATHS.iter().any(|served| path.starts_with(served)) {
        return not_found(&path);
    }
    if !is_operator(shared, &incoming) {
        let detail = "send `Authorization: Bearer TOKEN` with the operators' token";
        return requests::refuse(&RequestRefusal::not_run(RefusalCode::Unauthorized, detail));
    }
    match path.as_str() {
        "/v1/members" => return fleet::members(shared),
        "/v1/burn" => return fleet::burn(shared),
        _ => {}
    }
    if let Some(kind) = path.strip_prefix("/v1/watch/") {
        return watch::follow(shared, &incoming, kind);
    }
    let Some(rest) = path.strip_prefix("/v1/resources/") else {
        return not_found(&path);
    };
    let (kind, name) = match rest.split_once('/') {
        Some((kind, name)) => (kind, Some(name)),
        None => (rest, None),
    };
    let Ok(kind) = kind.parse::<ResourceKind>() else {
        return not_found(&path);
    };
    match (incoming.request.method(), name) {
        (Method::Get, None) => list(shared, kind),
        (Method::Get, Some(name)) => get(shared, kind, name),
        (Method::Put, Some(name)) => put(shared, &mut incoming, kind, name).await,
        (Method::Delete, Some(name)) => delete(shared, &incoming, kind, name).await,
        _ => {
            let detail = "use GET, PUT or DELETE on /v1/resources/KIND/NAME, GET on KIND";
            requests::refuse(&RequestRefusal::not_run(RefusalCode::BadRequest, detail))
        }
    }
}

/// Compares digests in constant time: how long a refusal takes must not tell how much of a guess
/// was right.
fn is_operator(shared: &DaemonShared, incoming: &IncomingRequest) -> bool {
    let expected = shared.options.operator_token;
    match (expected, requests::bearer_digest(incoming)) {
        (Some(expected), Some(given)) => expected.0.ct_eq(&given.0).into(),
        _ => false,
    }
}

fn list(shared: &DaemonShared, kind: ResourceKind) -> Response {
    let config = shared.driver.config();
    let documents = config.documents.values();
    let documents = documents.filter(|document| document.spec.kind() == kind);
    // One visit to the core for all: teams come in tens of thousands.
    let items = shared.driver.with_core(|core, _, _| {
        documents
            .map(|document| core.with_status(document))
            .collect()
    });
    health::json(&ResourceList {
        revision: config.revision,
        items,
    })
}

fn get(shared: &DaemonShared, kind: ResourceKind, name: &str) -> Response {
    let config = shared.driver.config();
    let key = ResourceKey {
        kind,
        name: name.to_owned(),
    };
    match config.documents.get(&key) {
        Some(document) => {
            let mut response = health::json(&with_status(shared, document));
            let revision = document.revision.unwrap_or_default();
            response.insert_header("etag", format!("\"{revision}\""));
            response
        }
        None => {
            let detail = format!("there is no resource {key}");
            requests::refuse(&RequestRefusal::not_run(RefusalCode::NotFound, detail))
        }
    }
}

fn with_status(shared: &DaemonShared, document: &ResourceDocument) -> ResourceDocument {
    shared
        .driver
        .with_core(|core, _, _| core.with_status(document))
}

async fn put(
    shared: &DaemonShared,
    incoming: &mut IncomingRequest,
    kind: ResourceKind,
    name: &str,
) -> Response {
    let expected = match expected_revision(incoming) {
        Ok(expected) => expected,
        Err(refusal) => return requests::refuse(&refusal),
    };
    let body = match incoming.read_body().await {
        Ok(body) => body,
        Err(fault) => return requests::refuse(&requests::body_refusal(&fault)),
    };
    let document = match read_document(&body) {
        Ok(document) => document,
        Err(reason) => return bad_document(&reason),
    };
    if document.spec.kind() != kind || document.name != name {
        return bad_document(&format!(
            "the path says {kind}/{name}, the body {}",
            document.key()
        ));
    }
    change(shared, OperatorRequest::Apply { document, expected }).await
}

/// Reads a resource as strictly as `check` does: a misspelt member that were passed over would
/// leave its default in force, and the operator would believe otherwise.
fn read_document(body: &[u8]) -> Result<ResourceDocument, String> {
    let text = std::str::from_utf8(body).map_err(|error| error.to_string())?;
    let file = ResourceFile::parse(SourceText::new("body", text));
    let mut documents = file.map_err(|report| report.to_string())?.documents;
    match (documents.pop(), documents.is_empty()) {
        (Some(document), true) => Ok(document),
        _ => Err("exactly one resource is expected".to_owned()),
    }
}

async fn delete(
    shared: &DaemonShared,
    incoming: &IncomingRequest,
    kind: ResourceKind,
    name: &str,
) -> Response {
    let expected = match expected_revision(incoming) {
        Ok(expected) => expected,
        Err(refusal) => return requests::refuse(&refusal),
    };
    let key = ResourceKey {
        kind,
        name: name.to_owned(),
    };
    change(shared, OperatorRequest::Delete { key, expected }).await
}

fn bad_document(reason: &str) -> Response {
    let detail = format!("the body is not a resource: {reason}");
    requests::refuse(&RequestRefusal::not_run(RefusalCode::BadRequest, detail))
}

/// Revision that the resource must have: `If-Match: "REV"`, or `If-None-Match: *` for none.
fn expected_revision(incoming: &IncomingRequest) -> Result<Option<ConfigRevision>, RequestRefusal> {
    if incoming.header("if-none-match").map(str::trim) == Some("*") {
        return Ok(Some(ConfigRevision(0)));
    }
    let Some(value) = incoming.header("if-match") else {
        return Ok(None);
    };
    let number = value.trim().trim_matches('"').parse();
    number
        .map(|number| Some(ConfigRevision(number)))
        .map_err(|_| {
            let detail = "If-Match must be the resource's ETag, a revision in quotes";
            RequestRefusal::not_run(RefusalCode::BadRequest, detail)
        })
}

async fn change(shared: &DaemonShared, request: OperatorRequest) -> Response {
    let ticket = shared.driver.open_operator_call();
    shared.driver.step(DaemonEvent::Operator {
        call: ticket.call,
        request: Box::new(request),
    });
    match ticket.reply.recv().await {
        Ok(reply) => reply_response(reply),
        Err(_) => {
            let detail = "the change was given up inside the daemon: read the resource again";
            requests::refuse(&RequestRefusal::unknown(RefusalCode::Internal, detail))
        }
    }
}

fn reply_response(reply: OperatorReply) -> Response {
    match reply {
        OperatorReply::Accepted { revision } => {
            let mut response = health::json(&AcceptedChange { revision });
            response.insert_header("etag", format!("\"{revision}\""));
            response
        }
        OperatorReply::Conflict { current } => {
            let detail = "another write came first: read the resource, decide again";
            let refusal = RequestRefusal::not_run(RefusalCode::RevisionConflict, detail);
            problem::problem_with(&refusal, None, member("current", &current))
        }
        OperatorReply::Invalid { faults } => {
            let detail = "the resource can't be accepted; `faults` lists all that is wrong";
            let refusal = RequestRefusal::not_run(RefusalCode::BadRequest, detail);
            let status = StatusCode::UnprocessableEntity.into();
            problem::problem_as(&refusal, status, None, member("faults", &faults))
        }
        OperatorReply::NotFound => {
            let detail = "there is no such resource";
            requests::refuse(&RequestRefusal::not_run(RefusalCode::NotFound, detail))
        }
        OperatorReply::Refused(refusal) => requests::refuse(&refusal),
    }
}

fn member(name: &str, value: &impl Serialize) -> Map<String, Value> {
    let mut members = Map::new();
    members.insert(
        name.to_owned(),
        serde_json::to_value(value).unwrap_or_default(),
    );
    members
}
