//! How much work of each rank comes to a service, and what is kept free for it.

use crate::queue::RequestRank;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Time in which old arrivals lose most of their weight: bursts last for some seconds.
const DECAY_WINDOW: Duration = Duration::from_millis(1_500);
/// Time for which daemons do not know of each other's newest dispatches.
const GOSSIP_DELAY: Duration = Duration::from_millis(250);
/// Arrivals of the most urgent work while a kept slot is used by other work.
const MAX_URGENT_ARRIVALS_WHILE_BORROWED: f64 = 0.8;
/// At most one in so many slots of an upstream is kept.
const MIN_SLOTS_PER_RESERVED: u32 = 3;

/// A count in which old events lose their weight.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCounter {
    count: f64,
    updated_at: MonotonicTime,
}

impl DecayingCounter {
    fn add(&mut self, now: MonotonicTime) {
        self.count = self.at(now) + 1.0;
        self.updated_at = now;
    }

    fn at(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.count * (-elapsed / DECAY_WINDOW.as_secs_f64()).exp()
    }

    fn per_second(&self, now: MonotonicTime) -> f64 {
        self.at(now) / DECAY_WINDOW.as_secs_f64()
    }
}

/// Arrivals and dispatches at one service by rank, as this daemon sees them.
#[derive(Debug, Clone, Default)]
pub struct DemandTracker {
    arrivals: BTreeMap<RequestRank, DecayingCounter>,
    dispatches: BTreeMap<RequestRank, DecayingCounter>,
}

impl DemandTracker {
    /// A request came.
    pub fn record_arrival(&mut self, now: MonotonicTime, rank: RequestRank) {
        self.arrivals.entry(rank).or_default().add(now);
    }

    /// A request got a slot.
    pub fn record_dispatch(&mut self, now: MonotonicTime, rank: RequestRank) {
        self.dispatches.entry(rank).or_default().add(now);
    }

    /// Requests of a rank that got a slot in the last second.
    #[must_use]
    pub fn dispatch_rate(&self, now: MonotonicTime, rank: RequestRank) -> f64 {
        let count = self.dispatches.get(&rank);
        count.map_or(0.0, |count| count.per_second(now))
    }

    /// Arrivals more urgent than a rank, at `daemons` daemons that see as many as this one.
    #[must_use]
    pub fn urgent_arrivals(
        &self,
        now: MonotonicTime,
        rank: RequestRank,
        daemons: usize,
    ) -> UrgentArrivals {
        let urgent = self.arrivals.range(..rank);
        let mut rates = urgent.map(|(_, count)| count.per_second(now) * daemons as f64);
        let most_urgent = rates.next().unwrap_or_default();
        UrgentArrivals {
            most_urgent_per_s: most_urgent,
            total_per_s: most_urgent + rates.sum::<f64>(),
        }
    }
}

/// Arrivals a second at all daemons that are more urgent than one rank.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UrgentArrivals {
    /// Of all those ranks.
    pub total_per_s: f64,
    /// Of the most urgent one.
    pub most_urgent_per_s: f64,
}

impl UrgentArrivals {
    /// Slots of an upstream that work of this rank leaves free. `share` is the part of the
    /// service's work that the upstream does, `slot` the time for which the work would hold one.
    ///
    /// The load that this answers: nearly all slots are taken, and work of several ranks comes to
    /// several daemons. Less urgent work that takes the last slot holds it for the whole of an
    /// answer; an urgent request that comes to any daemon a moment later waits for as long. So as
    /// many slots are kept as urgent requests are expected before daemons learn of each other, and
    /// none while little urgent work comes. What gives its slot back before the most urgent work
    /// is likely to ask for it may borrow a kept one: refused, short work would get nothing from
    /// slots that stand empty most of the time.
    #[must_use]
    pub fn reserved_slots(&self, share: f64, slot: Duration, slots: u32) -> u32 {
        let horizon = slot.min(GOSSIP_DELAY);
        let reserved = (self.total_per_s * share * horizon.as_secs_f64()).round() as u32;
        if self.most_urgent_per_s * share * slot.as_secs_f64() < MAX_URGENT_ARRIVALS_WHILE_BORROWED
        {
            return 0;
        }
        reserved.min(slots / MIN_SLOTS_PER_RESERVED)
    }
}
