//! Positions in the history of the store's rows.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A position in the history of the store's rows.
///
/// A store that was restored from a backup assigns versions again that it had assigned to other
/// content before. Versions are therefore comparable within one era only, and every position of a
/// later era follows all positions of earlier ones.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Era of the store; grows each time the store is restored.
    pub era: u64,
    /// Grows with each change within an era.
    pub version: u64,
}

impl StorePosition {
    /// Creates the position `version` of an era.
    #[must_use]
    pub fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.version)
    }
}
