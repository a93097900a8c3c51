//! The two sockets of the peers' address, which share one port.

use async_net::{TcpListener, UdpSocket};
use std::{io, net::SocketAddr};

/// Free ports that are tried at most.
const PORT_TRIES: usize = 16;

/// Sockets for datagrams and for whole configurations.
#[derive(Debug)]
pub struct PeerSockets {
    /// For datagrams.
    pub datagrams: UdpSocket,
    /// For whole configurations.
    pub snapshots: TcpListener,
    /// Address of both.
    pub address: SocketAddr,
}

impl PeerSockets {
    /// Binds both at one address; port zero takes a port that is free for both.
    ///
    /// The system finds a port that is free for datagrams, which a connection of another process
    /// may still hold. Then the next one is tried: otherwise one start in many would fail with an
    /// address in use that nobody had chosen.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let mut tries = if address.port() == 0 { PORT_TRIES } else { 1 };
        loop {
            tries -= 1;
            match Self::bind_once(address).await {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && tries > 0 => {}
                bound => return bound,
            }
        }
    }

    async fn bind_once(address: SocketAddr) -> io::Result<Self> {
        let datagrams = UdpSocket::bind(address).await?;
        let address = datagrams.local_addr()?;
        let snapshots = TcpListener::bind(address).await?;
        Ok(Self {
            datagrams,
            snapshots,
            address,
        })
    }
}
