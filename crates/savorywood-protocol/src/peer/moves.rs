//! Messages that stop traffic moves and carry statistics of the two versions.

use crate::{ConfigRevision, MoveName, WallTime};
use serde::{Deserialize, Serialize};

/// Request statistics of one version on one route, as measured by one daemon in one period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionStatistics {
    /// Requests that ended, including failed ones.
    pub finished: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests whose time per token was measured.
    pub timed: u32,
    /// Sum over the timed requests of the natural logarithm of the microseconds per token.
    pub log_sum: f32,
    /// Sum of the squares of these logarithms.
    pub log_square: f32,
}

/// Statistics of both versions of a move on one route, as measured by one daemon in the same
/// period.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteStatistics {
    /// Route of the service.
    pub route: String,
    /// Statistics of the version that had the traffic (the baseline).
    pub old: VersionStatistics,
    /// Statistics of the version that gets the traffic.
    pub new: VersionStatistics,
}

/// Message about a traffic move.
///
/// A move is identified by its name and the configuration revision of its spec, since a stopped
/// move can be written again under the same name for another attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MoveMessage {
    /// Stops the move because the sender found the new version to fail. Final for this revision
    /// of the move.
    Stop {
        /// Name of the move.
        name: MoveName,
        /// Configuration revision of the move's spec.
        revision: ConfigRevision,
        /// Human-readable reason, shown in the status of the move.
        reason: String,
        /// Time at which the sender detected the failure.
        at: WallTime,
    },
    /// Statistics since the sender's last message, for the daemon that drives the move. A lost
    /// message loses some samples but never causes a wrong count, since nothing is sent twice.
    #[serde(rename = "Evidence")]
    Statistics {
        /// Name of the move.
        name: MoveName,
        /// Configuration revision of the move's spec.
        revision: ConfigRevision,
        /// Increased by the sender with each message; the receiver drops older ones.
        sequence: u64,
        /// Statistics by route.
        routes: Vec<RouteStatistics>,
    },
}
