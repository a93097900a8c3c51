//! Requests to the platform's transactional table service and its answers.
//!
//! The same types are the JSON bodies of the service's HTTP protocol (`docs/PLATFORM.md`).

use serde::{Deserialize, Serialize};

/// Key of a row: the table's name, a slash and the key within it.
pub type RowKey = String;

/// Revision of the whole table service: every commit gets the next one.
pub type CommitRevision = u64;

/// One row as it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: RowKey,
    /// Content, a JSON text by this project's convention; `None` when the row was deleted.
    pub value: Option<String>,
    /// Commit that wrote the row last.
    pub revision: CommitRevision,
}

/// What must hold for a commit to take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// Row that is looked at.
    pub key: RowKey,
    /// Revision that the row must have; `None` when it must not exist.
    pub revision: Option<CommitRevision>,
}

/// One row to write, or to delete when `value` is `None`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Row to write.
    pub key: RowKey,
    /// New content.
    pub value: Option<String>,
}

/// All rows of one transaction: they take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCommit {
    /// All must hold.
    pub conditions: Vec<RowCondition>,
    /// Rows to write.
    pub writes: Vec<RowWrite>,
}

/// One call of the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableRequest {
    /// Read these rows.
    Get {
        /// Keys of the rows; missing ones are left out of the answer.
        keys: Vec<RowKey>,
    },
    /// Read the rows under a prefix that changed after a revision, deletions included.
    Scan {
        /// Prefix of the keys.
        prefix: String,
        /// Only rows with a larger revision; zero for all.
        after: CommitRevision,
        /// Rows at most; the answer says whether more follow.
        limit: u32,
    },
    /// Write rows in one transaction.
    Commit(TableCommit),
}

/// Answer of the table service, or what the client knows without one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableResponse {
    /// Rows that were read, ordered by key for `Get` and by revision for `Scan`.
    Rows {
        /// The rows.
        rows: Vec<TableRow>,
        /// Revision of the table service at the read.
        revision: CommitRevision,
        /// More rows follow the last one.
        more: bool,
    },
    /// The commit took effect under this revision.
    Committed {
        /// Revision of the commit.
        revision: CommitRevision,
    },
    /// A condition did not hold; nothing was written. The rows as they stand are given.
    Conflict {
        /// Rows named by conditions that did not hold.
        rows: Vec<TableRow>,
    },
    /// The request never left or the service refused it: it took no effect.
    Unavailable,
    /// The answer was lost: a commit may or may not have taken effect. Read back.
    Lost,
}
