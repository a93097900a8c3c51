//! Versions of a service, one of which each upstream runs.

use crate::ServiceName;
use serde::{Deserialize, Serialize};

/// Spec of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// Service that the version belongs to.
    pub service: ServiceName,
    /// Key of the version's weights in the weight store, for engines that accept orders; absent when
    /// the weights aren't in the store.
    #[serde(default)]
    pub weights: Option<String>,
}
