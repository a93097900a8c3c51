//! Who may send how much to an upstream.

use crate::{TierRank, UpstreamName};
use serde::{Deserialize, Serialize};

/// Demand of one daemon in one tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierDemand {
    /// Tier that asks.
    pub rank: TierRank,
    /// Seats in use and wanted.
    pub seats: u32,
}

/// Message of the credit duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CreditMessage {
    /// A daemon tells the arbiter what it would use.
    Demand {
        /// Upstream that it is about.
        upstream: UpstreamName,
        /// Counted up by the sender; older ones are dropped.
        sequence: u64,
        /// Seats that the sender's own limit would allow.
        limit: u32,
        /// By tier, highest first.
        tiers: Vec<TierDemand>,
    },
    /// The arbiter tells a daemon what it may use.
    Grant {
        /// Upstream that it is about.
        upstream: UpstreamName,
        /// Demand that this answers.
        sequence: u64,
        /// Seats at once.
        seats: u32,
        /// Lowest tier still admitted to the service.
        floor: TierRank,
        /// Valid for this long after receipt.
        term_ms: u32,
    },
}
