//! Which engine gets an order now.

use super::{
    OrdersState,
    engine::{EngineNeed, EngineRecord},
    takes_orders,
};
use crate::{
    effect::{DaemonEffect, EffectQueue, LogLevel, LogLine},
    invariant::{self, InvariantName},
    leases::LeaseGrant,
    order::{OrderCallId, UpstreamOrder},
    view::ConfigView,
};
use savorywood_protocol::{
    CoreTime, ServiceName, UpstreamName, VersionName, resource::UpstreamSpec,
};

/// One engine with what its resource says.
#[derive(Debug, Clone, Copy)]
struct EnginePlan<'a> {
    name: &'a UpstreamName,
    spec: &'a UpstreamSpec,
}

impl OrdersState {
    pub(super) fn look_at_all(
        &mut self,
        now: CoreTime,
        lease: LeaseGrant,
        config: &ConfigView,
        effects: &mut EffectQueue,
    ) {
        let engines = config
            .upstreams
            .iter()
            .filter(|(_, spec)| takes_orders(spec));
        for (name, spec) in engines {
            let plan = EnginePlan { name, spec };
            let engine = self.engines.entry(name.clone()).or_default();
            match engine.need(now.monotonic, &spec.version) {
                EngineNeed::Read => self.send(now, lease, plan, None, effects),
                EngineNeed::Order if self.may_order(now, lease, plan, config) => {
                    let version = Some(spec.version.clone());
                    self.send(now, lease, plan, version, effects);
                }
                EngineNeed::Nothing | EngineNeed::Order => {}
            }
        }
    }

    fn may_order(
        &self,
        now: CoreTime,
        lease: LeaseGrant,
        plan: EnginePlan<'_>,
        config: &ConfigView,
    ) -> bool {
        // An engine that ignores fencing numbers takes an order of the last holder that arrives
        // late, after ours, and would end with the wrong version. So the first order waits until
        // none of the last holder's can be under way any more.
        let waited = now.monotonic.since(lease.gained_at) >= self.options.max_order_duration;
        if !plan.spec.checks_fencing && !waited {
            return false;
        }
        let engines = self.engines.values();
        let loading = engines.filter(|engine| engine.may_load(now.monotonic));
        if loading.count() >= self.options.max_concurrent_loads {
            return false;
        }
        !self.would_empty(now, plan.name, &plan.spec.service, config)
    }

    /// Whether the order would take the last ready engine out of a service while another one of
    /// it loads: an engine takes no requests while it does.
    fn would_empty(
        &self,
        now: CoreTime,
        name: &UpstreamName,
        service: &ServiceName,
        config: &ConfigView,
    ) -> bool {
        let others = config.upstreams_of(service).filter(|other| *other != name);
        let others: Vec<_> = others.filter_map(|other| self.engines.get(other)).collect();
        let loads = |engine: &EngineRecord| engine.may_load(now.monotonic);
        let serves = |engine: &EngineRecord| engine.is_ready() && !loads(engine);
        others.iter().any(|engine| loads(engine)) && !others.iter().any(|engine| serves(engine))
    }

    fn send(
        &mut self,
        now: CoreTime,
        lease: LeaseGrant,
        plan: EnginePlan<'_>,
        version: Option<VersionName>,
        effects: &mut EffectQueue,
    ) {
        let alone = now.monotonic < lease.acts_until;
        invariant::check(effects, InvariantName::ExclusiveLeaseHolder, alone, || {
            format!("upstream={} fencing={}", plan.name, lease.fencing)
        });
        if !alone {
            return;
        }
        self.calls += 1;
        let call = OrderCallId(self.calls);
        if let Some(version) = &version {
            let line = LogLine::new(LogLevel::Info, "order-given")
                .with("upstream", plan.name)
                .with("version", version)
                .with("fencing", lease.fencing);
            effects.log(line);
        }
        let engine = self.engines.entry(plan.name.clone()).or_default();
        engine.sent(now.monotonic, call, version.clone());
        effects.push(DaemonEffect::SendOrder {
            call,
            upstream: plan.name.clone(),
            address: plan.spec.address,
            order: UpstreamOrder {
                fencing: lease.fencing,
                version,
                act_by: lease.acts_until,
            },
        });
    }
}
