//! Which configuration is in force.

use crate::ConfigRevision;
use serde::{Deserialize, Serialize};

/// Message of the configuration duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigMessage {
    /// The sender has this revision in force.
    InForce {
        /// Revision in force at the sender.
        revision: ConfigRevision,
    },
}
