//! Services whose upstreams fail when they have to turn too many requests away.
//!
//! Daemons learn of each other's requests with a delay, and an upstream may have less room than slots,
//! so that several daemons may be turned away at the same time. While an upstream announces how few
//! rejections it can bear, these are therefore divided among a few daemons for each upstream, which
//! all daemons select in the same way. Daemons that are not heard of keep their part for a while, as
//! they may only be partitioned.

mod budget;
mod division;
mod history;
mod owner_relay;
mod room;
mod share;

pub use budget::{RejectionBudget, SlotUsage};
pub use division::{DividedUpstream, RejectionDivision};
pub use share::SECOND;

use crate::{
    label::ServiceLabel,
    upstream_limit::{ObservationSource, RateLimit},
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Time after an announcement for which it holds; upstreams repeat it in each response.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(5);
/// Time after a request that no owner relayed for which this daemon asks no other owner, so that the
/// pace of refused requests does not grow with the number of upstreams.
const REFUSED_RELAY_PAUSE: Duration = Duration::from_millis(40);
/// Time after the last announcement for which the limit holds at most while most daemons are not
/// seen: they may hear announcements that this one does not.
const MAX_HOLD: Duration = Duration::from_secs(60);

/// Limit of rejections that upstreams of one service announced.
#[derive(Debug, Clone, Default)]
struct RejectionLimit {
    until: MonotonicTime,
    announced_at: MonotonicTime,
    /// The lowest rate that was announced since the limit has been in force.
    rate: RateLimit,
    /// Time until which owners are not asked to relay requests.
    relays_paused_until: MonotonicTime,
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
        limit.announced_at = now;
        match source {
            ObservationSource::Own => limit.own_announced_at = Some(now),
            ObservationSource::Zone => limit.zone_announced_at = Some(now),
            ObservationSource::OtherZone => {}
        }
        is_new
    }

    /// Records that no owner of an upstream of a service relayed a request.
    pub fn record_refused_relay(&mut self, now: MonotonicTime, service: &ServiceLabel) {
        if let Some(limit) = self.limits.get_mut(service) {
            limit.relays_paused_until = now + REFUSED_RELAY_PAUSE;
        }
    }

    /// Returns whether owners of the upstreams of a service may be asked to relay requests.
    #[must_use]
    pub fn allows_relay(&self, now: MonotonicTime, service: &ServiceLabel) -> bool {
        let limit = self.limits.get(service);
        limit.is_some_and(|limit| limit.is_active(now) && now >= limit.relays_paused_until)
    }

    /// Extends the limits in force, as this daemon does not hear what most others do.
    pub fn hold(&mut self, now: MonotonicTime) {
        let active = self.limits.values_mut();
        for limit in active.filter(|limit| limit.is_active(now)) {
            let held_until = (now + ANNOUNCEMENT_TTL).min(limit.announced_at + MAX_HOLD);
            limit.until = limit.until.max(held_until);
        }
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
