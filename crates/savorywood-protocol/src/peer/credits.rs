//! Who may send how much to an upstream.
//!
//! Daemons speak only of upstreams that are contended, and gather all that they have to say to
//! one another in one message.

use crate::{TierRank, UpstreamName};
use serde::{Deserialize, Serialize};

/// Floor under which nothing is shed: all tiers are admitted.
pub const NO_FLOOR: TierRank = TierRank(u8::MAX);

/// Demand of one daemon in one tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierDemand {
    /// Tier that asks.
    pub rank: TierRank,
    /// Seats in use and wanted.
    pub slots: u32,
}

/// Demand of one daemon on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDemand {
    /// Upstream that it is about.
    pub upstream: UpstreamName,
    /// Seats that the sender's own limit would allow.
    pub limit: u32,
    /// Seats in use at the sender.
    pub in_use: u32,
    /// By tier, highest first; empty when the sender wants nothing more.
    pub tiers: Vec<TierDemand>,
    /// Most important tier that the sender is about to shed, if it is.
    pub shedding: Option<TierRank>,
}

/// What the arbiter of one upstream allows one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamGrant {
    /// Upstream that it is about.
    pub upstream: UpstreamName,
    /// Seats at once.
    pub slots: u32,
    /// Lowest tier still admitted; [`NO_FLOOR`] for all.
    pub floor: TierRank,
    /// Whether all daemons together still want more than there is. While they do not, the
    /// upstream stops being spoken of after a while.
    pub contended: bool,
}

/// Message of the credit duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CreditMessage {
    /// A daemon tells an arbiter what it would use.
    Demand {
        /// Larger than in all earlier messages of the sender; older ones are dropped.
        sequence: u64,
        /// Upstreams that the receiver arbitrates.
        upstreams: Vec<UpstreamDemand>,
    },
    /// An arbiter tells a daemon what it may use.
    Grant {
        /// Larger than in all earlier messages of the sender; older ones are dropped.
        sequence: u64,
        /// Sequence of the receiver's demand that came last.
        demand_sequence: u64,
        /// Valid for this long after receipt.
        term_ms: u32,
        /// Upstreams that the sender arbitrates.
        grants: Vec<UpstreamGrant>,
    },
    /// An arbiter asks who else uses upstreams that are contended.
    Survey {
        /// The contended upstreams.
        upstreams: Vec<UpstreamName>,
    },
}
