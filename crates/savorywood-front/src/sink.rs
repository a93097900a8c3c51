//! Writes a response to the caller's connection.

use crate::wire::HeaderLine;
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
}

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

    /// Writes the head of a stream together with its first events.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller's connection fails.
    pub async fn start_stream(
        &mut self,
        status: u16,
        reason: &str,
        lines: &[HeaderLine],
        events: &[u8],
    ) -> io::Result<()> {
        let mut head = self.head(status, reason, lines);
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        let mut bytes = head.into_bytes();
        push_chunk(&mut bytes, events);
        self.started.set(true);
        self.write(&bytes).await
    }

    /// Writes further events of the stream as one chunk.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller's connection fails.
    pub async fn write_events(&mut self, events: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(events.len() + 16);
        push_chunk(&mut bytes, events);
        self.write(&bytes).await
    }

    /// Ends the stream with the final chunk, which marks it as complete.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller's connection fails.
    pub async fn end_stream(&mut self) -> io::Result<()> {
        self.write(b"0\r\n\r\n").await
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
