//! Weight store: large objects, given out at a limited rate over all readers.

use crate::{
    body::{BodyReader, BodyState, GrowingBody},
    http::{self, HandlerResult},
    platform::server::PlatformShared,
    tasks::lock,
};
use async_io::Timer;
use futures_lite::io::BufReader;
use http_types::{Body, Method, Request, Response, StatusCode};
use std::{
    sync::{Arc, Weak},
    time::Instant,
};

/// Bytes given out at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Largest stand-in for weights, in bytes.
const MAX_WEIGHT_BYTES: usize = 64 * 1024 * 1024;

/// Serves one weight file. `PUT ...?bytes=N` without a body stores N zero bytes.
pub(super) fn serve(
    platform: &Arc<PlatformShared>,
    request: &Request,
    key: &str,
    body: Vec<u8>,
) -> HandlerResult {
    match request.method() {
        Method::Put => Ok(put(platform, request, key, body)),
        Method::Get => Ok(get(platform, key)),
        _ => Ok(http::error_reply(
            StatusCode::MethodNotAllowed,
            "use GET or PUT",
        )),
    }
}

fn put(platform: &PlatformShared, request: &Request, key: &str, body: Vec<u8>) -> Response {
    let size = http::query(request, "bytes").map(str::parse::<usize>);
    let bytes = match size {
        None => body,
        Some(Ok(size)) if size <= MAX_WEIGHT_BYTES => vec![0; size],
        Some(_) => {
            let message = format!("`bytes` is no number up to {MAX_WEIGHT_BYTES}");
            return http::error_reply(StatusCode::BadRequest, &message);
        }
    };
    let mut state = lock(&platform.state);
    state.weights.insert(key.to_owned(), Arc::from(bytes));
    Response::new(StatusCode::NoContent)
}

fn get(platform: &Arc<PlatformShared>, key: &str) -> Response {
    let Some(bytes) = lock(&platform.state).weights.get(key).cloned() else {
        return http::error_reply(StatusCode::NotFound, "no such weights");
    };
    let body = GrowingBody::new();
    let mut response = Response::new(StatusCode::Ok);
    let reader = BufReader::new(BodyReader::new(&body, 0));
    response.set_body(Body::from_reader(reader, Some(bytes.len())));
    if let Some(group) = platform.group.upgrade() {
        let platform = Arc::clone(platform);
        group.spawn(give_out(platform, bytes, Arc::downgrade(&body)));
    }
    response
}

/// Feeds a reader at the shared rate until it has all or has gone.
async fn give_out(platform: Arc<PlatformShared>, bytes: Arc<[u8]>, body: Weak<GrowingBody>) {
    for chunk in bytes.chunks(CHUNK_BYTES) {
        let free_at = {
            let mut state = lock(&platform.state);
            let rate = state.faults.weight_bytes_per_second;
            rate.map(|rate| {
                let now = Instant::now();
                state.weight_pace.take(now, chunk.len() as u64, rate)
            })
        };
        if let Some(free_at) = free_at {
            Timer::at(free_at).await;
        }
        let Some(body) = body.upgrade() else {
            return;
        };
        body.push(chunk);
    }
    if let Some(body) = body.upgrade() {
        body.end(BodyState::Finished);
    }
}
