//! Allocation of the slots of one upstream to daemons.

use savorywood_protocol::{
    HostName, TierRank,
    peer::credits::{TierDemand, UpstreamDemand},
};
use std::collections::{BTreeMap, BTreeSet};

/// Slots per daemon.
pub type SlotShares = BTreeMap<HostName, u32>;

/// Estimates the total slots of an upstream from its daemons' limits.
///
/// While an upstream is shared without grants, each daemon's limit converges to the load that it
/// can add to that of the others, so the limits of its users add up to its capacity. Under grants,
/// a limit is rarely reached and grows, so the sum is capped at the largest single limit or at the
/// declared slots, whichever is greater. A cap that is too high shows as latency, which lowers the
/// limits themselves.
#[must_use]
pub fn upstream_capacity(demands: &BTreeMap<HostName, UpstreamDemand>, declared: u32) -> u32 {
    let users = || demands.values().filter(|demand| !demand.tiers.is_empty());
    let sum = users().fold(0_u32, |sum, demand| sum.saturating_add(demand.limit));
    let largest = users().map(|demand| demand.limit).max().unwrap_or_default();
    sum.min(largest.max(declared))
}

/// Divides a capacity: highest tier first over all daemons, and by demand within a tier.
///
/// Slots that a daemon uses beyond its share are not free yet. Other daemons grow only into free
/// slots; otherwise the upstream would serve both until the running requests complete.
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
    let growth_shares = allocate_by_tier(&unmet(demands, &targets), free);
    let shares = demands.iter().map(|(host, demand)| {
        let kept = targets[host].min(demand.in_use);
        let more = growth_shares.get(host).copied().unwrap_or_default();
        (host.clone(), kept + more)
    });
    shares.collect()
}

/// Returns the demand of each daemon that its target covers but its slots in use do not.
fn unmet(
    demands: &BTreeMap<HostName, UpstreamDemand>,
    targets: &SlotShares,
) -> BTreeMap<HostName, UpstreamDemand> {
    let unmet = demands.iter().map(|(host, demand)| {
        let growth = targets[host].saturating_sub(demand.in_use);
        let mut skipped = demand.in_use;
        let mut left = growth;
        let tiers = demand.tiers.iter().map(|tier| {
            // Slots in use are attributed to the highest tiers, which were served first.
            let covered = tier.slots.min(skipped);
            skipped -= covered;
            let slots = (tier.slots - covered).min(left);
            left -= slots;
            TierDemand { slots, ..*tier }
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

/// Allocates by tier and spreads unrequested slots evenly, so that a new request can start without
/// a round trip to the arbiter.
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
            .fold(0, |sum, demanded| sum.saturating_add(*demanded));
        for (host, seats) in divide_proportionally(&demands_by_host, free.min(total)) {
            *shares.entry(host).or_default() += seats;
            free -= seats;
        }
    }
    shares
}

/// Tiers with demand, highest first.
#[must_use]
pub fn requested_ranks(demands: &BTreeMap<HostName, UpstreamDemand>) -> BTreeSet<TierRank> {
    let tiers = demands.values().flat_map(|demand| &demand.tiers);
    tiers.filter(|t| t.slots > 0).map(|t| t.rank).collect()
}

fn demand_at(demand: &UpstreamDemand, rank: TierRank) -> u32 {
    let tiers = demand.tiers.iter().filter(|tier| tier.rank == rank);
    tiers.map(|tier| tier.slots).sum()
}

/// Divides `seats` in proportion to the demands, by the largest-remainder method.
fn divide_proportionally(demands_by_host: &SlotShares, seats: u32) -> SlotShares {
    let total: u64 = demands_by_host
        .values()
        .map(|demanded| u64::from(*demanded))
        .sum();
    if total == 0 || seats == 0 {
        return SlotShares::new();
    }
    let exact = |demanded: &u32| u64::from(*demanded) * u64::from(seats);
    let mut shares: SlotShares = demands_by_host
        .iter()
        .map(|(host, demanded)| {
            let whole = u32::try_from(exact(demanded) / total).unwrap_or(u32::MAX);
            (host.clone(), whole)
        })
        .collect();
    let given: u32 = shares.values().sum();
    let mut remainders: Vec<_> = demands_by_host
        .iter()
        .map(|(host, demanded)| (std::cmp::Reverse(exact(demanded) % total), host))
        .collect();
    remainders.sort();
    let leftover = usize::try_from(seats - given).unwrap_or(usize::MAX);
    for (_, host) in remainders.into_iter().take(leftover) {
        if let Some(share) = shares.get_mut(host) {
            *share += 1;
        }
    }
    shares
}
