//! Relaying of requests: a daemon that can't reach upstreams sends its requests through a peer.
//!
//! The peer only connects and forwards bytes. All decisions on the request, its slot, its team's
//! limit and its retries stay with the daemon that received it, and a relay never uses another one.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, IntoStaticStr};

/// Share of a host's descriptors, as a divisor, that relayed requests may use. Each uses two.
const DESCRIPTOR_DIVISOR: u32 = 8;
/// Relayed requests of a daemon whose descriptors are not limited.
const DEFAULT_MAX_RELAYED: usize = 256;

/// Returns the maximum number of requests that a daemon relays at a time.
#[must_use]
pub fn max_relayed(descriptors: u32) -> usize {
    match descriptors {
        0 => DEFAULT_MAX_RELAYED,
        _ => (descriptors / DESCRIPTOR_DIVISOR / 2).max(1) as usize,
    }
}

/// Reason for which a daemon does not relay a request. The text form is part of the log.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RelayRefusal {
    /// It is stopping.
    Stopping,
    /// It can't reach upstreams either.
    Partitioned,
    /// It does not know the upstream, or knows that it accepts no new requests.
    NoUpstream,
    /// The upstream asked it for a pause.
    Paused,
    /// It relays as many requests as it may.
    Full,
    /// The upstream can bear few rejections, and may have no room.
    NoRoom,
}

/// Daemon that may relay requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Address at which other daemons reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
}

/// Order in which relays are preferred, the best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayPreference {
    /// It is in the zone of the upstream.
    NearUpstream,
    /// It is in the zone of the requesting daemon.
    NearOrigin,
    /// It is in another zone, so that the request crosses zones twice.
    Elsewhere,
}

impl RelayPreference {
    /// Returns the preference for a relay to an upstream in `upstream_zone`.
    #[must_use]
    pub fn of(candidate: &RelayCandidate, upstream_zone: &str, own_zone: &str) -> Self {
        match candidate.zone.as_str() {
            zone if zone == upstream_zone => Self::NearUpstream,
            zone if zone == own_zone => Self::NearOrigin,
            _ => Self::Elsewhere,
        }
    }
}
