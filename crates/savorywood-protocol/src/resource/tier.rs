//! Priority tiers, which decide what is shed first under overload.

use crate::TierRank;
use serde::{Deserialize, Serialize};

/// Spec of a tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSpec {
    /// Rank, unique among tiers: zero is the most important, larger ranks are shed first.
    pub rank: TierRank,
}
