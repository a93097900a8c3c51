//! Keeps the reading of chunked bodies awake.
//!
//! The library's decoder of chunks waits without asking to be woken when the empty line after the
//! last chunk comes in two pieces, as happens wherever a packet ends between CR and LF. The body
//! is then whole and its reader sleeps until a timeout: one would notice answers that break off
//! late and at random. The decoder waits rightly only if the connection below it waits, so a
//! reader that pends while its connection does not is polled again.
//!
//! A server needs none of this: it looks for its caller's leaving all the time, which wakes the
//! same task.

use futures_lite::{AsyncRead, future};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

/// Whether the last read of a connection waits for bytes. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct WaitFlag(Arc<AtomicBool>);

impl WaitFlag {
    /// Notes the result of a read of the connection.
    pub fn note<T>(&self, polled: &Poll<T>) {
        self.0.store(polled.is_pending(), Ordering::Relaxed);
    }

    fn clear(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection that notes whether it waits for bytes.
#[derive(Debug)]
pub struct NotedStream<S> {
    stream: S,
    flag: WaitFlag,
}

impl<S> NotedStream<S> {
    /// Wraps a connection.
    pub fn new(stream: S, flag: WaitFlag) -> Self {
        Self { stream, flag }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for NotedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        this.flag.note(&polled);
        polled
    }
}

/// Reads some bytes from a decoder above a connection that notes its waits in `flag`.
pub async fn read_awake<R: AsyncRead + Unpin>(
    reader: &mut R,
    flag: &WaitFlag,
    buf: &mut [u8],
) -> io::Result<usize> {
    let poll = |cx: &mut Context<'_>| {
        flag.clear();
        let polled = Pin::new(&mut *reader).poll_read(cx, buf);
        if polled.is_pending() && !flag.is_set() {
            cx.waker().wake_by_ref();
        }
        polled
    };
    future::poll_fn(poll).await
}
