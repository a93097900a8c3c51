//! Snapshot of the configuration, which daemons transfer between one another.

use savorywood_protocol::{ConfigRevision, resource::ResourceDocument, table::CommitRevision};

/// All resources in force at one revision.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigSnapshot {
    /// Revision of the configuration.
    pub revision: ConfigRevision,
    /// Newest table commit that the snapshot includes. The receiver continues to read the table
    /// after this commit.
    pub table_revision: CommitRevision,
    /// All resource documents in force.
    pub documents: Vec<ResourceDocument>,
}
