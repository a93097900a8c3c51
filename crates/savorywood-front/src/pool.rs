//! Idle connections to upstreams.

use crate::{clock::BootClock, wire::ByteReader};
use futures_lite::future;
use savorywood_gateway::UpstreamLabel;
use savorywood_protocol::MonotonicTime;
use std::{cell::RefCell, collections::HashMap, time::Duration};

/// An upstream that does not say how long it keeps a connection is taken to keep it so long.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest time for which an idle connection is trusted.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before the upstream's own end of a connection from which it is not used any more: a
/// request that crosses the close can't be distinguished from one that ran.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// Longest idle time for a request that may not run twice: on a connection that fell silent it
/// would be lost.
const MAX_IDLE_WITHOUT_REPEAT: Duration = Duration::from_millis(1_500);
/// Idle connections kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 8;

#[derive(Debug)]
struct IdleConnection {
    reader: ByteReader,
    since: MonotonicTime,
    keep: Duration,
}

/// Idle connections by the incarnation that they lead to.
#[derive(Debug, Default)]
pub struct UpstreamPool {
    idle: RefCell<HashMap<UpstreamLabel, Vec<IdleConnection>>>,
    clock: BootClock,
}

impl UpstreamPool {
    /// Idle connections to all upstreams.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// A connection on which nothing has come since it was put back, the newest first.
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
            // An end, or bytes that belong to no request, make it useless.
            if future::poll_once(reader.fill()).await.is_none() {
                return Some(reader);
            }
        }
    }

    /// Puts a connection back after a whole answer.
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

    /// Closes what has been idle for too long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| now.since(connection.since) < connection.keep);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
