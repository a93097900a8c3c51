//! Buffered reading from a TCP connection.

use super::{
    frames::FrameDecoder,
    head::{HeadError, ResponseHead},
    limit::InputLimit,
};
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, future};
use std::{
    cell::Cell,
    io,
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
};

/// Size of one read in bytes.
const READ_BUFFER_BYTES: usize = 16_384;
/// Maximum size of a response head in bytes.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 65_536;
/// Maximum number of interim responses (status 1xx) before a final one.
const MAX_INTERIM_HEADS: usize = 16;
/// Bytes after which a reader lets other tasks run. A sender that is never slower than this process
/// would otherwise keep the only thread: neither time-outs nor other connections would be served.
const YIELD_BYTES: usize = 262_144;

/// Bytes that this process has read from connections of callers and upstreams.
static LOAD_BYTES_READ: AtomicU64 = AtomicU64::new(0);

/// Returns the number of bytes that this process has read from connections of callers and
/// upstreams.
#[must_use]
pub fn bytes_read() -> u64 {
    LOAD_BYTES_READ.load(Ordering::Relaxed)
}

/// Failure that the writer of a connection has met, shared with its reader.
///
/// The kernel reports a failure to whichever half asks first. The other half then sees the connection end
/// in order, which would complete a body that ends with its connection.
#[derive(Debug, Clone, Default)]
pub struct WriteFailure(Rc<Cell<Option<io::ErrorKind>>>);

impl WriteFailure {
    /// Records why a write failed. A broken pipe is no failure of the connection: the peer has closed its
    /// half in order before.
    pub fn record(&self, error: &io::Error) {
        if error.kind() != io::ErrorKind::BrokenPipe {
            self.0.set(Some(error.kind()));
        }
    }

    /// Checks that a connection that seems to have ended in order has.
    ///
    /// # Errors
    ///
    /// Returns the failure that the writer has met.
    pub fn check_end(&self) -> io::Result<()> {
        self.0.get().map_or(Ok(()), |kind| Err(kind.into()))
    }
}

/// A connection with a buffer of bytes that were read and not yet consumed.
///
/// All methods are safe to cancel: bytes that were read stay in the buffer.
#[derive(Debug)]
pub struct ByteReader {
    stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
    scratch: Box<[u8]>,
    /// Bytes read count towards the load of this daemon.
    counts_as_load: bool,
    /// Decoder of a connection on which a peer relays bytes in frames.
    frames: Option<FrameDecoder>,
    /// Bytes read since other tasks could last run.
    unyielded: usize,
    write_failure: WriteFailure,
}

