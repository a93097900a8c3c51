//! Which address a caller should use.

use super::health;
use crate::daemon::DaemonShared;
use http_types::Response;
use savorywood_http::IncomingRequest;
use serde::Serialize;
use std::net::SocketAddr;

/// How long a caller may keep the answer, in seconds.
const MAX_AGE_SECONDS: u32 = 30;

#[derive(Debug, Serialize)]
struct AddressList {
    addresses: Vec<SocketAddr>,
    max_age_seconds: u32,
}

/// Answers with addresses in the order in which to try them.
pub fn answer(shared: &DaemonShared, _incoming: &IncomingRequest) -> Response {
    health::json(&AddressList {
        addresses: vec![shared.options.core.caller_address],
        max_age_seconds: MAX_AGE_SECONDS,
    })
}
