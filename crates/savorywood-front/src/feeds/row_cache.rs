//! The rows of a table as last read, to find the differences between two complete reads.

use crate::adapter::StoreRow;
use savorywood_gateway::StorePosition;
use std::collections::BTreeMap;

/// The properties by which two versions of a row are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CachedRow {
    position: StorePosition,
    /// Digest of the value.
    content: u64,
}

#[derive(Debug, Clone, Default)]
pub(super) struct RowCache {
    rows: BTreeMap<String, CachedRow>,
}

impl RowCache {
    /// Applies a written or removed row.
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

    /// Replaces all rows. Returns rows that are new or changed, and removals of cached rows that
    /// are missing.
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
    /// Reports whether the row was written again. After a restore all positions differ, so only the
    /// content is compared.
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
