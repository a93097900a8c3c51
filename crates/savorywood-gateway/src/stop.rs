//! Schedule of a planned stop.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time for which callers with a cached directory response go on sending requests.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(3_300);
/// Time in which a stream is admitted because it is expected to end before the exit. A stream that has
/// begun can only be cut, so a later one must end by its deadline, whatever is expected.
const ESTIMATE_PERIOD: Duration = Duration::from_millis(2_800);
/// Fraction of the time until the kill that is left when the process exits by itself.
const EXIT_FRACTION: f64 = 0.1;
/// Maximum of that time.
const MAX_EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Fraction of the time until the kill in which final responses are written before the exit.
const ANSWER_FRACTION: f64 = 0.05;
/// Maximum of that time.
const MAX_ANSWER_PERIOD: Duration = Duration::from_millis(300);

/// Times of a planned stop. All are derived from the order to stop and the time until the kill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    estimates_until: MonotonicTime,
    arrivals_until: MonotonicTime,
    answers_at: MonotonicTime,
    exits_at: MonotonicTime,
}

/// When a request is expected to end, and when it ends at the latest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestEnd {
    /// Time at which the request arrived.
    pub arrived_at: MonotonicTime,
    /// Time at which its response is expected to be complete.
    pub expected_at: MonotonicTime,
    /// Deadline of the final response.
    pub deadline_at: MonotonicTime,
    /// The response is a stream, which can't be replaced by another response once it has begun.
    pub stream: bool,
}

impl StopSchedule {
    /// Returns the schedule of a process that is ordered to stop now and killed after `grace`.
    #[must_use]
    pub fn new(now: MonotonicTime, grace: Duration) -> Self {
        let exit_margin = grace.mul_f64(EXIT_FRACTION).min(MAX_EXIT_MARGIN);
        let answer_period = grace.mul_f64(ANSWER_FRACTION).min(MAX_ANSWER_PERIOD);
        let exits_at = now + grace.saturating_sub(exit_margin);
        let answers_at = now + grace.saturating_sub(exit_margin + answer_period);
        Self {
            estimates_until: answers_at.min(now + ESTIMATE_PERIOD),
            arrivals_until: answers_at.min(now + ARRIVAL_PERIOD),
            answers_at,
            exits_at,
        }
    }

    /// Returns the time until which requests may be admitted, and the process serves at least.
    #[must_use]
    pub fn arrivals_until(&self) -> MonotonicTime {
        self.arrivals_until
    }

    /// Returns the time at which all requests whose response has not begun get a final one.
    #[must_use]
    pub fn answers_at(&self) -> MonotonicTime {
        self.answers_at
    }

    /// Returns the time at which the process exits at the latest.
    #[must_use]
    pub fn exits_at(&self) -> MonotonicTime {
        self.exits_at
    }

    /// Returns whether a request may be dispatched: it ends before the process does.
    #[must_use]
    pub fn allows(&self, end: &RequestEnd) -> bool {
        let is_bounded = end.deadline_at <= self.answers_at;
        let may_estimate = !end.stream || end.arrived_at <= self.estimates_until;
        is_bounded || (may_estimate && end.expected_at <= self.answers_at)
    }
}
