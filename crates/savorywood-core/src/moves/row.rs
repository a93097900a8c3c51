//! The table row that stores the progress of a move.

use savorywood_protocol::{
    ConfigRevision, FencingNumber, HostName, MoveName, WallTime, resource::MoveState,
    table::CommitRevision,
};
use serde::{Deserialize, Serialize};

/// Key prefix of all rows of moves.
pub const MOVE_PREFIX: &str = "move/";

/// Content of the row of a move, stored as JSON. Written only by the lease holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRow {
    /// Configuration revision of the spec that the row belongs to.
    pub spec_revision: ConfigRevision,
    /// State of the move.
    pub state: MoveState,
    /// Index into the stages of the plan, from 0.
    pub stage: u32,
    /// Share of the traffic that the new version receives, in thousandths.
    pub share_per_mille: u16,
    /// Requests of the service in 1000 s, as measured before the first share or when that share was
    /// last increased; 0 before the first measurement.
    pub requests_per_1000s: u32,
    /// When the first row of this spec revision was written.
    pub started_at: WallTime,
    /// When the state or the stage last changed.
    pub stage_at: WallTime,
    /// Host of the lease holder that drives the move; daemons send their statistics to it.
    pub holder: HostName,
    /// Fencing number of the lease under which the row was written.
    pub fencing: FencingNumber,
    /// Human-readable reason for the current state.
    pub reason: String,
}

/// A row with the revision of the commit that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveRecord {
    /// Content as of that commit.
    pub row: MoveRow,
    /// Revision that a conditional write of the row must name.
    pub revision: CommitRevision,
}

impl MoveRow {
    /// Returns the measured request rate of the service in requests per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        f64::from(self.requests_per_1000s) / 1_000.0
    }

    /// Whether the move was completed or rolled back.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self.state, MoveState::Completed | MoveState::TakenBack)
    }
}

/// Returns the table key of the row of a move.
#[must_use]
pub fn row_key(name: &MoveName) -> String {
    format!("{MOVE_PREFIX}{name}")
}
