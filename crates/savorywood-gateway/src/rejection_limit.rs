//! Services whose upstreams fail when they have to turn too many requests away.
//!
//! Daemons learn of each other's slots with a delay, so that several may use the last one at the same
//! time. While an upstream announces how few rejections it can bear, the slots of its service are
//! therefore divided among a few daemons for each upstream, which all daemons select in the same
//! way, and each counts its own. Daemons that are not heard of keep their share for a while, as they
//! may only be partitioned.

mod history;

pub use history::RejectionHistory;

use crate::{
    label::ServiceLabel,
    placing::{MemberHistory, rank_claim},
    upstream_limit::{ObservationSource, RateLimit},
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};
use strum::Display;

/// Period over which upstreams count rejections.
pub const SECOND: Duration = Duration::from_secs(1);
/// Time after an announcement for which it holds; upstreams repeat it in each response.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(5);

/// Range of the first pause after a rejection.
const MIN_REJECTION_PAUSE: Duration = Duration::from_secs(1);
const MAX_REJECTION_PAUSE: Duration = Duration::from_secs(10);
/// Longest pause after a series of rejections.
const MAX_BACKOFF: Duration = Duration::from_secs(20);
/// Fraction by which later pauses are extended at random at most, so that daemons that were turned
/// away at the same time do not return at the same time.
const BACKOFF_JITTER: f64 = 0.5;

/// Pauses of this daemon after rejections by one upstream that can bear few of them.
///
/// An upstream may have less room than slots. The daemons that find no room there try again more and
/// more seldom, until a response shows that there is some.
#[derive(Debug, Clone, Copy, Default)]
pub struct RejectionBackoff {
    /// Rejections since the last other response.
    rejections: u32,
    paused_until: MonotonicTime,
}

impl RejectionBackoff {
    /// Records another rejection by an upstream with this limit, of which `senders` daemons own
    /// slots, and returns the pause after it. `sample` is a random number from 0 up to 1.
    pub fn record_rejection(
        &mut self,
        now: MonotonicTime,
        limit: RateLimit,
        senders: usize,
        sample: f64,
    ) -> Duration {
        let pause = self.next_pause(limit, senders, sample);
        self.rejections = self.rejections.saturating_add(1);
        self.paused_until = self.paused_until.max(now + pause);
        pause
    }

    fn next_pause(&self, limit: RateLimit, senders: usize, sample: f64) -> Duration {
        let seconds = senders.max(1) as f64 / limit.per_second().max(f64::MIN_POSITIVE);
        let (min, max) = (MIN_REJECTION_PAUSE, MAX_REJECTION_PAUSE);
        let first = Duration::from_secs_f64(seconds.clamp(min.as_secs_f64(), max.as_secs_f64()));
        if self.rejections == 0 {
            return first;
        }
        let pause = first.saturating_mul(2u32.saturating_pow(self.rejections));
        pause
            .min(MAX_BACKOFF)
            .mul_f64(1.0 + sample * BACKOFF_JITTER)
    }

    /// Records a response that is no rejection.
    pub fn record_response(&mut self) {
        self.rejections = 0;
    }

    /// Returns whether the upstream is to be left alone, while its rejections are limited.
    #[must_use]
    pub fn is_paused(&self, now: MonotonicTime) -> bool {
        now < self.paused_until
    }
}

/// Use of the slots of one upstream, by this daemon and by all.
#[derive(Debug, Clone, Copy)]
pub struct SlotUsage {
    /// Slots of the upstream.
    pub slots: u32,
    /// Slots in use by this daemon.
    pub own: u32,
    /// Slots in use by all daemons, as last reported.
    pub all: u32,
}

/// Slots of an upstream that this daemon may use while rejections are limited. The text form is part
/// of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SlotShare {
    /// The daemons that share the slots are not known for certain.
    #[default]
    Unknown,
    /// A fixed number, which may be zero.
    #[strum(to_string = "{0}")]
    Fixed(u32),
}

