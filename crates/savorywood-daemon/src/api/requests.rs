//! What model calls and plain calls have in common on their way in.

use crate::{
    daemon::DaemonShared,
    problem,
    relay::{OutgoingCall, RequestTask},
};
use http_types::Response;
use savorywood_core::{RequestArrival, TokenDigest};
use savorywood_http::{BodyFault, IncomingRequest};
use savorywood_protocol::{RefusalCode, RequestId, RequestRefusal, TeamName};
use sha2::{Digest, Sha256};
use std::{sync::Arc, time::Duration};

/// Header that names the tier a caller asks for.
pub const TIER_HEADER: &str = "x-savorywood-tier";

/// Header that gives the time for the whole answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-savorywood-deadline-ms";

/// Longest value of `Idempotency-Key`.
const MAX_KEY_BYTES: usize = 128;

/// A request that is ready for the core, and what is sent when the core says so.
pub struct PreparedCall {
    /// For the core.
    pub arrival: RequestArrival,
    /// For the upstream.
    pub call: OutgoingCall,
}

/// Reads a request's body, prepares the call and carries it out.
pub async fn read_and_serve(
    shared: &Arc<DaemonShared>,
    mut incoming: IncomingRequest,
    prepare: impl FnOnce(
        &DaemonShared,
        &IncomingRequest,
        Vec<u8>,
    ) -> Result<PreparedCall, RequestRefusal>,
) -> Response {
    let body = match incoming.read_body().await {
        Ok(body) => body,
        Err(fault) => return refuse(&body_refusal(&fault)),
    };
    match prepare(shared, &incoming, body) {
        Ok(prepared) => RequestTask::serve(shared, prepared.arrival, prepared.call).await,
        Err(refusal) => refuse(&refusal),
    }
}

/// A new request's identity: its time makes it sort and age like a log line.
pub fn new_request_id() -> RequestId {
    RequestId(uuid::Uuid::now_v7().as_u128())
}

/// Digest of the bearer token, if there is one.
pub fn bearer_digest(incoming: &IncomingRequest) -> Option<TokenDigest> {
    let value = incoming.header("authorization")?;
    let (scheme, token) = value.split_once(' ')?;
    let token = token.trim();
    let is_bearer = scheme.eq_ignore_ascii_case("bearer") && !token.is_empty();
    is_bearer.then(|| TokenDigest(Sha256::digest(token.as_bytes()).into()))
}

/// Team whose token the caller sent.
pub fn team(shared: &DaemonShared, incoming: &IncomingRequest) -> Option<TeamName> {
    let token = bearer_digest(incoming)?;
    shared.driver.config().team_of(&token).cloned()
}

/// SHA-256 over what makes a call the same call.
pub fn fingerprint(method: &str, target: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(method.as_bytes());
    hasher.update([0]);
    hasher.update(target.as_bytes());
    hasher.update([0]);
    hasher.update(body);
    hasher.finalize().into()
}

/// Time for the whole answer, if the caller gives one.
pub fn deadline(incoming: &IncomingRequest) -> Result<Option<Duration>, RequestRefusal> {
    let Some(value) = incoming.header(DEADLINE_HEADER) else {
        return Ok(None);
    };
    match value.trim().parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis))),
        _ => {
            let detail =
                format!("{DEADLINE_HEADER} must be a whole number of milliseconds above 0");
            Err(RequestRefusal::not_run(RefusalCode::BadRequest, detail))
        }
    }
}

/// Value of `Idempotency-Key`, if there is one.
pub fn idempotency_key(incoming: &IncomingRequest) -> Result<Option<String>, RequestRefusal> {
    let Some(value) = incoming.header("idempotency-key") else {
        return Ok(None);
    };
    let value = value.trim().trim_matches('"');
    let printable = value.bytes().all(|byte| byte.is_ascii_graphic());
    if value.is_empty() || value.len() > MAX_KEY_BYTES || !printable {
        let detail = format!(
            "Idempotency-Key must have 1 to {MAX_KEY_BYTES} printable ASCII characters without \
             spaces"
        );
        return Err(RequestRefusal::not_run(RefusalCode::BadRequest, detail));
    }
    Ok(Some(value.to_owned()))
}

/// Refusal of a body that could not be read whole.
pub fn body_refusal(fault: &BodyFault) -> RequestRefusal {
    let code = match fault {
        BodyFault::TooLarge { .. } => RefusalCode::TooLarge,
        BodyFault::TooSlow { .. } => RefusalCode::TooSlow,
        BodyFault::CutOff { .. } => RefusalCode::BadRequest,
    };
    RequestRefusal::not_run(code, fault.to_string())
}

/// A refusal as an answer that names no request.
pub fn refuse(refusal: &RequestRefusal) -> Response {
    problem::problem(refusal, None)
}
