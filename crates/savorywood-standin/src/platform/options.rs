//! Options of a platform stand-in.

use super::faults::PlatformFaults;
use std::net::{Ipv4Addr, SocketAddr};

/// Options of a platform.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Address to listen on; port zero takes a free one.
    pub address: SocketAddr,
    /// Faults and limits at the start.
    pub faults: PlatformFaults,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            faults: PlatformFaults::default(),
        }
    }
}
