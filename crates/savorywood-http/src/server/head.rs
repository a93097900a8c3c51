//! Reads the head of a request and refuses what must not reach the decoder.
//!
//! The decoder closes the connection without an answer on some faults and lets others pass. A
//! caller must see a clear status, so the head is looked at first.

use super::{ServerLimits, replay::ReplayStream, within};
use futures_lite::AsyncReadExt;
use http_types::StatusCode;
use snafu::Snafu;

/// Bytes read at a time. Most heads fit.
const READ_BYTES: usize = 2_048;

/// Header lines of a head at most; the decoder's own bound is 128.
const MAX_HEADERS: usize = 128;

/// What is wrong with the head of a request.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum HeadFault {
    /// All places for connections are taken.
    #[snafu(display("this daemon has no place for another connection; use another address"))]
    TooManyConnections,
    /// The head is over the limit.
    #[snafu(display("the head of the request has more than {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The head did not come in time.
    #[snafu(display("the head of the request did not come within {millis} ms"))]
    TooSlow {
        /// Limit in milliseconds.
        millis: u128,
    },
    /// The head is not HTTP/1.1.
    #[snafu(display("the head of the request is malformed: {reason}"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
}

impl HeadFault {
    /// HTTP status that tells the fault.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooManyConnections => StatusCode::ServiceUnavailable,
            Self::TooLarge { .. } => StatusCode::RequestHeaderFieldsTooLarge,
            Self::TooSlow { .. } => StatusCode::RequestTimeout,
            Self::Malformed { .. } => StatusCode::BadRequest,
        }
    }

    fn malformed(reason: impl Into<String>) -> Self {
        Self::Malformed {
            reason: reason.into(),
        }
    }
}

/// What the head says of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is none.
    None,
    /// This many bytes.
    Length(u64),
    /// Chunks up to an empty one.
    Chunked,
}

/// What is known of a request before it is decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Its bytes, up to and with the empty line.
    pub bytes: Vec<u8>,
    /// Framing of its body.
    pub framing: BodyFraming,
    /// The caller waits for "100 Continue" before it sends the body.
    pub expects_continue: bool,
    /// The caller wants the connection closed after the answer.
    pub closes: bool,
}

/// What came instead of, or as, a head.
#[derive(Debug)]
pub enum HeadRead {
    /// A head.
    Head(RequestHead),
    /// The caller closed the connection, or left it idle for too long.
    Closed,
    /// A head that gets a refusal.
    Fault(HeadFault),
}

/// Reads the next head from the connection; bytes after it stay in the stream's buffer.
pub async fn read_head(stream: &mut ReplayStream, limits: &ServerLimits) -> HeadRead {
    if stream.look(<[u8]>::is_empty) {
        let first = within(limits.idle_time, fill(stream)).await;
        if !matches!(first, Some(Ok(count)) if count > 0) {
            return HeadRead::Closed;
        }
    }
    match within(limits.head_time, complete(stream, limits)).await {
        Some(read) => read,
        None => HeadRead::Fault(HeadFault::TooSlow {
            millis: limits.head_time.as_millis(),
        }),
    }
}

async fn fill(stream: &mut ReplayStream) -> std::io::Result<usize> {
    let mut piece = [0; READ_BYTES];
    let count = stream.raw().read(&mut piece).await?;
    stream.push_buffered(&piece[..count]);
    Ok(count)
}

async fn complete(stream: &mut ReplayStream, limits: &ServerLimits) -> HeadRead {
    loop {
        if let Some(end) = stream.look(head_end) {
            if end > limits.head_bytes {
                return too_large(limits);
            }
            let bytes = stream.take_buffered(end);
            return match inspect(bytes) {
                Ok(head) => HeadRead::Head(head),
                Err(fault) => HeadRead::Fault(fault),
            };
        }
        if stream.look(<[u8]>::len) > limits.head_bytes {
            return too_large(limits);
        }
        match fill(stream).await {
            Ok(count) if count > 0 => {}
            Ok(_) | Err(_) => return HeadRead::Closed,
        }
    }
}

