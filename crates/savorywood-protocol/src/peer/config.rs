//! Messages about the configuration in force.

use crate::ConfigRevision;
use serde::{Deserialize, Serialize};

/// Message of the configuration component.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigMessage {
    /// Announces which configuration the sender applies.
    InForce {
        /// Revision in force at the sender.
        revision: ConfigRevision,
    },
}
