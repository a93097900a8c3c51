//! Answers, read piece by piece or whole.

use serde_json::Value;
use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// How the rest of a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyRest {
    /// This many bytes are left.
    Length(usize),
    /// This many bytes of the chunk are left; the next chunk follows.
    Chunk(usize),
    /// The first chunk follows.
    FirstChunk,
    /// Until the connection is closed; such an answer can't be told from a broken one.
    Close,
    /// Nothing is left.
    End,
}

/// One header of an answer.
#[derive(Debug, Clone)]
struct ReplyHeader {
    name: String,
    value: String,
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct TestStream {
    status: u16,
    headers: Vec<ReplyHeader>,
    reader: BufReader<TcpStream>,
    rest: BodyRest,
}

/// What came of a body, and whether it ended properly.
#[derive(Debug)]
pub struct PartialBody {
    /// Bytes that came.
    pub bytes: Vec<u8>,
    /// Its end: proper, or what broke it.
    pub end: io::Result<()>,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct TestReply {
    status: u16,
    headers: Vec<ReplyHeader>,
    /// The body.
    pub body: Vec<u8>,
}

impl TestStream {
    pub(super) fn read_head(stream: TcpStream) -> io::Result<Self> {
        let mut reader = BufReader::new(stream);
        let status = read_status(&mut reader)?;
        let mut headers = Vec::new();
        loop {
            let line = read_line(&mut reader)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or_else(|| bad("header line"))?;
            headers.push(ReplyHeader {
                name: name.to_ascii_lowercase(),
                value: value.trim().to_owned(),
            });
        }
        let rest = body_rest(status, &headers)?;
        Ok(Self {
            status,
            headers,
            reader,
            rest,
        })
    }

    /// HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.status
    }

    /// First value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Reads some bytes of the body; zero at its proper end.
    ///
    /// # Errors
    ///
    /// The answer broke before its proper end, or nothing came in time.
    pub fn read_some(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.rest {
                BodyRest::End => return Ok(0),
                BodyRest::Close => return self.reader.read(buffer),
                BodyRest::FirstChunk => self.rest = self.next_chunk()?,
                BodyRest::Chunk(0) => {
                    read_line(&mut self.reader)?;
                    self.rest = self.next_chunk()?;
                }
                BodyRest::Chunk(left) => {
                    let count = self.read_bounded(buffer, left)?;
                    self.rest = BodyRest::Chunk(left - count);
                    return Ok(count);
                }
                BodyRest::Length(0) => self.rest = BodyRest::End,
                BodyRest::Length(left) => {
                    let count = self.read_bounded(buffer, left)?;
                    self.rest = BodyRest::Length(left - count);
                    return Ok(count);
                }
            }
        }
    }

    /// Reads at least `count` bytes of the body, or all of it.
    ///
    /// # Errors
    ///
    /// As [`read_some`](Self::read_some).
    pub fn read_at_least(&mut self, count: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let mut piece = [0; 4_096];
        while bytes.len() < count {
            match self.read_some(&mut piece)? {
                0 => break,
                read => bytes.extend_from_slice(&piece[..read]),
            }
        }
        Ok(bytes)
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// As [`read_some`](Self::read_some).
    pub fn read_rest(&mut self) -> io::Result<Vec<u8>> {
        self.read_at_least(usize::MAX)
    }

    /// Reads the rest of the body as far as it comes.
    pub fn read_until_break(&mut self) -> PartialBody {
        let mut bytes = Vec::new();
        let mut piece = [0; 4_096];
        loop {
            match self.read_some(&mut piece) {
                Ok(0) => return PartialBody { bytes, end: Ok(()) },
                Ok(read) => bytes.extend_from_slice(&piece[..read]),
                Err(error) => {
                    let end = Err(error);
                    return PartialBody { bytes, end };
                }
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// As [`read_some`](Self::read_some).
    pub fn into_reply(mut self) -> io::Result<TestReply> {
        let body = self.read_rest()?;
        Ok(TestReply {
            status: self.status,
            headers: self.headers,
            body,
        })
    }

    fn read_bounded(&mut self, buffer: &mut [u8], left: usize) -> io::Result<usize> {
        let size = buffer.len().min(left);
        match self.reader.read(&mut buffer[..size])? {
            0 => Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "answer cut short",
            )),
            count => Ok(count),
        }
    }

    fn next_chunk(&mut self) -> io::Result<BodyRest> {
        let line = read_line(&mut self.reader)?;
        let size = line.split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| bad("chunk size"))?;
        if size > 0 {
            return Ok(BodyRest::Chunk(size));
        }
        // Trailers, up to the empty line.
        while !read_line(&mut self.reader)?.is_empty() {}
        Ok(BodyRest::End)
    }
}

impl TestReply {
    /// HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.status
    }

    /// First value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// The body as text; bytes that are none are replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON; `null` when it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

fn find_header<'a>(headers: &'a [ReplyHeader], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str())
}

fn body_rest(status: u16, headers: &[ReplyHeader]) -> io::Result<BodyRest> {
    if status == 204 || status == 304 {
        return Ok(BodyRest::End);
    }
    if find_header(headers, "transfer-encoding") == Some("chunked") {
        return Ok(BodyRest::FirstChunk);
    }
    match find_header(headers, "content-length") {
        Some(length) => match length.parse() {
            Ok(length) => Ok(BodyRest::Length(length)),
            Err(_) => Err(bad("length")),
        },
        None => Ok(BodyRest::Close),
    }
}

fn read_status(reader: &mut BufReader<TcpStream>) -> io::Result<u16> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
    status.ok_or_else(|| bad("status line"))
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    match line.strip_suffix("\r\n") {
        Some(line) => Ok(line.to_owned()),
        None => Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "answer cut short",
        )),
    }
}

fn bad(part: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("bad {part}"))
}
