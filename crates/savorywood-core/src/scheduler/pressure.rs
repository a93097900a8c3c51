//! What other duties read of the scheduler: demand, limits and pressure.

use super::{RequestScheduler, fleet::UpstreamId, queue::FrontSpan, service::WantedSeats};
use savorywood_protocol::{
    MonotonicTime, ServiceName, TierRank, UpstreamName, peer::credits::TierDemand,
};
use std::{collections::BTreeMap, time::Duration};

/// What waits is counted again after this long.
const COUNT_EVERY: Duration = Duration::from_millis(90);
/// Waiting requests looked at in one count.
const MAX_SAMPLE: usize = 128;
/// A tier counts as being shed for this long after a refusal for load.
const SHED_MEMORY: Duration = Duration::from_secs(1);

/// How pressed a service is at this daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServicePressure {
    /// Requests that wait, by tier, highest first.
    pub waiting: Vec<TierDemand>,
    /// Highest tier of which a request was refused for load within the last second.
    pub shedding: Option<TierRank>,
}

impl RequestScheduler {
    /// Seats in use and wanted on an upstream, by tier, highest first. What waits is spread over
    /// the upstreams of the service by their limits.
    #[must_use]
    pub fn demand(&self, upstream: &UpstreamName) -> Vec<TierDemand> {
        let Some(id) = self.fleet.id(upstream) else {
            return Vec::new();
        };
        let mut seats: BTreeMap<TierRank, f64> = BTreeMap::new();
        if let Some(state) = self.fleet.get(id)
            && let Some(service) = self.services.get(&state.service)
        {
            let members = service.members.len().max(1) as f64;
            for (rank, wanted) in &service.wanted.anywhere {
                *seats.entry(*rank).or_default() += wanted / members;
            }
            for (rank, wanted) in service.wanted.held.get(&id).into_iter().flatten() {
                *seats.entry(*rank).or_default() += wanted;
            }
        }
        for (rank, used) in self.attempts.seats_by_tier(id) {
            *seats.entry(rank).or_default() += f64::from(used);
        }
        let demands = seats.into_iter();
        demands
            .map(|(rank, seats)| TierDemand {
                rank,
                seats: seats.ceil() as u32,
            })
            .collect()
    }

    /// Seats in use on an upstream.
    #[must_use]
    pub fn slots_in_use(&self, upstream: &UpstreamName) -> u32 {
        let id = self.fleet.id(upstream);
        let seats = id
            .into_iter()
            .flat_map(|id| self.attempts.seats_by_tier(id));
        seats.map(|(_, count)| count).sum()
    }

    /// Counts what waits by where it would like to go. A part is looked at and taken for all.
    pub(super) fn count_wanted(&mut self, now: MonotonicTime, name: &ServiceName) {
        let Some(service) = self.services.get(name) else {
            return;
        };
        let counted = service.wanted.counted_at;
        if counted.is_some_and(|at| now.since(at) < COUNT_EVERY) {
            return;
        }
        let mut wanted = WantedSeats {
            counted_at: Some(now),
            ..WantedSeats::default()
        };
        let sampled = service.queue.len().min(MAX_SAMPLE);
        let weight = service.queue.len() as f64 / sampled.max(1) as f64;
        for waiting in service.queue.front(FrontSpan::ALL).take(sampled) {
            let rank = waiting.request.rank;
            let hash = waiting.held_prefix;
            let holders: Vec<UpstreamId> = hash
                .into_iter()
                .flat_map(|hash| self.prefixes.holders(hash))
                .collect();
            if holders.is_empty() {
                *wanted.anywhere.entry(rank).or_default() += weight;
            }
            let share = weight / holders.len().max(1) as f64;
            for holder in holders {
                let tiers = wanted.held.entry(holder).or_default();
                *tiers.entry(rank).or_default() += share;
            }
        }
        if let Some(service) = self.services.get_mut(name) {
            service.wanted = wanted;
        }
    }

    /// Seats that this daemon believes the upstream can carry; `None` for an unknown one.
    #[must_use]
    pub fn slot_limit(&self, upstream: &UpstreamName) -> Option<u32> {
        let id = self.fleet.id(upstream)?;
        let state = self.fleet.get(id)?;
        Some(state.limit.seats())
    }

    /// How pressed a service is here.
    #[must_use]
    pub fn service_pressure(&self, now: MonotonicTime, service: &ServiceName) -> ServicePressure {
        let Some(state) = self.services.get(service) else {
            return ServicePressure::default();
        };
        let waiting = state
            .queue
            .waiting_by_tier()
            .map(|(rank, count)| TierDemand {
                rank,
                seats: u32::try_from(count).unwrap_or(u32::MAX),
            });
        let mut shed = state.shed_at.iter();
        let shedding = shed.find(|(_, at)| now.since(**at) < SHED_MEMORY);
        ServicePressure {
            waiting: waiting.collect(),
            shedding: shedding.map(|(rank, _)| *rank),
        }
    }
}
