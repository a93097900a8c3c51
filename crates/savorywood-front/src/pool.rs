//! Pool of idle connections to upstreams.

use crate::{clock::BootClock, wire::ByteReader};
use futures_lite::future;
use savorywood_gateway::UpstreamLabel;
use savorywood_protocol::MonotonicTime;
use std::{
    cell::RefCell,
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};
use strum::IntoStaticStr;

/// Idle time after which a connection is not used again, for upstreams that do not announce their
/// idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum idle time of a pooled connection, whatever the upstream announces.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before the upstream's announced idle timeout from which a connection is not used: when a
/// request and the close cross, the daemon can't tell whether the request was executed.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// Maximum idle time of a connection for a request that must not be executed twice: on a connection
/// that fails unnoticed the request would be lost.
const MAX_IDLE_WITHOUT_REPEAT: Duration = Duration::from_millis(1_500);
/// Maximum number of idle connections for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 8;
/// Maximum number of requests that one connection carries, as the digests of all are kept.
const MAX_REQUESTS_PER_CONNECTION: usize = 256;

/// A connection to an upstream, and which requests were sent over it.
///
/// Responses are matched by the id of their request. An upstream may send a copy of a response at any
/// later time, so a request that was sent over a connection must not be sent over it again: the copy
/// could not be told from the response to the second send.
#[derive(Debug)]
pub struct UpstreamConnection {
    pub reader: ByteReader,
    /// Digests of the ids of all requests sent.
    sent: Vec<u64>,
}

impl UpstreamConnection {
    /// Wraps a connection over which nothing was sent.
    #[must_use]
    pub fn new(reader: ByteReader) -> Self {
        Self {
            reader,
            sent: Vec::new(),
        }
    }

    /// Records a request that is about to be sent.
    pub fn record_request(&mut self, request_id: &str) {
        self.sent.push(request_digest(request_id));
    }

    /// Returns whether one request only was sent, to which every response belongs.
    #[must_use]
    pub fn is_unshared(&self) -> bool {
        self.sent.len() <= 1
    }
}

/// Returns a digest of a request's id. Two ids with the same digest cost a connection, no more.
fn request_digest(request_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}

/// Why no idle connection can carry a request. The text form is part of the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PoolMiss {
    /// There is no idle connection.
    Empty,
    /// The request was sent over each idle connection before.
    AllCarried,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    since: MonotonicTime,
    keep: Duration,
}

/// Idle connections by the incarnation of the upstream.
#[derive(Debug, Default)]
pub struct UpstreamPool {
    idle: RefCell<HashMap<UpstreamLabel, Vec<IdleConnection>>>,
    clock: BootClock,
}

impl UpstreamPool {
    /// Returns the number of idle connections to all upstreams.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Removes and returns the most recently used connection that is still usable and has not
    /// carried the request. With `once`, the request must not be executed twice.
    ///
    /// # Errors
    ///
    /// Returns why there is no such connection.
    pub async fn take(
        &self,
        upstream: &UpstreamLabel,
        request_id: &str,
        once: bool,
    ) -> Result<UpstreamConnection, PoolMiss> {
        let digest = request_digest(request_id);
        loop {
            let newest = self.remove_newest(upstream, digest)?;
            let idle = self.clock.now().since(newest.since);
            let keep = if once {
                newest.keep.min(MAX_IDLE_WITHOUT_REPEAT)
            } else {
                newest.keep
            };
            if idle >= keep {
                continue;
            }
            let mut connection = newest.connection;
            let reader = &mut connection.reader;
            // A closed connection, or one with bytes that belong to no request, is discarded.
            if future::poll_once(reader.fill()).await.is_none() && reader.bytes().is_empty() {
                return Ok(connection);
            }
        }
    }

    /// Removes the most recently used connection that has not carried the request, expired or not.
    fn remove_newest(
        &self,
        upstream: &UpstreamLabel,
        digest: u64,
    ) -> Result<IdleConnection, PoolMiss> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(upstream).filter(|idle| !idle.is_empty());
        let connections = connections.ok_or(PoolMiss::Empty)?;
        let newest = connections
            .iter()
            .rposition(|idle| !idle.connection.sent.contains(&digest));
        let newest = newest.ok_or(PoolMiss::AllCarried)?;
        Ok(connections.remove(newest))
    }

    /// Returns a connection to the pool after a complete response.
    pub fn put(
        &self,
        upstream: &UpstreamLabel,
        connection: UpstreamConnection,
        keep: Option<Duration>,
    ) {
        let keep = keep.map_or(DEFAULT_IDLE_TIMEOUT, |keep| {
            keep.saturating_sub(IDLE_TIMEOUT_MARGIN)
        });
        let is_spent = connection.sent.len() >= MAX_REQUESTS_PER_CONNECTION;
        if keep.is_zero() || is_spent || !connection.reader.bytes().is_empty() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(upstream.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_UPSTREAM {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            since: self.clock.now(),
            keep: keep.min(MAX_IDLE_TIMEOUT),
        });
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections whose idle timeout has passed.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| now.since(connection.since) < connection.keep);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
