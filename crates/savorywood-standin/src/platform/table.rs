//! Transactional table service in memory (`docs/PLATFORM.md`).

use savorywood_protocol::table::{
    CommitRevision, RowCondition, RowKey, TableCommit, TableRequest, TableResponse, TableRow,
};
use std::collections::{BTreeMap, BTreeSet};

/// Place of a row in the order of commits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ChangePlace {
    revision: CommitRevision,
    key: RowKey,
}

/// Rows with their revisions. Deleted rows stay as rows without a value, so that a scan tells
/// their deletion.
#[derive(Debug, Default)]
pub struct TableStore {
    revision: CommitRevision,
    rows: BTreeMap<RowKey, TableRow>,
    changes: BTreeSet<ChangePlace>,
}

impl TableStore {
    /// Revision of the last commit.
    #[must_use]
    pub fn revision(&self) -> CommitRevision {
        self.revision
    }

    /// Executes one request.
    pub fn execute(&mut self, request: &TableRequest) -> TableResponse {
        match request {
            TableRequest::Get { keys } => self.get(keys),
            TableRequest::Scan {
                prefix,
                after,
                limit,
            } => self.scan(prefix, *after, *limit),
            TableRequest::Commit(commit) => self.commit(commit),
        }
    }

    fn get(&self, keys: &[RowKey]) -> TableResponse {
        let keys: BTreeSet<&RowKey> = keys.iter().collect();
        let rows = keys.into_iter().filter_map(|key| self.live(key));
        TableResponse::Rows {
            rows: rows.cloned().collect(),
            revision: self.revision,
            more: false,
        }
    }

    /// Rows come in the order of commits. A page never ends within a commit: the next page asks
    /// for what came after the last revision, and would skip the commit's other rows.
    fn scan(&self, prefix: &str, after: CommitRevision, limit: u32) -> TableResponse {
        let start = ChangePlace {
            revision: after.saturating_add(1),
            key: RowKey::new(),
        };
        let limit = limit.max(1) as usize;
        let mut rows: Vec<TableRow> = Vec::new();
        let mut more = false;
        let places = self.changes.range(start..);
        for place in places.filter(|place| place.key.starts_with(prefix)) {
            let last = rows.last().map(|row| row.revision);
            if rows.len() >= limit && last != Some(place.revision) {
                more = true;
                break;
            }
            rows.extend(self.rows.get(&place.key).cloned());
        }
        TableResponse::Rows {
            rows,
            revision: self.revision,
            more,
        }
    }

    fn commit(&mut self, commit: &TableCommit) -> TableResponse {
        let broken = commit.conditions.iter().filter(|c| !self.holds(c));
        let broken: Vec<TableRow> = broken.map(|c| self.as_it_stands(&c.key)).collect();
        if !broken.is_empty() {
            return TableResponse::Conflict { rows: broken };
        }
        self.revision += 1;
        for write in &commit.writes {
            self.write(TableRow {
                key: write.key.clone(),
                value: write.value.clone(),
                revision: self.revision,
            });
        }
        TableResponse::Committed {
            revision: self.revision,
        }
    }

    fn write(&mut self, row: TableRow) {
        let place = ChangePlace {
            revision: row.revision,
            key: row.key.clone(),
        };
        if let Some(before) = self.rows.insert(row.key.clone(), row) {
            self.changes.remove(&ChangePlace {
                revision: before.revision,
                key: before.key,
            });
        }
        self.changes.insert(place);
    }

    fn holds(&self, condition: &RowCondition) -> bool {
        self.live(&condition.key).map(|row| row.revision) == condition.revision
    }

    fn live(&self, key: &str) -> Option<&TableRow> {
        self.rows.get(key).filter(|row| row.value.is_some())
    }

    /// A row that never was has revision zero.
    fn as_it_stands(&self, key: &str) -> TableRow {
        let missing = || TableRow {
            key: key.to_owned(),
            value: None,
            revision: 0,
        };
        self.rows.get(key).cloned().unwrap_or_else(missing)
    }
}
