//! Copy of a table's rows, from which other daemons are served.

use crate::{adapter::StoreRow, peers::RowsPush};
use savorywood_gateway::{SharedTable, StorePosition, TablePosition};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of removed rows that are remembered.
const MAX_REMOVED: usize = 1_024;

/// Rows of a table as last applied, and the rows last removed from it.
#[derive(Debug, Default)]
pub struct TableSnapshot {
    position: Option<TablePosition>,
    rows: BTreeMap<String, StoreRow>,
    removed: VecDeque<StoreRow>,
    /// Position from which on all removed rows are remembered.
    removed_since: StorePosition,
}

impl TableSnapshot {
    /// Returns how far the copy follows the store; `None` when there is no copy.
    #[must_use]
    pub fn position(&self) -> Option<TablePosition> {
        self.position
    }

    /// Returns all rows.
    #[must_use]
    pub fn rows(&self) -> Vec<StoreRow> {
        self.rows.values().cloned().collect()
    }

    /// Replaces all rows after a complete read.
    pub fn replace(&mut self, rows: &[StoreRow], revision: StorePosition) {
        let rows = rows.iter().map(|row| (row.key.clone(), row.clone()));
        self.rows = rows.collect();
        self.removed.clear();
        self.removed_since = revision;
    }

    /// Applies changed rows and the position that the copy has reached with them.
    pub fn apply(&mut self, rows: &[StoreRow], position: TablePosition) {
        for row in rows {
            if row.value.is_some() {
                self.rows.insert(row.key.clone(), row.clone());
                continue;
            }
            self.rows.remove(&row.key);
            self.removed.push_back(row.clone());
            if self.removed.len() > MAX_REMOVED
                && let Some(forgotten) = self.removed.pop_front()
            {
                self.removed_since = self.removed_since.max(forgotten.position);
            }
        }
        self.position = Some(position);
    }

    /// Returns the rows that changed after a position; `None` when they are not all known.
    #[must_use]
    pub fn changes_after(&self, table: SharedTable, after: StorePosition) -> Option<RowsPush> {
        let position = self.position?;
        let is_known = after >= self.removed_since && after.era == position.read_through.era;
        if !is_known || position.read_through <= after {
            return None;
        }
        let rows = self.rows.values().chain(&self.removed);
        let changed = rows.filter(|row| row.position > after || row.position.version == 0);
        let mut rows: Vec<StoreRow> = changed.cloned().collect();
        rows.sort_by_key(|row| row.position);
        Some(RowsPush {
            table,
            after,
            before: after,
            through: position.read_through,
            rows,
        })
    }
}

#[cfg(test)]
mod tests;
