//! Reads the requests of a caller's connection, within the limits of the configuration.

use crate::{
    clock::with_timeout,
    held::{HeldBodyError, RequestBody},
    shared::FrontShared,
    wire::{BodyError, BodyFraming, ByteReader, HeadError, HeadSearch, RequestHead},
};
use futures_lite::AsyncWriteExt;
use savorywood_gateway::CallerLimits;
use std::time::Duration;

/// Interim response after which a caller sends its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Maximum time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time beyond the configured idle timeout for which idle connections stay open: a request may
/// already be on its way.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// A request with its complete body.
pub struct CompleteRequest {
    pub head: RequestHead,
    pub body: RequestBody,
}

/// What was read from a connection that may have a next request.
pub enum RequestRead {
    Request(Box<CompleteRequest>),
    /// The connection has ended, or was idle for too long.
    Closed,
    /// The memory budget has no room for the body of the request with this head.
    Exhausted(Box<RequestHead>),
    /// Status and reason of the response to a request that can't be read.
    Rejected(u16, &'static str),
}

fn limits(shared: &FrontShared) -> CallerLimits {
    let gateway = shared.gateway.borrow();
    gateway
        .config()
        .map(|config| config.limits)
        .unwrap_or_default()
}

/// Reads the next request of a connection.
pub async fn read_request(shared: &FrontShared, reader: &mut ByteReader) -> RequestRead {
    skip_empty_lines(reader);
    if reader.bytes().is_empty() && !wait_for_input(shared, reader).await {
        return RequestRead::Closed;
    }
    let limits = limits(shared);
    let head = match with_timeout(limits.header_timeout, read_head(reader, &limits)).await {
        Some(Ok(Some(head))) => head,
        Some(Ok(None)) => return RequestRead::Closed,
        Some(Err(HeadError::TooLarge)) => return RequestRead::Rejected(431, "head too large"),
        Some(Err(HeadError::Malformed { reason })) => return RequestRead::Rejected(400, reason),
        None => return RequestRead::Rejected(408, "the head did not arrive in time"),
    };
    if matches!(head.framing, BodyFraming::Length(length) if length > limits.body_bytes as u64) {
        return RequestRead::Rejected(413, "the request body exceeds the size limit");
    }
    let size = match head.framing {
        BodyFraming::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        BodyFraming::Empty | BodyFraming::Chunked | BodyFraming::UntilClose => 0,
    };
    if size > 0 && shared.held.admit_body(shared, size).is_err() {
        return RequestRead::Exhausted(Box::new(head));
    }
    if head.expects_continue {
        let mut stream = reader.stream().clone();
        if stream.write_all(CONTINUE).await.is_err() {
            return RequestRead::Closed;
        }
    }
    let body = RequestBody::read(shared, reader, head.framing, limits.body_bytes);
    let error = match with_timeout(BODY_TIMEOUT, body).await {
        Some(Ok(body)) => return RequestRead::Request(Box::new(CompleteRequest { head, body })),
        Some(Err(error)) => error,
        None => return RequestRead::Rejected(408, "the body did not arrive in time"),
    };
    match error {
        HeldBodyError::Exhausted => RequestRead::Exhausted(Box::new(head)),
        HeldBodyError::Stalled => {
            RequestRead::Rejected(408, "the body did not arrive while its memory was needed")
        }
        HeldBodyError::Body(BodyError::TooLarge) => {
            RequestRead::Rejected(413, "the request body exceeds the size limit")
        }
        HeldBodyError::Body(BodyError::BadChunk | BodyError::ChunkCodingTooLarge) => {
            RequestRead::Rejected(400, "the chunked coding of the body is malformed")
        }
        HeldBodyError::Body(BodyError::CutOff | BodyError::Broken { .. }) => RequestRead::Closed,
    }
}

/// Waits for the first bytes of a request. Returns false if the connection ends or stays idle for
/// the timeout of the configuration that is in force by then.
async fn wait_for_input(shared: &FrontShared, reader: &mut ByteReader) -> bool {
    let idle_since = shared.clock.now();
    loop {
        let idle = shared.clock.now().since(idle_since);
        let idle_timeout = limits(shared).idle_timeout + IDLE_MARGIN;
        if idle >= idle_timeout {
            return false;
        }
        if let Some(read) = with_timeout(idle_timeout - idle, reader.fill()).await {
            return matches!(read, Ok(1..));
        }
    }
}

fn skip_empty_lines(reader: &mut ByteReader) {
    while reader.bytes().starts_with(b"\r\n") {
        reader.consume(2);
    }
}

async fn read_head(
    reader: &mut ByteReader,
    limits: &CallerLimits,
) -> Result<Option<RequestHead>, HeadError> {
    let mut search = HeadSearch::default();
    loop {
        skip_empty_lines(reader);
        if let Some(end) = search.end(reader.bytes()) {
            if end > limits.header_bytes {
                return Err(HeadError::TooLarge);
            }
            return RequestHead::parse(&reader.take(end)).map(Some);
        }
        if reader.bytes().len() > limits.header_bytes {
            return Err(HeadError::TooLarge);
        }
        if !matches!(reader.fill().await, Ok(1..)) {
            return Ok(None);
        }
    }
}
