//! Versions that upstreams of a service run.

use crate::ServiceName;
use serde::{Deserialize, Serialize};

/// Spec of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// Service that it is a version of.
    pub service: ServiceName,
    /// Key of its weights in the weight store, for engines that take orders.
    #[serde(default)]
    pub weights: Option<String>,
}
