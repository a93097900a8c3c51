//! The rest of a stream that another daemon began.

use super::requests;
use crate::{
    daemon::DaemonShared,
    problem::RESUME_HEADER,
    relay::{OutgoingCall, RequestTask},
};
use http_types::{Method, Response};
use savorywood_core::{CallerEvent, DaemonEvent, ResumeArrival};
use savorywood_http::IncomingRequest;
use savorywood_protocol::{RefusalCode, RequestRefusal, resource::ServiceProtocol};
use std::sync::Arc;

/// Relays a stream from the offset that the caller names.
pub async fn resume(shared: &Arc<DaemonShared>, incoming: IncomingRequest) -> Response {
    let arrival = match read_arrival(&incoming) {
        Ok(arrival) => arrival,
        Err(refusal) => return requests::refuse(&refusal),
    };
    let request = arrival.request;
    let event = DaemonEvent::Caller(CallerEvent::Resumed(Box::new(arrival)));
    // Nothing is sent that could run: the call only carries what an attempt would need.
    let call = OutgoingCall {
        protocol: ServiceProtocol::Model,
        method: Method::Get,
        target: String::new(),
        headers: Vec::new(),
        body: Vec::new(),
        idempotent: true,
        hides_usage: false,
        team: None,
    };
    RequestTask::serve_event(shared, request, event, call).await
}

fn read_arrival(incoming: &IncomingRequest) -> Result<ResumeArrival, RequestRefusal> {
    let resume_token = incoming.header(RESUME_HEADER).ok_or_else(|| {
        let detail = format!("send the token of the broken answer in {RESUME_HEADER}");
        RequestRefusal::unknown(RefusalCode::BadResumeToken, detail)
    })?;
    let url = incoming.request.url();
    let offset = url.query_pairs().find(|(name, _)| name == "offset");
    let offset = offset.and_then(|(_, value)| value.parse().ok());
    let offset = offset.ok_or_else(|| {
        let detail = "say how many bytes of the answer arrived: /v1/streams?offset=BYTES";
        RequestRefusal::unknown(RefusalCode::BadRequest, detail)
    })?;
    Ok(ResumeArrival {
        request: requests::new_request_id(),
        token: requests::bearer_digest(incoming),
        resume_token: resume_token.to_owned(),
        offset,
    })
}
