//! Options of a proxy.

use super::faults::ProxyFaults;
use std::net::{Ipv4Addr, SocketAddr};

/// One thing that is listened on and where it leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProxyLink {
    /// Address to listen on; port zero takes a free one.
    pub listen: SocketAddr,
    /// Where it leads.
    pub target: SocketAddr,
}

impl ProxyLink {
    /// Listens on a free port of the loopback interface.
    #[must_use]
    pub fn to(target: SocketAddr) -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            target,
        }
    }
}

/// Options of a proxy, built step by step.
#[derive(Debug, Clone)]
pub struct ProxyOptions {
    pub(crate) control: SocketAddr,
    pub(crate) tcp: Option<ProxyLink>,
    pub(crate) udp: Option<ProxyLink>,
    pub(crate) faults: ProxyFaults,
    pub(crate) seed: u64,
}

impl Default for ProxyOptions {
    fn default() -> Self {
        Self {
            control: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            tcp: None,
            udp: None,
            faults: ProxyFaults::default(),
            seed: 0,
        }
    }
}

impl ProxyOptions {
    /// A proxy without links, steered on a free port.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Address on which it is steered.
    #[must_use]
    pub fn control(self, control: SocketAddr) -> Self {
        Self { control, ..self }
    }

    /// Link for TCP connections.
    #[must_use]
    pub fn tcp(self, tcp: Option<ProxyLink>) -> Self {
        Self { tcp, ..self }
    }

    /// Link for datagrams.
    #[must_use]
    pub fn udp(self, udp: Option<ProxyLink>) -> Self {
        Self { udp, ..self }
    }

    /// Faults at the start.
    #[must_use]
    pub fn faults(self, faults: ProxyFaults) -> Self {
        Self { faults, ..self }
    }

    /// Seed of all random faults.
    #[must_use]
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }
}
