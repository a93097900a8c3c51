//! How a service's traffic is split between two versions.

use savorywood_protocol::{MoveName, VersionName};

/// Split of one service's traffic while a move is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSplit {
    /// Move that the split belongs to.
    pub move_name: MoveName,
    /// Version that has the rest of the traffic.
    pub old: VersionName,
    /// Version that has the share.
    pub new: VersionName,
    /// Share of the new version, in thousandths; zero once the move was stopped.
    pub new_per_mille: u16,
}
