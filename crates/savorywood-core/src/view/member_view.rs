//! The daemons that this one knows of.

use savorywood_protocol::{
    ConfigRevision, HostIncarnation, HostName, RegionName, ZoneName, peer::membership::MemberState,
};
use std::{collections::BTreeMap, net::SocketAddr};

/// What is known of one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its life.
    pub incarnation: HostIncarnation,
    /// Whether it answers.
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

/// The daemons that this one knows of, itself included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Members by host.
    pub members: BTreeMap<HostName, MemberRecord>,
}

impl MemberView {
    /// Members that take new work: alive or merely suspected.
    pub fn serving(&self) -> impl Iterator<Item = (&HostName, &MemberRecord)> {
        self.members
            .iter()
            .filter(|(_, member)| matches!(member.state, MemberState::Alive | MemberState::Suspect))
    }
}
