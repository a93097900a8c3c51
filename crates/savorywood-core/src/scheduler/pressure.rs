//! Demand, limits and load shedding of the scheduler, as read by the arbitration of contended
//! upstreams.

use super::{RequestScheduler, fleet::UpstreamId, queue::ScanLimit, service::SlotDemand};
use savorywood_protocol::{
    MonotonicTime, ServiceName, TierRank, UpstreamName, peer::credits::TierDemand,
};
use std::{collections::BTreeMap, time::Duration};

/// Minimum interval between two counts of the waiting requests.
const DEMAND_COUNT_INTERVAL: Duration = Duration::from_millis(90);
/// Maximum number of waiting requests examined per count.
const MAX_SAMPLED_REQUESTS: usize = 128;
/// Time after a refusal for load during which a tier counts as being shed.
const SHEDDING_WINDOW: Duration = Duration::from_secs(1);

/// Queued load of a service at this daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServicePressure {
    /// Number of waiting requests by tier, highest tier first.
    pub waiting: Vec<TierDemand>,
    /// Highest tier of which a request was refused for load within `SHEDDING_WINDOW`.
    pub shedding: Option<TierRank>,
}

impl RequestScheduler {
    /// Returns the slots in use and demanded on an upstream by tier, highest tier first. Waiting
    /// requests count on the upstreams that have their prefix cached; others are spread evenly over
    /// the upstreams of the service.
    #[must_use]
    pub fn demand(&self, upstream: &UpstreamName) -> Vec<TierDemand> {
        let Some(id) = self.fleet.id(upstream) else {
            return Vec::new();
        };
        let mut slots: BTreeMap<TierRank, f64> = BTreeMap::new();
        if let Some(state) = self.fleet.get(id)
            && let Some(service) = self.services.get(&state.service)
        {
            let members = service.members.len().max(1) as f64;
            for (rank, demand) in &service.demand.anywhere {
                *slots.entry(*rank).or_default() += demand / members;
            }
            for (rank, demand) in service.demand.on_holders.get(&id).into_iter().flatten() {
                *slots.entry(*rank).or_default() += demand;
            }
        }
        for (rank, used) in self.attempts.slots_by_tier(id) {
            *slots.entry(rank).or_default() += f64::from(used);
        }
        let demands = slots.into_iter();
        demands
            .map(|(rank, slots)| TierDemand {
                rank,
                slots: slots.ceil() as u32,
            })
            .collect()
    }

    /// Returns the slots in use on an upstream.
    #[must_use]
    pub fn slots_in_use(&self, upstream: &UpstreamName) -> u32 {
        let id = self.fleet.id(upstream);
        let slots = id
            .into_iter()
            .flat_map(|id| self.attempts.slots_by_tier(id));
        slots.map(|(_, count)| count).sum()
    }

    /// Counts the slots that waiting requests demand, by the upstreams that have their prefix
    /// cached. A bounded sample is examined and scaled to the whole queue.
    pub(super) fn refresh_slot_demand(&mut self, now: MonotonicTime, name: &ServiceName) {
        let Some(service) = self.services.get(name) else {
            return;
        };
        let counted = service.demand.counted_at;
        if counted.is_some_and(|at| now.since(at) < DEMAND_COUNT_INTERVAL) {
            return;
        }
        let mut demand = SlotDemand {
            counted_at: Some(now),
            ..SlotDemand::default()
        };
        let sampled = service.queue.len().min(MAX_SAMPLED_REQUESTS);
        let weight = service.queue.len() as f64 / sampled.max(1) as f64;
        for waiting in service.queue.front(ScanLimit::UNLIMITED).take(sampled) {
            let rank = waiting.request.rank;
            let hash = waiting.cached_prefix;
            let holders: Vec<UpstreamId> = hash
                .into_iter()
                .flat_map(|hash| self.prefixes.holders(hash))
                .collect();
            if holders.is_empty() {
                *demand.anywhere.entry(rank).or_default() += weight;
            }
            let per_holder = weight / holders.len().max(1) as f64;
            for holder in holders {
                let tiers = demand.on_holders.entry(holder).or_default();
                *tiers.entry(rank).or_default() += per_holder;
            }
        }
        if let Some(service) = self.services.get_mut(name) {
            service.demand = demand;
        }
    }

    /// Returns this daemon's adaptive limit of slots of the upstream; `None` for an unknown
    /// upstream.
    #[must_use]
    pub fn slot_limit(&self, upstream: &UpstreamName) -> Option<u32> {
        let id = self.fleet.id(upstream)?;
        let state = self.fleet.get(id)?;
        Some(state.limit.slots())
    }

    /// Returns the queued load of a service; empty for an unknown service.
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
                slots: u32::try_from(count).unwrap_or(u32::MAX),
            });
        let mut shed = state.last_shed_at.iter();
        let shedding = shed.find(|(_, at)| now.since(**at) < SHEDDING_WINDOW);
        ServicePressure {
            waiting: waiting.collect(),
            shedding: shedding.map(|(rank, _)| *rank),
        }
    }
}
