//! Heads of messages.

use snafu::Snafu;
use std::time::Duration;

/// Header lines of a head at most.
const MAX_HEADERS: usize = 96;

/// One header line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderLine {
    /// Name as written.
    pub name: String,
    /// Value without surrounding blanks.
    pub value: String,
}

impl HeaderLine {
    /// A line.
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            value: value.into(),
        }
    }
}

/// Header lines in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeaderList(Vec<HeaderLine>);

impl HeaderList {
    /// Value of the first line of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let line = self
            .0
            .iter()
            .find(|line| line.name.eq_ignore_ascii_case(name));
        line.map(|line| line.value.as_str())
    }

    /// Values of all lines of a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let lines = self.0.iter();
        lines
            .filter(move |line| line.name.eq_ignore_ascii_case(name))
            .map(|line| line.value.as_str())
    }

    /// All lines.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderLine> {
        self.0.iter()
    }

    /// A comma-separated list of this name holds a token.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is none.
    Empty,
    /// After this many bytes.
    Length(u64),
    /// At the empty chunk.
    Chunked,
    /// The connection is closed in order; a reset is no end.
    UntilClose,
}

/// What is wrong with a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// It is over the limit.
    #[snafu(display("the head has more bytes than allowed"))]
    TooLarge,
    /// It is not HTTP/1.1, or may be read in two ways.
    #[snafu(display("{reason}"))]
    Malformed {
        /// What is wrong.
        reason: &'static str,
    },
}

const fn malformed(reason: &'static str) -> HeadError {
    HeadError::Malformed { reason }
}

/// Headers that concern one connection only.
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

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// Header lines.
    pub headers: HeaderList,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// The caller closes the connection after the answer.
    pub closes_connection: bool,
    /// The caller waits for "100 Continue" before it sends the body.
    pub expects_continue: bool,
}

impl RequestHead {
    /// Path without query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a parameter of the query.
    #[must_use]
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Reads a whole head.
    ///
    /// # Errors
    ///
    /// What is wrong with it. Whatever two programs might read differently is refused: what one
    /// takes for the body of a request another takes for a second request.
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        check_line_ends(bytes)?;
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut lines);
        let status = parsed.parse(bytes);
        if !matches!(status, Ok(httparse::Status::Complete(_))) {
            return Err(malformed("the head is no HTTP"));
        }
        if parsed.version != Some(1) {
            return Err(malformed("only HTTP/1.1 is spoken here"));
        }
        let target = parsed.path.unwrap_or_default();
        if !target.starts_with('/') {
            return Err(malformed("the target must be a path"));
        }
        let headers = collect(parsed.headers)?;
        if headers.all("host").count() != 1 {
            return Err(malformed("exactly one Host header is needed"));
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

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Text beside the status.
    pub reason: String,
    /// Header lines.
    pub headers: HeaderList,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// The upstream closes the connection after the answer.
    pub closes_connection: bool,
    /// Time for which the upstream keeps an idle connection.
    pub keep_alive: Option<Duration>,
}

impl ResponseHead {
    /// Reads a whole head.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut lines);
        let status = parsed.parse(bytes);
        if !matches!(status, Ok(httparse::Status::Complete(_))) {
            return Err(malformed("the head is no HTTP"));
        }
        let headers = collect(parsed.headers)?;
        let status = parsed.code.unwrap_or_default();
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

/// A line that ends with a bare line feed is the end of a head to some programs only.
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
        let value = value.map_err(|_| malformed("a header value is no text"))?;
        list.push(HeaderLine::new(line.name, value.trim()));
    }
    Ok(HeaderList(list))
}

fn request_framing(headers: &HeaderList) -> Result<BodyFraming, HeadError> {
    let mut codings = headers.all("transfer-encoding");
    let mut lengths = headers.all("content-length");
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(BodyFraming::Empty),
        (Some(_), Some(_)) => Err(malformed("length and chunks exclude each other")),
        (Some(coding), None) => {
            let chunked = coding.eq_ignore_ascii_case("chunked") && codings.next().is_none();
            chunked
                .then_some(BodyFraming::Chunked)
                .ok_or(malformed("the only transfer coding is chunked"))
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
