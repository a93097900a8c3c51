//! Rate limits that upstreams announce for all daemons together.
//!
//! An upstream under pressure announces a rate far below what all daemons together send. A few
//! daemons, which all daemons select in the same way, hold a share of the rate each; the others
//! send nothing. A limit announced in a response is forwarded to all daemons, and the newest one
//! applies.

use crate::lease::LeaseShare;
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of daemons that send to a limited upstream: a number proportional to the rate in requests
/// per second, and a constant. Each holder may have accumulated a request, so the number of holders
/// bounds the burst after an idle period. With a single holder, requests at all other daemons could
/// not reach a service whose upstreams are all limited.
const HOLDERS_PER_RATE: f64 = 1.5;
const EXTRA_HOLDERS: f64 = 3.0;
/// Daemons that become holders within this time after a limit was announced start at the same time.
const INITIAL_FILL_WINDOW: Duration = Duration::from_secs(2);
/// Time for which a holder may accumulate its share of the rate, if that is more than one request.
const BURST_WINDOW: Duration = Duration::from_millis(200);
/// Minimum rate, in requests per second: an upstream that receives no requests cannot announce its
/// recovery.
const MIN_RATE_PER_S: f64 = 0.1;

/// Requests per 1000 seconds that an upstream accepts from all daemons together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit(pub u32);

impl RateLimit {
    /// Creates a limit from requests per second; `None` for a negative or non-finite number.
    #[must_use]
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        // A rate beyond the range of the type has no effect as a limit.
        is_valid.then(|| Self((per_second * 1e3).round().min(f64::from(u32::MAX)) as u32))
    }

    /// Returns the limit in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }

    /// Returns the maximum number of daemons that hold a share of the limit.
    #[must_use]
    pub fn max_holders(self) -> usize {
        (self.per_second() * HOLDERS_PER_RATE + EXTRA_HOLDERS) as usize
    }

    /// Returns the requests per second of each holder.
    fn rate_per_holder(self, holders: usize) -> f64 {
        self.per_second().max(MIN_RATE_PER_S) / holders.max(1) as f64
    }
}

/// Limit that a response announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitObservation {
    /// The limit; `None` if the upstream announced none.
    pub limit: Option<RateLimit>,
    /// Earliest time at which the limit was in force; newer observations replace older ones.
    pub observed_at: MonotonicTime,
}

/// An observation as reported to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Digest of the upstream's name.
    pub upstream: u64,
    /// Limit of the upstream; `None` if it announced none.
    pub limit: Option<RateLimit>,
    /// Age of the observation in milliseconds.
    pub age_ms: u32,
}

/// Limit reports in a message of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitGossip {
    /// Digest of the sender's zone.
    pub zone: u64,
    /// Reported observations.
    pub reports: Vec<LimitReport>,
    /// Services whose upstreams limit the rejections that they can bear. A daemon without a share of
    /// their slots sends nothing there and hears of the limit from others only.
    pub rejection_limits: Vec<RejectionLimitReport>,
}

/// Limit of the rejections that each upstream of a service can bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionLimitReport {
    /// Digest of the service's name.
    pub service: u64,
    /// Rejections a second, of all daemons together.
    pub limit: RateLimit,
}

/// Daemon that made an observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservationSource {
    /// This daemon.
    Own,
    /// Another daemon of this zone.
    Zone,
    /// A daemon of another zone.
    OtherZone,
}

/// Rate limit of one upstream, with this daemon's share of it as a token bucket.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLimit {
    observation: Option<LimitObservation>,
    /// Times of the last observation by this daemon, and by another daemon of its zone.
    own_observed_at: Option<MonotonicTime>,
    zone_observed_at: Option<MonotonicTime>,
    /// Time at which a limit was announced after there had been none.
    limited_since: MonotonicTime,
    share: Option<LeaseShare>,
    /// Number of requests that may be sent now.
    level: f64,
    filled_at: MonotonicTime,
}

impl UpstreamLimit {
    /// Creates the state of a new incarnation of an upstream, to which limits of the previous one
    /// do not apply.
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

    /// Returns the limit in force.
    #[must_use]
    pub fn limit(&self) -> Option<RateLimit> {
        self.observation.and_then(|observation| observation.limit)
    }

    /// Records an observation unless a newer one exists. Returns true if that changes the limit.
    pub fn observe(
        &mut self,
        now: MonotonicTime,
        observation: LimitObservation,
        source: ObservationSource,
    ) -> bool {
        let previous = self.observation;
        if previous.is_some_and(|previous| previous.observed_at >= observation.observed_at) {
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

    /// Returns the observation if it was made within the given time by this daemon or, if `of_zone`
    /// is set, by any daemon of its zone.
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

    /// Refills the bucket up to now. `share` is this daemon's share of the lease for the upstream;
    /// `None` if it is not a holder.
    pub fn refill(&mut self, now: MonotonicTime, share: Option<LeaseShare>) {
        let elapsed = now.since(self.filled_at);
        self.filled_at = now;
        let (Some(limit), Some(share)) = (self.limit(), share) else {
            self.share = None;
            self.level = 0.0;
            return;
        };
        let rate = limit.rate_per_holder(share.holders);
        if self.share.replace(share).is_none() {
            self.level = if now.since(self.limited_since) < INITIAL_FILL_WINDOW {
                // Holders that start at the same time are staggered by their initial level.
                share.rank as f64 / share.holders.max(1) as f64
            } else {
                0.0
            };
            return;
        }
        let max_level = (rate * BURST_WINDOW.as_secs_f64()).max(1.0);
        self.level = (self.level + rate * elapsed.as_secs_f64()).min(max_level);
    }

    /// Returns true if a request may be sent now.
    #[must_use]
    pub fn allows_dispatch(&self) -> bool {
        self.limit().is_none() || self.level >= 1.0
    }

    /// Takes a request from the bucket.
    pub fn record_dispatch(&mut self) {
        if self.limit().is_some() {
            self.level -= 1.0;
        }
    }
}
