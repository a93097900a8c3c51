//! Holder role: contended upstreams and the slots granted to this daemon.

use savorywood_protocol::{
    HostName, MonotonicTime, TierRank,
    peer::credits::{NO_FLOOR, UpstreamGrant},
};
use std::time::Duration;

/// State of one contended upstream at a daemon that uses it.
#[derive(Debug)]
pub struct UpstreamHolding {
    seats: Option<u32>,
    floor: TierRank,
    floor_since: MonotonicTime,
    expires_at: MonotonicTime,
    granted_by: Option<HostName>,
    /// When the latest grant was received; `None` before the first.
    pub granted_at: Option<MonotonicTime>,
    /// The upstream counts as contended until this time.
    pub contended_until: MonotonicTime,
    /// Whether the arbiter has been sent a demand that is not empty.
    pub reported: bool,
    /// Sequence number of the first demand in the current unbroken series that requests to shed;
    /// `None` if the latest demand did not.
    pub first_shed_sequence: Option<u64>,
    /// Latest demand that the arbiter had received when it sent the grant.
    pub acknowledged_sequence: u64,
}

impl UpstreamHolding {
    /// Creates the state of an upstream that has just become contended.
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

    /// Applies a grant, valid for `term` from now.
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        grant: &UpstreamGrant,
        term: Duration,
    ) {
        self.seats = Some(grant.slots);
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

    /// Slots that may be used: those granted, or the fallback share once the grant has expired,
    /// which loses capacity but cannot overload the upstream. `None` before the first grant, when
    /// only the daemon's own limit applies.
    #[must_use]
    pub fn usable(&self, now: MonotonicTime, fallback_share: impl FnOnce() -> u32) -> Option<u32> {
        let seats = self.seats?;
        Some(match now < self.expires_at {
            true => seats,
            false => fallback_share(),
        })
    }

    /// Whether the arbiter has received the shed request, and its floor has admitted nothing below
    /// `rank` for at least `spread`.
    ///
    /// The floor alone is not sufficient: it is lowered some time after the last shed request, and
    /// a daemon that has not received the change yet would shed while others admit lower tiers
    /// again. A floor that has just risen is not sufficient either, since the arbiter applies it
    /// before the other daemons receive it.
    #[must_use]
    pub fn has_reached_floor(&self, now: MonotonicTime, rank: TierRank, spread: Duration) -> bool {
        let answered = self
            .first_shed_sequence
            .is_some_and(|asked| self.acknowledged_sequence >= asked);
        let spread_out = now.since(self.floor_since) >= spread;
        answered && spread_out && self.floor(now) <= rank
    }

    /// Lowest tier admitted, while the grant is valid; `NO_FLOOR` afterwards.
    #[must_use]
    pub fn floor(&self, now: MonotonicTime) -> TierRank {
        match now < self.expires_at {
            true => self.floor,
            false => NO_FLOOR,
        }
    }
}
