//! Rows of a table as they were read last.

use crate::adapter::StoreRow;
use savorywood_gateway::StorePosition;
use std::collections::BTreeMap;

/// What a row is compared by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CachedRow {
    position: StorePosition,
    /// Digest of its value.
    content: u64,
}

/// Rows of a table by key.
#[derive(Debug, Clone, Default)]
pub(super) struct RowCache {
    rows: BTreeMap<String, CachedRow>,
}

impl RowCache {
    /// Takes a row that was written or removed.
    pub fn insert(&mut self, row: &StoreRow) {
        match &row.value {
            Some(value) => {
                let known = CachedRow {
                    position: row.position,
                    content: content_digest(value),
                };
                self.rows.insert(row.key.clone(), known);
            }
            None => {
                self.rows.remove(&row.key);
            }
        }
    }

    /// Takes the whole table; returns its rows that are new, and removals of known rows that it lacks.
    pub fn replace(&mut self, rows: Vec<StoreRow>, revision: StorePosition) -> Vec<StoreRow> {
        let before = std::mem::take(&mut self.rows);
        for row in &rows {
            self.insert(row);
        }
        let missing = before.keys().filter(|key| !self.rows.contains_key(*key));
        let removed: Vec<StoreRow> = missing
            .map(|key| StoreRow {
                key: key.clone(),
                value: None,
                position: revision,
            })
            .collect();
        let is_new = |row: &StoreRow| match (before.get(&row.key), self.rows.get(&row.key)) {
            (Some(known), Some(read)) => known.differs(*read),
            _ => true,
        };
        rows.into_iter().filter(is_new).chain(removed).collect()
    }
}

impl CachedRow {
    /// The row was written since. After a restore every row has another position.
    fn differs(self, read: Self) -> bool {
        let is_restored = self.position.era < read.position.era;
        self.position != read.position && !(is_restored && self.content == read.content)
    }
}

fn content_digest(value: &[u8]) -> u64 {
    let mut digest = [0; 8];
    let mut hasher = blake3::Hasher::new();
    hasher.update(value);
    hasher.finalize_xof().fill(&mut digest);
    u64::from_le_bytes(digest)
}

#[cfg(test)]
mod tests;
