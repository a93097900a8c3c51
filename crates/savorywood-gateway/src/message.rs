//! Messages between daemons, but for digests of zones.

use crate::{
    entry_set::HostResources,
    store_reads::{PeerEcho, StoreAttestation},
    team_limit::BucketLevels,
};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a daemon does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerPhase {
    /// It can't serve: it starts, or can't confirm its configuration.
    Unready,
    /// It takes callers.
    Ready,
    /// It is about to end.
    Leaving,
}

/// Part that a daemon has in placing requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DaemonRole {
    /// The directory names it to callers.
    Entry,
    /// Callers of an older answer of the directory still have requests there.
    Draining,
    /// It takes over when a member of the entry set fails.
    #[default]
    Standby,
}

/// Requests of a daemon at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUse {
    /// Digest of the upstream's name; only its lower half counts.
    pub upstream: u64,
    /// Requests there.
    pub running: u16,
    /// Prompt tokens of those of which no event has come yet.
    pub unread_prompt_tokens: u32,
}

/// Whose slots they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotScope {
    /// Those of the daemon that reports.
    Daemon,
    /// Those of the zone whose name has this digest.
    Zone(u64),
}

/// Slots alone, sent between two full summaries while they are scarce.
///
/// A slot turns over in less time than passes between two full summaries. A daemon that learns late
/// that one is free keeps its callers waiting beside it; one that learns late that it is taken
/// sends there, and the request waits inside the upstream, where ranks count nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUpdate {
    /// Digest of the host that reports.
    pub sender: u64,
    /// Its life.
    pub incarnation: u64,
    /// Counts on from its full summaries.
    pub sequence: u64,
    /// Whose slots they are.
    pub scope: SlotScope,
    /// Its requests at upstreams, all of them.
    pub slots: Vec<SlotUse>,
}

/// What a team has used at a daemon in that daemon's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUse {
    /// Digest of the team's name.
    pub team: u64,
    /// Units used.
    pub total: u64,
    /// Levels of the sender's copy of the team's buckets.
    pub levels: BucketLevels,
}

/// Answers that a daemon has seen from one side of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionTally {
    /// Digest of the service's name and the new version.
    pub rollout: u64,
    /// Answers of the new version.
    pub new_responses: u32,
    /// Bad ones among them.
    pub new_bad: u32,
    /// Answers of the old versions meanwhile.
    pub old_responses: u32,
    /// Bad ones among them.
    pub old_bad: u32,
    /// Requests of the service that went anywhere meanwhile.
    pub dispatched: u32,
    /// Those that went to the new version.
    pub dispatched_new: u32,
    /// This daemon holds the version for bad.
    pub rejected: bool,
}

/// Summary of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerSummary {
    /// Its host.
    pub host: String,
    /// Its life; a later one is larger.
    pub incarnation: u64,
    /// Age of that life in milliseconds.
    pub uptime_ms: u64,
    /// Grows with each summary of a life.
    pub sequence: u64,
    /// Its zone.
    pub zone: String,
    /// Where other daemons reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// What it does.
    pub phase: PeerPhase,
    /// Configuration version that it has in force.
    pub config_version: u64,
    /// Its requests at upstreams.
    pub slots: Vec<SlotUse>,
    /// Digests of the names of upstreams that it leaves out for now.
    pub ejected_upstreams: Vec<u64>,
    /// What teams have used there.
    pub usage: Vec<TeamUse>,
    /// What it has seen of roll-outs.
    pub tallies: Vec<VersionTally>,
    /// Its part in placing requests.
    pub role: DaemonRole,
    /// What its host has.
    pub capacity: HostResources,
    /// What it uses of that.
    pub load: HostResources,
    /// Highest load of its zone lately.
    pub peak: HostResources,
    /// Its clock when it said this.
    pub sent_at: MonotonicTime,
    /// What it attests to, if it reads the store itself.
    pub attestation: Option<StoreAttestation>,
    /// Echoes of its neighbours' last messages, where it attests.
    pub echoes: Vec<PeerEcho>,
}

/// Sign of life of a member of the entry set, between two summaries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Digest of its host's name.
    pub sender: u64,
    /// Its life.
    pub incarnation: u64,
    /// Grows with each message of a life.
    pub sequence: u64,
}
