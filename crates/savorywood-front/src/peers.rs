//! Datagrams between daemons.

use crate::shared::FrontShared;
use async_io::Timer;
use async_net::UdpSocket;
use futures_lite::future;
use savorywood_gateway::{GatewayEvent, PeerSummary};
use savorywood_protocol::MonotonicTime;
use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

/// Time between two words to a peer.
const TELL_TIME: Duration = Duration::from_millis(250);
/// Peers told in one round; with more, each is told in turn.
const MOST_TOLD: usize = 12;
/// An address that was silent for this long is told no more.
const FORGET_TIME: Duration = Duration::from_secs(20);
/// Largest datagram.
const MAX_DATAGRAM: usize = 1_400;

/// Addresses of peers and when each was learned or heard.
#[derive(Debug)]
pub struct PeerBook {
    own: SocketAddr,
    addresses: RefCell<BTreeMap<SocketAddr, MonotonicTime>>,
    socket: UdpSocket,
    clock: crate::clock::BootClock,
}

impl PeerBook {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// When the address can't be had.
    pub async fn open(own: SocketAddr) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Self {
            own,
            addresses: RefCell::default(),
            socket: UdpSocket::bind(own).await?,
            clock: crate::clock::BootClock,
        }))
    }

    /// A peer may be at this address.
    pub fn learn(&self, address: SocketAddr) {
        if address != self.own {
            let now = self.clock.now();
            self.addresses.borrow_mut().insert(address, now);
        }
    }

    /// Tells peers of this daemon now.
    pub async fn tell(&self, shared: &FrontShared, round: usize) {
        let now = self.clock.now();
        let summary = shared.gateway.borrow_mut().summary(now);
        let Ok(bytes) = postcard::to_stdvec(&summary) else {
            return;
        };
        if bytes.len() > MAX_DATAGRAM {
            log::warn!("event=datagram-too-large bytes={}", bytes.len());
        }
        for address in self.chosen(now, round) {
            // A peer that can't be reached will be told again; a full buffer drops the word.
            let _ = future::poll_once(self.socket.send_to(&bytes, address)).await;
        }
    }

    fn chosen(&self, now: MonotonicTime, round: usize) -> Vec<SocketAddr> {
        let mut addresses = self.addresses.borrow_mut();
        addresses.retain(|_, heard| now.since(*heard) < FORGET_TIME);
        let all: Vec<SocketAddr> = addresses.keys().copied().collect();
        if all.len() <= MOST_TOLD {
            return all;
        }
        let start = round * MOST_TOLD % all.len();
        all.iter()
            .cycle()
            .skip(start)
            .take(MOST_TOLD)
            .copied()
            .collect()
    }

    /// Hears peers for as long as the process lives.
    pub async fn hear(self: Rc<Self>, shared: Rc<FrontShared>) {
        let mut buffer = vec![0; 65_536];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((count, from)) => {
                    let summary = postcard::from_bytes::<PeerSummary>(&buffer[..count]);
                    if let Ok(summary) = summary {
                        self.learn(from);
                        let event = GatewayEvent::PeerHeard(Box::new(summary));
                        shared.step(event);
                    }
                }
                Err(error) => {
                    log::debug!("event=datagram-unread error={error:?}");
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Tells peers for as long as the process lives.
    pub async fn keep_telling(self: Rc<Self>, shared: Rc<FrontShared>) {
        let mut round = 0;
        loop {
            self.tell(&shared, round).await;
            round += 1;
            Timer::after(TELL_TIME.mul_f64(0.9 + fastrand::f64() * 0.2)).await;
        }
    }
}
