//! A whole configuration as one daemon hands it to another.

use savorywood_protocol::{ConfigRevision, resource::ResourceDocument, table::CommitRevision};

/// Resources in force at one revision.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigSnapshot {
    /// Revision in force.
    pub revision: ConfigRevision,
    /// Newest commit of the table that it covers: where reading the table goes on.
    pub table_revision: CommitRevision,
    /// All resources.
    pub documents: Vec<ResourceDocument>,
}
