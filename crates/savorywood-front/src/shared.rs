//! What all tasks of a front daemon share, and the way of effects from decisions to tasks.

use crate::{
    adapter::FrontAdapter, clock::BootClock, logging::LogQueue, metrics::FrontMetrics,
    peers::RowsPush, pool::UpstreamPool, settings::FrontSettings, store::StoreResponse,
};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use savorywood_gateway::{
    DispatchOrder, Gateway, GatewayEffect, GatewayEvent, LocalRequest, QuarantineWrite,
    RefusalReason, RolloutWrite, SharedTable, StorePosition,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

/// Pushes of rows that wait to be applied at most.
const MAX_PENDING_PUSHES: usize = 64;

/// What becomes of a request next.
#[derive(Debug, Clone)]
pub enum RequestDecision {
    /// Send it.
    Dispatch(Box<DispatchOrder>),
    /// Give it this final answer.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Give it the failure that the upstream gave.
    ForwardFailure,
    /// End the attempt under way.
    AbandonAttempt,
    /// Break its answer off.
    AbortResponse,
}

/// Rows on their way from the peers' socket to the reader of their table.
struct RowChannel {
    sender: Sender<RowsPush>,
    receiver: Receiver<RowsPush>,
}

impl Default for RowChannel {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(MAX_PENDING_PUSHES);
        Self { sender, receiver }
    }
}

/// Where rows go that decisions want written.
pub struct StoreWriters {
    /// States of roll-outs.
    pub rollouts: Sender<RolloutWrite>,
    /// Requests in quarantine.
    pub quarantine: Sender<QuarantineWrite>,
}

/// State of a front daemon.
pub struct FrontShared {
    /// Settings at the start.
    pub settings: FrontSettings,
    /// The platform's way of speaking.
    pub adapter: Box<dyn FrontAdapter>,
    /// The clock.
    pub clock: BootClock,
    /// Decisions.
    pub gateway: RefCell<Gateway>,
    /// Idle connections to upstreams.
    pub pool: UpstreamPool,
    /// Counters.
    pub metrics: FrontMetrics,
    /// The log.
    pub log: LogQueue,
    /// Runs tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Roll-out states to be written.
    pub rollout_writes: Sender<RolloutWrite>,
    /// Rows on requests in quarantine to be written.
    pub quarantine_writes: Sender<QuarantineWrite>,
    /// Declared rows that other daemons hand on.
    declared_rows: RowChannel,
    /// Registrations that other daemons hand on.
    upstream_rows: RowChannel,
    /// Newest era of the store that an answer named.
    pub era: Cell<u64>,
    /// An answer named its era.
    era_observed: Cell<bool>,
    /// The process was ordered to stop.
    pub stopping: Cell<bool>,
    /// Requests that are being read or answered.
    pub busy: Cell<usize>,
    /// Open connections of callers.
    pub connections: Cell<usize>,
    decision_senders: RefCell<HashMap<LocalRequest, Sender<RequestDecision>>>,
    next_request: Cell<u64>,
}

impl FrontShared {
    /// Puts the parts together.
    pub fn new(
        settings: FrontSettings,
        adapter: Box<dyn FrontAdapter>,
        gateway: Gateway,
        log: LogQueue,
        writes: StoreWriters,
    ) -> Rc<Self> {
        Rc::new(Self {
            settings,
            adapter,
            clock: BootClock,
            gateway: RefCell::new(gateway),
            pool: UpstreamPool::default(),
            metrics: FrontMetrics::default(),
            log,
            executor: Rc::new(LocalExecutor::new()),
            rollout_writes: writes.rollouts,
            quarantine_writes: writes.quarantine,
            declared_rows: RowChannel::default(),
            upstream_rows: RowChannel::default(),
            era: Cell::new(0),
            era_observed: Cell::new(false),
            stopping: Cell::new(false),
            busy: Cell::new(0),
            connections: Cell::new(0),
            decision_senders: RefCell::default(),
            next_request: Cell::new(1),
        })
    }

