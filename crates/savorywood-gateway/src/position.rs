//! Moments in the history of the store.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A moment in the history of the store's rows.
///
/// A store that was restored from a backup gives out versions once more that it had given out
/// before, for other content. So a version says something within an era alone, and every moment of
/// a later era comes after all moments of earlier ones.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Grows each time the store is restored.
    pub era: u64,
    /// Grows with each change within an era.
    pub version: u64,
}

impl StorePosition {
    /// A position.
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
