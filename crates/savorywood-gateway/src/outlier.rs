//! Upstreams that fail or fall silent are left out for a while and tried again ever more rarely.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// First time out.
const FIRST_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest time out.
const LONGEST_PAUSE: Duration = Duration::from_secs(6);
/// Failures in a row that take an upstream out.
const FAILURES_IN_A_ROW: u32 = 3;
/// Weight of the newest answer in the share of failures.
const NEWEST_WEIGHT: f64 = 0.15;

/// What was seen of one upstream.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OutlierState {
    failures_in_a_row: u32,
    times_out: u32,
    out_until: MonotonicTime,
    trial_running: bool,
    failure_share: f64,
}

impl OutlierState {
    /// Share of failures among the newest answers, 0 to 1.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// It may get work: it is in, or its time out is over and no other trial runs.
    #[must_use]
    pub fn is_usable(&self, now: MonotonicTime) -> bool {
        if self.times_out == 0 {
            return true;
        }
        now >= self.out_until && !self.trial_running
    }

    /// It is out, or on trial.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.times_out > 0
    }

    /// Work goes there.
    pub fn sent(&mut self) {
        self.trial_running = self.times_out > 0;
    }

    /// Nothing is known of what was sent: the caller left, say.
    pub fn unknown(&mut self) {
        self.trial_running = false;
    }

    /// It answered well. Returns true when that brings it back in.
    pub fn succeeded(&mut self) -> bool {
        self.failure_share *= 1.0 - NEWEST_WEIGHT;
        self.failures_in_a_row = 0;
        self.trial_running = false;
        std::mem::take(&mut self.times_out) > 0
    }

    /// It answered with a failure of its own, which some requests deserve. `usual` is the share
    /// of failures among its peers. Returns true when that takes it out.
    pub fn failed(&mut self, now: MonotonicTime, usual: f64) -> bool {
        self.count_failure();
        let far_worse = self.failure_share > usual * 2.0 + 0.25;
        let row = self.failures_in_a_row >= FAILURES_IN_A_ROW && self.failure_share > usual + 0.1;
        if self.times_out == 0 && !row && !far_worse {
            return false;
        }
        self.take_out(now)
    }

    /// It broke a connection or fell silent. Returns true when that takes it out.
    pub fn broke(&mut self, now: MonotonicTime, certain: bool) -> bool {
        self.count_failure();
        if self.times_out == 0 && !certain && self.failures_in_a_row < 2 {
            return false;
        }
        self.take_out(now)
    }

    fn count_failure(&mut self) {
        self.failure_share += (1.0 - self.failure_share) * NEWEST_WEIGHT;
        self.failures_in_a_row += 1;
        self.trial_running = false;
    }

    fn take_out(&mut self, now: MonotonicTime) -> bool {
        if now < self.out_until {
            return false;
        }
        let pause = FIRST_PAUSE * 2u32.pow(self.times_out.min(4));
        self.times_out += 1;
        self.out_until = now + pause.min(LONGEST_PAUSE);
        true
    }
}
