//! Orders to engines: each is told to run the version that its resource declares.
//!
//! One holder of the lease gives all orders. Orders are declarative, so giving one twice does no
//! harm, and what an engine runs is read back rather than believed.

pub mod options;

mod engine;
mod giving;

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

/// Between two looks at all engines.
const TICK: Duration = Duration::from_secs(1);

/// Number of the only timer.
const TICK_TIMER: u64 = 0;

/// What happens to orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// The configuration in force changed, or the lease was gained.
    ViewChanged,
    /// Its timer fired.
    TimerFired,
    /// An engine answered, or did not.
    Completed {
        /// Which call.
        call: OrderCallId,
        /// The answer.
        response: OrderResponse,
    },
}

/// What the order duty reads of other duties in a step.
#[derive(Debug, Clone, Copy)]
pub struct OrderView<'a> {
    /// Configuration in force.
    pub config: &'a ConfigView,
    /// Lease for giving orders, asked for at this very step.
    pub lease: Option<LeaseGrant>,
}

/// State of the order duty.
#[derive(Debug)]
pub struct OrdersState {
    options: OrderOptions,
    engines: BTreeMap<UpstreamName, EngineRecord>,
    term: Option<FencingNumber>,
    /// A newer holder exists, as an engine said: nothing more is done in this term.
    fenced: bool,
    ticking: bool,
    calls: u64,
}

impl OrdersState {
    /// A daemon that has given no order.
    #[must_use]
    pub fn new(options: OrderOptions) -> Self {
        Self {
            options,
            engines: BTreeMap::new(),
            term: None,
            fenced: false,
            ticking: false,
            calls: 0,
        }
    }

    /// Whether any engine takes orders, so that some daemon must hold the lease.
    #[must_use]
    pub fn needs_lease(config: &ConfigView) -> bool {
        config.upstreams.values().any(takes_orders)
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
            OrderEvent::TimerFired => self.ticking = false,
            OrderEvent::Completed { call, response } => self.answered(now, call, response, effects),
        }
        self.begin_term(view);
        if let Some(lease) = view.lease.filter(|_| !self.fenced) {
            self.look_at_all(now, lease, view.config, effects);
        }
        if view.lease.is_some() && !self.ticking {
            self.ticking = true;
            let duty = DutyKind::Orders;
            let number = TICK_TIMER;
            effects.set_timer(TimerKey { duty, number }, now.monotonic + TICK);
        }
    }

    /// A new term begins with no knowledge: the last holder may have ordered something else.
    fn begin_term(&mut self, view: OrderView<'_>) {
        let term = view.lease.map(|lease| lease.fencing);
        if self.term != term {
            self.term = term;
            self.fenced = false;
            self.engines.clear();
        }
        let upstreams = &view.config.upstreams;
        self.engines
            .retain(|name, _| upstreams.get(name).is_some_and(takes_orders));
    }

    fn answered(
        &mut self,
        now: CoreTime,
        call: OrderCallId,
        response: OrderResponse,
        effects: &mut EffectQueue,
    ) {
        let mut engines = self.engines.iter_mut();
        let Some((name, engine)) = engines.find(|(_, engine)| engine.owns(call)) else {
            return;
        };
        if let OrderResponse::Fenced { newest } = response {
            self.fenced = self.term.is_some_and(|term| newest > term);
            let line = LogLine::new(LogLevel::Warn, "order-fenced")
                .with("upstream", name)
                .with("newest", newest);
            effects.log(line);
        }
        engine.answered(now.monotonic, response);
    }
}

fn takes_orders(spec: &UpstreamSpec) -> bool {
    spec.extensions.contains(&UpstreamExtension::Orders)
}
