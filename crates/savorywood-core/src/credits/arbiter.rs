//! Arbiter role: collects the demands on an upstream and grants its slots.

use super::allocate;
use savorywood_protocol::{
    HostName, MonotonicTime, TierRank,
    peer::credits::{NO_FLOOR, UpstreamDemand},
};
use std::{collections::BTreeMap, time::Duration};

/// Demands, floor and schedule of one upstream at its arbiter.
#[derive(Debug)]
pub struct ArbiterRecord {
    demands: BTreeMap<HostName, UpstreamDemand>,
    last_reports: BTreeMap<HostName, MonotonicTime>,
    floor: TierRank,
    floor_unannounced: bool,
    last_shed_request: Option<MonotonicTime>,
    created_at: MonotonicTime,
    /// When the next survey for further users is due.
    pub next_survey: MonotonicTime,
    /// Number of surveys made so far.
    pub surveys: u32,
    /// Whether grants must be sent before the next regular round.
    pub urgent: bool,
}

impl ArbiterRecord {
    /// Creates a record without demands.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            demands: BTreeMap::new(),
            last_reports: BTreeMap::new(),
            floor: NO_FLOOR,
            floor_unannounced: false,
            last_shed_request: None,
            created_at: now,
            next_survey: now,
            surveys: 0,
            urgent: true,
        }
    }

    /// Records the demand that a daemon reported.
    pub fn record_demand(&mut self, now: MonotonicTime, from: &HostName, demand: UpstreamDemand) {
        if let Some(rank) = demand.shedding {
            self.last_shed_request = Some(now);
            self.urgent |= rank < self.floor;
        }
        // While a floor is set, daemons without demand are kept, so that they receive it too: their
        // demand may be empty only because of the floor, and without it they would admit lower
        // tiers again.
        let has_floor = self.floor != NO_FLOOR;
        if demand.tiers.is_empty() && demand.in_use == 0 && !has_floor {
            self.demands.remove(from);
            self.last_reports.remove(from);
            return;
        }
        let before = self.demands.get(from).map_or(0, total_demand);
        self.urgent |= total_demand(&demand) > before;
        self.last_reports.insert(from.clone(), now);
        self.demands.insert(from.clone(), demand);
    }

    /// Removes daemons that have not reported for a term; their grants have expired.
    pub fn expire(&mut self, now: MonotonicTime, term: Duration) {
        self.last_reports
            .retain(|_, reported_at| now.since(*reported_at) < term);
        let last_reports = &self.last_reports;
        self.demands
            .retain(|host, _| last_reports.contains_key(host));
    }

    /// Whether the users of the upstream have had time to report their demand. Earlier grants would
    /// give all slots to the first daemon that reports, while others still use theirs.
    #[must_use]
    pub fn has_collected_demands(&self, now: MonotonicTime, time: Duration) -> bool {
        now.since(self.created_at) >= time
    }

    /// Whether no daemon has demand.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.demands.is_empty()
    }

    /// Daemons that have reported demand.
    pub fn reporters(&self) -> impl Iterator<Item = &HostName> {
        self.demands.keys()
    }

    /// Whether the total demand exceeds the capacity, or a daemon is about to shed load. `declared`
    /// is the number of slots in the upstream's resource.
    #[must_use]
    pub fn is_contended(&self, declared: u32) -> bool {
        let requested: u32 = self.demands.values().map(total_demand).sum();
        let sheds = self
            .demands
            .values()
            .any(|demand| demand.shedding.is_some());
        sheds || requested > allocate::upstream_capacity(&self.demands, declared)
    }

    /// Returns the slots of each daemon. `declared` is the number of slots in the upstream's
    /// resource.
    #[must_use]
    pub fn shares(&self, declared: u32) -> allocate::SlotShares {
        let capacity = allocate::upstream_capacity(&self.demands, declared);
        allocate::allocate(&self.demands, capacity)
    }

    /// Lowest tier admitted; `NO_FLOOR` if all are.
    #[must_use]
    pub fn floor(&self) -> TierRank {
        self.floor
    }

    /// Whether the floor rose and has not been sent to the daemons yet.
    #[must_use]
    pub fn has_unannounced_floor(&self) -> bool {
        self.floor_unannounced
    }

    /// Records that the current grants and floor were sent.
    pub fn mark_granted(&mut self) {
        self.urgent = false;
        self.floor_unannounced = false;
    }

    /// Raises the floor by one tier if a daemon is about to shed a tier above the lowest one with
    /// demand; clears the floor `hold` after the last such report. The floor rises from the lowest
    /// tier, one tier per round, so that the reporting daemon sheds only when no lower tier is
    /// left.
    pub fn update_floor(&mut self, now: MonotonicTime, hold: Duration) {
        let shed_requests = self.demands.values().filter_map(|demand| demand.shedding);
        let Some(asked) = shed_requests.min() else {
            if self
                .last_shed_request
                .is_none_or(|at| now.since(at) >= hold)
            {
                self.floor = NO_FLOOR;
            }
            return;
        };
        if self.floor <= asked {
            return;
        }
        let ranks = allocate::requested_ranks(&self.demands);
        let lower = ranks
            .into_iter()
            .filter(|rank| *rank > asked && *rank <= self.floor);
        self.floor = match lower.max() {
            Some(lowest) => TierRank(lowest.0 - 1),
            None => asked,
        };
        self.urgent = true;
        self.floor_unannounced = true;
    }
}

fn total_demand(demand: &UpstreamDemand) -> u32 {
    demand.tiers.iter().map(|tier| tier.slots).sum()
}
