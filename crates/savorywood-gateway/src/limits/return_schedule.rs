//! Return times promised to refused callers.

use crate::{
    label::{ServiceLabel, TeamLabel},
    queue::RequestRank,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Width of the slices into which time is divided.
const SLICE: Duration = Duration::from_millis(100);
/// Slices ahead for which returns are promised: a third of the longest deadlines (15 s), and the
/// spread.
const HORIZON_SLICES: u64 = 56;
/// Time after a promised return until which its caller is expected: delivery of the refusal and of
/// the repeated request.
const GRACE_SLICES: u64 = 3;
/// Maximum number of keys; there are up to 24,000 teams.
const MAX_KEYS: usize = 24_000;
/// Work promised before a return that may not be done by then, in slices of capacity: the delay is
/// at most one slice, and a slice may have less capacity than one request needs.
const ALLOWED_BACKLOG_SLICES: f64 = 1.0;

/// Capacity for which return times are promised.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReturnKey {
    /// Limit of a team, in the limit's units.
    Team(TeamLabel),
    /// Requests of a rank at a service.
    Service {
        /// The service.
        service: ServiceLabel,
        /// The rank.
        rank: RequestRank,
    },
    /// Requests of a rank at a service after an outage of the store. Each rank has a capacity of
    /// its own.
    AfterOutage {
        /// The service.
        service: ServiceLabel,
        /// The rank.
        rank: RequestRank,
    },
}

impl ReturnKey {
    /// Returns the first key whose promises are kept before those of this key or together with
    /// them: that of the most urgent rank.
    fn most_urgent(&self) -> Self {
        match self {
            Self::Team(_) | Self::AfterOutage { .. } => self.clone(),
            Self::Service { service, .. } => Self::Service {
                service: service.clone(),
                rank: RequestRank::default(),
            },
        }
    }
}

/// Which of several times with free capacity is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnPreference {
    /// The earliest one.
    Earliest,
    /// The latest one.
    Latest,
}

/// A refused request for which a return time is to be reserved.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReturnQuery {
    /// Capacity that the request needs: units of a team's limit, or 1 for a service.
    pub amount: f64,
    /// This daemon's share of the capacity per second.
    pub per_second: f64,
    /// Delay before which there is no capacity, whatever was promised.
    pub earliest: Duration,
    /// Delay that the caller accepts at most.
    pub latest: Duration,
    /// Which of the free times is chosen.
    pub preference: ReturnPreference,
    /// Random sample, uniformly distributed between 0 and 1.
    pub sample: f64,
}

/// A reserved return time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReturnPromise {
    /// Delay until the return.
    pub delay: Duration,
    /// Capacity promised before to others that are not less urgent.
    pub promised_before: f64,
}

/// Amount promised in one slice.
#[derive(Debug, Clone, Copy)]
struct Slice {
    number: u64,
    amount: f64,
}

/// Return times promised by this daemon, by the capacity that they use.
///
/// The promises of a key behave like a queue that is served at the capacity per second. A time is
/// free if this queue is empty at that time, and if a request that joins it does not delay those
/// that were promised later times. Promises of more urgent ranks are served first, so that they are
/// counted for a less urgent rank, but not conversely.
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    promises: BTreeMap<ReturnKey, Vec<Slice>>,
}

fn slice_number(at: MonotonicTime) -> u64 {
    at.0 / SLICE.as_micros() as u64
}

impl ReturnSchedule {
    /// Reserves a return time; `None` if no time within the limits of the query has capacity.
    pub fn reserve(
        &mut self,
        now: MonotonicTime,
        key: &ReturnKey,
        query: &ReturnQuery,
    ) -> Option<ReturnPromise> {
        let first = slice_number(now);
        let promised = self.promised_amounts(first, key);
        let promised_before = promised.iter().sum();
        let latest = query.latest.min(SLICE * HORIZON_SLICES as u32);
        if query.earliest > latest || query.per_second <= 0.0 {
            return None;
        }
        let capacity = query.per_second * SLICE.as_secs_f64();
        let low = slice_number(now + query.earliest) - first;
        let high = slice_number(now + latest) - first;
        let fits = |slice: &u64| has_capacity(&promised, *slice, query.amount, capacity);
        let slice = match query.preference {
            ReturnPreference::Earliest => (low..=high).find(fits),
            ReturnPreference::Latest => (low..=high).rev().find(fits),
        }?;
        // The random part spreads the returns within the slice.
        let start = MonotonicTime((first + slice) * SLICE.as_micros() as u64).since(now);
        let delay = (start + SLICE.mul_f64(query.sample)).clamp(query.earliest, latest);
        self.record(first, key, first + slice, query.amount);
        Some(ReturnPromise {
            delay,
            promised_before,
        })
    }

