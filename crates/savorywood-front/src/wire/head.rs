//! Parsing of HTTP/1.1 request and response heads.

use snafu::Snafu;
use std::{ops::RangeInclusive, time::Duration};

/// Maximum number of header lines in a head.
const MAX_HEADERS: usize = 96;

/// Status codes of the five classes of HTTP.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;
/// Status code after which a connection carries another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// One header line of a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderLine {
    /// Name in the case in which it was sent.
    pub name: String,
    /// Value without leading and trailing white space.
    pub value: String,
}

impl HeaderLine {
    /// Creates a header line from a name and a value, both unchecked.
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            value: value.into(),
        }
    }
}

/// Header lines in the order in which they were sent; names compare without regard to case.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeaderList(Vec<HeaderLine>);

impl HeaderList {
    /// Returns the value of the first line with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let line = self
            .0
            .iter()
            .find(|line| line.name.eq_ignore_ascii_case(name));
        line.map(|line| line.value.as_str())
    }

    /// Returns the values of all lines with this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let lines = self.0.iter();
        lines
            .filter(move |line| line.name.eq_ignore_ascii_case(name))
            .map(|line| line.value.as_str())
    }

    /// Iterates over all lines in order.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderLine> {
        self.0.iter()
    }

    /// Reports whether a comma-separated header contains a token, without regard to case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// No body.
    Empty,
    /// Body of this many bytes.
    Length(u64),
    /// Chunked coding, ended by the chunk of size zero.
    Chunked,
    /// Body that ends when the connection is closed in an orderly way; a reset is an error.
    UntilClose,
}

/// A head could not be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// The head exceeds the size limit.
    #[snafu(display("the head exceeds the size limit"))]
    TooLarge,
    /// The head is not HTTP/1.1, or is ambiguous.
    #[snafu(display("{reason}"))]
    Malformed {
        /// Rule that the head violates.
        reason: &'static str,
    },
}

const fn malformed(reason: &'static str) -> HeadError {
    HeadError::Malformed { reason }
}

/// Reports whether a header applies to one connection only and must not be forwarded.
#[must_use]
pub fn is_hop_by_hop_header(name: &str) -> bool {
    const HOP_HEADERS: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// Parsed head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method as sent; any token is accepted.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// All header lines, including hop-by-hop headers.
    pub headers: HeaderList,
    /// Framing of the request body.
    pub framing: BodyFraming,
    /// The caller asked to close the connection after the response.
    pub closes_connection: bool,
    /// The caller waits for an interim `100 Continue` response before it sends the body.
    pub expects_continue: bool,
}

impl RequestHead {
    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of a query parameter, without percent-decoding.
    #[must_use]
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Parses a complete head, up to and including its empty line.
    ///
    /// # Errors
    ///
    /// Returns an error when the head is malformed or ambiguous. Ambiguous heads are rejected
    /// because an upstream could take the body of one request for a second request (request
    /// smuggling).
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        check_line_ends(bytes)?;
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut lines);
        let status = parsed.parse(bytes);
        if !matches!(status, Ok(httparse::Status::Complete(_))) {
            return Err(malformed("the head is not valid HTTP"));
        }
        if parsed.version != Some(1) {
            return Err(malformed("only HTTP/1.1 is supported"));
        }
        let target = parsed.path.unwrap_or_default();
        if !target.starts_with('/') {
            return Err(malformed("the request target must start with a slash"));
        }
        let headers = collect(parsed.headers)?;
        if headers.all("host").count() != 1 {
            return Err(malformed("exactly one Host header is required"));
        }
        let framing = request_framing(&headers)?;
        Ok(Self {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: target.to_owned(),
            framing,
            closes_connection: headers.has_token("connection", "close"),
            expects_continue: headers.has_token("expect", "100-continue"),
            headers,
        })
    }
}

