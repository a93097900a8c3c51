//! Messages that divide the slots of contended upstreams between daemons.
//!
//! A slot is the capacity of an upstream for one concurrent request. One daemon is the arbiter of
//! an upstream: the others report their demand to it, and it grants them slots for a limited time.
//! Messages cover only contended upstreams, and all entries for one receiver share a message.

use crate::{TierRank, UpstreamName};
use serde::{Deserialize, Serialize};

/// Admission floor at which all tiers are admitted and none is shed.
pub const NO_FLOOR: TierRank = TierRank(u8::MAX);

/// Demand of one daemon in one tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierDemand {
    /// Rank of the tier.
    pub rank: TierRank,
    /// Slots that the tier uses or requests.
    pub slots: u32,
}

/// Demand of one daemon on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDemand {
    /// Upstream that this entry is for.
    pub upstream: UpstreamName,
    /// Slots that the sender's own concurrency limit allows.
    pub limit: u32,
    /// Slots in use by requests of the sender.
    pub in_use: u32,
    /// Demand by tier, most important first; empty when the sender has no further demand.
    pub tiers: Vec<TierDemand>,
    /// Most important tier that the sender is about to shed; absent when it sheds none.
    pub shedding: Option<TierRank>,
}

/// Slots of one upstream that its arbiter grants to one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamGrant {
    /// Upstream that this entry is for.
    pub upstream: UpstreamName,
    /// Requests that the daemon may have running at the upstream at once.
    pub slots: u32,
    /// Admission floor: the least important tier that is still admitted. [`NO_FLOOR`] admits all.
    pub floor: TierRank,
    /// Whether the demand of all daemons still exceeds the capacity. Some time after it no
    /// longer does, the daemons stop exchanging messages about the upstream.
    pub contended: bool,
}

/// Message of the component that divides slots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CreditMessage {
    /// Reports the demand of a daemon to an arbiter.
    Demand {
        /// Larger than in all earlier messages of the sender; the receiver drops older ones.
        sequence: u64,
        /// Demand on upstreams whose arbiter is the receiver.
        upstreams: Vec<UpstreamDemand>,
    },
    /// Grants slots to a daemon.
    Grant {
        /// Larger than in all earlier messages of the sender; the receiver drops older ones.
        sequence: u64,
        /// Sequence number of the last demand that the sender received from the receiver; zero if
        /// none.
        demand_sequence: u64,
        /// Validity of the grants in milliseconds, from receipt on.
        term_ms: u32,
        /// Grants for upstreams whose arbiter is the sender.
        grants: Vec<UpstreamGrant>,
    },
    /// Asks which other daemons use contended upstreams; they respond with a demand.
    Survey {
        /// Contended upstreams whose arbiter is the sender.
        upstreams: Vec<UpstreamName>,
    },
}
