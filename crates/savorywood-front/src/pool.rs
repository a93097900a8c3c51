//! Pool of idle connections to upstreams.

use crate::{clock::BootClock, wire::ByteReader};
use futures_lite::future;
use savorywood_gateway::UpstreamLabel;
use savorywood_protocol::MonotonicTime;
use std::{cell::RefCell, collections::HashMap, time::Duration};

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

#[derive(Debug)]
struct IdleConnection {
    reader: ByteReader,
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

    /// Removes and returns the most recently used connection that is still usable. With `once`, the
    /// request must not be executed twice.
    pub async fn take(&self, upstream: &UpstreamLabel, once: bool) -> Option<ByteReader> {
        loop {
            let newest = self.idle.borrow_mut().get_mut(upstream)?.pop()?;
            let idle = self.clock.now().since(newest.since);
            let keep = if once {
                newest.keep.min(MAX_IDLE_WITHOUT_REPEAT)
            } else {
                newest.keep
            };
            if idle >= keep {
                continue;
            }
            let mut reader = newest.reader;
            // A closed connection, or one with bytes that belong to no request, is discarded.
            if future::poll_once(reader.fill()).await.is_none() && reader.bytes().is_empty() {
                return Some(reader);
            }
        }
    }

    /// Returns a connection to the pool after a complete response.
    pub fn put(&self, upstream: &UpstreamLabel, reader: ByteReader, keep: Option<Duration>) {
        let keep = keep.map_or(DEFAULT_IDLE_TIMEOUT, |keep| {
            keep.saturating_sub(IDLE_TIMEOUT_MARGIN)
        });
        if keep.is_zero() || !reader.bytes().is_empty() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(upstream.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_UPSTREAM {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            reader,
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