impl ByteReader {
    /// Wraps a connection of a caller or to an upstream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            start: 0,
            scratch: vec![0; READ_BUFFER_BYTES].into_boxed_slice(),
            counts_as_load: true,
            frames: None,
            unyielded: 0,
            write_failure: WriteFailure::default(),
        }
    }

    /// Wraps a connection on which a peer relays the bytes of an upstream in frames.
    #[must_use]
    pub fn framed(stream: TcpStream) -> Self {
        Self {
            frames: Some(FrameDecoder::default()),
            ..Self::new(stream)
        }
    }

    /// Wraps a connection whose bytes do not count towards the load of this daemon.
    #[must_use]
    pub fn new_uncounted(stream: TcpStream) -> Self {
        Self {
            counts_as_load: false,
            ..Self::new(stream)
        }
    }

    #[must_use]
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns where the writer of this connection records its failure.
    #[must_use]
    pub fn write_failure(&self) -> WriteFailure {
        self.write_failure.clone()
    }

    /// Returns the bytes that were read and not yet consumed.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Discards bytes from the front of the buffer.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        }
    }

    /// Reads more bytes; returns zero when the peer closed the connection in an orderly way.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.start > READ_BUFFER_BYTES {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        // The peer may reset the connection after the last frame, as it has not read the whole request.
        if self.frames.as_ref().is_some_and(FrameDecoder::has_ended) {
            return Ok(0);
        }
        loop {
            let count = self.stream.read(&mut self.scratch).await?;
            if count == 0 {
                self.write_failure.check_end()?;
            }
            if self.counts_as_load {
                LOAD_BYTES_READ.fetch_add(count as u64, Ordering::Relaxed);
            }
            let received = &self.scratch[..count];
            let Some(frames) = &mut self.frames else {
                self.buffer.extend_from_slice(received);
                self.yield_after(count).await;
                return Ok(count);
            };
            if count == 0 && !frames.has_ended() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let content = frames.decode(received, &mut self.buffer)?;
            let is_read = content > 0 || frames.has_ended();
            self.yield_after(count).await;
            if is_read {
                return Ok(content);
            }
        }
    }

    /// Lets other tasks run after `YIELD_BYTES`. The bytes read are already in the buffer, so a
    /// caller that is cancelled here loses none.
    async fn yield_after(&mut self, count: usize) {
        self.unyielded += count;
        if self.unyielded >= YIELD_BYTES {
            self.unyielded = 0;
            future::yield_now().await;
        }
    }

    /// Removes and returns the bytes before `end`.
    pub fn take(&mut self, end: usize) -> Vec<u8> {
        let head = self.bytes()[..end].to_vec();
        self.consume(end);
        head
    }
}

/// Search for the end of a head that continues where the last one ended, so that a head that arrives
/// in single bytes takes time linear in its length.
#[derive(Debug, Default)]
pub struct HeadSearch {
    /// Bytes in which the end does not begin.
    searched: usize,
}

impl HeadSearch {
    /// Returns the length of the head at the start of `bytes` once it is complete. Each call passes
    /// the bytes of the last one, and those received since.
    pub fn end(&mut self, bytes: &[u8]) -> Option<usize> {
        const HEAD_END: &[u8] = b"\r\n\r\n";
        let unsearched = &bytes[self.searched.min(bytes.len())..];
        let found = unsearched
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        if let Some(start) = found {
            return Some(self.searched + start + HEAD_END.len());
        }
        self.searched = bytes.len().saturating_sub(HEAD_END.len() - 1);
        None
    }
}

/// Reads the head of the final response after at most `MAX_INTERIM_HEADS` interim ones.
///
/// # Errors
///
/// Returns an error when the connection fails or ends early, or the bytes are not the head of a
/// response within the limits.
pub async fn read_final_head(reader: &mut ByteReader) -> io::Result<ResponseHead> {
    for _ in 0..=MAX_INTERIM_HEADS {
        let head = read_response_head(reader).await?;
        if head.status >= 200 {
            return Ok(head);
        }
    }
    Err(InputLimit::InterimHeads.into())
}

/// Reads the head of a response.
///
/// # Errors
///
/// Returns an error when the connection fails or ends early, or the bytes are not a response head.
async fn read_response_head(reader: &mut ByteReader) -> io::Result<ResponseHead> {
    let mut search = HeadSearch::default();
    loop {
        if let Some(end) = search.end(reader.bytes()) {
            if end > MAX_RESPONSE_HEAD_BYTES {
                return Err(InputLimit::Head.into());
            }
            let bytes = reader.take(end);
            return ResponseHead::parse(&bytes).map_err(invalid);
        }
        // Bytes that can't begin a response are rejected at once: waiting for the end of a head
        // could take forever.
        let begins = reader
            .bytes()
            .iter()
            .zip(b"HTTP/1.")
            .all(|(got, want)| got == want);
        if !begins {
            return Err(invalid(HeadError::Malformed {
                reason: "the bytes received are not an HTTP response",
            }));
        }
        if reader.bytes().len() > MAX_RESPONSE_HEAD_BYTES {
            return Err(InputLimit::Head.into());
        }
        if reader.fill().await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn invalid(error: HeadError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
