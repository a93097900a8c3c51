//! Which moves were stopped, and what daemons saw of the two versions.

use crate::{ConfigRevision, MoveName, WallTime};
use serde::{Deserialize, Serialize};

/// What one daemon saw of one version on one route in one period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionStatistics {
    /// Requests that ended, failed ones included.
    pub finished: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests whose speed was measured.
    pub timed: u32,
    /// Sum of the natural logarithms of the microseconds a token took.
    pub log_sum: f32,
    /// Sum of their squares.
    pub log_square: f32,
}

/// What one daemon saw of both versions on one route in the same period.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteStatistics {
    /// Route within the service.
    pub route: String,
    /// Version that had the traffic.
    pub old: VersionStatistics,
    /// Version that gets it.
    pub new: VersionStatistics,
}

/// Message of the move duty. A move is named together with the configuration revision of its
/// spec: one that was stopped may be written again and tried anew under the same name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MoveMessage {
    /// The sender saw the new version fail; sticky for that revision of the move.
    Stop {
        /// Move that is stopped.
        name: MoveName,
        /// Revision of its spec.
        revision: ConfigRevision,
        /// What was seen, for the move's status.
        reason: String,
        /// When it was seen.
        at: WallTime,
    },
    /// What the sender saw since its last message, for the daemon that drives the move. A lost
    /// message costs some evidence, never a wrong count: nothing is sent twice.
    #[serde(rename = "Evidence")]
    Statistics {
        /// Move that it is about.
        name: MoveName,
        /// Revision of its spec.
        revision: ConfigRevision,
        /// Counted up by the sender; older ones are dropped.
        sequence: u64,
        /// By route.
        routes: Vec<RouteStatistics>,
    },
}
