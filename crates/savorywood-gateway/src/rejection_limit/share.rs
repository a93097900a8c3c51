//! Division of an upstream's slots and rejections among a few daemons.

use crate::upstream_limit::RateLimit;
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Period over which upstreams count rejections.
pub const SECOND: Duration = Duration::from_secs(1);
/// Longest period over which a limit below one rejection a second is counted.
const MAX_WINDOW: Duration = Duration::from_secs(10);
/// Time from a change of the owners until a new owner uses its rejections: those of the previous one
/// count for a second, and it learns of the change two rounds of gossip later at most.
const HANDOVER_PERIOD: Duration = Duration::from_millis(1_500);

/// Rejections that all daemons together may cause at one upstream within a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectionQuota {
    /// At least one, as an upstream that gets no requests is of no use.
    pub rejections: u32,
    /// One second, or longer for a limit below one rejection a second.
    pub window: Duration,
}

impl From<RateLimit> for RejectionQuota {
    fn from(limit: RateLimit) -> Self {
        let per_second = limit.per_second();
        let seconds = 1.0 / per_second.clamp(1.0 / MAX_WINDOW.as_secs_f64(), 1.0);
        Self {
            rejections: (per_second as u32).max(1),
            window: Duration::from_secs_f64(seconds),
        }
    }
}

/// Part of one upstream that this daemon may use; nothing if it is not one of the owners.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnedPart {
    /// Slots.
    pub slots: u32,
    /// Rejections that it may cause within a window.
    pub rejections: u32,
}

impl OwnedPart {
    /// Returns the part of the daemon `own` among the owners of an upstream.
    #[must_use]
    pub fn of(own: u64, owners: &[u64], slots: u32, quota: RejectionQuota) -> Self {
        let Some(rank) = owners.iter().position(|owner| *owner == own) else {
            return Self::default();
        };
        let part = |whole: u32| {
            let (rank, count) = (rank as u32, owners.len() as u32);
            whole / count + u32::from(rank < whole % count)
        };
        Self {
            slots: part(slots),
            rejections: part(quota.rejections),
        }
    }
}

/// Part of one upstream that this daemon owns, with the transition after a change.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnedShare {
    /// `None` while the daemons that divide the upstream are not known.
    part: Option<OwnedPart>,
    /// The upstream was divided before.
    is_divided: bool,
    /// Rejections that it may cause until `effective_at`.
    previous: u32,
    effective_at: MonotonicTime,
}

impl OwnedShare {
    /// Sets the part. What it has more rejections than before may still be used by the previous
    /// owner for a while, unless this is the first division, which is effective at `first_at`.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        part: Option<OwnedPart>,
        first_at: Option<MonotonicTime>,
    ) {
        let rejections = part.map_or(0, |part| part.rejections);
        let usable = self.rejections(now);
        if let Some(first_at) = first_at {
            self.previous = 0;
            self.effective_at = first_at;
        } else if self.is_divided && rejections > self.part.map_or(0, |part| part.rejections) {
            self.previous = usable;
            self.effective_at = now + HANDOVER_PERIOD;
        }
        self.is_divided = true;
        self.part = part;
    }

    /// Returns the part; `None` while it is not known.
    #[must_use]
    pub fn part(&self) -> Option<OwnedPart> {
        self.part
    }

    /// Returns the rejections that this daemon may cause within a window.
    #[must_use]
    pub fn rejections(&self, now: MonotonicTime) -> u32 {
        let rejections = self.part.map_or(0, |part| part.rejections);
        if now < self.effective_at {
            rejections.min(self.previous)
        } else {
            rejections
        }
    }
}