    /// Removes an amount from the earliest promises of a key: a caller has returned.
    pub fn claim(&mut self, now: MonotonicTime, key: &ReturnKey, amount: f64) {
        let first = slice_number(now).saturating_sub(GRACE_SLICES);
        let Some(slices) = self.promises.get_mut(key) else {
            return;
        };
        let mut left = amount;
        for slice in slices.iter_mut().filter(|slice| slice.number >= first) {
            let taken = slice.amount.min(left);
            slice.amount -= taken;
            left -= taken;
        }
        slices.retain(|slice| slice.number >= first && slice.amount > 0.0);
        if slices.is_empty() {
            self.promises.remove(key);
        }
    }

    /// Returns the amount that must be available now so that all promises of a key can be kept at
    /// `per_second`, including those that are due and have not been claimed yet.
    #[must_use]
    pub fn held_amount(&self, now: MonotonicTime, key: &ReturnKey, per_second: f64) -> f64 {
        let first = slice_number(now);
        let slices = self.promises.get(key).into_iter().flatten();
        let mut promised = 0.0;
        let mut held = 0.0_f64;
        for slice in slices.filter(|slice| slice.number + GRACE_SLICES >= first) {
            promised += slice.amount;
            let ahead_s = slice.number.saturating_sub(first) as f64 * SLICE.as_secs_f64();
            held = held.max(promised - ahead_s * per_second);
        }
        held
    }

    /// Returns the amount promised for a key, with that of more urgent ranks.
    #[must_use]
    pub fn promised_amount(&self, now: MonotonicTime, key: &ReturnKey) -> f64 {
        self.promised_amounts(slice_number(now), key).iter().sum()
    }

    /// Returns the number of keys with promises.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.promises.len()
    }

    /// Removes the promises whose time has passed.
    pub fn expire(&mut self, now: MonotonicTime) {
        let first = slice_number(now).saturating_sub(GRACE_SLICES);
        self.promises.retain(|_, slices| {
            slices.retain(|slice| slice.number >= first);
            !slices.is_empty()
        });
    }

    /// Returns the amounts promised from slice `first` on, with those of more urgent ranks.
    fn promised_amounts(&self, first: u64, key: &ReturnKey) -> Vec<f64> {
        let mut amounts = vec![0.0; HORIZON_SLICES as usize + 1];
        for slice in self
            .promises
            .range(key.most_urgent()..=key.clone())
            .flat_map(|(_, slices)| slices)
        {
            let ahead = slice.number.checked_sub(first);
            if let Some(amount) = ahead.and_then(|ahead| amounts.get_mut(ahead as usize)) {
                *amount += slice.amount;
            }
        }
        amounts
    }

    fn record(&mut self, first: u64, key: &ReturnKey, number: u64, amount: f64) {
        if !self.promises.contains_key(key) && self.promises.len() >= MAX_KEYS {
            // Beyond this number of keys, a promise is not recorded until others have expired.
            return;
        }
        let slices = self.promises.entry(key.clone()).or_default();
        slices.retain(|slice| slice.number + GRACE_SLICES >= first);
        match slices.binary_search_by_key(&number, |slice| slice.number) {
            Ok(position) => slices[position].amount += amount,
            Err(position) => slices.insert(position, Slice { number, amount }),
        }
    }
}

/// Returns whether a promise of `amount` in slice `candidate` finds the queue of the promises empty
/// and leaves it so for the later ones.
fn has_capacity(promised: &[f64], candidate: u64, amount: f64, capacity: f64) -> bool {
    let mut backlog = 0.0;
    for (slice, promised) in (0..).zip(promised) {
        let is_candidate = slice == candidate;
        if is_candidate && backlog + promised > capacity * ALLOWED_BACKLOG_SLICES {
            return false;
        }
        let is_delayed = backlog > capacity * ALLOWED_BACKLOG_SLICES;
        if slice > candidate && *promised > 0.0 && is_delayed {
            return false;
        }
        let added = if is_candidate { amount } else { 0.0 };
        backlog = (backlog + promised + added - capacity).max(0.0);
    }
    true
}
