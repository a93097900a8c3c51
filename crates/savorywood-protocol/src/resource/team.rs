//! Teams of callers, each identified by a bearer token.

use crate::TierName;
use serde::{Deserialize, Serialize};

/// Spec of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// SHA-256 of the bearer token, as 64 hexadecimal digits. The token itself is never stored.
    pub token_sha256: String,
    /// Tiers that the team may request; the first one applies when a request selects none.
    pub tiers: Vec<TierName>,
    /// Weight of the team's fair share within a tier, relative to other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// Weight of a team that sets none.
fn default_weight() -> u32 {
    1
}
