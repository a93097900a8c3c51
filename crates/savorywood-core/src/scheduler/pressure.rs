//! What other duties read of the scheduler: demand, limits and pressure.

use super::RequestScheduler;
use savorywood_protocol::{
    MonotonicTime, ServiceName, TierRank, UpstreamName, peer::credits::TierDemand,
};
use std::{collections::BTreeMap, time::Duration};

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
        let mut seats: BTreeMap<TierRank, u32> = self.attempts.seats_by_tier(id).collect();
        if let Some(state) = self.fleet.get(id)
            && let Some(service) = self.services.get(&state.service)
        {
            let members = service.members.len().max(1);
            for (rank, waiting) in service.queue.waiting_by_tier() {
                let share = waiting.div_ceil(members);
                let share = u32::try_from(share).unwrap_or(u32::MAX);
                *seats.entry(rank).or_default() += share;
            }
        }
        let demands = seats.into_iter();
        demands
            .map(|(rank, seats)| TierDemand { rank, seats })
            .collect()
    }

    /// Seats that this daemon believes the upstream can carry; `None` for an unknown one.
    #[must_use]
    pub fn limit(&self, upstream: &UpstreamName) -> Option<u32> {
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
