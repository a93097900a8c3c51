//! Which upstreams get no work because they fail or fall silent, and how they come back.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Failures in a row that take an upstream out.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Time out after the first ejection; doubles with each one that follows.
const INITIAL_EJECTION_PERIOD: Duration = Duration::from_secs(5);
/// Longest time out.
const MAX_EJECTION_PERIOD: Duration = Duration::from_secs(60);
/// Successes in a row that end a probation.
const PROBATION_SUCCESSES: u32 = 3;
/// Time over which a cold or returning upstream is brought up to its limit.
const RAMP_PERIOD: Duration = Duration::from_secs(8);
/// Share of the limit that a ramp begins with.
const RAMP_START_FRACTION: f64 = 0.2;
/// Silence is never shorter than this.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HealthState {
    /// Takes work up to its limit.
    Healthy,
    /// Takes work up to a growing share of its limit.
    Ramping { since: MonotonicTime },
    /// Takes none.
    Ejected { until: MonotonicTime },
    /// Takes one request at a time.
    Probation { successes: u32 },
}

/// Health of one upstream as this daemon sees it.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamHealth {
    state: HealthState,
    failures: u32,
    ejections: u32,
    last_data_at: MonotonicTime,
    last_dispatch_at: MonotonicTime,
}

impl UpstreamHealth {
    /// A new upstream; a cold one among warm ones is brought up slowly.
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

    /// Share of its limit that it may use now.
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

    /// Whether it is out now.
    #[must_use]
    pub fn is_ejected(&self, now: MonotonicTime) -> bool {
        matches!(self.state, HealthState::Ejected { until } if now < until)
    }

    /// An attempt begins. With none under way before, silence is counted from now.
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

    /// The upstream said something.
    pub fn record_data(&mut self, now: MonotonicTime) {
        self.last_data_at = now;
    }

    /// Whether nothing has come from it for longer than `usual` times a margin, although work is
    /// under way there. A stalled engine accepts connections and never answers: the first sign
    /// is that all its streams stop at once, long before a timeout of any of them.
    ///
    /// A single slow call looks the same. So the upstream is tried again whenever it has not been
    /// for half of its silence: one that is well answers the next call, one that stalls loses
    /// ever fewer.
    #[must_use]
    pub fn is_stalled(&self, now: MonotonicTime, expected: Duration) -> bool {
        let since_data = now.since(self.last_data_at);
        let since_dispatch = now.since(self.last_dispatch_at);
        since_data > MIN_STALL_TIMEOUT.max(expected * 4) && since_dispatch < since_data / 2
    }

    /// An attempt ended well.
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

    /// An attempt failed. Says whether the upstream should be taken out.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        let on_probation = matches!(self.state, HealthState::Probation { .. });
        on_probation || self.failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Takes the upstream out. `jitter` between 0 and 1 spreads the returns of daemons.
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
