//! Updates services and upstreams from the configuration.

use super::{
    RequestScheduler, SchedulerMechanism, SchedulerView,
    fleet::{UpstreamId, UpstreamState},
    queue::QueueOrder,
    service::ServiceState,
};
use crate::effect::EffectQueue;
use rand::Rng;
use savorywood_protocol::{
    ConfigRevision, MonotonicTime, ServiceName, UpstreamName, resource::UpstreamSpec,
};
use std::collections::{BTreeMap, BTreeSet};

impl RequestScheduler {
    /// Dispatches waiting requests of all services, and sheds those below the admission floors.
    pub(super) fn dispatch_all_waiting(
        &mut self,
        now: MonotonicTime,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let waiting = self.services.iter();
        let waiting = waiting.filter(|(_, service)| !service.queue.is_empty());
        let names: Vec<ServiceName> = waiting.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.refresh_slot_demand(now, name);
            self.enforce_floor(now, name, view, effects);
            let Some(service) = self.services.get(name) else {
                continue;
            };
            let mut members = service.members.clone();
            if members.is_empty() {
                continue;
            }
            let offset = self.rng.random_range(0..members.len());
            members.rotate_left(offset);
            for upstream in members {
                self.fill_upstream(now, upstream, view, effects);
            }
        }
    }

    /// Applies the configuration if its revision or its number of upstreams has changed. A
    /// configuration without a revision, as embedders and tests may install, is applied at every
    /// change of the view.
    pub(super) fn refresh_topology(
        &mut self,
        now: MonotonicTime,
        view: SchedulerView<'_>,
        changed: bool,
    ) {
        let revision = view.config.revision;
        let numbered = revision != ConfigRevision::default();
        let same_size = self.declared_upstreams == view.config.upstreams.len();
        if self.revision == Some(revision) && same_size && (numbered || !changed) {
            return;
        }
        self.declared_upstreams = view.config.upstreams.len();
        let ramp_up = self.revision.is_some();
        self.revision = Some(revision);
        for name in view.config.services.keys() {
            self.ensure_service(name);
        }
        for (name, spec) in &view.config.upstreams {
            self.ensure_upstream(now, name, spec, ramp_up, view);
        }
        self.retire_upstreams(view);
        self.index_members(view);
    }

    /// Sets the upstreams that get no new work because the platform is removing their hosts.
    pub fn mark_leaving(&mut self, leaving: BTreeSet<UpstreamName>) {
        for state in self.fleet.states_mut() {
            state.leaving = leaving.contains(&state.name);
        }
        self.leaving = leaving;
    }

    fn ensure_service(&mut self, name: &ServiceName) {
        if self.services.contains_key(name) {
            return;
        }
        let order = QueueOrder {
            tiers: self.options.has(SchedulerMechanism::Tiers),
            fair: self.options.has(SchedulerMechanism::FairShare),
        };
        self.services.insert(name.clone(), ServiceState::new(order));
    }

    fn ensure_upstream(
        &mut self,
        now: MonotonicTime,
        name: &UpstreamName,
        spec: &UpstreamSpec,
        ramp_up: bool,
        view: SchedulerView<'_>,
    ) {
        self.ensure_service(&spec.service);
        let known = self.fleet.id(name);
        let state = known.and_then(|id| self.fleet.get_mut(id));
        match state {
            Some(state) if state.service == spec.service => state.apply_spec(spec, view.zone),
            other => {
                if other.is_some() {
                    self.fleet.release_name(name);
                }
                let mut state = UpstreamState::new(now, name.clone(), spec, ramp_up);
                state.apply_spec(spec, view.zone);
                state.leaving = self.leaving.contains(name);
                self.fleet.insert(state);
            }
        }
    }

    fn retire_upstreams(&mut self, view: SchedulerView<'_>) {
        let declared = &view.config.upstreams;
        let removed = self.fleet.retire(|state| {
            let spec = declared.get(&state.name);
            spec.is_some_and(|spec| spec.service == state.service)
        });
        for id in removed {
            self.prefixes.remove_upstream(id);
            self.attempts.remove_upstream(id);
        }
    }

    fn index_members(&mut self, view: SchedulerView<'_>) {
        let mut members: BTreeMap<&ServiceName, Vec<UpstreamId>> = BTreeMap::new();
        for (name, spec) in &view.config.upstreams {
            if let Some(id) = self.fleet.id(name) {
                members.entry(&spec.service).or_default().push(id);
            }
        }
        for (name, service) in &mut self.services {
            service.members = members.remove(name).unwrap_or_default();
            let local = service.members.iter().filter(|id| {
                let state = self.fleet.get(**id);
                state.is_some_and(|state| state.local)
            });
            service.local_members = local.copied().collect();
            service.saturated = false;
        }
    }
}
