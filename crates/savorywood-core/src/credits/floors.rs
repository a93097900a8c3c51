//! Whose floor counts for a service, and how those that set it are asked.
//!
//! Every daemon spreads its waiting work over the upstreams of its zone, so the arbiter of any one
//! of them knows which tiers wait anywhere in the zone. A few are asked, the same by all daemons:
//! asking all of them would take seconds of the byte budget at the planned size, and requests
//! would be shed alone meanwhile.

use super::{ArbiterRecord, CreditState, CreditView, TICK_INTERVAL, arbiter_of};
use crate::{effect::EffectQueue, rendezvous};
use savorywood_protocol::{
    HostName, MonotonicTime, ServiceName, TierRank, UpstreamName,
    peer::credits::{NO_FLOOR, UpstreamDemand},
};
use std::{cmp::Reverse, collections::BTreeMap};

/// Upstreams of a service whose arbiters are asked. More than one, since one may be out of use at
/// some daemons, which then hear nothing of its floor.
const FLOOR_UPSTREAMS: usize = 3;

/// Names found lately: finding them hashes all upstreams of a service, which is too much for
/// each message.
#[derive(Debug, Default)]
pub struct FloorUpstreamCache {
    found_at: MonotonicTime,
    names: BTreeMap<ServiceName, Vec<UpstreamName>>,
}

impl CreditState {
    /// Upstreams whose floors count for a service here: the first few of the zone by hash.
    fn floor_upstreams(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        view: CreditView<'_>,
    ) -> Vec<UpstreamName> {
        if now.since(self.floor_cache.found_at) >= TICK_INTERVAL {
            self.floor_cache.names.clear();
            self.floor_cache.found_at = now;
        }
        if let Some(names) = self.floor_cache.names.get(service) {
            return names.clone();
        }
        let names = self.compute_floor_upstreams(service, view);
        self.floor_cache
            .names
            .insert(service.clone(), names.clone());
        names
    }

    fn compute_floor_upstreams(
        &self,
        service: &ServiceName,
        view: CreditView<'_>,
    ) -> Vec<UpstreamName> {
        let zone = view
            .members
            .members
            .get(&self.options.host)
            .map(|m| &m.zone);
        let in_service = |name: &&UpstreamName| {
            let spec = view.config.upstreams.get(*name);
            spec.is_some_and(|spec| !spec.draining)
        };
        let names = || view.config.upstreams_of(service).filter(in_service);
        let near = |name: &&UpstreamName| {
            let spec = view.config.upstreams.get(*name);
            spec.map(|spec| &spec.zone) == zone
        };
        let mut names: Vec<_> = match names().any(|name| near(&name)) {
            true => names().filter(near).collect(),
            false => names().collect(),
        };
        let subject = rendezvous::hash_parts(&["floor", service.as_str()]);
        names.sort_by_cached_key(|name| Reverse(rendezvous::score(subject, name.as_str())));
        names.into_iter().take(FLOOR_UPSTREAMS).cloned().collect()
    }

    /// The same upstreams as far as this daemon uses them; any that it uses when it uses none of
    /// them.
    pub(super) fn floor_upstreams_in_use(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        view: CreditView<'_>,
    ) -> Vec<UpstreamName> {
        let used = |name: &&UpstreamName| view.demands.contains_key(*name);
        let first = self.floor_upstreams(now, service, view);
        let asked: Vec<_> = first.iter().filter(used).cloned().collect();
        if !asked.is_empty() {
            return asked;
        }
        let names = view.config.upstreams_of(service).filter(used);
        names.take(FLOOR_UPSTREAMS).cloned().collect()
    }

    /// Tiers that are about to be shed here, by the upstreams whose arbiters are told.
    pub(super) fn shed_ranks(
        &mut self,
        now: MonotonicTime,
        view: CreditView<'_>,
    ) -> BTreeMap<UpstreamName, TierRank> {
        let mut ranks = BTreeMap::new();
        for (service, ask) in self.shed_requests.clone() {
            let upstreams = self.floor_upstreams_in_use(now, &service, view);
            ranks.extend(upstreams.into_iter().map(|name| (name, ask.rank())));
        }
        ranks
    }

    /// Tells the arbiters of these upstreams our demand now, whatever the rounds are at.
    pub(super) fn send_shed_requests(
        &mut self,
        now: MonotonicTime,
        upstreams: &[UpstreamName],
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) {
        if now < self.next_shed_request {
            return;
        }
        let asked = self.shed_ranks(now, view);
        let mut batches: BTreeMap<HostName, Vec<UpstreamDemand>> = BTreeMap::new();
        for upstream in upstreams {
            let arbiter = arbiter_of(upstream, view).cloned();
            let demand = self.demand_on(now, upstream, &asked, view);
            if let (Some(arbiter), Some(demand)) = (arbiter, demand) {
                batches.entry(arbiter).or_default().push(demand);
            }
        }
        let bytes = self.send_batches(now, batches, view, effects);
        self.next_shed_request = now
            + self
                .options
                .round_interval
                .max(2 * self.options.send_duration(bytes));
    }

    /// A service's floor is the most lenient of those that count: what one of them still admits
    /// need not be shed.
    pub(super) fn service_floors(
        &mut self,
        now: MonotonicTime,
        view: CreditView<'_>,
    ) -> BTreeMap<ServiceName, TierRank> {
        let mut by_service: BTreeMap<ServiceName, Vec<UpstreamName>> = BTreeMap::new();
        for (upstream, held) in &self.holdings {
            let spec = view.config.upstreams.get(upstream);
            if let Some(spec) = spec.filter(|_| held.floor(now) != NO_FLOOR) {
                let names = by_service.entry(spec.service.clone()).or_default();
                names.push(upstream.clone());
            }
        }
        let mut floors = BTreeMap::new();
        for (service, floored) in by_service {
            let mut counted = self.floor_upstreams(now, &service, view);
            counted.retain(|name| self.holdings.contains_key(name));
            let names = if counted.is_empty() { floored } else { counted };
            let held = names.iter().filter_map(|name| self.holdings.get(name));
            let floor = held.map(|held| held.floor(now)).max();
            if let Some(floor) = floor.filter(|floor| *floor != NO_FLOOR) {
                floors.insert(service, floor);
            }
        }
        floors
    }

    /// Whether a floor moved that nobody has been told of yet.
    pub(super) fn has_unannounced_floor(&self) -> bool {
        self.arbitrated
            .values()
            .any(ArbiterRecord::has_unannounced_floor)
    }
}
