//! Traffic split of a service between two versions.

use savorywood_protocol::{MoveName, VersionName};

/// Traffic split of one service while a move is in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSplit {
    /// Move that the split belongs to.
    pub move_name: MoveName,
    /// Version that receives the rest of the traffic.
    pub old: VersionName,
    /// Version that receives `new_per_mille` of the traffic.
    pub new: VersionName,
    /// Traffic share of the new version, in thousandths (0 to 1000); zero after the move was
    /// stopped.
    pub new_per_mille: u16,
}
