//! Operators' interface: create, edit and watch resources.

use super::{health, not_found, requests};
use crate::{daemon::DaemonShared, problem};
use http_types::{Method, Response};
use savorywood_core::{DaemonEvent, OperatorReply, OperatorRequest};
use savorywood_http::IncomingRequest;
use savorywood_protocol::{
    ConfigRevision, RefusalCode, RequestRefusal,
    resource::{ResourceDocument, ResourceKey, ResourceKind},
};
use serde::Serialize;
use serde_json::{Map, Value};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Resources of one kind at one revision.
#[derive(Debug, Serialize)]
struct ResourceList {
    revision: ConfigRevision,
    items: Vec<ResourceDocument>,
}

/// Answer to an accepted change.
#[derive(Debug, Serialize)]
struct AcceptedChange {
    revision: ConfigRevision,
}

/// Answers one call of an operator.
pub async fn route(shared: &Arc<DaemonShared>, mut incoming: IncomingRequest) -> Response {
    if !is_operator(shared, &incoming) {
        let detail = "send `Authorization: Bearer TOKEN` with the operators' token";
        return requests::refuse(&RequestRefusal::not_run(RefusalCode::Unauthorized, detail));
    }
    let path = incoming.request.url().path().to_owned();
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
    let items = documents
        .filter(|document| document.spec.kind() == kind)
        .map(|document| with_status(shared, document))
        .collect();
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
        .with_core(|core, now, _| core.with_status(now, document))
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
    let document: ResourceDocument = match serde_json::from_slice(&body) {
        Ok(document) => document,
        Err(error) => return bad_document(&error.to_string()),
    };
    if document.spec.kind() != kind || document.name != name {
        return bad_document(&format!(
            "the path says {kind}/{name}, the body {}",
            document.key()
        ));
    }
    change(shared, OperatorRequest::Apply { document, expected }).await
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
            let mut response = problem::problem_with(&refusal, None, member("faults", &faults));
            response.set_status(http_types::StatusCode::UnprocessableEntity);
            response
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