impl SlotShare {
    /// Computes the share of the daemon `own` of the slots of the upstream whose name has the digest
    /// `key`.
    #[must_use]
    pub fn compute(own: u64, key: u64, slots: u32, members: &MemberHistory) -> Self {
        if members.present().is_empty() {
            return Self::Unknown;
        }
        let claim = rank_claim(own, key, slots, members);
        Self::Fixed(claim.map_or(0, |claim| claim.owned))
    }

    /// Returns whether this daemon may use another slot. While its share is not known, one slot
    /// stays free for dispatches that daemons make at the same time.
    #[must_use]
    pub fn allows_dispatch(self, usage: SlotUsage) -> bool {
        match self {
            Self::Fixed(own) => usage.own < own && usage.all < usage.slots,
            Self::Unknown => usage.all < usage.slots.saturating_sub(1).max(1),
        }
    }
}

/// Limit of rejections that upstreams of one service announced.
#[derive(Debug, Clone, Default)]
struct RejectionLimit {
    until: MonotonicTime,
    /// The lowest rate that was announced since the limit has been in force.
    rate: RateLimit,
    /// Time of the last announcement to this daemon.
    own_announced_at: Option<MonotonicTime>,
    /// Time of the last announcement that a daemon of this zone reported.
    zone_announced_at: Option<MonotonicTime>,
}

impl RejectionLimit {
    fn is_active(&self, now: MonotonicTime) -> bool {
        now < self.until
    }
}

/// Limits of rejections by service. They are few, however many upstreams announce them.
#[derive(Debug, Clone, Default)]
pub struct RejectionLimits {
    limits: BTreeMap<ServiceLabel, RejectionLimit>,
}

impl RejectionLimits {
    /// Records that an upstream of a service announced to a daemon how few rejections it can bear.
    /// Returns true if no such announcement was in force.
    pub fn announce(
        &mut self,
        now: MonotonicTime,
        service: &ServiceLabel,
        rate: RateLimit,
        source: ObservationSource,
    ) -> bool {
        let limit = self.limits.entry(service.clone()).or_default();
        let is_new = !limit.is_active(now);
        limit.rate = if is_new { rate } else { limit.rate.min(rate) };
        limit.until = now + ANNOUNCEMENT_TTL;
        match source {
            ObservationSource::Own => limit.own_announced_at = Some(now),
            ObservationSource::Zone => limit.zone_announced_at = Some(now),
            ObservationSource::OtherZone => {}
        }
        is_new
    }

    /// Returns true if the upstreams of a service can bear few rejections.
    #[must_use]
    pub fn is_active(&self, now: MonotonicTime, service: &ServiceLabel) -> bool {
        let limit = self.limits.get(service);
        limit.is_some_and(|limit| limit.is_active(now))
    }

    /// Returns how many rejections a second each upstream of a service can bear; `None` while that
    /// is not limited.
    #[must_use]
    pub fn limit(&self, now: MonotonicTime, service: &ServiceLabel) -> Option<RateLimit> {
        let limit = self.limits.get(service)?;
        limit.is_active(now).then_some(limit.rate)
    }

    /// Returns true if the upstreams of any service can bear few rejections.
    #[must_use]
    pub fn is_any_active(&self, now: MonotonicTime) -> bool {
        self.limits.values().any(|limit| limit.is_active(now))
    }

    /// Iterates over the services whose limit was announced within the given time to this daemon
    /// or, if `of_zone` is set, to any daemon of its zone.
    pub fn announced(
        &self,
        now: MonotonicTime,
        within: Duration,
        of_zone: bool,
    ) -> impl Iterator<Item = (&ServiceLabel, RateLimit)> {
        let is_recent = move |limit: &RejectionLimit| {
            let announced_at = if of_zone {
                limit.own_announced_at.max(limit.zone_announced_at)
            } else {
                limit.own_announced_at
            };
            announced_at.is_some_and(|at| now.since(at) < within)
        };
        let limits = self.limits.iter();
        let recent = limits.filter(move |(_, limit)| is_recent(limit));
        recent.map(|(service, limit)| (service, limit.rate))
    }
}
