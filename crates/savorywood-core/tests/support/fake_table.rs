//! An in-memory transactional table with the semantics that `savorywood_protocol::table` defines.

use savorywood_protocol::table::{
    CommitRevision, TableCommit, TableRequest, TableResponse, TableRow,
};
use std::collections::BTreeMap;

/// Rows by key, the revision of the newest commit and the history of commits.
#[derive(Debug, Default)]
pub struct FakeTable {
    rows: BTreeMap<String, TableRow>,
    revision: CommitRevision,
    /// Every committed transaction, oldest first.
    pub history: Vec<TableCommit>,
}

impl FakeTable {
    /// Executes a request and returns its response, without faults.
    pub fn execute(&mut self, request: &TableRequest) -> TableResponse {
        match request {
            TableRequest::Get { keys } => {
                let rows = keys.iter().filter_map(|key| self.rows.get(key).cloned());
                self.rows_response(rows.collect(), false)
            }
            TableRequest::Scan {
                prefix,
                after,
                limit,
            } => {
                let changed = self
                    .rows
                    .values()
                    .filter(|row| row.key.starts_with(prefix.as_str()) && row.revision > *after);
                let mut rows: Vec<_> = changed.cloned().collect();
                rows.sort_by(|a, b| (a.revision, &a.key).cmp(&(b.revision, &b.key)));
                let more = rows.len() > *limit as usize;
                rows.truncate(*limit as usize);
                self.rows_response(rows, more)
            }
            TableRequest::Commit(commit) => self.commit(commit),
        }
    }

    fn rows_response(&self, rows: Vec<TableRow>, more: bool) -> TableResponse {
        let revision = self.revision;
        TableResponse::Rows {
            rows,
            revision,
            more,
        }
    }

    fn commit(&mut self, commit: &TableCommit) -> TableResponse {
        let live = |row: &&TableRow| row.value.is_some();
        let failed_keys = commit.conditions.iter().filter(|condition| {
            let row = self.rows.get(&condition.key).filter(live);
            row.map(|row| row.revision) != condition.revision
        });
        let failed_keys: Vec<_> = failed_keys.map(|condition| condition.key.clone()).collect();
        if !failed_keys.is_empty() {
            let rows = failed_keys
                .iter()
                .filter_map(|key| self.rows.get(key).cloned());
            return TableResponse::Conflict {
                rows: rows.collect(),
            };
        }
        self.revision += 1;
        for write in &commit.writes {
            let row = TableRow {
                key: write.key.clone(),
                value: write.value.clone(),
                revision: self.revision,
            };
            self.rows.insert(write.key.clone(), row);
        }
        self.history.push(commit.clone());
        TableResponse::Committed {
            revision: self.revision,
        }
    }
}
