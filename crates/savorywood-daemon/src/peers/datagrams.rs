//! Authenticated datagrams.

use crate::driver::CoreDriver;
use async_net::UdpSocket;
use savorywood_core::{
    DaemonEvent,
    membership::{BudgetClass, PeerBudget},
};
use savorywood_protocol::{
    HostName,
    peer::{
        DatagramKey, PeerDatagram, PeerMessage,
        datagram::{MAX_DATAGRAM_BYTES, ReplayDecision, ReplayGuard},
    },
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Bytes of the IPv4 and UDP heads of a datagram.
const HEAD_BYTES: usize = 28;

/// How often senders that are no longer members are forgotten.
const FORGET_PERIOD: Duration = Duration::from_secs(60);

/// Sends and receives datagrams.
#[derive(Debug)]
pub struct DatagramLink {
    socket: UdpSocket,
    host: HostName,
    key: DatagramKey,
    sequence: AtomicU64,
    guard: Mutex<ReplayGuard>,
    budget: Mutex<PeerBudget>,
}

impl DatagramLink {
    /// A link that speaks for this host, within a budget of bytes.
    pub fn new(socket: UdpSocket, host: HostName, key: DatagramKey, bytes_per_second: u64) -> Self {
        Self {
            socket,
            host,
            key,
            sequence: AtomicU64::new(1),
            guard: Mutex::default(),
            budget: Mutex::new(PeerBudget::new(bytes_per_second)),
        }
    }

    /// Sends a message. A datagram that can't be sent is lost like any other: the duties repeat
    /// what matters.
    pub async fn send(
        &self,
        driver: &CoreDriver,
        to: &HostName,
        address: SocketAddr,
        message: PeerMessage,
    ) {
        let class = BudgetClass::of(&message);
        let datagram = PeerDatagram {
            from: self.host.clone(),
            incarnation: driver.with_core(|core, _, _| core.incarnation()),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            message,
        };
        let sealed = match datagram.seal(to, &self.key) {
            Ok(sealed) => sealed,
            Err(error) => {
                log::error!(
                    "event=datagram-not-sealed peer={to} error={:?}",
                    error.to_string()
                );
                return;
            }
        };
        let bytes = sealed.len() + HEAD_BYTES;
        if !self.admit(driver, class, bytes) {
            driver.metrics.count_unsent_datagram();
            return;
        }
        driver.metrics.count_peer_bytes(bytes);
        if let Err(error) = self.socket.send_to(&sealed, address).await {
            log::debug!("event=datagram-not-sent peer={to} error={error:?}");
        }
    }

    fn admit(&self, driver: &CoreDriver, class: BudgetClass, bytes: usize) -> bool {
        let now = driver.clock().now().monotonic;
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.admit(now, class, bytes)
    }

    /// Receives datagrams for good.
    pub async fn receive(self: Arc<Self>, driver: Arc<CoreDriver>) {
        // One byte more than allowed, so that a longer one can be told from one that just fits.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let mut forgotten_at = Instant::now();
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((count, address)) => self.take(&driver, &buffer[..count], address),
                Err(error) => log::debug!("event=datagram-not-received error={error:?}"),
            }
            if forgotten_at.elapsed() > FORGET_PERIOD {
                forgotten_at = Instant::now();
                self.forget(&driver);
            }
        }
    }

    fn take(&self, driver: &CoreDriver, bytes: &[u8], address: SocketAddr) {
        let datagram = match PeerDatagram::open(bytes, &self.host, &self.key) {
            Ok(datagram) => datagram,
            Err(error) => {
                driver.metrics.count_dropped_datagram();
                log::debug!(
                    "event=datagram-dropped peer={address} error={:?}",
                    error.to_string()
                );
                return;
            }
        };
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict =
            guard.check_and_record(&datagram.from, datagram.incarnation, datagram.sequence);
        drop(guard);
        if verdict != ReplayDecision::Fresh {
            driver.metrics.count_dropped_datagram();
            log::debug!(
                "event=datagram-dropped peer={address} host={} verdict={verdict:?}",
                datagram.from
            );
            return;
        }
        driver.step(DaemonEvent::Peer {
            from: datagram.from,
            message: datagram.message,
        });
    }

    fn forget(&self, driver: &CoreDriver) {
        let members = driver.with_core(|core, _, _| core.members().clone());
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        guard.retain(|host| members.members.contains_key(host));
    }
}
