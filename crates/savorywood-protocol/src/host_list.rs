//! JSON form of the platform's host list (`docs/PLATFORM.md`).

use crate::{HostName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostDocument {
    /// Name of the host, unique in the list.
    pub host: HostName,
    /// Address on which the daemon receives messages of its peers.
    pub peer_address: SocketAddr,
    /// Address on which the daemon accepts callers.
    pub caller_address: SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region of the host.
    pub region: RegionName,
    /// Whether the platform plans to remove the host.
    #[serde(default)]
    pub leaving: bool,
}
