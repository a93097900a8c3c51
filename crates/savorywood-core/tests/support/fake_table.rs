//! A transactional table in memory with the semantics that `savorywood_protocol::table` states.

use savorywood_protocol::table::{
    CommitRevision, TableCommit, TableRequest, TableResponse, TableRow,
};
use std::collections::BTreeMap;

/// Rows and the revision of the newest commit.
#[derive(Debug, Default)]
pub struct FakeTable {
    rows: BTreeMap<String, TableRow>,
    revision: CommitRevision,
    /// Every commit that took effect, oldest first.
    pub history: Vec<TableCommit>,
}

impl FakeTable {
    /// Executes one request to its end.
    pub fn execute(&mut self, request: &TableRequest) -> TableResponse {
        match request {
            TableRequest::Get { keys } => {
                let rows = keys.iter().filter_map(|key| self.rows.get(key).cloned());
                self.rows_answer(rows.collect(), false)
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
                self.rows_answer(rows, more)
            }
            TableRequest::Commit(commit) => self.commit(commit),
        }
    }

    fn rows_answer(&self, rows: Vec<TableRow>, more: bool) -> TableResponse {
        let revision = self.revision;
        TableResponse::Rows {
            rows,
            revision,
            more,
        }
    }

    fn commit(&mut self, commit: &TableCommit) -> TableResponse {
        let live = |row: &&TableRow| row.value.is_some();
        let broken = commit.conditions.iter().filter(|condition| {
            let row = self.rows.get(&condition.key).filter(live);
            row.map(|row| row.revision) != condition.revision
        });
        let broken: Vec<_> = broken.map(|condition| condition.key.clone()).collect();
        if !broken.is_empty() {
            let rows = broken.iter().filter_map(|key| self.rows.get(key).cloned());
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
