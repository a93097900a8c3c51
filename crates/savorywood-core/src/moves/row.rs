//! The row of a move.

use savorywood_protocol::{
    ConfigRevision, FencingNumber, HostName, MoveName, WallTime, resource::MoveState,
    table::CommitRevision,
};
use serde::{Deserialize, Serialize};

/// Prefix of all rows of moves.
pub const MOVE_PREFIX: &str = "move/";

/// Content of a move's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRow {
    /// Revision of the spec that it is about.
    pub spec_revision: ConfigRevision,
    /// Where the move stands.
    pub state: MoveState,
    /// Place in the plan's stages.
    pub stage: u32,
    /// Share of the new version, in thousandths.
    pub share_per_mille: u16,
    /// Requests of the service in a thousand seconds, as measured before the first share.
    pub requests_per_1000s: u32,
    /// When the move began.
    pub started_at: WallTime,
    /// When the stage began.
    pub stage_at: WallTime,
    /// Who drives it: evidence goes there.
    pub holder: HostName,
    /// Term of the lease under which the row was written.
    pub fencing: FencingNumber,
    /// Sentence for a person: why it stands where it stands.
    pub reason: String,
}

/// A row with the commit that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveRecord {
    /// The row.
    pub row: MoveRow,
    /// The commit.
    pub revision: CommitRevision,
}

impl MoveRow {
    /// Requests of the service in a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        f64::from(self.requests_per_1000s) / 1_000.0
    }

    /// Whether the move has ended, one way or the other.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self.state, MoveState::Completed | MoveState::TakenBack)
    }
}

/// Key of a move's row.
#[must_use]
pub fn row_key(name: &MoveName) -> String {
    format!("{MOVE_PREFIX}{name}")
}
