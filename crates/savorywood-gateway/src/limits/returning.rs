//! Recognition of refused callers that return.

use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Period over which the deadlines of a route are observed.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(20);
/// Deadlines that differ by less than this fraction count as equal.
const EQUAL_FRACTION: f64 = 0.001;
/// Fraction of the requests of a route that must have its longest deadline. Below it, callers choose
/// their deadlines freely, and a short one says nothing.
const MIN_EQUAL_FRACTION: f64 = 0.25;
/// Requests after which that fraction is known.
const MIN_REQUESTS: u32 = 20;
/// A return is at least this much later than the first attempt.
const MIN_ELAPSED: Duration = Duration::from_millis(30);
/// A caller waits at most this fraction of its time before it returns.
const MAX_ELAPSED_FRACTION: f64 = 0.36;
/// Maximum number of routes.
const MAX_ROUTES: usize = 1_000;

/// Deadlines of the requests of one route in one period.
#[derive(Debug, Clone, Copy, Default)]
struct DeadlineCounts {
    longest: Duration,
    /// Requests with the longest deadline.
    longest_count: u32,
    total: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct RouteDeadlines {
    since: MonotonicTime,
    current: DeadlineCounts,
    previous: DeadlineCounts,
}

/// Recognises refused requests that return by their shorter deadline.
///
/// Callers state the time that they still have, and those of one route usually begin with the same
/// time. A request with less has been refused before, possibly by another daemon; no header and no
/// message between daemons is needed.
#[derive(Debug, Clone, Default)]
pub struct ReturningCallers {
    routes: BTreeMap<String, RouteDeadlines>,
}

impl DeadlineCounts {
    fn record(&mut self, deadline: Duration) {
        self.total += 1;
        if deadline > self.longest.mul_f64(1.0 + EQUAL_FRACTION) {
            self.longest = deadline;
            self.longest_count = 0;
        }
        self.longest_count += u32::from(deadline >= self.longest.mul_f64(1.0 - EQUAL_FRACTION));
    }

    /// Returns the deadline that the requests begin with, if it is known.
    fn usual(&self) -> Option<Duration> {
        let needed = f64::from(self.total) * MIN_EQUAL_FRACTION;
        (self.total >= MIN_REQUESTS && f64::from(self.longest_count) >= needed)
            .then_some(self.longest)
    }
}

impl ReturningCallers {
    /// Records an arrival, and returns the time since the request's first attempt if it is
    /// recognised as a return.
    pub fn observe(
        &mut self,
        now: MonotonicTime,
        route: &str,
        deadline: Duration,
    ) -> Option<Duration> {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                return None;
            }
            self.routes
                .insert(route.to_owned(), RouteDeadlines::default());
        }
        let deadlines = self.routes.get_mut(route)?;
        if now.since(deadlines.since) >= OBSERVATION_PERIOD {
            deadlines.previous = deadlines.current;
            deadlines.current = DeadlineCounts::default();
            deadlines.since = now;
        }
        deadlines.current.record(deadline);
        let usual = deadlines.previous.usual().or(deadlines.current.usual())?;
        let elapsed = usual.checked_sub(deadline)?;
        let max_elapsed = usual.mul_f64(MAX_ELAPSED_FRACTION);
        (MIN_ELAPSED..=max_elapsed)
            .contains(&elapsed)
            .then_some(elapsed)
    }
}
