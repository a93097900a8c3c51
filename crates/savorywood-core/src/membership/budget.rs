//! The limit on bytes that a daemon sends to its peers by datagram.
//!
//! What goes wrong without it: a change that concerns all members at once, such as a zone that
//! is lost, makes every daemon send more, to a network that is just short of paths. The limit
//! makes the spread slower instead. What is dropped is only datagrams, which every duty takes
//! for possibly lost anyway.

use savorywood_protocol::{
    MonotonicTime,
    peer::{CreditMessage, MembershipMessage, PeerMessage, credits::NO_FLOOR},
};
use std::time::Duration;

/// Bytes a second that a daemon may spend on control, heads of packets included.
pub const CONTROL_BYTES_PER_SECOND: u64 = 9_000;

/// Seconds of the rate that may be saved up for a burst.
const BURST_SECONDS: u64 = 2;

/// Share of the burst that is kept for more important messages, in thousandths.
const NORMAL_RESERVE_PER_MILLE: u64 = 150;
const LOW_RESERVE_PER_MILLE: u64 = 400;

/// Digests that ride along with a probe; a ping that reads a table has fewer.
const PROBE_DIGEST_PARTS: usize = 4;

/// Members in an answer from which it is taken for a part of a table.
const TABLE_PART_MEMBERS: usize = 6;

/// Microseconds of a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// How important a datagram is; the least important are dropped first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum BudgetClass {
    /// News that a member leaves, that a configuration is new or that a move was stopped.
    Urgent,
    /// Signs of life: without them healthy members are suspected.
    Normal,
    /// All else: it comes again.
    Low,
}

impl BudgetClass {
    /// Class of a message.
    #[must_use]
    pub fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Moves(_) | PeerMessage::Config(_) => Self::Urgent,
            PeerMessage::Membership(message) => Self::of_membership(message),
            PeerMessage::Credits(message) => Self::of_credits(message),
        }
    }

    /// Reading a table may wait; a sign of life that is not sent makes a suspect.
    fn of_membership(message: &MembershipMessage) -> Self {
        let reads_table = match message {
            MembershipMessage::Ping { digest, .. } => digest.parts.len() < PROBE_DIGEST_PARTS,
            MembershipMessage::Ack { table, .. } => table.len() >= TABLE_PART_MEMBERS,
            MembershipMessage::PingRequest { .. } | MembershipMessage::Nack { .. } => false,
            MembershipMessage::News { .. } => return Self::Urgent,
        };
        match reads_table {
            true => Self::Low,
            false => Self::Normal,
        }
    }

    /// Work is about to be shed, or seats come free: both concern requests that wait now.
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
    /// Byte-microseconds a second that are saved up, so that short steps lose nothing.
    tokens: u64,
    updated_at: MonotonicTime,
    dropped: u64,
}

impl PeerBudget {
    /// A full budget of so many bytes a second.
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

    /// Takes `bytes` out if a datagram of this class may be sent now.
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

    /// Datagrams that were dropped so far.
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
