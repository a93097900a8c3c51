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

/// What one daemon tells of another.
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
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Configuration revision in force there, as last heard.
    pub config_revision: ConfigRevision,
}

/// Message of the membership duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Asks for a sign of life.
    Ping {
        /// Echoed by the answer.
        sequence: u64,
        /// News carried along.
        updates: Vec<MemberUpdate>,
    },
    /// Answers a ping.
    Ack {
        /// Of the ping.
        sequence: u64,
        /// News carried along.
        updates: Vec<MemberUpdate>,
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
}
