//! Format of the rows of the table that hold the configuration.
//!
//! Each resource has a row `config/KIND/NAME`; a deleted one keeps its row without a document, so
//! that its revision and nonce can still be read back. The row `config/head` holds the revision
//! of the whole configuration and is written by every change in the same transaction. Because
//! each commit is conditional on the head, changes are totally ordered. A condition on the
//! resource's own row would be redundant: that row can't change without the head.

use savorywood_protocol::{
    ConfigRevision,
    resource::{ResourceDocument, ResourceKey},
    table::{CommitRevision, RowCondition, RowWrite, TableCommit, TableRow},
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Prefix of the keys of all rows of the configuration.
pub const CONFIG_PREFIX: &str = "config/";

/// Key of the head row.
pub const HEAD_KEY: &str = "config/head";

/// Maximum number of changes listed in the head row. A writer that lost the response to its commit
/// finds its change among them, unless this many further changes were committed before it read the
/// head row.
pub const RECENT_CHANGES: usize = 16;

/// Random number that identifies one change. By it a writer recognises its own change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeNonce(pub u64);

/// Record of one change in the head row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentChange {
    /// Revision that the change was committed under.
    pub revision: ConfigRevision,
    /// Resource that was changed or deleted.
    pub key: ResourceKey,
    /// Nonce that the writer generated for the change.
    pub nonce: ChangeNonce,
}

/// Content of the head row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Revision of the whole configuration.
    pub revision: ConfigRevision,
    /// Newest changes, oldest first, at most [`RECENT_CHANGES`].
    pub recent: Vec<RecentChange>,
}

/// Content of a resource's row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResourceRow {
    /// Revision of the change that wrote the row.
    pub revision: ConfigRevision,
    /// Nonce that the writer generated for the change.
    pub nonce: ChangeNonce,
    /// Resource; `None` once it has been deleted.
    pub document: Option<ResourceDocument>,
}

/// Why a row could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the row {key} can't be read: {reason}"))]
pub struct RowError {
    /// Key of the row.
    pub key: String,
    /// Parse error of its content.
    pub reason: String,
}

/// Head row together with the commit that wrote it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionedHead {
    /// Commit that last wrote the head row; 0 when there is no head row yet.
    pub commit: CommitRevision,
    /// Content of the head row; the default when there is none yet.
    pub row: HeadRow,
}

impl VersionedHead {
    /// Parses the head row.
    ///
    /// # Errors
    ///
    /// Fails when the content of the row is not that of a head row.
    pub fn read(table_row: &TableRow) -> Result<Self, RowError> {
        let row = decode(table_row)?;
        let commit = table_row.revision;
        Ok(Self { commit, row })
    }

    /// Returns the content of the head row after one more change.
    #[must_use]
    pub fn with_change(&self, change: RecentChange) -> HeadRow {
        let surplus = (self.row.recent.len() + 1).saturating_sub(RECENT_CHANGES);
        let retained = self.row.recent.iter().skip(surplus).cloned();
        let revision = change.revision;
        let recent = retained.chain([change]).collect();
        HeadRow { revision, recent }
    }

    /// Condition of a commit: no change has been accepted since this head row was written.
    #[must_use]
    pub fn condition(&self) -> RowCondition {
        RowCondition {
            key: HEAD_KEY.into(),
            revision: (self.commit > 0).then_some(self.commit),
        }
    }
}

/// Key of the row of a resource.
#[must_use]
pub fn row_key(key: &ResourceKey) -> String {
    format!("{CONFIG_PREFIX}{key}")
}

/// Resource that a row key names; `None` for the head row, unknown kinds and malformed keys.
#[must_use]
pub fn resource_key(row_key: &str) -> Option<ResourceKey> {
    let (kind, name) = row_key.strip_prefix(CONFIG_PREFIX)?.split_once('/')?;
    let kind = kind.parse().ok()?;
    let name = name.to_owned();
    Some(ResourceKey { kind, name })
}

/// Parses the row of a resource.
///
/// # Errors
///
/// Fails when the content of the row is not that of a resource.
pub fn read_resource(row: &TableRow) -> Result<ResourceRow, RowError> {
    decode(row)
}

/// Returns the transaction that writes one change and the new head row, on condition that `head` is
/// still the current head row.
#[must_use]
pub fn change_commit(head: &VersionedHead, key: &ResourceKey, row: &ResourceRow) -> TableCommit {
    let change = RecentChange {
        revision: row.revision,
        key: key.clone(),
        nonce: row.nonce,
    };
    let head_row = head.with_change(change);
    TableCommit {
        conditions: vec![head.condition()],
        writes: vec![
            row_write(row_key(key), row),
            row_write(HEAD_KEY.to_owned(), &head_row),
        ],
    }
}

fn row_write(key: String, content: &impl Serialize) -> RowWrite {
    let value = serde_json::to_string(content).ok();
    RowWrite { key, value }
}

fn decode<T: for<'de> Deserialize<'de>>(row: &TableRow) -> Result<T, RowError> {
    let text = row.value.as_deref().unwrap_or_default();
    serde_json::from_str(text).map_err(|error| RowError {
        key: row.key.clone(),
        reason: error.to_string(),
    })
}
