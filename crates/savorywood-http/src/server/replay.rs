//! A connection whose bytes can be looked at before the decoder reads them.

use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};
use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
};

/// Most bytes that one read gives the decoder when the length of the rest is not known.
const UNBOUNDED: u64 = u64::MAX;

#[derive(Debug, Default)]
struct ReplayState {
    /// Bytes that were read from the connection and not yet handed on.
    buffered: Vec<u8>,
    /// Bytes that the decoder gets before anything else.
    replayed: Vec<u8>,
    /// Bytes after the replayed ones that belong to this request.
    allowed: u64,
}

/// A connection with a buffer in front. Clones share both.
#[derive(Debug, Clone)]
pub struct ReplayStream {
    stream: TcpStream,
    state: Arc<Mutex<ReplayState>>,
}

impl ReplayStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            state: Arc::default(),
        }
    }

    /// The connection itself.
    pub fn raw(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Looks at the bytes read ahead.
    pub fn look<T>(&self, look: impl FnOnce(&[u8]) -> T) -> T {
        look(&self.lock().buffered)
    }

    /// Adds bytes read ahead.
    pub fn push_buffered(&self, bytes: &[u8]) {
        self.lock().buffered.extend_from_slice(bytes);
    }

    /// Takes the first `count` bytes read ahead.
    pub fn take_buffered(&self, count: usize) -> Vec<u8> {
        let mut state = self.lock();
        let rest = state.buffered.split_off(count);
        std::mem::replace(&mut state.buffered, rest)
    }

    /// Gives the decoder this head and then `body` bytes of the connection, or all that comes.
    ///
    /// The decoder reads ahead into a buffer of its own, which it drops with the request. Without
    /// the bound it would swallow the next request of a caller that sends two at once, and that
    /// caller would wait for an answer that never comes.
    pub fn replay(&self, head: &[u8], body: Option<u64>) {
        let mut state = self.lock();
        state.replayed = head.to_vec();
        state.allowed = body.unwrap_or(UNBOUNDED);
    }

    /// Whether the decoder has taken all bytes of this request.
    pub fn is_consumed(&self) -> bool {
        let state = self.lock();
        state.replayed.is_empty() && state.allowed == 0
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ReplayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take_front(from: &mut Vec<u8>, buf: &mut [u8]) -> usize {
    let count = from.len().min(buf.len());
    buf[..count].copy_from_slice(&from[..count]);
    from.drain(..count);
    count
}

impl AsyncRead for ReplayStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let state = Arc::clone(&this.state);
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.replayed.is_empty() {
            return Poll::Ready(Ok(take_front(&mut state.replayed, buf)));
        }
        let allowed = usize::try_from(state.allowed).unwrap_or(usize::MAX);
        let room = buf.len().min(allowed);
        if room == 0 {
            return Poll::Ready(Ok(0));
        }
        let count = if state.buffered.is_empty() {
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut buf[..room]))?
        } else {
            take_front(&mut state.buffered, &mut buf[..room])
        };
        if state.allowed != UNBOUNDED {
            state.allowed -= count as u64;
        }
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for ReplayStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_close(cx)
    }
}