/// Parsed head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// All header lines, including hop-by-hop headers.
    pub headers: HeaderList,
    /// Framing of the response body.
    pub framing: BodyFraming,
    /// The connection can't be used again after this response.
    pub closes_connection: bool,
    /// Idle timeout of the connection that the upstream announced; `None` when it did not.
    pub keep_alive: Option<Duration>,
}

impl ResponseHead {
    /// Parses a complete head, up to and including its empty line.
    ///
    /// # Errors
    ///
    /// Returns an error when the head is malformed.
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut lines);
        let status = parsed.parse(bytes);
        if !matches!(status, Ok(httparse::Status::Complete(_))) {
            return Err(malformed("the head is not valid HTTP"));
        }
        let headers = collect(parsed.headers)?;
        let status = parsed.code.unwrap_or_default();
        if !STATUS_CODES.contains(&status) {
            return Err(malformed("the status code is not one of HTTP"));
        }
        if status == SWITCHING_PROTOCOLS {
            return Err(malformed("no other protocol was asked for"));
        }
        let framing = response_framing(status, &headers)?;
        let closes = headers.has_token("connection", "close") || parsed.version != Some(1);
        Ok(Self {
            status,
            reason: parsed.reason.unwrap_or_default().to_owned(),
            framing,
            closes_connection: closes || framing == BodyFraming::UntilClose,
            keep_alive: keep_alive(&headers),
            headers,
        })
    }
}

/// Rejects bare carriage returns and line feeds: implementations disagree on whether a bare line
/// feed ends a line.
fn check_line_ends(bytes: &[u8]) -> Result<(), HeadError> {
    let bare = bytes.iter().enumerate().any(|(index, byte)| match byte {
        b'\n' => index == 0 || bytes[index - 1] != b'\r',
        b'\r' => bytes.get(index + 1) != Some(&b'\n'),
        _ => false,
    });
    if bare {
        return Err(malformed(
            "lines must end with carriage return and line feed",
        ));
    }
    Ok(())
}

fn collect(lines: &[httparse::Header<'_>]) -> Result<HeaderList, HeadError> {
    let mut list = Vec::with_capacity(lines.len());
    for line in lines {
        let value = std::str::from_utf8(line.value);
        let value = value.map_err(|_| malformed("a header value is not valid UTF-8"))?;
        list.push(HeaderLine::new(line.name, value.trim()));
    }
    Ok(HeaderList(list))
}

fn request_framing(headers: &HeaderList) -> Result<BodyFraming, HeadError> {
    let mut codings = headers.all("transfer-encoding");
    let mut lengths = headers.all("content-length");
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(BodyFraming::Empty),
        (Some(_), Some(_)) => Err(malformed(
            "Content-Length and Transfer-Encoding exclude each other",
        )),
        (Some(coding), None) => {
            let chunked = coding.eq_ignore_ascii_case("chunked") && codings.next().is_none();
            chunked
                .then_some(BodyFraming::Chunked)
                .ok_or(malformed("the only supported transfer coding is chunked"))
        }
        (None, Some(length)) => {
            if lengths.next().is_some() {
                return Err(malformed("more than one Content-Length"));
            }
            parse_length(length)
        }
    }
}

fn response_framing(status: u16, headers: &HeaderList) -> Result<BodyFraming, HeadError> {
    if matches!(status, 100..=199 | 204 | 304) {
        return Ok(BodyFraming::Empty);
    }
    match request_framing(headers)? {
        BodyFraming::Empty => Ok(BodyFraming::UntilClose),
        framing => Ok(framing),
    }
}

fn parse_length(value: &str) -> Result<BodyFraming, HeadError> {
    let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    let length = value.parse().ok().filter(|_| digits);
    match length.ok_or(malformed("Content-Length is not a number"))? {
        0 => Ok(BodyFraming::Length(0)),
        length => Ok(BodyFraming::Length(length)),
    }
}

fn keep_alive(headers: &HeaderList) -> Option<Duration> {
    let value = headers.get("keep-alive")?;
    let mut parts = value.split(',').filter_map(|part| part.split_once('='));
    let (_, seconds) = parts.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
