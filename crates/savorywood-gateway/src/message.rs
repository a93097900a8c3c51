//! Messages exchanged between daemons, except for zone digests.
//!
//! All types here are encoded with postcard: the order of fields and variants is part of the
//! format.

use crate::{
    entry_set::HostResources,
    rollout::RolloutEvidence,
    store_reads::{PeerEcho, StoreAttestation},
    team_limit::BucketLevels,
};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Readiness of a daemon as it reports it to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerPhase {
    /// The daemon cannot serve: it is starting, or cannot confirm its configuration.
    Unready,
    /// The daemon accepts callers.
    Ready,
    /// The daemon is stopping.
    Leaving,
}

/// Role of a daemon in dispatching requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DaemonRole {
    /// A member of the entry set, which the directory lists for callers.
    Entry,
    /// No longer a member, but callers with an older directory response still have requests here.
    Draining,
    /// Takes over when a member of the entry set fails.
    #[default]
    Standby,
}

/// Slots that one daemon or zone uses at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUse {
    /// Digest of the upstream's name; only the lower 32 bits are compared.
    pub upstream: u64,
    /// Requests in progress there.
    pub running: u16,
    /// Prompt tokens of the requests whose first event has not been received yet (prefill backlog).
    pub unread_prompt_tokens: u32,
}

/// Owner of the slots in a [`SlotUpdate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotScope {
    /// The daemon that reports.
    Daemon,
    /// The zone whose name has this digest.
    Zone(u64),
}

/// Slots in use, sent between two summaries while free slots are scarce.
///
/// A slot changes hands faster than summaries are sent. A daemon that observes a free slot late
/// keeps its callers waiting; one that observes a used slot late dispatches there, and the request
/// waits inside the upstream, where ranks have no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUpdate {
    /// Digest of the reporting daemon's host name.
    pub sender: u64,
    /// Incarnation of the reporting daemon.
    pub incarnation: u64,
    /// Sequence number, shared with the daemon's summaries.
    pub sequence: u64,
    /// Owner of the slots.
    pub scope: SlotScope,
    /// All slots in use by the owner; they replace those of earlier messages.
    pub slots: Vec<SlotUse>,
}

/// Usage of a team at one daemon, counted over the daemon's incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUse {
    /// Digest of the team's name.
    pub team: u64,
    /// Units charged to the team's limit: tokens or requests.
    pub total: u64,
    /// Levels of the sender's copy of the team's buckets.
    pub levels: BucketLevels,
}

/// Results that one daemon has observed for one roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionTally {
    /// Digest of the service's name and the new version.
    pub rollout: u64,
    /// Time since the order, in milliseconds, as far as the daemon knows.
    pub age_ms: u32,
    /// Requests and responses of both versions.
    pub evidence: RolloutEvidence,
    /// The daemon has rejected the new version.
    pub rejected: bool,
}

/// State of one daemon, sent to its peers at regular intervals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerSummary {
    /// Host of the daemon.
    pub host: String,
    /// Incarnation of the daemon; a later one is larger.
    pub incarnation: u64,
    /// Uptime of the incarnation, in milliseconds.
    pub uptime_ms: u64,
    /// Sequence number; grows with each message of an incarnation.
    pub sequence: u64,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Address at which other daemons reach the daemon.
    pub peer_address: SocketAddr,
    /// Address at which callers reach the daemon.
    pub caller_address: SocketAddr,
    /// Readiness of the daemon.
    pub phase: PeerPhase,
    /// Version of the configuration that the daemon has in force; 0 when it has none.
    pub config_version: u64,
    /// The daemon can't reach upstreams and relays no requests.
    pub partitioned: bool,
    /// Slots that the daemon uses at upstreams.
    pub slots: Vec<SlotUse>,
    /// Digests of the names of upstreams that the daemon has ejected for now.
    pub ejected_upstreams: Vec<u64>,
    /// Usage of teams at the daemon.
    pub usage: Vec<TeamUse>,
    /// Results that the daemon has observed for roll-outs.
    pub tallies: Vec<VersionTally>,
    /// Role of the daemon in dispatching requests.
    pub role: DaemonRole,
    /// The daemon has left the entry set, and callers that it had as a member still send requests.
    pub keeps_member_callers: bool,
    /// Resources of the daemon's host.
    pub capacity: HostResources,
    /// Resources that the daemon uses.
    pub load: HostResources,
    /// Recent peak load of the daemon's zone.
    pub peak: HostResources,
    /// Clock of the daemon at the time of sending.
    pub sent_at: MonotonicTime,
    /// Attestation of the store's state; present only when the daemon reads the store itself.
    pub attestation: Option<StoreAttestation>,
    /// Echoes of the neighbours' last messages; empty when the daemon does not attest, or replies to
    /// each message.
    pub echoes: Vec<PeerEcho>,
    /// Revision of the view that the daemon follows in a large zone; 0 when there is none.
    pub view_revision: u64,
    /// The daemon is a coordinator of a large zone and has heard from its daemons.
    pub coordinates: bool,
}

/// Heartbeat of a member of the entry set, sent between two summaries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Digest of the sender's host name.
    pub sender: u64,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Sequence number, shared with the sender's summaries.
    pub sequence: u64,
}
