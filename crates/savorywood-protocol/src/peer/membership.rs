//! Gossip messages about the liveness and addresses of members.

use crate::{ConfigRevision, HostIncarnation, HostName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumIter, IntoStaticStr};

/// Liveness of a member.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Missed probes; the member can refute the suspicion.
    Suspect,
    /// Shuts down on purpose; final for the incarnation.
    Leaving,
    /// Unreachable: the suspicion was not refuted in time.
    Dead,
}

/// Addresses, zone and region of a member. They don't change within an incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLocation {
    /// Address on which the member receives messages of its peers.
    pub peer_address: SocketAddr,
    /// Address on which the member accepts callers.
    pub caller_address: SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region of the host.
    pub region: RegionName,
}

/// State of one member, as gossiped between daemons.
///
/// Most updates are about members that the receiver has in its table, so they omit the location,
/// which is two thirds of the bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Host of the member.
    pub host: HostName,
    /// Incarnation of the member that the update is about.
    pub incarnation: HostIncarnation,
    /// Counter that the member itself raises to refute a suspicion.
    pub refutation: u32,
    /// Liveness of the member.
    pub state: MemberState,
    /// Configuration revision in force at the member, as of its last report.
    pub config_revision: ConfigRevision,
    /// Location of the member; absent when the receiver is expected to have it.
    pub location: Option<MemberLocation>,
}

/// Maximum encoded size of a 64-bit varint, in bytes.
const MAX_VARINT_BYTES: usize = 10;

/// Maximum encoded size of a socket address, in bytes: a tag, 16 bytes of IPv6 and a port.
const MAX_ADDRESS_BYTES: usize = 20;

impl MemberUpdate {
    /// Returns an upper bound of the encoded size in bytes, which is cheaper than encoding.
    #[must_use]
    pub fn max_wire_bytes(&self) -> usize {
        let numbers = varint_bytes(self.incarnation.0)
            + varint_bytes(self.refutation.into())
            + varint_bytes(self.config_revision.0);
        let location = self.location.as_ref().map_or(0, |location| {
            let names = location.zone.as_str().len() + location.region.as_str().len();
            let addresses =
                address_bytes(location.peer_address) + address_bytes(location.caller_address);
            names + addresses + 2
        });
        // One byte each for the length of the name, the state and the presence of the location.
        self.host.as_str().len() + numbers + location + 3
    }
}

fn varint_bytes(number: u64) -> usize {
    let bits = (u64::BITS - number.leading_zeros()).max(1) as usize;
    bits.div_ceil(7).min(MAX_VARINT_BYTES)
}

fn address_bytes(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(_) => 8,
        SocketAddr::V6(_) => MAX_ADDRESS_BYTES,
    }
}

/// Digests of consecutive parts of the sender's member table, for anti-entropy.
///
/// The receiver compares them with its own table and responds with the parts that differ, so that
/// updates still arrive when every gossip message that carried them was lost.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberTableDigest {
    /// Number of the first part.
    pub first: u8,
    /// Digest of each part, starting with `first`.
    pub parts: Vec<u32>,
}

/// Message of the membership component.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Probes the receiver, which responds with an `Ack`.
    Ping {
        /// Sequence number, repeated in the response.
        sequence: u64,
        /// Newest configuration revision that the sender has observed.
        newest_revision: ConfigRevision,
        /// Digests of some parts of the sender's member table.
        digest: MemberTableDigest,
        /// Piggybacked member updates.
        updates: Vec<MemberUpdate>,
    },
    /// Responds to a ping, either of the sender itself or forwarded for the probed member.
    Ack {
        /// Sequence number of the ping.
        sequence: u64,
        /// Newest configuration revision that the sender has observed.
        newest_revision: ConfigRevision,
        /// Piggybacked member updates.
        updates: Vec<MemberUpdate>,
        /// Members in the parts whose digests differ, however old their state is.
        table: Vec<MemberUpdate>,
        /// Whether the sender has completed its initial synchronisation of the member table.
        synced: bool,
    },
    /// Asks the receiver to probe the target on behalf of the sender.
    PingRequest {
        /// Sequence number, repeated in the response.
        sequence: u64,
        /// Member to probe.
        target: HostName,
        /// Piggybacked member updates.
        updates: Vec<MemberUpdate>,
    },
    /// Reports that the target of a `PingRequest` did not respond to the sender either.
    Nack {
        /// Sequence number of the `PingRequest`.
        sequence: u64,
    },
    /// Updates that can't wait for the next ping, such as a leaving member or a new configuration.
    #[serde(rename = "News")]
    Updates {
        /// Newest configuration revision that the sender has observed.
        newest_revision: ConfigRevision,
        /// Member updates; empty when only the revision is new.
        updates: Vec<MemberUpdate>,
    },
}
