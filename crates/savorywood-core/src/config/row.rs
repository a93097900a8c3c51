//! Rows of the table that hold the configuration.
//!
//! Each resource has a row `config/KIND/NAME`; a deleted one keeps its row without a document, so
//! that its revision and nonce can still be read back. The row `config/head` holds the revision
//! of the whole configuration and is written by every change in the same transaction. Because
//! each commit is conditional on the head, changes are totally ordered, and a condition on the
//! resource's own row would add nothing: it can't have changed while the head has not.

use savorywood_protocol::{
    ConfigRevision,
    resource::{ResourceDocument, ResourceKey},
    table::{CommitRevision, RowCondition, RowWrite, TableCommit, TableRow},
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Prefix of all rows of the configuration.
pub const CONFIG_PREFIX: &str = "config/";

/// Key of the head row.
pub const HEAD_KEY: &str = "config/head";

/// Changes that the head row remembers. A writer whose answer was lost finds its own change among
/// them unless more than this many changes came before it could read back.
pub const RECENT_CHANGES: usize = 16;

/// Tells one writer's change from any other's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeNonce(pub u64);

/// One change as the head row remembers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentChange {
    /// Revision that the change made.
    pub revision: ConfigRevision,
    /// Resource that it changed.
    pub key: ResourceKey,
    /// Of its writer.
    pub nonce: ChangeNonce,
}

/// Content of the head row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Revision of the whole configuration.
    pub revision: ConfigRevision,
    /// The newest changes, oldest first.
    pub recent: Vec<RecentChange>,
}

/// Content of a resource's row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResourceRow {
    /// Revision that wrote the row.
    pub revision: ConfigRevision,
    /// Of its writer.
    pub nonce: ChangeNonce,
    /// The resource; `None` once it was deleted.
    pub document: Option<ResourceDocument>,
}

/// Why a row could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the row {key} can't be read: {reason}"))]
pub struct RowError {
    /// Key of the row.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Where a daemon stands in the table's history of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionedHead {
    /// Commit that wrote the head last; zero when there is no head yet.
    pub commit: CommitRevision,
    /// What the head said.
    pub row: HeadRow,
}

impl VersionedHead {
    /// Reads the head from a row of the table.
    ///
    /// # Errors
    ///
    /// When the row is not a head row.
    pub fn read(table_row: &TableRow) -> Result<Self, RowError> {
        let row = decode(table_row)?;
        let commit = table_row.revision;
        Ok(Self { commit, row })
    }

    /// The same head after one more change.
    #[must_use]
    pub fn with_change(&self, change: RecentChange) -> HeadRow {
        let surplus = (self.row.recent.len() + 1).saturating_sub(RECENT_CHANGES);
        let retained = self.row.recent.iter().skip(surplus).cloned();
        let revision = change.revision;
        let recent = retained.chain([change]).collect();
        HeadRow { revision, recent }
    }

    /// Condition that nothing was accepted since this mark.
    #[must_use]
    pub fn condition(&self) -> RowCondition {
        RowCondition {
            key: HEAD_KEY.into(),
            revision: (self.commit > 0).then_some(self.commit),
        }
    }
}

/// Key of a resource's row.
#[must_use]
pub fn row_key(key: &ResourceKey) -> String {
    format!("{CONFIG_PREFIX}{key}")
}

/// Resource that a row's key names.
#[must_use]
pub fn resource_key(row_key: &str) -> Option<ResourceKey> {
    let (kind, name) = row_key.strip_prefix(CONFIG_PREFIX)?.split_once('/')?;
    let kind = kind.parse().ok()?;
    let name = name.to_owned();
    Some(ResourceKey { kind, name })
}

/// Reads a resource's row.
///
/// # Errors
///
/// When the content is not that of a resource's row.
pub fn read_resource(row: &TableRow) -> Result<ResourceRow, RowError> {
    decode(row)
}

/// The transaction that makes one change on top of `mark`.
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
