//! Cluster members as seen by this daemon.

use savorywood_protocol::{
    ConfigRevision, HostIncarnation, HostName, RegionName, ZoneName, peer::membership::MemberState,
};
use std::{collections::BTreeMap, net::SocketAddr};

/// One member of the cluster, as last reported by gossip.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Incarnation of the daemon process; larger after each restart.
    pub incarnation: HostIncarnation,
    /// Liveness of the member.
    pub state: MemberState,
    /// Address at which other daemons reach the member.
    pub peer_address: SocketAddr,
    /// Address at which callers reach the member.
    pub caller_address: SocketAddr,
    /// Availability zone of the member's host.
    pub zone: ZoneName,
    /// Region of the member's host.
    pub region: RegionName,
    /// Revision of the configuration in force at the member, as last reported.
    pub config_revision: ConfigRevision,
}

/// Members of the cluster as seen by this daemon, itself included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Members by host name.
    pub members: BTreeMap<HostName, MemberRecord>,
}

impl MemberView {
    /// Returns the members that accept new requests: those that are live, and those that are
    /// suspected of a failure but not declared dead.
    pub fn serving(&self) -> impl Iterator<Item = (&HostName, &MemberRecord)> {
        self.members
            .iter()
            .filter(|(_, member)| matches!(member.state, MemberState::Alive | MemberState::Suspect))
    }
}
