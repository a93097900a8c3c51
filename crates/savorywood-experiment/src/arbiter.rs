//! A stand-in for the credit duty: shares an upstream's seats between daemons by demand.

use crate::daemon_host::DaemonHost;
use savorywood_core::scheduler::SeatGrant;
use savorywood_protocol::{TierRank, UpstreamName};

/// Grants the seats of one upstream, highest tier first, within a tier in turn. Without
/// contention there is no grant.
pub fn arbitrate(hosts: &mut [DaemonHost], upstream: &UpstreamName) {
    let demands: Vec<_> = hosts
        .iter()
        .map(|host| host.scheduler.demand(upstream))
        .collect();
    let wanted: u32 = demands.iter().flatten().map(|demand| demand.seats).sum();
    let capacity = agreed_limit(hosts, upstream);
    if wanted <= capacity {
        for host in hosts {
            host.grants.remove(upstream);
        }
        return;
    }
    let mut grants = vec![0_u32; hosts.len()];
    let mut left = capacity;
    let ranks = demands.iter().flatten().map(|demand| demand.rank);
    let lowest = ranks.max().unwrap_or_default();
    for rank in (0..=lowest.0).map(TierRank) {
        let mut open: Vec<u32> = demands
            .iter()
            .map(|tiers| tiers.iter().find(|demand| demand.rank == rank))
            .map(|demand| demand.map_or(0, |demand| demand.seats))
            .collect();
        while left > 0 && open.iter().any(|seats| *seats > 0) {
            for (grant, open) in grants.iter_mut().zip(&mut open) {
                if left > 0 && *open > 0 {
                    *grant += 1;
                    *open -= 1;
                    left -= 1;
                }
            }
        }
    }
    for (host, seats) in hosts.iter_mut().zip(grants) {
        host.grants.insert(upstream.clone(), SeatGrant { seats });
    }
}

/// Middle of the limits that the daemons believe in.
fn agreed_limit(hosts: &[DaemonHost], upstream: &UpstreamName) -> u32 {
    let limits = hosts
        .iter()
        .filter_map(|host| host.scheduler.limit(upstream));
    let mut limits: Vec<u32> = limits.collect();
    limits.sort_unstable();
    limits.get(limits.len() / 2).copied().unwrap_or_default()
}
