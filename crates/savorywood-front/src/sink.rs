//! Writes a response to the caller's connection.

use crate::{
    held::{HeldCharge, ResponseBody},
    wire::HeaderLine,
};
use async_net::TcpStream;
use futures_lite::AsyncWriteExt;
use std::{cell::Cell, fmt::Write, io, rc::Rc};

/// The response to one request of a caller.
#[derive(Debug)]
pub struct ResponseSink {
    stream: TcpStream,
    /// The connection is closed after this response.
    pub closes_connection: bool,
    /// A byte of the response was written.
    started: Rc<Cell<bool>>,
    last_event_id: Option<String>,
    events: u32,
    /// A write is in progress: ending the attempt now would leave a truncated chunk.
    writing: Rc<Cell<bool>>,
    /// Bytes of a stream that are not written yet.
    unwritten: Vec<u8>,
    /// Bytes of `unwritten` that were written.
    written: usize,
    /// The upstream's response is complete and was reported to the gateway, but not all of it is
    /// written.
    pub delivering: Rc<Cell<bool>>,
    /// The response ends because its memory is needed otherwise.
    pub is_cut: bool,
    /// A response that is not a stream is written before it is complete, so that no other attempt can
    /// continue it.
    pub is_passed_on: bool,
}

/// Written bytes of a stream after which the rest is moved to the front of its buffer.
const COMPACT_BYTES: usize = 65_536;

impl ResponseSink {
    #[must_use]
    pub fn new(stream: TcpStream, closes_connection: bool) -> Self {
        Self {
            stream,
            closes_connection,
            started: Rc::default(),
            last_event_id: None,
            events: 0,
            writing: Rc::default(),
            unwritten: Vec::new(),
            written: 0,
            delivering: Rc::default(),
            is_cut: false,
            is_passed_on: false,
        }
    }

    /// Returns a flag that is set while bytes are being written.
    #[must_use]
    pub fn writing(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.writing)
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writing.set(true);
        let written = self.stream.write_all(bytes).await;
        self.writing.set(false);
        written
    }

    /// Reports whether any byte of the response was written.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.started.get()
    }

    /// Returns a flag that is set once any byte of the response was written.
    #[must_use]
    pub fn started(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.started)
    }

    /// Returns the id of the last event forwarded to the caller.
    #[must_use]
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// Returns the number of events forwarded to the caller.
    #[must_use]
    pub fn events(&self) -> u32 {
        self.events
    }

    fn head(&self, status: u16, reason: &str, lines: &[HeaderLine]) -> String {
        let mut head = format!("HTTP/1.1 {status} {reason}\r\n");
        for line in lines {
            let written = write!(head, "{}: {}\r\n", line.name, line.value);
            debug_assert!(written.is_ok());
        }
        if self.closes_connection {
            head.push_str("Connection: close\r\n");
        }
        head
    }

    /// Writes a complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller's connection fails.
    pub async fn write_response(
        &mut self,
        status: u16,
        reason: &str,
        lines: &[HeaderLine],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = self.head(status, reason, lines);
        if !matches!(status, 204 | 304) {
            let written = write!(head, "Content-Length: {}\r\n", body.len());
            debug_assert!(written.is_ok());
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.started.set(true);
        self.write(&bytes).await
    }

    /// Writes a complete response whose body is held, and releases the memory of what was written.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller's connection fails.
    pub async fn write_held(
        &mut self,
        status: u16,
        reason: &str,
        lines: &[HeaderLine],
        body: &mut ResponseBody,
    ) -> io::Result<()> {
        let mut head = self.head(status, reason, lines);
        if !matches!(status, 204 | 304) {
            let written = write!(head, "Content-Length: {}\r\n", body.len());
            debug_assert!(written.is_ok());
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend(body.next_segment().unwrap_or_default());
        self.started.set(true);
        self.writing.set(true);
        body.charge().begin_delivery();
        loop {
            let mut rest = bytes.as_slice();
            while !rest.is_empty() {
                let count = write_some(&mut self.stream, rest).await?;
                body.charge().shrink(count);
                rest = &rest[count..];
            }
            match body.next_segment() {
                Some(segment) => bytes = segment,
                None => break,
            }
        }
        self.writing.set(false);
        Ok(())
    }

    /// Appends the head of a stream to what is to be written.
    pub fn queue_stream_head(&mut self, status: u16, reason: &str, lines: &[HeaderLine]) {
        let mut head = self.head(status, reason, lines);
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        self.started.set(true);
        self.writing.set(true);
        self.unwritten.extend_from_slice(head.as_bytes());
    }

    /// Appends the head of a response that is passed on before it is complete. Without a length, its
    /// body is written in chunks.
    pub fn queue_passed_head(
        &mut self,
        status: u16,
        reason: &str,
        lines: &[HeaderLine],
        length: Option<u64>,
    ) {
        let mut head = self.head(status, reason, lines);
        match length {
            Some(length) => head.push_str(&format!("Content-Length: {length}\r\n\r\n")),
            None => head.push_str("Transfer-Encoding: chunked\r\n\r\n"),
        }
        self.started.set(true);
        self.writing.set(true);
        self.is_passed_on = true;
        self.unwritten.extend_from_slice(head.as_bytes());
    }

    /// Appends a part of a body with a length to what is to be written.
    pub fn queue_bytes(&mut self, bytes: &[u8]) {
        self.unwritten.extend_from_slice(bytes);
    }

    /// Appends events of a stream, as one chunk, to what is to be written.
    pub fn queue_events(&mut self, events: &[u8]) {
        self.writing.set(true);
        push_chunk(&mut self.unwritten, events);
    }

    /// Appends the final chunk, which marks a stream as complete, to what is to be written.
    pub fn queue_stream_end(&mut self) {
        self.writing.set(true);
        self.unwritten.extend_from_slice(b"0\r\n\r\n");
    }

    /// Returns the number of queued bytes that are not written yet.
    #[must_use]
    pub fn unwritten_bytes(&self) -> usize {
        self.unwritten.len() - self.written
    }

    /// Writes some of the queued bytes; returns at once if there are none. Bytes stay queued if the
    /// call is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller's connection fails.
    pub async fn flush_some(&mut self) -> io::Result<()> {
        if self.unwritten_bytes() > 0 {
            self.written += write_some(&mut self.stream, &self.unwritten[self.written..]).await?;
        }
        if self.unwritten_bytes() == 0 {
            self.unwritten.clear();
            self.written = 0;
            self.writing.set(false);
        } else if self.written >= COMPACT_BYTES {
            self.unwritten.drain(..self.written);
            self.written = 0;
        }
        Ok(())
    }

    /// Writes all queued bytes and releases their memory.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller's connection fails.
    pub async fn flush(&mut self, charge: &HeldCharge) -> io::Result<()> {
        while self.unwritten_bytes() > 0 {
            let before = self.unwritten_bytes();
            self.flush_some().await?;
            charge.shrink(before - self.unwritten_bytes());
        }
        Ok(())
    }

    /// Records an event that is forwarded to the caller.
    pub fn record_event(&mut self, id: Option<String>) {
        self.events += 1;
        if id.is_some() {
            self.last_event_id = id;
        }
    }
}

fn push_chunk(bytes: &mut Vec<u8>, piece: &[u8]) {
    if piece.is_empty() {
        return;
    }
    bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    bytes.extend_from_slice(piece);
    bytes.extend_from_slice(b"\r\n");
}

/// Writes at least one byte.
async fn write_some(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<usize> {
    match stream.write(bytes).await? {
        0 => Err(io::ErrorKind::WriteZero.into()),
        count => Ok(count),
    }
}
