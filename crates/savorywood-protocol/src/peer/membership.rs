//! Who is alive.

use crate::{ConfigRevision, HostIncarnation, HostName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumIter, IntoStaticStr};

/// What is known of a member.
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
    /// Answers.
    Alive,
    /// Missed probes; may still refute.
    Suspect,
    /// Leaving on purpose; sticky for the incarnation.
    Leaving,
    /// Gone.
    Dead,
}

/// Where a member stands and is reached. It does not change within an incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLocation {
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
}

/// What one daemon tells of another.
///
/// Most updates are about members that the receiver knows, so the place, which is two thirds of
/// the bytes, is left out of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Host that it is about.
    pub host: HostName,
    /// Life of the host that it is about.
    pub incarnation: HostIncarnation,
    /// Raised by the member itself to refute a suspicion.
    pub refutation: u32,
    /// What is told.
    pub state: MemberState,
    /// Configuration revision in force there, as last heard.
    pub config_revision: ConfigRevision,
    /// Where it stands; given while the receiver may not know.
    pub location: Option<MemberLocation>,
}

/// Bytes that a varint of 64 bits takes at most.
const MAX_VARINT_BYTES: usize = 10;

/// Bytes that a socket address takes at most (a tag, 16 bytes of IPv6, a port).
const MAX_ADDRESS_BYTES: usize = 20;

impl MemberUpdate {
    /// Upper bound of its encoded length in bytes, cheaper than encoding it.
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
        // One byte each for the length of the name, the state and the presence of the place.
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

/// Digests of consecutive parts of the sender's member table.
///
/// The receiver compares them with its own and answers with the parts that differ, so that news
/// that was lost on all its ways is still learned.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberTableDigest {
    /// Number of the first part.
    pub first: u8,
    /// Digest of each part, from the first on.
    pub parts: Vec<u32>,
}

/// Message of the membership duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Asks for a sign of life.
    Ping {
        /// Echoed by the answer.
        sequence: u64,
        /// Newest configuration revision known to the sender.
        newest_revision: ConfigRevision,
        /// Parts of the sender's table.
        digest: MemberTableDigest,
        /// News carried along.
        updates: Vec<MemberUpdate>,
    },
    /// Answers a ping, directly or for a third daemon.
    Ack {
        /// Of the ping.
        sequence: u64,
        /// Newest configuration revision known to the sender.
        newest_revision: ConfigRevision,
        /// News carried along.
        updates: Vec<MemberUpdate>,
        /// Members in the parts whose digests differ, of any age.
        table: Vec<MemberUpdate>,
        /// Whether the sender has read the whole table of others itself.
        synced: bool,
    },
    /// Asks a third daemon to ping the target.
    PingRequest {
        /// Echoed by the answer.
        sequence: u64,
        /// Whom to ping.
        target: HostName,
        /// News carried along.
        updates: Vec<MemberUpdate>,
    },
    /// A third daemon says that the target did not answer it either.
    Nack {
        /// Of the request.
        sequence: u64,
    },
    /// News that can't wait for the next ping: a member leaves, a new configuration.
    #[serde(rename = "News")]
    Updates {
        /// Newest configuration revision known to the sender.
        newest_revision: ConfigRevision,
        /// The news.
        updates: Vec<MemberUpdate>,
    },
}
