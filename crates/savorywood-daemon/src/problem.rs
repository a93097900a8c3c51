//! Refusals as HTTP answers: RFC 9457 problems that OpenAI-compatible clients read as errors.

use http_types::{Response, StatusCode};
use savorywood_protocol::{OutcomeKind, RefusalCode, RequestId, RequestRefusal};
use serde::Serialize;
use serde_json::Value;
use std::time::Duration;

/// Header that says whether the work ran.
pub const OUTCOME_HEADER: &str = "x-savorywood-outcome";

/// Header that names the request in logs.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that carries a resume token, both ways.
pub const RESUME_HEADER: &str = "x-savorywood-resume-token";

/// Media type of problems.
const PROBLEM_TYPE: &str = "application/problem+json";

/// Body of a refusal.
#[derive(Debug, Serialize)]
struct ProblemBody<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: OutcomeKind,
    code: RefusalCode,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<String>,
    error: ClientError<'a>,
    #[serde(flatten)]
    more: serde_json::Map<String, Value>,
}

/// The member that OpenAI-compatible clients look for.
#[derive(Debug, Serialize)]
struct ClientError<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    code: RefusalCode,
    param: Option<&'a str>,
}

/// A refusal as an HTTP answer.
pub fn problem(refusal: &RequestRefusal, request: Option<RequestId>) -> Response {
    problem_with(refusal, request, serde_json::Map::new())
}

/// A refusal with further members.
pub fn problem_with(
    refusal: &RequestRefusal,
    request: Option<RequestId>,
    more: serde_json::Map<String, Value>,
) -> Response {
    problem_as(refusal, refusal.code.http_status(), request, more)
}

/// A refusal under a status that says more than its code does, in head and body alike.
pub fn problem_as(
    refusal: &RequestRefusal,
    status: u16,
    request: Option<RequestId>,
    more: serde_json::Map<String, Value>,
) -> Response {
    let code: &'static str = refusal.code.into();
    let body = ProblemBody {
        kind: "about:blank",
        title: code,
        status,
        detail: &refusal.detail,
        outcome: refusal.outcome,
        code: refusal.code,
        retry_after_ms: refusal.retry_after.map(|time| time.as_millis()),
        request_id: request.map(|request| request.to_string()),
        error: ClientError {
            message: &refusal.detail,
            kind: client_error_type(status),
            code: refusal.code,
            param: None,
        },
        more,
    };
    let mut response = Response::new(status_code(status));
    response.set_body(serde_json::to_vec(&body).unwrap_or_default());
    response.insert_header("content-type", PROBLEM_TYPE);
    let outcome: &'static str = refusal.outcome.into();
    response.insert_header(OUTCOME_HEADER, outcome);
    if let Some(time) = refusal.retry_after {
        response.insert_header("retry-after", whole_seconds(time).to_string());
    }
    if let Some(request) = request {
        response.insert_header(REQUEST_ID_HEADER, request.to_string());
    }
    response
}

/// `Retry-After` has whole seconds; rounding down would bring callers back too early.
fn whole_seconds(time: Duration) -> u64 {
    time.as_millis()
        .div_ceil(1_000)
        .try_into()
        .unwrap_or(u64::MAX)
}

/// Status by number; codes that the library does not name become 500.
pub fn status_code(status: u16) -> StatusCode {
    StatusCode::try_from(status).unwrap_or(match status {
        400..=499 => StatusCode::BadRequest,
        _ => StatusCode::InternalServerError,
    })
}

/// Word that OpenAI-compatible clients expect for a status.
fn client_error_type(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
