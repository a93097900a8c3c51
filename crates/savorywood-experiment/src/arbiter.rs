//! Grants of seats, divided as the credit duty divides them but without its messages.

use crate::{daemon_host::DaemonHost, names::NameBook};
use savorywood_core::{
    credits::allocate::{allocate, upstream_capacity},
    scheduler::SlotGrant,
};
use savorywood_protocol::{HostName, MonotonicTime, UpstreamName, peer::credits::UpstreamDemand};
use std::{collections::BTreeMap, time::Duration};

/// Time without a queue after which nothing is granted any longer.
const CALM_TIME: Duration = Duration::from_secs(3);

/// Arbiters of all upstreams.
#[derive(Debug, Default)]
pub struct SeatArbiters {
    queued_at: Option<MonotonicTime>,
}

impl SeatArbiters {
    /// One round of grants. While nobody queues there are none.
    pub fn round(
        &mut self,
        now: MonotonicTime,
        hosts: &mut [DaemonHost],
        names: &NameBook,
        declared: u32,
    ) {
        let queued = hosts.iter().any(|host| {
            let pressure = host.scheduler.service_pressure(now, &names.service);
            !pressure.waiting.is_empty()
        });
        if queued {
            self.queued_at = Some(now);
        }
        let contended = self.queued_at.is_some_and(|at| now.since(at) < CALM_TIME);
        for upstream in &names.upstreams {
            if contended {
                grant(hosts, names, upstream, declared);
            } else {
                for host in hosts.iter_mut() {
                    host.grants.remove(upstream);
                }
            }
        }
    }
}

fn grant(hosts: &mut [DaemonHost], names: &NameBook, upstream: &UpstreamName, declared: u32) {
    let demands = hosts.iter().zip(&names.hosts);
    let demands: BTreeMap<HostName, UpstreamDemand> = demands
        .map(|(host, name)| (name.clone(), demand_of(host, upstream)))
        .collect();
    let shares = allocate(&demands, upstream_capacity(&demands, declared));
    for (host, name) in hosts.iter_mut().zip(&names.hosts) {
        let seats = shares.get(name).copied().unwrap_or_default();
        host.grants
            .insert(upstream.clone(), SlotGrant { slots: seats });
    }
}

fn demand_of(host: &DaemonHost, upstream: &UpstreamName) -> UpstreamDemand {
    let tiers = host.scheduler.demand(upstream).into_iter();
    UpstreamDemand {
        upstream: upstream.clone(),
        limit: host.scheduler.slot_limit(upstream).unwrap_or_default(),
        in_use: host.scheduler.slots_in_use(upstream),
        tiers: tiers.filter(|tier| tier.slots > 0).collect(),
        shedding: None,
    }
}
