//! A server that bounds what a caller may cost and answers every malformed request.

mod connection;
mod head;
mod incoming;
mod replay;

pub use head::HeadFault;
pub use incoming::{BodyFault, IncomingRequest};

use async_executor::Executor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::future;
use http_types::Response;
use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Answers requests. A trait because each process brings its own.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request. Dropped when the caller leaves before the answer begins.
    fn handle(&self, request: IncomingRequest) -> impl Future<Output = Response> + Send;

    /// Body of a refusal that the server gives by itself, and its media type.
    fn problem(&self, fault: &HeadFault) -> Response {
        let mut response = Response::new(fault.status());
        response.set_body(fault.to_string());
        response
    }
}

/// What one caller may cost.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Connections at once; further ones get a 503 and are closed.
    pub connections: usize,
    /// Bytes of a request's head; the library's own bound is 8 KB.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// From the first byte of a head to its last.
    pub head_time: Duration,
    /// For the whole body of a request.
    pub body_time: Duration,
    /// For the next request on an open connection.
    pub idle_time: Duration,
    /// For a caller to take some bytes of its answer.
    pub write_time: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 8_000,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(60),
            write_time: Duration::from_secs(60),
        }
    }
}

/// Steers a server from outside.
#[derive(Debug, Default)]
pub struct ServerControl {
    draining: AtomicBool,
    connections: AtomicUsize,
}

impl ServerControl {
    /// From now on every answer closes its connection, so that callers ask for addresses anew.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether [`drain`](Self::drain) was called.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Connections open now.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Counts a connection for as long as it lives.
struct ConnectionGuard(Arc<ServerControl>);

impl ConnectionGuard {
    fn new(control: &Arc<ServerControl>) -> Self {
        control.connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(control))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A listening server.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    limits: Arc<ServerLimits>,
    control: Arc<ServerControl>,
}

/// Pause after a failed accept. Out of file descriptors, accept fails at once and for long; without
/// a pause the loop would take a whole core.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

impl HttpServer {
    /// Listens on an address; port zero takes a free one.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn bind(address: SocketAddr, limits: ServerLimits) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            limits: Arc::new(limits),
            control: Arc::default(),
        })
    }

    /// Address that is listened on.
    ///
    /// # Errors
    ///
    /// When the system can't tell it.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Steers the server while [`run`](Self::run) runs.
    #[must_use]
    pub fn control(&self) -> Arc<ServerControl> {
        Arc::clone(&self.control)
    }

    /// Serves connections until the future is dropped.
    pub async fn run<H: HttpHandler>(self, executor: Arc<Executor<'static>>, handler: Arc<H>) {
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => self.admit(&executor, &handler, stream, peer),
                Err(error) => {
                    log::warn!("event=accept-failed error={error:?}");
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit<H: HttpHandler>(
        &self,
        executor: &Arc<Executor<'static>>,
        handler: &Arc<H>,
        stream: TcpStream,
        peer: SocketAddr,
    ) {
        let guard = ConnectionGuard::new(&self.control);
        let limits = Arc::clone(&self.limits);
        let control = Arc::clone(&self.control);
        let handler = Arc::clone(handler);
        let full = self.control.connections() > self.limits.connections;
        let serve = async move {
            let _guard = guard;
            let connection = connection::CallerConnection::new(stream, peer, limits, control);
            if full {
                connection
                    .refuse(&*handler, &HeadFault::TooManyConnections)
                    .await;
            } else {
                connection.serve(&*handler).await;
            }
        };
        executor.spawn(serve).detach();
    }
}

/// Runs a future for at most some time.
pub(crate) async fn within<T>(time: Duration, work: impl Future<Output = T>) -> Option<T> {
    let expire = async {
        Timer::after(time).await;
        None
    };
    future::or(async { Some(work.await) }, expire).await
}