    /// Notes the era of a position that another daemon names.
    pub fn observe_peer_era(&self, position: StorePosition) {
        if self.gateway.borrow().store_era() < position.era {
            self.step(GatewayEvent::StoreEraObserved(position.era));
        }
    }

    /// Notes the era that an answer of the store names, and returns it; the era known
    /// so far where it names none.
    pub fn observe_store_era(&self, answer: &StoreResponse) -> u64 {
        let named = self.adapter.store_era(&answer.headers);
        let known = self.gateway.borrow().store_era();
        let era = named.unwrap_or(known);
        let is_known = self.era.get() >= era && known >= era;
        if !is_known || !self.era_observed.replace(true) {
            self.era.set(self.era.get().max(era));
            self.step(GatewayEvent::StoreEraObserved(era));
        }
        era
    }

    fn rows(&self, table: SharedTable) -> &RowChannel {
        match table {
            SharedTable::Declared => &self.declared_rows,
            SharedTable::Upstreams => &self.upstream_rows,
        }
    }

    /// Passes rows to the reader of their table. A full channel drops them; then they are read.
    pub fn queue_rows(&self, push: RowsPush) {
        let _ = self.rows(push.table).sender.try_send(push);
    }

    /// Rows of a table as other daemons hand them on.
    pub fn pushed_rows(&self, table: SharedTable) -> Receiver<RowsPush> {
        self.rows(table).receiver.clone()
    }

    /// Runs a task beside all others.
    pub fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Handles one event and executes its effects.
    pub fn step(&self, event: GatewayEvent) {
        let mut effects = Vec::new();
        let now = self.clock.now();
        self.gateway.borrow_mut().step(now, event, &mut effects);
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Opens a request: its name and where its decisions come out.
    pub fn open_request(&self) -> (LocalRequest, Receiver<RequestDecision>) {
        let request = LocalRequest(self.next_request.get());
        self.next_request.set(request.0 + 1);
        let (sender, receiver) = async_channel::unbounded();
        self.decision_senders.borrow_mut().insert(request, sender);
        (request, receiver)
    }

    /// Closes a request; one that is still open counts as left by its caller.
    pub fn close_request(&self, request: LocalRequest) {
        self.decision_senders.borrow_mut().remove(&request);
        self.step(GatewayEvent::CallerDisconnected(request));
    }

    fn execute(&self, effect: GatewayEffect) {
        match effect {
            GatewayEffect::Dispatch(order) => {
                self.send(order.request, RequestDecision::Dispatch(Box::new(order)));
            }
            GatewayEffect::Refuse {
                request,
                reason,
                retry_after,
            } => {
                let decision = RequestDecision::Refuse {
                    reason,
                    retry_after,
                };
                self.send(request, decision);
            }
            GatewayEffect::ForwardFailure { request } => {
                self.send(request, RequestDecision::ForwardFailure);
            }
            GatewayEffect::AbandonAttempt { request } => {
                self.send(request, RequestDecision::AbandonAttempt)
            }
            GatewayEffect::AbortResponse { request } => {
                self.send(request, RequestDecision::AbortResponse)
            }
            GatewayEffect::WriteRollout(write) => {
                // The receiver lives as long as the daemon.
                let _ = self.rollout_writes.try_send(write);
            }
            GatewayEffect::WriteQuarantine(write) => {
                // The receiver lives as long as the daemon.
                let _ = self.quarantine_writes.try_send(write);
            }
            GatewayEffect::Log(line) => self.log.write_line(&line),
        }
    }

    fn send(&self, request: LocalRequest, decision: RequestDecision) {
        if let Some(waiter) = self.decision_senders.borrow().get(&request) {
            // Unbounded, and its receiver lives as long as the entry.
            let _ = waiter.try_send(decision);
        }
    }
}
