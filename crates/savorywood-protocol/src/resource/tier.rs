//! Tiers of callers.

use crate::TierRank;
use serde::{Deserialize, Serialize};

/// Spec of a tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSpec {
    /// Zero is the most important; larger ranks are shed first.
    pub rank: TierRank,
}
