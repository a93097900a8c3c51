//! Free addresses on the loopback interface.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// First port that is tried.
const FIRST_PORT: u16 = 12_000;

/// Ports that are tried. They end below the system's ephemeral range, else an outgoing
/// connection of another test could take a port between its choice and its use.
const PORT_COUNT: u16 = 20_000;

/// Ports between the first tries of two processes with neighbouring ids.
const PROCESS_STRIDE: u32 = 97;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// An address that nobody listens on, by TCP or by UDP, and that this process gives out once.
///
/// # Panics
///
/// When every port is taken.
#[must_use]
pub fn free_address() -> SocketAddr {
    let stride = process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(PORT_COUNT);
    for _ in 0..PORT_COUNT {
        let step = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let offset = (stride + step) % u32::from(PORT_COUNT);
        let port = FIRST_PORT + u16::try_from(offset).unwrap_or(0);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let tcp = TcpListener::bind(address);
        let udp = UdpSocket::bind(address);
        if tcp.is_ok() && udp.is_ok() {
            return address;
        }
    }
    panic!("all {PORT_COUNT} ports are taken");
}
