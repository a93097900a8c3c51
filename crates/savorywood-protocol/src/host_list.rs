//! The platform's list of hosts, as its HTTP protocol writes it (`docs/PLATFORM.md`).

use crate::{HostName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostDocument {
    /// Name of the host.
    pub host: HostName,
    /// Where its daemon's peers reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach its daemon.
    pub caller_address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// The platform plans to take the host away.
    #[serde(default)]
    pub leaving: bool,
}
