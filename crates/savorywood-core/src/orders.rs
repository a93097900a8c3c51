//! Order duty: makes each engine run the version that its upstream resource declares.
//!
//! Only the holder of the orders lease sends orders. Orders are idempotent, and the state of each
//! engine is read back instead of being inferred from the orders that were sent.

pub mod options;

mod dispatch;
mod engine;

pub use options::OrderOptions;

use crate::{
    effect::{EffectQueue, LogLevel, LogLine},
    event::{DutyKind, TimerKey},
    leases::LeaseGrant,
    order::{OrderCallId, OrderResponse},
    view::ConfigView,
};
use engine::EngineRecord;
use savorywood_protocol::{
    CoreTime, FencingNumber, UpstreamName,
    resource::{UpstreamExtension, UpstreamSpec},
};
use std::{collections::BTreeMap, time::Duration};

/// Interval between two checks of all engines.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of the duty's only timer.
const CHECK_TIMER_NUMBER: u64 = 0;

/// Input events of the order duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// The configuration in force changed, or the lease was acquired.
    ViewChanged,
    /// The duty's timer expired.
    TimerFired,
    /// A call to an engine completed, failed or timed out.
    Completed {
        /// Call that completed.
        call: OrderCallId,
        /// Response of the engine, or [`OrderResponse::Lost`].
        response: OrderResponse,
    },
}

/// State of other duties that the order duty reads in a step.
#[derive(Debug, Clone, Copy)]
pub struct OrderView<'a> {
    /// Configuration in force.
    pub config: &'a ConfigView,
    /// Current grant of the orders lease; `None` when this daemon does not hold it.
    pub lease: Option<LeaseGrant>,
}

/// State machine of the order duty.
#[derive(Debug)]
pub struct OrdersState {
    options: OrderOptions,
    engines: BTreeMap<UpstreamName, EngineRecord>,
    term: Option<FencingNumber>,
    /// An engine reported a newer fencing number, so another daemon holds the lease: no more orders
    /// are sent in this term.
    fenced: bool,
    timer_set: bool,
    calls: u64,
}

impl OrdersState {
    /// Creates the state of a daemon that has sent no orders.
    #[must_use]
    pub fn new(options: OrderOptions) -> Self {
        Self {
            options,
            engines: BTreeMap::new(),
            term: None,
            fenced: false,
            timer_set: false,
            calls: 0,
        }
    }

    /// Whether any engine supports orders, so that a daemon must hold the lease.
    #[must_use]
    pub fn needs_lease(config: &ConfigView) -> bool {
        config.upstreams.values().any(accepts_orders)
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: OrderEvent,
        view: OrderView<'_>,
        effects: &mut EffectQueue,
    ) {
        match event {
            OrderEvent::ViewChanged => {}
            OrderEvent::TimerFired => self.timer_set = false,
            OrderEvent::Completed { call, response } => {
                self.handle_response(now, call, response, effects);
            }
        }
        self.begin_term(view);
        if let Some(lease) = view.lease.filter(|_| !self.fenced) {
            self.check_engines(now, lease, view.config, effects);
        }
        if view.lease.is_some() && !self.timer_set {
            self.timer_set = true;
            let duty = DutyKind::Orders;
            let number = CHECK_TIMER_NUMBER;
            effects.set_timer(TimerKey { duty, number }, now.monotonic + CHECK_INTERVAL);
        }
    }

    /// Resets the state at the start of a lease term, since the previous holder may have sent other
    /// orders. Removes engines that no longer exist or no longer support orders.
    fn begin_term(&mut self, view: OrderView<'_>) {
        let term = view.lease.map(|lease| lease.fencing);
        if self.term != term {
            self.term = term;
            self.fenced = false;
            self.engines.clear();
        }
        let upstreams = &view.config.upstreams;
        self.engines
            .retain(|name, _| upstreams.get(name).is_some_and(accepts_orders));
    }

    fn handle_response(
        &mut self,
        now: CoreTime,
        call: OrderCallId,
        response: OrderResponse,
        effects: &mut EffectQueue,
    ) {
        let mut engines = self.engines.iter_mut();
        let Some((name, engine)) = engines.find(|(_, engine)| engine.is_current_call(call)) else {
            return;
        };
        if let OrderResponse::Fenced { newest } = response {
            self.fenced = self.term.is_some_and(|term| newest > term);
            let line = LogLine::new(LogLevel::Warn, "order-fenced")
                .with("upstream", name)
                .with("newest", newest);
            effects.log(line);
        }
        engine.handle_response(now.monotonic, response);
    }
}

fn accepts_orders(spec: &UpstreamSpec) -> bool {
    spec.extensions.contains(&UpstreamExtension::Orders)
}