fn too_large(limits: &ServerLimits) -> HeadRead {
    HeadRead::Fault(HeadFault::TooLarge {
        limit: limits.head_bytes,
    })
}

fn head_end(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(end + 4)
}

/// Checks a whole head.
fn inspect(bytes: Vec<u8>) -> Result<RequestHead, HeadFault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed
        .parse(&bytes)
        .map_err(|error| HeadFault::malformed(error.to_string()))?;
    if parsed.version != Some(1) {
        return Err(HeadFault::malformed("only HTTP/1.1 is spoken here"));
    }
    check_target(parsed.path)?;
    check_values(parsed.headers)?;
    let headers = HeadLines(parsed.headers);
    check_host(headers)?;
    let framing = framing(headers)?;
    let expects_continue = headers.has_token("expect", "100-continue");
    let closes = headers.has_token("connection", "close");
    Ok(RequestHead {
        bytes,
        framing,
        expects_continue,
        closes,
    })
}

fn check_target(path: Option<&str>) -> Result<(), HeadFault> {
    match path {
        Some(path) if path.starts_with('/') => Ok(()),
        _ => Err(HeadFault::malformed("the target must be a path")),
    }
}

/// The decoder panics on a value outside ASCII: one caller could end the requests of all others
/// on its thread.
fn check_values(headers: &[httparse::Header<'_>]) -> Result<(), HeadFault> {
    match headers.iter().find(|header| !header.value.is_ascii()) {
        Some(header) => {
            let reason = format!("the header {} holds bytes outside ASCII", header.name);
            Err(HeadFault::malformed(reason))
        }
        None => Ok(()),
    }
}

fn check_host(headers: HeadLines<'_>) -> Result<(), HeadFault> {
    let mut hosts = headers.values("host");
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(HeadFault::malformed("exactly one Host header is needed"));
    };
    let host = std::str::from_utf8(host).unwrap_or_default();
    let is_host = !host.is_empty()
        && host
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_' | ':' | '[' | ']'))
        && http_types::Url::parse(&format!("http://{host}/")).is_ok();
    if is_host {
        Ok(())
    } else {
        Err(HeadFault::malformed("the Host header names no host"))
    }
}

/// Two lengths, or a length beside chunks, are read differently by different programs: what one
/// takes for the body of a request another takes for a second request. Both are refused.
fn framing(headers: HeadLines<'_>) -> Result<BodyFraming, HeadFault> {
    let mut codings = headers.values("transfer-encoding");
    let mut lengths = headers.values("content-length");
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(BodyFraming::None),
        (Some(_), Some(_)) => {
            let reason = "Content-Length and Transfer-Encoding exclude each other";
            Err(HeadFault::malformed(reason))
        }
        (Some(coding), None) => {
            let chunked = coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
            chunked
                .then_some(BodyFraming::Chunked)
                .ok_or_else(|| HeadFault::malformed("the only transfer coding is chunked"))
        }
        (None, Some(length)) => {
            if lengths.next().is_some() {
                return Err(HeadFault::malformed("more than one Content-Length"));
            }
            parse_length(length)
        }
    }
}

fn parse_length(value: &[u8]) -> Result<BodyFraming, HeadFault> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let length = std::str::from_utf8(value)
        .ok()
        .filter(|_| digits)
        .and_then(|text| text.parse().ok());
    length
        .map(BodyFraming::Length)
        .ok_or_else(|| HeadFault::malformed("Content-Length is not a number"))
}

/// Header lines of one head.
#[derive(Clone, Copy)]
struct HeadLines<'a>(&'a [httparse::Header<'a>]);

impl<'a> HeadLines<'a> {
    fn values(self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let lines = self.0.iter();
        lines
            .filter(move |line| line.name.eq_ignore_ascii_case(name))
            .map(|line| line.value)
    }

    fn has_token(self, name: &'a str, token: &str) -> bool {
        self.values(name).any(|value| {
            let mut tokens = value.split(|byte| *byte == b',');
            tokens.any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }
}
