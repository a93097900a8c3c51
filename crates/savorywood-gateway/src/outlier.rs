//! Outlier ejection: upstreams that fail or stall are ejected for a period that grows with repeated
//! failures.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Length of the first ejection.
const BASE_EJECTION_PERIOD: Duration = Duration::from_millis(1_000);
/// Maximum length of an ejection.
const MAX_EJECTION_PERIOD: Duration = Duration::from_secs(6);
/// Number of consecutive failures after which an upstream is ejected.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
/// Delay after an ejection until requests that must not be executed twice are sent to the upstream
/// again.
const NON_REPEATABLE_DELAY: Duration = Duration::from_secs(4);
/// Half-life of the failure ratio.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Time for which an ejection is reported to peers.
const REPORT_WINDOW: Duration = Duration::from_millis(1_000);
/// Weight of the newest response in the failure ratio.
const NEWEST_WEIGHT: f64 = 0.15;

/// Recent failures of one upstream, and its ejection.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OutlierState {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: MonotonicTime,
    probe_running: bool,
    failure_ratio: f64,
    observed_at: MonotonicTime,
}

impl OutlierState {
    /// Returns the failure ratio of recent responses, between 0 and 1. It decays with time, as an
    /// upstream without traffic could otherwise never recover.
    #[must_use]
    pub fn failure_ratio(&self, now: MonotonicTime) -> f64 {
        let half_lives =
            now.since(self.observed_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_ratio * 0.5f64.powf(half_lives)
    }

    /// Returns true if requests may be sent: the upstream is not ejected, or its ejection has ended
    /// and no probe request is running. Requests that must not be executed twice have to wait
    /// longer.
    #[must_use]
    pub fn is_usable(&self, now: MonotonicTime, repeatable: bool) -> bool {
        if self.ejections == 0 {
            return true;
        }
        let period = if repeatable {
            Duration::ZERO
        } else {
            NON_REPEATABLE_DELAY
        };
        now >= self.ejected_until + period && !self.probe_running
    }

    /// Returns true if the upstream is ejected for a recent failure. Older failures are not
    /// reported: a recovered upstream would be ejected by all daemons for as long as by the most
    /// cautious one.
    #[must_use]
    pub fn ejected_recently(&self, now: MonotonicTime) -> bool {
        self.ejections > 0
            && now < self.ejected_until
            && now.since(self.observed_at) < REPORT_WINDOW
    }

    /// Returns true if the last response was successful and arrived within the given time.
    #[must_use]
    pub fn succeeded_within(&self, now: MonotonicTime, within: Duration) -> bool {
        self.consecutive_failures == 0 && now.since(self.observed_at) < within
    }

    /// Returns true if the upstream is ejected or on probation.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejections > 0
    }

    /// Ends an ejection whose last failure is at most `age` old, as the failures were not those of
    /// the upstream. Returns whether there was one.
    pub fn forgive_ejection(&mut self, now: MonotonicTime, age: Duration) -> bool {
        let is_recent = now.since(self.observed_at) <= age;
        if !is_recent || self.consecutive_failures == 0 {
            return false;
        }
        *self = Self::default();
        true
    }

    /// Records that a request is sent; on probation it is the probe request.
    pub fn record_dispatch(&mut self) {
        self.probe_running = self.ejections > 0;
    }

    /// Ends a probe request without a result, for instance because the caller has left.
    pub fn cancel_probe(&mut self) {
        self.probe_running = false;
    }

    /// Records a successful response. Returns true if that ends an ejection.
    pub fn record_success(&mut self, now: MonotonicTime) -> bool {
        self.failure_ratio = self.failure_ratio(now) * (1.0 - NEWEST_WEIGHT);
        self.observed_at = now;
        self.consecutive_failures = 0;
        self.probe_running = false;
        std::mem::take(&mut self.ejections) > 0
    }

    /// Records a failure response, which the request itself may have caused. `typical_ratio` is the
    /// median failure ratio of the service. Returns true if the upstream is ejected for it.
    pub fn record_failure(&mut self, now: MonotonicTime, typical_ratio: f64) -> bool {
        self.count_failure(now);
        let is_far_worse = self.failure_ratio > typical_ratio * 2.0 + 0.25;
        let is_repeated = self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
            && self.failure_ratio > typical_ratio + 0.1;
        if self.ejections == 0 && !is_repeated && !is_far_worse {
            return false;
        }
        self.eject(now)
    }

    /// Records a broken connection or a stall. `certain` ejects without waiting for a second
    /// failure. Returns true if the upstream is ejected for it.
    pub fn record_connection_failure(&mut self, now: MonotonicTime, certain: bool) -> bool {
        self.count_failure(now);
        if self.ejections == 0 && !certain && self.consecutive_failures < 2 {
            return false;
        }
        self.eject(now)
    }

    fn count_failure(&mut self, now: MonotonicTime) {
        let ratio = self.failure_ratio(now);
        self.failure_ratio = ratio + (1.0 - ratio) * NEWEST_WEIGHT;
        self.observed_at = now;
        self.consecutive_failures += 1;
        self.probe_running = false;
    }

    fn eject(&mut self, now: MonotonicTime) -> bool {
        if now < self.ejected_until {
            return false;
        }
        let period = BASE_EJECTION_PERIOD * 2u32.pow(self.ejections.min(4));
        self.ejections += 1;
        self.ejected_until = now + period.min(MAX_EJECTION_PERIOD);
        true
    }
}
