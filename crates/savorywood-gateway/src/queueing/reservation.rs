//! Slots that are kept free for more urgent requests.

use std::time::Duration;

/// Time until a daemon usually learns of slots that its peers took or freed. Later arrivals find slots
/// that are freed meanwhile.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Arrivals below which nothing is reserved, in requests within the delay of reports. An idle slot
/// would rarely be used.
const MIN_EXPECTED_ARRIVALS: f64 = 0.5;
/// At most one of this many slots of a service is reserved.
const MIN_SLOTS_PER_RESERVED: u32 = 3;

/// How slots are kept free for more urgent requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReservationRule {
    /// None are.
    Disabled,
    /// At each upstream by its share of the expected arrivals, as without the deadline queue.
    PerUpstream,
    /// Over all upstreams of the service by expected arrivals.
    PooledArrivals,
    /// Over all upstreams by waiting requests and expected arrivals.
    PooledDemand,
    /// Both at each upstream and over all of them by demand. A slot that is left free at an upstream
    /// also keeps long prompts out of the batches of urgent streams.
    #[default]
    Combined,
}

impl ReservationRule {
    /// Returns whether slots are left free at each upstream.
    #[must_use]
    pub fn reserves_per_upstream(self) -> bool {
        matches!(self, Self::PerUpstream | Self::Combined)
    }
}

/// Expected arrivals of one more urgent rank at all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UrgentRank {
    /// Arrivals per second at all daemons.
    pub arrivals_per_s: f64,
    /// Mean tokens of a prompt.
    pub prompt_tokens: u32,
    /// Objective for the time to the first event, in milliseconds.
    pub objective_ms: f64,
}

/// Demand for slots that a less urgent request leaves free.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UrgentReservation {
    /// Requests that wait at this daemon and go ahead.
    pub waiting: u32,
    /// Expected arrivals by rank.
    pub ranks: Vec<UrgentRank>,
}

impl UrgentReservation {
    /// Returns the number of slots to leave free out of `slots`, by a request that holds its slot
    /// for `hold`.
    ///
    /// Arrivals are counted until daemons have learned of each other's dispatches. Work that releases its slot before then takes the place of fewer arrivals.
    #[must_use]
    pub fn reserved_slots(&self, hold: Duration, slots: u32) -> u32 {
        let horizon = hold.min(REPORT_DELAY).as_secs_f64();
        let per_second: f64 = self.ranks.iter().map(|rank| rank.arrivals_per_s).sum();
        let expected = per_second * horizon;
        let arriving = if expected < MIN_EXPECTED_ARRIVALS {
            0
        } else {
            expected.round() as u32
        };
        (self.waiting + arriving).min(slots / MIN_SLOTS_PER_RESERVED)
    }

    /// Returns whether any of the urgent ranks could be in time at an upstream, given the expected
    /// time to the first event for a number of prompt tokens. Slots that none of them can use are not
    /// reserved.
    #[must_use]
    pub fn can_use(&self, first_event_ms: impl Fn(u32) -> f64) -> bool {
        self.ranks
            .iter()
            .any(|rank| first_event_ms(rank.prompt_tokens) <= rank.objective_ms)
    }
}
