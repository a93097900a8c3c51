//! Buffered reading from a connection.

use super::head::{HeadError, ResponseHead};
use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use std::{
    io,
    sync::atomic::{AtomicU64, Ordering},
};

/// Bytes read at a time.
const READ_BUFFER_BYTES: usize = 16_384;
/// Largest head of an answer.
const MAX_RESPONSE_HEAD_BYTES: usize = 65_536;

/// Bytes that this process has read from connections of callers and upstreams.
static LOAD_BYTES_READ: AtomicU64 = AtomicU64::new(0);

/// Bytes that this process has read from connections of callers and upstreams.
#[must_use]
pub fn bytes_read() -> u64 {
    LOAD_BYTES_READ.load(Ordering::Relaxed)
}

/// A connection and the bytes of it that were read and not yet used.
///
/// Every method may be dropped while it waits: nothing that was read is lost.
#[derive(Debug)]
pub struct ByteReader {
    stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
    scratch: Box<[u8]>,
    /// What is read is work for callers.
    counts_as_load: bool,
}

impl ByteReader {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            start: 0,
            scratch: vec![0; READ_BUFFER_BYTES].into_boxed_slice(),
            counts_as_load: true,
        }
    }

    /// Wraps a connection whose bytes are no work for callers.
    #[must_use]
    pub fn new_uncounted(stream: TcpStream) -> Self {
        Self {
            counts_as_load: false,
            ..Self::new(stream)
        }
    }

    /// The connection itself.
    #[must_use]
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Bytes read and not yet used.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Uses up bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        }
    }

    /// Reads more; zero at an orderly end.
    ///
    /// # Errors
    ///
    /// When the connection is broken.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.start > READ_BUFFER_BYTES {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        let count = self.stream.read(&mut self.scratch).await?;
        self.buffer.extend_from_slice(&self.scratch[..count]);
        if self.counts_as_load {
            LOAD_BYTES_READ.fetch_add(count as u64, Ordering::Relaxed);
        }
        Ok(count)
    }

    /// End of the head at the front, if it is there whole.
    #[must_use]
    pub fn head_end(&self) -> Option<usize> {
        let end = self
            .bytes()
            .windows(4)
            .position(|window| window == b"\r\n\r\n")?;
        Some(end + 4)
    }

    /// Takes the head at the front.
    pub fn take(&mut self, end: usize) -> Vec<u8> {
        let head = self.bytes()[..end].to_vec();
        self.consume(end);
        head
    }
}

/// Reads the head of an answer.
///
/// # Errors
///
/// When the connection breaks or ends before it, or what came is no answer.
pub async fn read_response_head(reader: &mut ByteReader) -> io::Result<ResponseHead> {
    loop {
        if let Some(end) = reader.head_end() {
            let bytes = reader.take(end);
            return ResponseHead::parse(&bytes).map_err(invalid);
        }
        // Bytes that are no answer need not end: what can't begin one is refused at once.
        let begins = reader
            .bytes()
            .iter()
            .zip(b"HTTP/1.")
            .all(|(got, want)| got == want);
        if !begins {
            return Err(invalid(HeadError::Malformed {
                reason: "what came is no answer",
            }));
        }
        if reader.bytes().len() > MAX_RESPONSE_HEAD_BYTES {
            return Err(invalid(HeadError::TooLarge));
        }
        if reader.fill().await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn invalid(fault: HeadError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, fault)
}
