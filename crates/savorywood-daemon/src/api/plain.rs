//! Plain services: calls that are passed through.

use super::requests::{self, PreparedCall};
use crate::{
    daemon::DaemonShared,
    relay::{OutgoingCall, OutgoingHeader},
};
use http_types::Response;
use savorywood_core::{PromptShape, RequestArrival};
use savorywood_http::IncomingRequest;
use savorywood_protocol::{RefusalCode, RequestRefusal, resource::ServiceProtocol};
use std::sync::Arc;

/// Path under which plain services are reached.
const PREFIX: &str = "/services/";

/// Bytes of a body that count as one unit of work.
const BYTES_PER_UNIT: usize = 1_024;

/// Passes a call through.
pub async fn call(shared: &Arc<DaemonShared>, incoming: IncomingRequest) -> Response {
    requests::read_and_serve(shared, incoming, prepare).await
}

fn prepare(
    shared: &DaemonShared,
    incoming: &IncomingRequest,
    body: Vec<u8>,
) -> Result<PreparedCall, RequestRefusal> {
    let url = incoming.request.url();
    let rest = url.path().strip_prefix(PREFIX).unwrap_or_default();
    let (service, path) = match rest.split_once('/') {
        Some((service, path)) => (service, format!("/{path}")),
        None => (rest, "/".to_owned()),
    };
    let method = incoming.request.method();
    let config = shared.driver.config();
    let spec = config.services.get(service);
    if spec.is_some_and(|spec| spec.protocol == ServiceProtocol::Model) {
        let detail = format!("{service:?} is a model service: use /v1/chat/completions");
        return Err(RequestRefusal::not_run(RefusalCode::BadRequest, detail));
    }
    let target = match url.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.clone(),
    };
    let idempotent = spec.is_none_or(|spec| spec.is_idempotent(method.as_ref(), &path));
    let units = body.len() / BYTES_PER_UNIT + 1;
    let arrival = RequestArrival {
        request: requests::new_request_id(),
        token: requests::bearer_digest(incoming),
        service: service.to_owned(),
        method: method.to_string(),
        path,
        tier: incoming.header(requests::TIER_HEADER).map(str::to_owned),
        deadline: requests::deadline(incoming)?,
        idempotency_key: requests::idempotency_key(incoming)?,
        fingerprint: requests::fingerprint(method.as_ref(), &target, &body),
        prompt: PromptShape {
            tokens: u32::try_from(units).unwrap_or(u32::MAX),
            ..PromptShape::default()
        },
    };
    let call = OutgoingCall {
        protocol: ServiceProtocol::Plain,
        method,
        target,
        headers: passed_headers(incoming),
        body,
        idempotent,
        hides_usage: false,
        team: None,
    };
    Ok(PreparedCall { arrival, call })
}

/// All headers but those of this connection and the caller's credentials.
fn passed_headers(incoming: &IncomingRequest) -> Vec<OutgoingHeader> {
    let mut headers = Vec::new();
    for (name, values) in &incoming.request {
        let name = name.as_str();
        let ours = name.starts_with("x-savorywood") || matches!(name, "authorization" | "host");
        if ours || crate::relay::is_hop_header(name) || name == "expect" {
            continue;
        }
        let values = values.iter().map(|value| OutgoingHeader {
            name: name.to_owned(),
            value: value.as_str().to_owned(),
        });
        headers.extend(values);
    }
    headers
}
