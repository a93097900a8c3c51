//! Free slots of one upstream, and since when they have been seen free.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time in which the number of daemons that may take a free slot doubles. Reports of peers are 80 to
/// 250 ms old, and those that had the right before have then either taken the slot or do not need it.
const WIDENING_PERIOD: Duration = Duration::from_millis(200);
/// Bound of the factor by which the period is shorter for a daemon with much demand.
const MAX_DEMAND_FACTOR: f64 = 4.0;
/// Number of doublings after which a slot is open to every daemon.
const MAX_DOUBLINGS: u32 = 12;

/// Free slots of one upstream. The slot that was released last is the first to be taken.
#[derive(Debug, Clone, Default)]
pub struct Vacancies {
    since: Vec<MonotonicTime>,
}

impl Vacancies {
    /// Records the number of slots that are seen free.
    pub fn update(&mut self, now: MonotonicTime, free: u32) {
        self.since.resize(free as usize, now);
    }

    /// Returns how many daemons, in the order of their ranks, may take one of `free` slots now.
    ///
    /// `demand` is the use of the service's slots by this daemon relative to an equal share. Where it
    /// is above 1, others need less than theirs, so that this daemon need not wait as long for them.
    #[must_use]
    pub fn reach(&self, now: MonotonicTime, free: u32, demand: f64) -> u32 {
        let period = WIDENING_PERIOD.div_f64(demand.clamp(1.0, MAX_DEMAND_FACTOR));
        let known = self.since.iter().take(free as usize);
        let known = known.map(|since| {
            let doublings = now.since(*since).as_micros() / period.as_micros().max(1);
            1_u32
                << u32::try_from(doublings).map_or(MAX_DOUBLINGS, |count| count.min(MAX_DOUBLINGS))
        });
        let unknown = free.saturating_sub(u32::try_from(self.since.len()).unwrap_or(free));
        known.sum::<u32>() + unknown
    }
}
