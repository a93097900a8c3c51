//! Upstreams that fail or fall silent are left out for a while and tried again ever more rarely.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// First time out.
const BASE_EJECTION_PERIOD: Duration = Duration::from_millis(1_000);
/// Longest time out.
const MAX_EJECTION_PERIOD: Duration = Duration::from_secs(6);
/// Failures in a row that take an upstream out.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
/// Time after its time out from which work that may not run twice goes there as well.
const NON_REPEATABLE_DELAY: Duration = Duration::from_secs(4);
/// Time in which old failures lose half of their weight.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Failures are reported to peers for this long.
const REPORT_WINDOW: Duration = Duration::from_millis(1_000);
/// Weight of the newest answer in the share of failures.
const NEWEST_WEIGHT: f64 = 0.15;

/// What was seen of one upstream.
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
    /// Share of failures among the newest answers, 0 to 1. It fades: an upstream that gets no work
    /// could never show that it is sound again.
    #[must_use]
    pub fn failure_ratio(&self, now: MonotonicTime) -> f64 {
        let halvings = now.since(self.observed_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_ratio * 0.5f64.powf(halvings)
    }

    /// It may get work: it is in, or its time out is over and no other trial runs. What may not
    /// run twice comes back later than the rest.
    #[must_use]
    pub fn is_usable(&self, now: MonotonicTime, repeatable: bool) -> bool {
        if self.ejections == 0 {
            return true;
        }
        let pause = if repeatable {
            Duration::ZERO
        } else {
            NON_REPEATABLE_DELAY
        };
        now >= self.ejected_until + pause && !self.probe_running
    }

    /// It is left out for a failure that was seen a moment ago. Older ones are nothing to report:
    /// an upstream that is back would be kept out by all for as long as by the most careful.
    #[must_use]
    pub fn ejected_recently(&self, now: MonotonicTime) -> bool {
        self.ejections > 0
            && now < self.ejected_until
            && now.since(self.observed_at) < REPORT_WINDOW
    }

    /// An answer of it that was good came within some time.
    #[must_use]
    pub fn succeeded_within(&self, now: MonotonicTime, within: Duration) -> bool {
        self.consecutive_failures == 0 && now.since(self.observed_at) < within
    }

    /// It is out, or on trial.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejections > 0
    }

    /// Work goes there.
    pub fn record_dispatch(&mut self) {
        self.probe_running = self.ejections > 0;
    }

    /// Nothing is known of what was sent: the caller left, say.
    pub fn cancel_probe(&mut self) {
        self.probe_running = false;
    }

    /// It answered well. Returns true when that brings it back in.
    pub fn record_success(&mut self, now: MonotonicTime) -> bool {
        self.failure_ratio = self.failure_ratio(now) * (1.0 - NEWEST_WEIGHT);
        self.observed_at = now;
        self.consecutive_failures = 0;
        self.probe_running = false;
        std::mem::take(&mut self.ejections) > 0
    }

    /// It answered with a failure of its own, which some requests deserve. `usual` is the share
    /// of failures among its peers. Returns true when that takes it out.
    pub fn record_failure(&mut self, now: MonotonicTime, typical_ratio: f64) -> bool {
        self.count_failure(now);
        let far_worse = self.failure_ratio > typical_ratio * 2.0 + 0.25;
        let row = self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
            && self.failure_ratio > typical_ratio + 0.1;
        if self.ejections == 0 && !row && !far_worse {
            return false;
        }
        self.eject(now)
    }

    /// It broke a connection or fell silent. Returns true when that takes it out.
    pub fn record_connection_failure(&mut self, now: MonotonicTime, certain: bool) -> bool {
        self.count_failure(now);
        if self.ejections == 0 && !certain && self.consecutive_failures < 2 {
            return false;
        }
        self.eject(now)
    }

    fn count_failure(&mut self, now: MonotonicTime) {
        let share = self.failure_ratio(now);
        self.failure_ratio = share + (1.0 - share) * NEWEST_WEIGHT;
        self.observed_at = now;
        self.consecutive_failures += 1;
        self.probe_running = false;
    }

    fn eject(&mut self, now: MonotonicTime) -> bool {
        if now < self.ejected_until {
            return false;
        }
        let pause = BASE_EJECTION_PERIOD * 2u32.pow(self.ejections.min(4));
        self.ejections += 1;
        self.ejected_until = now + pause.min(MAX_EJECTION_PERIOD);
        true
    }
}
