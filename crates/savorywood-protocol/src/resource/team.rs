//! Teams of callers.

use crate::TierName;
use serde::{Deserialize, Serialize};

/// Spec of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// SHA-256 of the bearer token, 64 hexadecimal digits. The token itself is never stored.
    pub token_sha256: String,
    /// Tiers that the team may ask for; the first one is used when it names none.
    pub tiers: Vec<TierName>,
    /// Share within a tier relative to other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// Weight of a team that names none.
fn default_weight() -> u32 {
    1
}
