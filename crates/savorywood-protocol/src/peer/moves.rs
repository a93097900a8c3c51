//! Which moves were stopped.

use crate::{MoveName, WallTime};
use serde::{Deserialize, Serialize};

/// Message of the move duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveMessage {
    /// The sender saw the new version fail; sticky for that move.
    Stop {
        /// Move that is stopped.
        name: MoveName,
        /// What was seen, for the move's status.
        reason: String,
        /// When it was seen.
        at: WallTime,
    },
}
