//! Requests and responses of the platform's transactional table service.
//!
//! These types are also the JSON bodies of its HTTP protocol (`docs/PLATFORM.md`).

use serde::{Deserialize, Serialize};

/// Key of a row: the table name, a slash and the key within the table.
pub type RowKey = String;

/// Revision of the table service. Every commit, to any table, gets the next one.
pub type CommitRevision = u64;

/// Current state of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: RowKey,
    /// Content, JSON text by convention; `None` when the row is deleted.
    pub value: Option<String>,
    /// Revision of the last commit that wrote the row.
    pub revision: CommitRevision,
}

/// Precondition of a commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// Key of the row that is checked.
    pub key: RowKey,
    /// Revision that the row must have; `None` when the row must not exist.
    pub revision: Option<CommitRevision>,
}

/// One row to write or delete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: RowKey,
    /// New content; `None` deletes the row.
    pub value: Option<String>,
}

/// Transaction: all writes take effect together or none does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCommit {
    /// Preconditions, all of which must hold.
    pub conditions: Vec<RowCondition>,
    /// Rows to write.
    pub writes: Vec<RowWrite>,
}

/// Request to the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableRequest {
    /// Reads rows by key.
    Get {
        /// Keys of the rows; rows that don't exist are omitted from the response.
        keys: Vec<RowKey>,
    },
    /// Reads the rows under a key prefix that changed after a revision, deletions included.
    Scan {
        /// Prefix of the keys.
        prefix: String,
        /// Returns only rows with a larger revision; zero for all rows.
        after: CommitRevision,
        /// Maximum number of rows; the response indicates whether more follow.
        limit: u32,
    },
    /// Writes rows in one transaction.
    Commit(TableCommit),
}

/// Response of the table service, or what the client can conclude without one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableResponse {
    /// Rows that were read, ordered by key for `Get` and by revision for `Scan`.
    Rows {
        /// Rows found; deleted rows have no value.
        rows: Vec<TableRow>,
        /// Revision of the table service at the time of the read.
        revision: CommitRevision,
        /// Whether more rows follow the last one.
        more: bool,
    },
    /// The commit took effect under this revision.
    Committed {
        /// Revision of the commit.
        revision: CommitRevision,
    },
    /// A precondition did not hold; nothing was written.
    Conflict {
        /// Current state of the rows whose preconditions did not hold.
        rows: Vec<TableRow>,
    },
    /// The request was not sent or the service refused it: it had no effect.
    Unavailable,
    /// The response was lost: a commit may or may not have taken effect. The caller has to read
    /// the rows to find out.
    Lost,
}
