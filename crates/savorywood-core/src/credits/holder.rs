//! The asking side: which upstreams are contended, and what was granted.

use savorywood_protocol::{
    HostName, MonotonicTime, TierRank,
    peer::credits::{NO_FLOOR, UpstreamGrant},
};
use std::time::Duration;

/// What this daemon holds on one contended upstream.
#[derive(Debug)]
pub struct UpstreamHolding {
    seats: Option<u32>,
    floor: TierRank,
    floor_since: MonotonicTime,
    expires_at: MonotonicTime,
    granted_by: Option<HostName>,
    /// When the latest grant came.
    pub granted_at: Option<MonotonicTime>,
    /// Until when it is taken for contended.
    pub contended_until: MonotonicTime,
    /// Whether the arbiter knows of a demand of ours.
    pub reported: bool,
    /// First of an unbroken row of demands that said that we are about to shed.
    pub first_shed_sequence: Option<u64>,
    /// Newest of our demands that the arbiter had seen when it granted.
    pub acknowledged_sequence: u64,
}

impl UpstreamHolding {
    /// An upstream that has just become contended.
    #[must_use]
    pub fn new(now: MonotonicTime, contended_until: MonotonicTime) -> Self {
        Self {
            seats: None,
            floor: NO_FLOOR,
            floor_since: now,
            expires_at: now,
            granted_by: None,
            granted_at: None,
            contended_until,
            reported: false,
            first_shed_sequence: None,
            acknowledged_sequence: 0,
        }
    }

    /// Takes in a grant.
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        grant: &UpstreamGrant,
        term: Duration,
    ) {
        self.seats = Some(grant.seats);
        if self.floor != grant.floor {
            self.floor = grant.floor;
            self.floor_since = now;
        }
        self.expires_at = now + term;
        self.granted_by = Some(from.clone());
        self.granted_at = Some(now);
        if grant.contended {
            self.contended_until = self.contended_until.max(now + term);
        }
    }

    /// Seats that may be used: those granted; an even share of the own limit when the grant has
    /// lapsed, which costs capacity but can't overrun the upstream; `None` before the first
    /// answer, which leaves the daemon's own limit.
    #[must_use]
    pub fn usable(&self, now: MonotonicTime, fallback_share: impl FnOnce() -> u32) -> Option<u32> {
        let seats = self.seats?;
        Some(match now < self.expires_at {
            true => seats,
            false => fallback_share(),
        })
    }

    /// Whether the arbiter knows that we are about to shed, and has admitted nothing below the
    /// tier for a while.
    ///
    /// The floor alone would not do: it is let down some time after the last daemon that asked,
    /// and one that had not heard of it yet would shed while others take in lower work again.
    /// Nor would the floor at once: the arbiter itself knows it before the others do.
    #[must_use]
    pub fn has_reached_floor(&self, now: MonotonicTime, rank: TierRank, spread: Duration) -> bool {
        let answered = self
            .first_shed_sequence
            .is_some_and(|asked| self.acknowledged_sequence >= asked);
        let spread_out = now.since(self.floor_since) >= spread;
        answered && spread_out && self.floor(now) <= rank
    }

    /// Lowest tier admitted, while the grant that says so is good.
    #[must_use]
    pub fn floor(&self, now: MonotonicTime) -> TierRank {
        match now < self.expires_at {
            true => self.floor,
            false => NO_FLOOR,
        }
    }
}
