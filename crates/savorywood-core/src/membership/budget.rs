//! Byte limit on the datagrams that a daemon sends to its peers.
//!
//! An event that concerns all members at once, such as the loss of a zone, makes every daemon send
//! more while the network has fewer paths. The limit slows the spread of updates instead of
//! overloading the network. Only datagrams are dropped, and every duty tolerates their loss.

use savorywood_protocol::{
    MonotonicTime,
    peer::{CreditMessage, MembershipMessage, PeerMessage, credits::NO_FLOOR},
};
use std::time::Duration;

/// Bytes per second that a daemon may send in control datagrams, packet headers included.
pub const CONTROL_BYTES_PER_SECOND: u64 = 9_000;

/// Capacity of the token bucket, in seconds of the rate.
const BURST_SECONDS: u64 = 2;

/// Thousandths of the bucket that normal datagrams leave for urgent ones.
const NORMAL_RESERVE_PER_MILLE: u64 = 150;
/// Thousandths of the bucket that low-priority datagrams leave for more important ones.
const LOW_RESERVE_PER_MILLE: u64 = 400;

/// Digest parts that a regular probe carries; a ping that reads a table carries fewer.
const PROBE_DIGEST_PARTS: usize = 4;

/// Minimum number of members for which an acknowledgement counts as a part of a table.
const TABLE_PART_MEMBERS: usize = 6;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Importance of a datagram; the least important ones are dropped first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum BudgetClass {
    /// Urgent updates: a member is leaving, a configuration is new or a move was stopped.
    Urgent,
    /// Liveness messages: without them, healthy members are suspected.
    Normal,
    /// Everything else; it is sent again later.
    Low,
}

impl BudgetClass {
    /// Returns the class of a message.
    #[must_use]
    pub fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Moves(_) | PeerMessage::Config(_) => Self::Urgent,
            PeerMessage::Membership(message) => Self::of_membership(message),
            PeerMessage::Credits(message) => Self::of_credits(message),
        }
    }

    /// Table reads can be delayed; a lost liveness message causes a suspicion.
    fn of_membership(message: &MembershipMessage) -> Self {
        let reads_table = match message {
            MembershipMessage::Ping { digest, .. } => digest.parts.len() < PROBE_DIGEST_PARTS,
            MembershipMessage::Ack { table, .. } => table.len() >= TABLE_PART_MEMBERS,
            MembershipMessage::PingRequest { .. } | MembershipMessage::Nack { .. } => false,
            MembershipMessage::Updates { .. } => return Self::Urgent,
        };
        match reads_table {
            true => Self::Low,
            false => Self::Normal,
        }
    }

    /// Shed requests and released slots concern requests that are queued now.
    fn of_credits(message: &CreditMessage) -> Self {
        let pressing = match message {
            CreditMessage::Demand { upstreams, .. } => {
                let mut upstreams = upstreams.iter();
                upstreams.any(|demand| demand.shedding.is_some() || demand.tiers.is_empty())
            }
            CreditMessage::Grant { grants, .. } => grants.iter().any(|g| g.floor != NO_FLOOR),
            CreditMessage::Survey { .. } => false,
        };
        match pressing {
            true => Self::Normal,
            false => Self::Low,
        }
    }

    fn reserve(self) -> u64 {
        match self {
            Self::Urgent => 0,
            Self::Normal => NORMAL_RESERVE_PER_MILLE,
            Self::Low => LOW_RESERVE_PER_MILLE,
        }
    }
}

/// Token bucket over all datagrams of one daemon.
#[derive(Debug, Clone)]
pub struct PeerBudget {
    rate: u64,
    /// Tokens available, in bytes times microseconds per second, so that short steps accumulate
    /// without rounding loss.
    tokens: u64,
    updated_at: MonotonicTime,
    dropped: u64,
}

impl PeerBudget {
    /// Creates a full bucket with the given rate.
    #[must_use]
    pub fn new(bytes_per_second: u64) -> Self {
        let rate = bytes_per_second;
        Self {
            rate,
            tokens: rate * BURST_SECONDS * MICROS_PER_SECOND,
            updated_at: MonotonicTime::default(),
            dropped: 0,
        }
    }

    /// Takes `bytes` from the bucket and returns whether a datagram of this class may be sent now.
    pub fn admit(&mut self, now: MonotonicTime, class: BudgetClass, bytes: usize) -> bool {
        self.refill(now);
        let full = self.rate * BURST_SECONDS * MICROS_PER_SECOND;
        let reserve = full / 1_000 * class.reserve();
        let cost = u64::try_from(bytes)
            .unwrap_or(u64::MAX)
            .saturating_mul(MICROS_PER_SECOND);
        let enough = self.tokens >= reserve.saturating_add(cost);
        match enough {
            true => self.tokens -= cost,
            false => self.dropped += 1,
        }
        enough
    }

    /// Number of datagrams dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed = now
            .since(self.updated_at)
            .min(Duration::from_secs(BURST_SECONDS));
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let full = self.rate * BURST_SECONDS * MICROS_PER_SECOND;
        self.tokens = full.min(self.tokens + self.rate * micros);
        self.updated_at = self.updated_at.max(now);
    }
}

impl Default for PeerBudget {
    fn default() -> Self {
        Self::new(CONTROL_BYTES_PER_SECOND)
    }
}
