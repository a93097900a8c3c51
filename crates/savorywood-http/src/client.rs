//! A client for upstreams and the platform: a bounded pool, and answers that are known to be whole.

mod answer;
mod call;
mod head;
mod pool;

pub use answer::{AnswerBody, UpstreamAnswer};
pub use call::{CallAnswer, CallRequest};

use crate::{
    server::within,
    waiting::{NotedStream, WaitFlag},
};
use async_h1::client::{Encoder, decode};
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, io::Cursor};
use http_types::{Request, Response};
use pool::ConnectionPool;
use snafu::Snafu;
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// Bytes written at a time.
const WRITE_BYTES: usize = 4_096;

/// What one upstream may cost.
#[derive(Debug, Clone)]
pub struct ClientLimits {
    /// For making a connection.
    pub connect_time: Duration,
    /// For writing a request whole.
    pub write_time: Duration,
    /// From the end of the request to the head of the answer.
    pub head_time: Duration,
    /// Idle connections kept for each address.
    pub idle_connections: usize,
    /// How long an idle connection is kept. Shorter than common servers' keep-alive, so that a
    /// connection is rarely closed by the other side in the moment it is used.
    pub idle_time: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_time: Duration::from_secs(1),
            write_time: Duration::from_secs(10),
            head_time: Duration::from_secs(600),
            idle_connections: 64,
            idle_time: Duration::from_secs(4),
        }
    }
}

/// Why a request got no answer head, and whether it may have been seen.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No byte of the request left this host.
    #[snafu(display("no connection to {address}: {source}"))]
    NotSent {
        /// Whom.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// Bytes of the request may have arrived.
    #[snafu(display("{step} failed at {address}: {reason}"))]
    Broken {
        /// Whom.
        address: SocketAddr,
        /// What was being done.
        step: SendStep,
        /// What went wrong.
        reason: String,
    },
}

/// Step of sending a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SendStep {
    /// Writing the request.
    Write,
    /// Waiting for the answer's head.
    ReadHead,
}

/// A client. Clones share the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    limits: Arc<ClientLimits>,
    pool: Arc<ConnectionPool>,
}

impl HttpClient {
    /// A client with an empty pool.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        let pool = ConnectionPool::new(limits.idle_connections, limits.idle_time);
        Self {
            limits: Arc::new(limits),
            pool: Arc::new(pool),
        }
    }

    /// Sends a request and reads the head of its answer. Never sends twice.
    ///
    /// # Errors
    ///
    /// Says whether a byte of the request may have left.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<UpstreamAnswer, SendError> {
        let stream = self.connect(address).await?;
        self.exchange(address, stream, request).await
    }

    /// A connection that is open now: a pooled one, or a new one.
    ///
    /// # Errors
    ///
    /// When no connection can be made; nothing was sent.
    pub async fn connect(&self, address: SocketAddr) -> Result<TcpStream, SendError> {
        self.connect_within(address, self.limits.connect_time).await
    }

    /// The same, with a new connection made within `time` if that is less than the client's limit.
    async fn connect_within(
        &self,
        address: SocketAddr,
        time: Duration,
    ) -> Result<TcpStream, SendError> {
        if let Some(stream) = self.pool.take(address).await {
            return Ok(stream);
        }
        let time = time.min(self.limits.connect_time);
        let connected = within(time, TcpStream::connect(address)).await;
        let stream = connected
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
            .map_err(|source| SendError::NotSent { address, source })?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=nodelay-failed peer={address} error={error:?}");
        }
        Ok(stream)
    }

    /// Sends a request over a connection of [`connect`](Self::connect).
    ///
    /// # Errors
    ///
    /// Bytes of the request may have arrived.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        mut stream: TcpStream,
        request: Request,
    ) -> Result<UpstreamAnswer, SendError> {
        let broken = |step: SendStep, reason: String| SendError::Broken {
            address,
            step,
            reason,
        };
        let is_head = request.method() == http_types::Method::Head;
        let write = write_request(&mut stream, request);
        within(self.limits.write_time, write)
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
            .map_err(|error| broken(SendStep::Write, error.to_string()))?;
        let flag = WaitFlag::default();
        let reader = NotedStream::new(stream.clone(), flag.clone());
        let response = within(self.limits.head_time, Box::pin(read_response(reader)))
            .await
            .ok_or_else(|| broken(SendStep::ReadHead, "timed out".to_owned()))?
            .map_err(|error| broken(SendStep::ReadHead, error.to_string()))?;
        let lease = pool::PoolReturn::new(Arc::clone(&self.pool), address, stream);
        Ok(UpstreamAnswer::new(response, is_head, flag, lease))
    }
}

async fn read_response(mut reader: NotedStream<TcpStream>) -> http_types::Result<Response> {
    let head = head::read_head(&mut reader).await?;
    decode(Cursor::new(head).chain(reader)).await
}

async fn write_request(stream: &mut TcpStream, request: Request) -> io::Result<()> {
    let mut encoder = Encoder::new(request);
    let mut piece = vec![0; WRITE_BYTES];
    loop {
        let count = encoder.read(&mut piece).await?;
        if count == 0 {
            return Ok(());
        }
        stream.write_all(&piece[..count]).await?;
    }
}
