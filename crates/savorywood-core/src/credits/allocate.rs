//! Divides the seats of one upstream between daemons.

use savorywood_protocol::{
    HostName, TierRank,
    peer::credits::{TierDemand, UpstreamDemand},
};
use std::collections::{BTreeMap, BTreeSet};

/// Seats by daemon.
pub type SlotShares = BTreeMap<HostName, u32>;

/// Seats of an upstream as its daemons see them.
///
/// While an upstream is shared without grants, each daemon's limit settles at what it may add to
/// the load of the others, so the limits of those that use it add up to what it bears. Under
/// grants a limit is hardly tried and grows, so the sum is bounded by the largest of them, or by
/// the declared seats where all are smaller. What is still too high shows as latency, which cuts
/// the limits themselves.
#[must_use]
pub fn upstream_capacity(demands: &BTreeMap<HostName, UpstreamDemand>, declared: u32) -> u32 {
    let users = || demands.values().filter(|demand| !demand.tiers.is_empty());
    let sum = users().fold(0_u32, |sum, demand| sum.saturating_add(demand.limit));
    let largest = users().map(|demand| demand.limit).max().unwrap_or_default();
    sum.min(largest.max(declared))
}

/// Shares of a capacity: highest tier first over all daemons, within a tier by demand.
///
/// Seats that a daemon uses beyond its share are not free yet. The others grow only into what is
/// free, or the upstream would run both until the first are done.
#[must_use]
pub fn allocate(demands: &BTreeMap<HostName, UpstreamDemand>, capacity: u32) -> SlotShares {
    let targets = with_headroom(demands, capacity);
    let in_use: u32 = demands.values().map(|demand| demand.in_use).sum();
    let growth: u32 = demands
        .iter()
        .map(|(host, demand)| targets[host].saturating_sub(demand.in_use))
        .sum();
    let free = capacity.saturating_sub(in_use);
    if growth <= free {
        return targets;
    }
    let grown = allocate_by_tier(&unmet(demands, &targets), free);
    let shares = demands.iter().map(|(host, demand)| {
        let kept = targets[host].min(demand.in_use);
        let more = grown.get(host).copied().unwrap_or_default();
        (host.clone(), kept + more)
    });
    shares.collect()
}

/// What is still to be given to daemons that use less than their targets.
fn unmet(
    demands: &BTreeMap<HostName, UpstreamDemand>,
    targets: &SlotShares,
) -> BTreeMap<HostName, UpstreamDemand> {
    let unmet = demands.iter().map(|(host, demand)| {
        let growth = targets[host].saturating_sub(demand.in_use);
        let mut skipped = demand.in_use;
        let mut left = growth;
        let tiers = demand.tiers.iter().map(|tier| {
            // What is in use is taken for the highest tiers, which were served first.
            let covered = tier.seats.min(skipped);
            skipped -= covered;
            let seats = (tier.seats - covered).min(left);
            left -= seats;
            TierDemand { seats, ..*tier }
        });
        let tiers = tiers.collect();
        let demand = UpstreamDemand {
            tiers,
            ..demand.clone()
        };
        (host.clone(), demand)
    });
    unmet.collect()
}

/// Shares by tier, and what nobody asks for spread evenly, so that a new request need not wait
/// for a round trip.
fn with_headroom(demands: &BTreeMap<HostName, UpstreamDemand>, capacity: u32) -> SlotShares {
    let mut shares = allocate_by_tier(demands, capacity);
    let given: u32 = shares.values().sum();
    let even: SlotShares = demands.keys().map(|host| (host.clone(), 1)).collect();
    for (host, seats) in divide_proportionally(&even, capacity - given) {
        *shares.entry(host).or_default() += seats;
    }
    shares
}

fn allocate_by_tier(demands: &BTreeMap<HostName, UpstreamDemand>, capacity: u32) -> SlotShares {
    let mut shares: SlotShares = demands.keys().map(|host| (host.clone(), 0)).collect();
    let mut free = capacity;
    for rank in requested_ranks(demands) {
        let demands_by_host: SlotShares = demands
            .iter()
            .map(|(host, demand)| (host.clone(), demand_at(demand, rank)))
            .collect();
        let total: u32 = demands_by_host
            .values()
            .fold(0, |sum, want| sum.saturating_add(*want));
        for (host, seats) in divide_proportionally(&demands_by_host, free.min(total)) {
            *shares.entry(host).or_default() += seats;
            free -= seats;
        }
    }
    shares
}

/// Tiers that are asked for, highest first.
#[must_use]
pub fn requested_ranks(demands: &BTreeMap<HostName, UpstreamDemand>) -> BTreeSet<TierRank> {
    let tiers = demands.values().flat_map(|demand| &demand.tiers);
    tiers.filter(|t| t.seats > 0).map(|t| t.rank).collect()
}

fn demand_at(demand: &UpstreamDemand, rank: TierRank) -> u32 {
    let tiers = demand.tiers.iter().filter(|tier| tier.rank == rank);
    tiers.map(|tier| tier.seats).sum()
}

/// Divides `seats` in proportion to the wants, by largest remainders.
fn divide_proportionally(demands_by_host: &SlotShares, seats: u32) -> SlotShares {
    let total: u64 = demands_by_host.values().map(|want| u64::from(*want)).sum();
    if total == 0 || seats == 0 {
        return SlotShares::new();
    }
    let exact = |want: &u32| u64::from(*want) * u64::from(seats);
    let mut shares: SlotShares = demands_by_host
        .iter()
        .map(|(host, want)| {
            let whole = u32::try_from(exact(want) / total).unwrap_or(u32::MAX);
            (host.clone(), whole)
        })
        .collect();
    let given: u32 = shares.values().sum();
    let mut remainders: Vec<_> = demands_by_host
        .iter()
        .map(|(host, want)| (std::cmp::Reverse(exact(want) % total), host))
        .collect();
    remainders.sort();
    let over = usize::try_from(seats - given).unwrap_or(usize::MAX);
    for (_, host) in remainders.into_iter().take(over) {
        if let Some(share) = shares.get_mut(host) {
            *share += 1;
        }
    }
    shares
}
