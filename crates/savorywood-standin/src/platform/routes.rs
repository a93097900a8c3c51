//! Paths that the platform serves, behind its faults.

mod storage;
mod weights;

use super::{
    faults::{OutageKind, PlatformFaults},
    server::{PlatformShared, PlatformState},
};
use crate::{
    http::{self, HandlerResult},
    tasks::lock,
};
use async_io::Timer;
use http_types::{Method, Request, Response, StatusCode};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// How often a hanging call looks whether the outage is over.
const HANG_PAUSE: Duration = Duration::from_millis(50);

/// Whether a call reads or writes, for the rate limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
}

/// Serves one request.
pub(crate) async fn handle(platform: Arc<PlatformShared>, mut request: Request) -> HandlerResult {
    let body = http::read_body(&mut request).await?;
    let path = request.url().path().to_owned();
    if path.starts_with("/standin/") {
        return Ok(control(&platform, request.method(), &path, &body));
    }
    let faults = lock(&platform.state).faults.clone();
    match faults.outage {
        OutageKind::None => {}
        OutageKind::Refuse => {
            lock(&platform.state).counts.refused += 1;
            return Ok(out());
        }
        OutageKind::Hang => return hang(&platform).await,
        OutageKind::Close => return Err(http_types::format_err!("closed on purpose")),
    }
    Timer::after(Duration::from_millis(faults.latency_ms)).await;
    if path == "/v1/table" && request.method() == Method::Post {
        return storage::table(&platform, &body);
    }
    if let Some(key) = path.strip_prefix("/v1/weights/") {
        return weights::serve(&platform, &request, key, body);
    }
    Ok(storage::serve(&platform, &request, &path, body))
}

/// Answers nothing while the outage lasts, then closes the connection.
async fn hang(platform: &PlatformShared) -> HandlerResult {
    while lock(&platform.state).faults.outage == OutageKind::Hang {
        Timer::after(HANG_PAUSE).await;
    }
    Err(http_types::format_err!("hung on purpose"))
}

fn control(platform: &PlatformShared, method: Method, path: &str, body: &[u8]) -> Response {
    let mut state = lock(&platform.state);
    match (method, path) {
        (Method::Get, "/standin/faults") => http::json_reply(StatusCode::Ok, &state.faults),
        (Method::Get, "/standin/counts") => http::json_reply(StatusCode::Ok, &state.counts),
        (Method::Put, "/standin/faults") => match http::parse_json::<PlatformFaults>(body) {
            Ok(faults) => {
                state.faults = faults;
                http::json_reply(StatusCode::Ok, &state.faults)
            }
            Err(reply) => *reply,
        },
        _ => http::error_reply(StatusCode::NotFound, "no such path"),
    }
}

impl PlatformState {
    /// Counts a call and applies its rate limit; `Err` is the refusal.
    fn count(&mut self, kind: CallKind) -> Result<(), Box<Response>> {
        let now = Instant::now();
        let allowed = match kind {
            CallKind::Read => {
                self.counts.reads += 1;
                let limit = self.faults.reads_per_second;
                limit.is_none_or(|limit| self.reads.try_take(now, 1, u64::from(limit)))
            }
            CallKind::Write => {
                self.counts.writes += 1;
                let limit = self.faults.writes_per_second;
                limit.is_none_or(|limit| self.writes.try_take(now, 1, u64::from(limit)))
            }
        };
        if allowed {
            return Ok(());
        }
        self.counts.refused += 1;
        let message = "more calls than the rate allows; nothing was done";
        Err(Box::new(http::error_reply(
            StatusCode::TooManyRequests,
            message,
        )))
    }
}

fn out() -> Response {
    let message = "the platform is out; nothing was done";
    http::error_reply(StatusCode::ServiceUnavailable, message)
}
