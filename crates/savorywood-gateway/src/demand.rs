//! Demand at a service by rank, and the slots that are reserved for more urgent requests.

use crate::queue::RequestRank;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Time constant of the exponential decay of arrivals; bursts last for some seconds.
const DECAY_WINDOW: Duration = Duration::from_millis(1_500);
/// Time until a daemon learns of the dispatches of its peers.
const GOSSIP_DELAY: Duration = Duration::from_millis(250);
/// Less urgent work may use a reserved slot if fewer arrivals of the most urgent rank than this are
/// expected before it releases the slot.
const MAX_URGENT_ARRIVALS_WHILE_BORROWED: f64 = 0.8;
/// At most one of this many slots of an upstream is reserved.
const MIN_SLOTS_PER_RESERVED: u32 = 3;

/// Event counter with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingCounter {
    count: f64,
    updated_at: MonotonicTime,
}

impl DecayingCounter {
    /// Adds events, or another amount.
    pub fn add(&mut self, now: MonotonicTime, amount: f64) {
        self.count = self.value_at(now) + amount;
        self.updated_at = now;
    }

    /// Returns the amount of the recent past.
    #[must_use]
    pub fn value_at(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.count * (-elapsed / DECAY_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the recent amount per second.
    #[must_use]
    pub fn per_second(&self, now: MonotonicTime) -> f64 {
        self.value_at(now) / DECAY_WINDOW.as_secs_f64()
    }
}

/// Arrivals and dispatches at one service by rank, as observed by this daemon.
#[derive(Debug, Clone, Default)]
pub struct DemandTracker {
    arrivals: BTreeMap<RequestRank, DecayingCounter>,
    dispatches: BTreeMap<RequestRank, DecayingCounter>,
}

impl DemandTracker {
    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, now: MonotonicTime, rank: RequestRank) {
        self.arrivals.entry(rank).or_default().add(now, 1.0);
    }

    /// Records that a request was assigned a slot.
    pub fn record_dispatch(&mut self, now: MonotonicTime, rank: RequestRank) {
        self.dispatches.entry(rank).or_default().add(now, 1.0);
    }

    /// Returns the current rate of dispatches of a rank, in requests per second.
    #[must_use]
    pub fn dispatch_rate(&self, now: MonotonicTime, rank: RequestRank) -> f64 {
        let count = self.dispatches.get(&rank);
        count.map_or(0.0, |count| count.per_second(now))
    }

    /// Returns the current rate of dispatches of all ranks, in requests per second.
    #[must_use]
    pub fn total_dispatch_rate(&self, now: MonotonicTime) -> f64 {
        let counts = self.dispatches.values();
        counts.map(|count| count.per_second(now)).sum()
    }

    /// Returns the current rate of arrivals of this and all more urgent ranks, in requests per second.
    #[must_use]
    pub fn arrival_rate_up_to(&self, now: MonotonicTime, rank: RequestRank) -> f64 {
        let counts = self.arrivals.range(..=rank);
        counts.map(|(_, count)| count.per_second(now)).sum()
    }

    /// Returns the arrival rates of all ranks more urgent than `rank`, on the assumption that each
    /// of `daemons` daemons sees as many arrivals as this one.
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

/// Arrivals per second at all daemons that are more urgent than a given rank.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UrgentArrivals {
    /// Sum over all more urgent ranks.
    pub total_per_s: f64,
    /// Arrivals of the most urgent rank alone.
    pub most_urgent_per_s: f64,
}

impl UrgentArrivals {
    /// Returns the number of slots of an upstream that work of this rank leaves free. `share` is
    /// the fraction of the service's work that the upstream handles, `slot` the time for which the
    /// work would hold a slot.
    ///
    /// Without reserved slots, less urgent work takes the last slot under high load and holds it
    /// until its response is complete; an urgent request that arrives at any daemon a moment later
    /// waits as long. So the number of reserved slots is the number of urgent requests expected
    /// before daemons learn of each other's dispatches, and zero while there is little urgent work.
    /// Work that releases its slot before the most urgent work is likely to need it may use a
    /// reserved slot: otherwise short requests would be refused although the slots are idle most of
    /// the time.
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
