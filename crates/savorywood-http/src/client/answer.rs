//! An answer whose body is an error unless it is whole.

use super::pool::PoolReturn;
use crate::waiting::{WaitFlag, read_awake};
use http_types::{Response, StatusCode};
use std::io;

/// An answer of which the head was read.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Status and headers.
    pub head: Response,
    /// The rest.
    pub body: AnswerBody,
}

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    /// There is no body.
    Empty,
    /// After this many more bytes.
    Remaining(u64),
    /// At the empty chunk; the decoder says so.
    Chunked,
    /// Not at all: whatever comes may be cut off.
    Unknown,
}

/// Body of an answer, read piece by piece.
#[derive(Debug)]
pub struct AnswerBody {
    reader: http_types::Body,
    end: BodyEnd,
    flag: WaitFlag,
    lease: Option<PoolReturn>,
}

impl UpstreamAnswer {
    pub(super) fn new(
        mut head: Response,
        is_head: bool,
        flag: WaitFlag,
        lease: PoolReturn,
    ) -> Self {
        let end = body_end(&head, is_head);
        let keeps = !head.header("connection").is_some_and(|value| {
            let value = value.as_str();
            value.eq_ignore_ascii_case("close")
        });
        let reader = head.take_body();
        let lease = keeps.then_some(lease);
        let mut body = AnswerBody {
            reader,
            end,
            flag,
            lease,
        };
        if end == BodyEnd::Empty {
            body.give_back();
        }
        Self { head, body }
    }

    /// Status code as a number.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.head.status().into()
    }

    /// Value of a header, the first when there are several.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let values = self.head.header(name)?;
        values.get(0).map(http_types::headers::HeaderValue::as_str)
    }
}

/// Reads how the body is framed, from the headers themselves: the decoder gives an answer without
/// length or chunks, or with a coding that it does not know, an empty body. Taken as it is, a
/// caller would get nothing, with a clean end, for an answer that was cut or sent until the
/// connection closes, and the rest of it would be read as the answer to the next request.
fn body_end(head: &Response, is_head: bool) -> BodyEnd {
    let status = head.status();
    // An interim answer is followed by another one: it has no end of its own.
    if status.is_informational() {
        return BodyEnd::Unknown;
    }
    let bodiless = matches!(status, StatusCode::NoContent | StatusCode::NotModified);
    if is_head || bodiless {
        return BodyEnd::Empty;
    }
    let codings = header_values(head, "transfer-encoding");
    let lengths = header_values(head, "content-length");
    match (&codings[..], &lengths[..]) {
        (["chunked"], []) => BodyEnd::Chunked,
        ([], [length]) => length
            .parse()
            .map_or(BodyEnd::Unknown, |length| match length {
                0 => BodyEnd::Empty,
                length => BodyEnd::Remaining(length),
            }),
        _ => BodyEnd::Unknown,
    }
}

fn header_values<'a>(head: &'a Response, name: &str) -> Vec<&'a str> {
    let values = head.header(name).into_iter().flatten();
    values
        .map(http_types::headers::HeaderValue::as_str)
        .collect()
}

impl AnswerBody {
    /// Reads some bytes; zero means that the body was whole.
    ///
    /// # Errors
    ///
    /// When the connection breaks or the body ends early. The decoder reads a body cut short
    /// under `Content-Length` as a clean end; counting against the announced length keeps a
    /// caller from getting half an answer as a whole one.
    pub async fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if self.end == BodyEnd::Empty || buf.is_empty() {
            return Ok(0);
        }
        if self.end == BodyEnd::Unknown {
            let reason = "the answer has neither length nor chunks";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        let count = read_awake(&mut self.reader, &self.flag, buf).await?;
        match (&mut self.end, count) {
            (BodyEnd::Remaining(rest), 0) => {
                let reason = format!("the answer was cut off, {rest} bytes before its end");
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, reason));
            }
            (BodyEnd::Remaining(rest), count) => {
                *rest = rest.saturating_sub(count as u64);
                if *rest == 0 {
                    self.end = BodyEnd::Empty;
                    self.give_back();
                }
            }
            (BodyEnd::Chunked, 0) => {
                self.end = BodyEnd::Empty;
                self.give_back();
            }
            _ => {}
        }
        Ok(count)
    }

    /// Bytes announced for the whole body, if a length was.
    #[must_use]
    pub fn announced(&self) -> Option<usize> {
        self.reader.len()
    }

    /// Whether the body was read whole.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.end == BodyEnd::Empty
    }

    fn give_back(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.keep();
        }
    }
}

/// Reads a reader to its end within a bound on its bytes.
pub(super) async fn read_whole(body: &mut AnswerBody, limit: usize) -> io::Result<Vec<u8>> {
    let mut whole = Vec::new();
    let mut piece = vec![0; 16_384];
    loop {
        let count = body.read(&mut piece).await?;
        if count == 0 {
            return Ok(whole);
        }
        whole.extend_from_slice(&piece[..count]);
        if whole.len() > limit {
            let reason = format!("the answer has more than {limit} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
    }
}
