//! Upstreams that name a rate which they take from all daemons together.
//!
//! The load that this answers: an upstream in need names a rate far below what all daemons together
//! send it. A few daemons, chosen alike by all of them, hold a part of the rate each; the others
//! send nothing. What an answer says is passed on to all daemons, and the newest answer counts.

use crate::lease::LeaseShare;
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Daemons that send to a limited upstream: so many for each request a second, and some more. Each
/// may have saved up a request, so their number bounds what comes at once after a rest; with a
/// single one, requests at all other daemons could not reach a service whose upstreams are all in
/// need.
const HOLDERS_PER_RATE: f64 = 1.5;
const EXTRA_HOLDERS: f64 = 3.0;
/// Daemons that begin to hold parts within this time after a limit was named begin together.
const INITIAL_FILL_WINDOW: Duration = Duration::from_secs(2);
/// Time whose part of the rate a daemon may save up, where that is more than one request.
const BURST_WINDOW: Duration = Duration::from_millis(200);
/// Least rate, in requests a second: an upstream that gets nothing can't say that it has recovered.
const MIN_RATE_PER_S: f64 = 0.1;

/// Requests in a thousand seconds that an upstream takes from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit(pub u32);

impl RateLimit {
    /// A limit of so many requests a second; none for what is no number of requests.
    #[must_use]
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let is_number = per_second.is_finite() && per_second >= 0.0;
        // A larger one than fits binds nothing.
        is_number.then(|| Self((per_second * 1e3).round().min(f64::from(u32::MAX)) as u32))
    }

    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }

    /// Daemons that hold a part of it at most.
    #[must_use]
    pub fn max_holders(self) -> usize {
        (self.per_second() * HOLDERS_PER_RATE + EXTRA_HOLDERS) as usize
    }

    /// Requests a second of one of so many holders.
    fn rate_per_holder(self, holders: usize) -> f64 {
        self.per_second().max(MIN_RATE_PER_S) / holders.max(1) as f64
    }
}

/// What an answer said of its upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitObservation {
    /// The limit; `None` where the upstream named none.
    pub limit: Option<RateLimit>,
    /// When it was in force at the earliest: newer readings replace older ones.
    pub observed_at: MonotonicTime,
}

/// A reading on its way between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Digest of the upstream's name.
    pub upstream: u64,
    /// Its limit, if it names one.
    pub limit: Option<RateLimit>,
    /// Age of the reading in milliseconds.
    pub age_ms: u32,
}

/// Readings of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitGossip {
    /// Digest of the sender's zone.
    pub zone: u64,
    /// The readings.
    pub reports: Vec<LimitReport>,
}

/// Whose reading it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservationSource {
    /// This daemon's own.
    Own,
    /// A daemon of this zone's.
    Zone,
    /// A daemon of another zone's.
    OtherZone,
}

/// Limit of one upstream, and what this daemon may send of it.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLimit {
    observation: Option<LimitObservation>,
    /// When this daemon, and a daemon of its zone, had a reading last.
    own_observed_at: Option<MonotonicTime>,
    zone_observed_at: Option<MonotonicTime>,
    /// When the limit was named after there had been none.
    limited_since: MonotonicTime,
    share: Option<LeaseShare>,
    /// Requests that may be sent now.
    level: f64,
    filled_at: MonotonicTime,
}

impl UpstreamLimit {
    /// State of an upstream that started anew: what was said of its last life counts for nothing.
    #[must_use]
    pub fn for_new_incarnation(now: MonotonicTime) -> Self {
        Self {
            observation: Some(LimitObservation {
                limit: None,
                observed_at: now,
            }),
            ..Self::default()
        }
    }

    /// Limit in force.
    #[must_use]
    pub fn limit(&self) -> Option<RateLimit> {
        self.observation.and_then(|observation| observation.limit)
    }

    /// Takes a reading, unless a newer one is known; whether the limit is another one now.
    pub fn observe(
        &mut self,
        now: MonotonicTime,
        observation: LimitObservation,
        source: ObservationSource,
    ) -> bool {
        let known = self.observation;
        if known.is_some_and(|known| known.observed_at >= observation.observed_at) {
            return false;
        }
        let before = self.limit();
        if before.is_none() && observation.limit.is_none() {
            return false;
        }
        self.observation = Some(observation);
        if before.is_none() {
            self.limited_since = now;
            self.share = None;
        }
        match source {
            ObservationSource::Own => self.own_observed_at = Some(now),
            ObservationSource::Zone => self.zone_observed_at = Some(now),
            ObservationSource::OtherZone => {}
        }
        before != observation.limit
    }

    /// The reading, if it was had within a time by this daemon or, for other zones, by its zone.
    #[must_use]
    pub fn recent_observation(
        &self,
        now: MonotonicTime,
        within: Duration,
        of_zone: bool,
    ) -> Option<LimitObservation> {
        let observed_at = if of_zone {
            self.own_observed_at.max(self.zone_observed_at)
        } else {
            self.own_observed_at
        };
        let is_new = observed_at.is_some_and(|at| now.since(at) < within);
        self.observation.filter(|_| is_new)
    }

    /// Time passes; `share` is this daemon's part in sending to the upstream.
    pub fn refill(&mut self, now: MonotonicTime, share: Option<LeaseShare>) {
        let elapsed = now.since(self.filled_at);
        self.filled_at = now;
        let (Some(limit), Some(share)) = (self.limit(), share) else {
            self.share = None;
            self.level = 0.0;
            return;
        };
        let part = limit.rate_per_holder(share.holders);
        if self.share.replace(share).is_none() {
            self.level = if now.since(self.limited_since) < INITIAL_FILL_WINDOW {
                // Holders that begin together take turns.
                share.rank as f64 / share.holders.max(1) as f64
            } else {
                0.0
            };
            return;
        }
        let most = (part * BURST_WINDOW.as_secs_f64()).max(1.0);
        self.level = (self.level + part * elapsed.as_secs_f64()).min(most);
    }

    /// A request may be sent now.
    #[must_use]
    pub fn allows_dispatch(&self) -> bool {
        self.limit().is_none() || self.level >= 1.0
    }

    /// A request is sent.
    pub fn record_dispatch(&mut self) {
        if self.limit().is_some() {
            self.level -= 1.0;
        }
    }
}
