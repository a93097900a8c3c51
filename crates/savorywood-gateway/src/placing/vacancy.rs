//! Free slots of one upstream, and since when they have been seen free.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time in which the number of daemons that may take a free slot doubles. Reports of peers are 80 to
/// 250 ms old, and those that had the right before have then either taken the slot or do not need it.
const WIDENING_PERIOD: Duration = Duration::from_millis(100);
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
    #[must_use]
    pub fn reach(&self, now: MonotonicTime, free: u32) -> u32 {
        let known = self.since.iter().take(free as usize);
        let known = known.map(|since| {
            let doublings = now.since(*since).as_millis() / WIDENING_PERIOD.as_millis();
            1_u32
                << u32::try_from(doublings).map_or(MAX_DOUBLINGS, |count| count.min(MAX_DOUBLINGS))
        });
        let unknown = free.saturating_sub(u32::try_from(self.since.len()).unwrap_or(free));
        known.sum::<u32>() + unknown
    }
}
