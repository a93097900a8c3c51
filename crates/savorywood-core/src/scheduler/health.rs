//! Outlier ejection and stall detection of upstreams, and how ejected upstreams get work again.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Consecutive failures after which an upstream is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Duration of the first ejection; doubles with each further one.
const INITIAL_EJECTION_PERIOD: Duration = Duration::from_secs(5);
/// Maximum duration of an ejection, before jitter.
const MAX_EJECTION_PERIOD: Duration = Duration::from_secs(60);
/// Consecutive successes that end a probation.
const PROBATION_SUCCESSES: u32 = 3;
/// Time over which a cold or formerly ejected upstream is brought up to its limit.
const RAMP_PERIOD: Duration = Duration::from_secs(8);
/// Fraction of the limit at which a ramp begins.
const RAMP_START_FRACTION: f64 = 0.2;
/// Minimum time without data after which an upstream may count as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HealthState {
    /// Gets work up to its limit.
    Healthy,
    /// Gets work up to a growing fraction of its limit.
    Ramping { since: MonotonicTime },
    /// Gets no work.
    Ejected { until: MonotonicTime },
    /// Gets one probe request at a time.
    Probation { successes: u32 },
}

/// Health of one upstream as observed by this daemon.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamHealth {
    state: HealthState,
    failures: u32,
    ejections: u32,
    last_data_at: MonotonicTime,
    last_dispatch_at: MonotonicTime,
}

impl UpstreamHealth {
    /// Creates the state of a new upstream. With `ramp_up`, which is set for upstreams that join a
    /// running service, its allowance grows from [`RAMP_START_FRACTION`] to the limit.
    #[must_use]
    pub fn new(now: MonotonicTime, ramp_up: bool) -> Self {
        let state = if ramp_up {
            HealthState::Ramping { since: now }
        } else {
            HealthState::Healthy
        };
        Self {
            state,
            failures: 0,
            ejections: 0,
            last_data_at: now,
            last_dispatch_at: now,
        }
    }

    /// Returns the fraction of its limit that it may use now. On probation it is the smallest
    /// positive number, which the caller rounds up to one slot.
    #[must_use]
    pub fn capacity_fraction(&self, now: MonotonicTime) -> f64 {
        match self.state {
            HealthState::Healthy => 1.0,
            HealthState::Ramping { since } => {
                let progress = now.since(since).as_secs_f64() / RAMP_PERIOD.as_secs_f64();
                (RAMP_START_FRACTION + progress).min(1.0)
            }
            HealthState::Ejected { until } if now < until => 0.0,
            HealthState::Ejected { .. } | HealthState::Probation { .. } => f64::MIN_POSITIVE,
        }
    }

    /// Whether it is ejected now.
    #[must_use]
    pub fn is_ejected(&self, now: MonotonicTime) -> bool {
        matches!(self.state, HealthState::Ejected { until } if now < until)
    }

    /// Records the dispatch of an attempt. If the upstream had no work before, the time without
    /// data starts now. The first dispatch after an ejection starts the probation.
    pub fn record_dispatch(&mut self, now: MonotonicTime, was_idle: bool) {
        if was_idle {
            self.last_data_at = now;
        }
        self.last_dispatch_at = now;
        if let HealthState::Ejected { until } = self.state
            && now >= until
        {
            self.state = HealthState::Probation { successes: 0 };
        }
    }

    /// Records that data arrived from the upstream.
    pub fn record_data(&mut self, now: MonotonicTime) {
        self.last_data_at = now;
    }

    /// Whether the upstream has work but has sent no data for four times `expected`. A stalled
    /// engine accepts connections and never responds: the first sign is that all its streams stop
    /// at once, long before any of them times out.
    ///
    /// A single slow call looks the same, so the upstream gets another request whenever it has not
    /// had one for half of the time without data. A healthy upstream responds to it; a stalled one
    /// fails fewer and fewer requests.
    #[must_use]
    pub fn is_stalled(&self, now: MonotonicTime, expected: Duration) -> bool {
        let since_data = now.since(self.last_data_at);
        let since_dispatch = now.since(self.last_dispatch_at);
        since_data > MIN_STALL_TIMEOUT.max(expected * 4) && since_dispatch < since_data / 2
    }

    /// Records an attempt that succeeded.
    pub fn record_success(&mut self, now: MonotonicTime) {
        self.failures = 0;
        self.state = match self.state {
            HealthState::Probation { successes } if successes + 1 >= PROBATION_SUCCESSES => {
                HealthState::Ramping { since: now }
            }
            HealthState::Probation { successes } => HealthState::Probation {
                successes: successes + 1,
            },
            HealthState::Ramping { since } if now.since(since) > RAMP_PERIOD => {
                self.ejections = 0;
                HealthState::Healthy
            }
            state @ (HealthState::Healthy
            | HealthState::Ramping { .. }
            | HealthState::Ejected { .. }) => state,
        };
    }

    /// Records an attempt that failed. Returns whether the upstream should be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        let on_probation = matches!(self.state, HealthState::Probation { .. });
        on_probation || self.failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Ejects the upstream. `jitter`, between 0 and 1, lengthens the ejection by up to a half, so
    /// that daemons don't send their probe requests at the same time.
    pub fn eject(&mut self, now: MonotonicTime, jitter: f64) {
        let doubled = INITIAL_EJECTION_PERIOD * 2_u32.pow(self.ejections.min(4));
        let period = doubled.min(MAX_EJECTION_PERIOD).mul_f64(1.0 + jitter / 2.0);
        self.ejections += 1;
        self.failures = 0;
        self.state = HealthState::Ejected {
            until: now + period,
        };
    }
}
