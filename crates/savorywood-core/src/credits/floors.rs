//! Selection of the upstreams that set a service's admission floor, and requests to their arbiters.
//!
//! Every daemon spreads its queued work over the upstreams of its zone, so the arbiter of any one
//! of them knows which tiers are queued in the zone. All daemons use the same few upstreams: asking
//! all arbiters would use seconds of the byte budget at the planned cluster size, and
//! requests would be shed by local decision in the meantime.

use super::{ArbiterRecord, CreditState, CreditView, TICK_INTERVAL, arbiter_of};
use crate::{effect::EffectQueue, rendezvous};
use savorywood_protocol::{
    HostName, MonotonicTime, ServiceName, TierRank, UpstreamName,
    peer::credits::{NO_FLOOR, UpstreamDemand},
};
use std::{cmp::Reverse, collections::BTreeMap};

/// Number of upstreams of a service that set its floor. More than one, since one upstream may be
/// out of use at some daemons, which then do not receive its floor.
const FLOOR_UPSTREAMS: usize = 3;

/// Cached floor upstreams by service. Computing them hashes all upstreams of a service, which is
/// too expensive for every message.
#[derive(Debug, Default)]
pub struct FloorUpstreamCache {
    computed_at: MonotonicTime,
    names: BTreeMap<ServiceName, Vec<UpstreamName>>,
}

impl CreditState {
    /// Upstreams that set the floor of a service in this zone: the first few by rendezvous hash.
    fn floor_upstreams(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        view: CreditView<'_>,
    ) -> Vec<UpstreamName> {
        if now.since(self.floor_cache.computed_at) >= TICK_INTERVAL {
            self.floor_cache.names.clear();
            self.floor_cache.computed_at = now;
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
        let in_zone = |name: &&UpstreamName| {
            let spec = view.config.upstreams.get(*name);
            spec.map(|spec| &spec.zone) == zone
        };
        let mut names: Vec<_> = match names().any(|name| in_zone(&name)) {
            true => names().filter(in_zone).collect(),
            false => names().collect(),
        };
        let subject = rendezvous::hash_parts(&["floor", service.as_str()]);
        names.sort_by_cached_key(|name| Reverse(rendezvous::score(subject, name.as_str())));
        names.into_iter().take(FLOOR_UPSTREAMS).cloned().collect()
    }

    /// The floor upstreams that this daemon uses; if it uses none of them, others that it uses.
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

    /// Tier that is about to be shed here, for each upstream whose arbiter is asked.
    pub(super) fn shed_ranks(
        &mut self,
        now: MonotonicTime,
        view: CreditView<'_>,
    ) -> BTreeMap<UpstreamName, TierRank> {
        let mut ranks = BTreeMap::new();
        for (service, request) in self.shed_requests.clone() {
            let upstreams = self.floor_upstreams_in_use(now, &service, view);
            ranks.extend(upstreams.into_iter().map(|name| (name, request.rank())));
        }
        ranks
    }

    /// Sends this daemon's demand to the arbiters of these upstreams outside the regular rounds.
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

    /// Returns the floor of each service: the most lenient among its floor upstreams, since a tier
    /// that one of them still admits need not be shed.
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
        for (service, floored_upstreams) in by_service {
            let mut counted = self.floor_upstreams(now, &service, view);
            counted.retain(|name| self.holdings.contains_key(name));
            let names = if counted.is_empty() {
                floored_upstreams
            } else {
                counted
            };
            let held = names.iter().filter_map(|name| self.holdings.get(name));
            let floor = held.map(|held| held.floor(now)).max();
            if let Some(floor) = floor.filter(|floor| *floor != NO_FLOOR) {
                floors.insert(service, floor);
            }
        }
        floors
    }

    /// Whether any floor rose and has not been sent yet.
    pub(super) fn has_unannounced_floor(&self) -> bool {
        self.arbitrated
            .values()
            .any(ArbiterRecord::has_unannounced_floor)
    }
}
