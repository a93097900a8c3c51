//! Options of a plain service stand-in.

use super::faults::PlainFaults;
use std::net::{Ipv4Addr, SocketAddr};

/// Options of a plain service.
#[derive(Debug, Clone)]
pub struct PlainOptions {
    /// Address to listen on; port zero takes a free one.
    pub address: SocketAddr,
    /// Faults at the start.
    pub faults: PlainFaults,
    /// Seed of all random faults.
    pub seed: u64,
}

impl Default for PlainOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            faults: PlainFaults::default(),
            seed: 0,
        }
    }
}
