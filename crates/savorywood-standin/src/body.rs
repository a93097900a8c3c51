//! Answer bodies that grow while they are read, and readers that break on purpose.

use crate::tasks::lock;
use futures_lite::io::AsyncRead;
use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, Waker},
    time::Instant,
};
use strum::{Display, IntoStaticStr};

/// How far a body is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum BodyState {
    /// More bytes come.
    Running,
    /// All bytes are there.
    Finished,
    /// No more bytes come, although some are missing.
    Cancelled,
}

/// Bytes of one answer, kept so that the answer can be read again from any offset.
#[derive(Debug)]
pub(crate) struct GrowingBody {
    content: Mutex<BodyContent>,
}

#[derive(Debug)]
struct BodyContent {
    bytes: Vec<u8>,
    /// Length after each token, so that a fault can strike after a number of tokens.
    token_ends: Vec<usize>,
    state: BodyState,
    ended_at: Option<Instant>,
    wakers: Vec<Waker>,
}

impl GrowingBody {
    pub(crate) fn new() -> Arc<Self> {
        let content = BodyContent {
            bytes: Vec::new(),
            token_ends: Vec::new(),
            state: BodyState::Running,
            ended_at: None,
            wakers: Vec::new(),
        };
        Arc::new(Self {
            content: Mutex::new(content),
        })
    }

    pub(crate) fn push(&self, bytes: &[u8]) {
        let mut content = lock(&self.content);
        if content.state == BodyState::Running {
            content.bytes.extend_from_slice(bytes);
            content.wake();
        }
    }

    pub(crate) fn push_token(&self, bytes: &[u8]) {
        let mut content = lock(&self.content);
        if content.state == BodyState::Running {
            content.bytes.extend_from_slice(bytes);
            let end = content.bytes.len();
            content.token_ends.push(end);
            content.wake();
        }
    }

    pub(crate) fn end(&self, state: BodyState) {
        let mut content = lock(&self.content);
        if content.state == BodyState::Running {
            content.state = state;
            content.ended_at = Some(Instant::now());
            content.wake();
        }
    }

    pub(crate) fn state(&self) -> BodyState {
        lock(&self.content).state
    }

    pub(crate) fn len(&self) -> usize {
        lock(&self.content).bytes.len()
    }

    pub(crate) fn ended_at(&self) -> Option<Instant> {
        lock(&self.content).ended_at
    }

    /// Waits until no more bytes come.
    pub(crate) async fn ended(&self) -> BodyState {
        futures_lite::future::poll_fn(|context| {
            let mut content = lock(&self.content);
            match content.state {
                BodyState::Running => {
                    content.register(context.waker());
                    Poll::Pending
                }
                state => Poll::Ready(state),
            }
        })
        .await
    }
}

impl BodyContent {
    fn wake(&mut self) {
        for waker in self.wakers.drain(..) {
            waker.wake();
        }
    }

    fn register(&mut self, waker: &Waker) {
        let known = self.wakers.iter().any(|known| known.will_wake(waker));
        if !known {
            self.wakers.push(waker.clone());
        }
    }

    /// Offset that a reader may not pass, once it is known.
    fn limit(&self, limit: ReadLimit) -> Option<usize> {
        match limit {
            ReadLimit::Tokens(0) => Some(0),
            ReadLimit::Tokens(tokens) => self.token_ends.get(tokens as usize - 1).copied(),
            ReadLimit::Bytes(bytes) => Some(bytes),
        }
    }
}

/// Where a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadLimit {
    /// After this many tokens.
    Tokens(u32),
    /// After this many bytes.
    Bytes(usize),
}

/// What happens at the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitAction {
    /// The connection is closed without the end mark.
    Close,
    /// The connection stays open and nothing comes any more.
    Stall,
    /// The body ends as if it were whole.
    End,
}

/// A fault of one reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReadFault {
    /// Where.
    pub(crate) limit: ReadLimit,
    /// What.
    pub(crate) action: LimitAction,
}

/// Reads a growing body from an offset.
pub(crate) struct BodyReader {
    body: Arc<GrowingBody>,
    offset: usize,
    fault: Option<ReadFault>,
    on_drop: Option<Box<dyn FnOnce() + Send + Sync>>,
}

impl BodyReader {
    pub(crate) fn new(body: &Arc<GrowingBody>, offset: usize) -> Self {
        Self {
            body: Arc::clone(body),
            offset,
            fault: None,
            on_drop: None,
        }
    }

    pub(crate) fn with_fault(mut self, fault: Option<ReadFault>) -> Self {
        self.fault = fault;
        self
    }

    /// Calls `hook` when the reader goes away: at the end or because the caller left.
    pub(crate) fn on_drop(mut self, hook: impl FnOnce() + Send + Sync + 'static) -> Self {
        self.on_drop = Some(Box::new(hook));
        self
    }
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        if let Some(hook) = self.on_drop.take() {
            hook();
        }
    }
}

impl AsyncRead for BodyReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let body = Arc::clone(&self.body);
        let mut content = lock(&body.content);
        let struck = self
            .fault
            .and_then(|fault| Some((content.limit(fault.limit)?, fault.action)));
        let end = struck.map_or(content.bytes.len(), |(at, _)| at.min(content.bytes.len()));
        if self.offset < end {
            let count = buffer.len().min(end - self.offset);
            buffer[..count].copy_from_slice(&content.bytes[self.offset..self.offset + count]);
            self.offset += count;
            return Poll::Ready(Ok(count));
        }
        match struck {
            Some((at, LimitAction::Close)) if self.offset >= at => Poll::Ready(Err(broken())),
            Some((at, LimitAction::Stall)) if self.offset >= at => Poll::Pending,
            Some((at, LimitAction::End)) if self.offset >= at => Poll::Ready(Ok(0)),
            _ => match content.state {
                BodyState::Running => {
                    content.register(context.waker());
                    Poll::Pending
                }
                BodyState::Finished => Poll::Ready(Ok(0)),
                BodyState::Cancelled => Poll::Ready(Err(broken())),
            },
        }
    }
}

fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "broken on purpose")
}
