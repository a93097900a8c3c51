//! Decides which engines are called in a step, and sends the calls.

use super::{
    OrdersState, accepts_orders,
    engine::{EngineAction, EngineRecord},
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

/// One engine with the spec of its upstream resource.
#[derive(Debug, Clone, Copy)]
struct EngineTarget<'a> {
    name: &'a UpstreamName,
    spec: &'a UpstreamSpec,
}

impl OrdersState {
    /// Reads the state of each engine or orders it to load its declared version, where that is due.
    pub(super) fn check_engines(
        &mut self,
        now: CoreTime,
        lease: LeaseGrant,
        config: &ConfigView,
        effects: &mut EffectQueue,
    ) {
        let engines = config
            .upstreams
            .iter()
            .filter(|(_, spec)| accepts_orders(spec));
        for (name, spec) in engines {
            let target = EngineTarget { name, spec };
            let engine = self.engines.entry(name.clone()).or_default();
            match engine.next_action(now.monotonic, &spec.version) {
                EngineAction::Read => self.call_engine(now, lease, target, None, effects),
                EngineAction::Order if self.may_order(now, lease, target, config) => {
                    let version = Some(spec.version.clone());
                    self.call_engine(now, lease, target, version, effects);
                }
                EngineAction::Nothing | EngineAction::Order => {}
            }
        }
    }

    /// Whether an engine may be ordered to load another version now.
    fn may_order(
        &self,
        now: CoreTime,
        lease: LeaseGrant,
        target: EngineTarget<'_>,
        config: &ConfigView,
    ) -> bool {
        // An engine that ignores fencing numbers would also execute a delayed order of the
        // previous holder that arrives after ours, and end up with the wrong version. So the
        // first order waits until no order of the previous holder can still be in flight.
        let previous_orders_expired =
            now.monotonic.since(lease.acquired_at) >= self.options.max_order_duration;
        if !target.spec.checks_fencing && !previous_orders_expired {
            return false;
        }
        let engines = self.engines.values();
        let loading = engines.filter(|engine| engine.may_load(now.monotonic));
        if loading.count() >= self.options.max_concurrent_loads {
            return false;
        }
        !self.would_leave_none_ready(now, target.name, &target.spec.service, config)
    }

    /// Whether the order would leave a service without a ready engine while another of its engines
    /// is loading: an engine accepts no requests while it loads.
    fn would_leave_none_ready(
        &self,
        now: CoreTime,
        name: &UpstreamName,
        service: &ServiceName,
        config: &ConfigView,
    ) -> bool {
        let others = config.upstreams_of(service).filter(|other| *other != name);
        let others: Vec<_> = others.filter_map(|other| self.engines.get(other)).collect();
        let is_loading = |engine: &EngineRecord| engine.may_load(now.monotonic);
        let is_serving = |engine: &EngineRecord| engine.is_ready() && !is_loading(engine);
        others.iter().any(|engine| is_loading(engine))
            && !others.iter().any(|engine| is_serving(engine))
    }

    /// Sends an order, or a read if `version` is `None`, unless the lease has expired.
    fn call_engine(
        &mut self,
        now: CoreTime,
        lease: LeaseGrant,
        target: EngineTarget<'_>,
        version: Option<VersionName>,
        effects: &mut EffectQueue,
    ) {
        let holds_lease = now.monotonic < lease.valid_until;
        invariant::check(
            effects,
            InvariantName::ExclusiveLeaseHolder,
            holds_lease,
            || format!("upstream={} fencing={}", target.name, lease.fencing),
        );
        if !holds_lease {
            return;
        }
        self.calls += 1;
        let call = OrderCallId(self.calls);
        if let Some(version) = &version {
            let line = LogLine::new(LogLevel::Info, "order-given")
                .with("upstream", target.name)
                .with("version", version)
                .with("fencing", lease.fencing);
            effects.log(line);
        }
        let engine = self.engines.entry(target.name.clone()).or_default();
        engine.record_call(now.monotonic, call, version.clone());
        effects.push(DaemonEffect::SendOrder {
            call,
            upstream: target.name.clone(),
            address: target.spec.address,
            order: UpstreamOrder {
                fencing: lease.fencing,
                version,
                act_by: lease.valid_until,
            },
        });
    }
}
