//! Addresses on the loopback interface for processes under test.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// First port that is given out.
const FIRST_PORT: u16 = 12_000;

/// Ports that a process of tests can give out.
const PORT_COUNT: u16 = 20_000;

/// Second byte of the first loopback host of a process of tests.
const FIRST_NETWORK: u8 = 64;

/// Bits of a process id that fit the second byte beside [`FIRST_NETWORK`].
const NETWORK_MASK: u32 = 0x3f;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// An address that no other process listens on, and that this process gives out once.
///
/// Each process of tests has a loopback host of its own, so neither the ports that the system
/// chooses on 127.0.0.1 nor other tests can take the address. It is not tried by binding it: a
/// process that another thread starts at that moment would inherit the listener for a while.
///
/// # Panics
///
/// When this process has given out all ports.
#[must_use]
pub fn free_address() -> SocketAddr {
    let step = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(step < PORT_COUNT, "all {PORT_COUNT} ports are given out");
    SocketAddr::new(own_host(process::id()), FIRST_PORT + step)
}

/// The loopback host of a process; process ids have 22 bits.
fn own_host(process: u32) -> IpAddr {
    let [_, _, third, fourth] = process.to_be_bytes();
    let network = u8::try_from((process >> 16) & NETWORK_MASK).unwrap_or_default();
    Ipv4Addr::new(127, FIRST_NETWORK + network, third, fourth).into()
}
