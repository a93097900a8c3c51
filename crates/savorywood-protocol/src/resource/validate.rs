//! Checks of a resource against the others: what the shape alone can't show.

use super::{ResourceDocument, ResourceKey};
use crate::WallTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One thing wrong with a resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceFault {
    /// Where in the document, as member names and indices joined by dots: `spec.tiers.0`.
    pub path: String,
    /// What is wrong, the allowed values named.
    pub message: String,
    /// What to do.
    pub remedy: String,
}

/// Resources that a document is checked against.
pub type ResourceSet = BTreeMap<ResourceKey, ResourceDocument>;

/// Faults of writing `document` into `others`; empty when it may be accepted.
#[must_use]
pub fn check_document(
    _document: &ResourceDocument,
    _others: &ResourceSet,
    _now: WallTime,
) -> Vec<ResourceFault> {
    Vec::new()
}

/// Faults of deleting the resource `key` from `others`, such as resources that still name it.
#[must_use]
pub fn check_deletion(_key: &ResourceKey, _others: &ResourceSet) -> Vec<ResourceFault> {
    Vec::new()
}
