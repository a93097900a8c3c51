//! Upstreams that fail or fall silent are left out for a while and tried again ever more rarely.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// First time out.
const FIRST_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest time out.
const LONGEST_PAUSE: Duration = Duration::from_secs(6);
/// Failures in a row that take an upstream out.
const FAILURES_IN_A_ROW: u32 = 3;
/// Time after its time out from which work that may not run twice goes there as well.
const TRUST_PAUSE: Duration = Duration::from_secs(4);
/// Time in which old failures lose half of their weight.
const FORGET_TIME: Duration = Duration::from_secs(3);
/// Failures are reported to peers for this long.
const REPORT_TIME: Duration = Duration::from_millis(1_000);
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
    seen_at: MonotonicTime,
}

impl OutlierState {
    /// Share of failures among the newest answers, 0 to 1. It fades: an upstream that gets no work
    /// could never show that it is sound again.
    #[must_use]
    pub fn failure_ratio(&self, now: MonotonicTime) -> f64 {
        let halvings = now.since(self.seen_at).as_secs_f64() / FORGET_TIME.as_secs_f64();
        self.failure_share * 0.5f64.powf(halvings)
    }

    /// It may get work: it is in, or its time out is over and no other trial runs. What may not
    /// run twice comes back later than the rest.
    #[must_use]
    pub fn is_usable(&self, now: MonotonicTime, repeatable: bool) -> bool {
        if self.times_out == 0 {
            return true;
        }
        let pause = if repeatable {
            Duration::ZERO
        } else {
            TRUST_PAUSE
        };
        now >= self.out_until + pause && !self.trial_running
    }

    /// It is left out for a failure that was seen a moment ago. Older ones are nothing to report:
    /// an upstream that is back would be kept out by all for as long as by the most careful.
    #[must_use]
    pub fn ejected_recently(&self, now: MonotonicTime) -> bool {
        self.times_out > 0 && now < self.out_until && now.since(self.seen_at) < REPORT_TIME
    }

    /// An answer of it that was good came within some time.
    #[must_use]
    pub fn succeeded_within(&self, now: MonotonicTime, within: Duration) -> bool {
        self.failures_in_a_row == 0 && now.since(self.seen_at) < within
    }

    /// It is out, or on trial.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.times_out > 0
    }

    /// Work goes there.
    pub fn record_dispatch(&mut self) {
        self.trial_running = self.times_out > 0;
    }

    /// Nothing is known of what was sent: the caller left, say.
    pub fn cancel_probe(&mut self) {
        self.trial_running = false;
    }

    /// It answered well. Returns true when that brings it back in.
    pub fn record_success(&mut self, now: MonotonicTime) -> bool {
        self.failure_share = self.failure_ratio(now) * (1.0 - NEWEST_WEIGHT);
        self.seen_at = now;
        self.failures_in_a_row = 0;
        self.trial_running = false;
        std::mem::take(&mut self.times_out) > 0
    }

    /// It answered with a failure of its own, which some requests deserve. `usual` is the share
    /// of failures among its peers. Returns true when that takes it out.
    pub fn record_failure(&mut self, now: MonotonicTime, usual: f64) -> bool {
        self.count_failure(now);
        let far_worse = self.failure_share > usual * 2.0 + 0.25;
        let row = self.failures_in_a_row >= FAILURES_IN_A_ROW && self.failure_share > usual + 0.1;
        if self.times_out == 0 && !row && !far_worse {
            return false;
        }
        self.take_out(now)
    }

    /// It broke a connection or fell silent. Returns true when that takes it out.
    pub fn record_connection_failure(&mut self, now: MonotonicTime, certain: bool) -> bool {
        self.count_failure(now);
        if self.times_out == 0 && !certain && self.failures_in_a_row < 2 {
            return false;
        }
        self.take_out(now)
    }

    fn count_failure(&mut self, now: MonotonicTime) {
        let share = self.failure_ratio(now);
        self.failure_share = share + (1.0 - share) * NEWEST_WEIGHT;
        self.seen_at = now;
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
