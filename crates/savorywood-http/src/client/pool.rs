//! Idle connections, a bounded number for each address.

use async_net::TcpStream;
use futures_lite::future;
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// A connection that waits for its next request.
#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

/// Idle connections by address.
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, VecDeque<IdleConnection>>>,
    per_address: usize,
    idle_time: Duration,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(per_address: usize, idle_time: Duration) -> Self {
        Self {
            idle: Mutex::default(),
            per_address,
            idle_time,
        }
    }

    /// Takes the connection that was used last and is still open.
    pub async fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        loop {
            let connection = self.pop(address)?;
            let fresh = connection.since.elapsed() < self.idle_time;
            if fresh && is_quiet(&connection.stream).await {
                return Some(connection.stream);
            }
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<IdleConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop_back()
    }

    fn put(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        connections.push_back(IdleConnection {
            stream,
            since: Instant::now(),
        });
        if connections.len() > self.per_address {
            connections.pop_front();
        }
    }
}

/// An idle connection has nothing to read. If it has, the other side closed it or sends what
/// nobody asked for; a request written to it would be lost, or answered with another's answer.
async fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    future::poll_once(stream.peek(&mut byte)).await.is_none()
}

/// Puts a connection back once its answer was read whole; dropped before, it closes.
#[derive(Debug)]
pub struct PoolReturn {
    pool: Arc<ConnectionPool>,
    address: SocketAddr,
    stream: TcpStream,
}

impl PoolReturn {
    /// Remembers where the connection came from.
    pub fn new(pool: Arc<ConnectionPool>, address: SocketAddr, stream: TcpStream) -> Self {
        Self {
            pool,
            address,
            stream,
        }
    }

    /// The answer was whole and the other side keeps the connection open.
    pub fn keep(self) {
        self.pool.put(self.address, self.stream);
    }
}
