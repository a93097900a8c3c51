//! State shared by all tasks of a front daemon, and the delivery of the gateway's effects to them.

use crate::{
    adapter::{FrontAdapter, ParsedResponseHead},
    clock::BootClock,
    feeds::TableSnapshot,
    held::HeldMemory,
    logging::LogQueue,
    metrics::FrontMetrics,
    peers::RowsPush,
    pool::UpstreamPool,
    settings::FrontSettings,
    store::StoreResponse,
};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use savorywood_gateway::{
    DispatchOrder, Gateway, GatewayEffect, GatewayEvent, LocalRequest, QuarantineWrite,
    RefusalReason, RolloutWrite, SharedTable, StorePosition, UpstreamLabel,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// Maximum number of row pushes that wait to be applied, for each table.
const MAX_PENDING_PUSHES: usize = 64;

/// Next step for a request, decided by the gateway.
#[derive(Debug, Clone)]
pub enum RequestDecision {
    /// Dispatch the request to an upstream.
    Dispatch(Box<DispatchOrder>),
    /// Refuse the request.
    Refuse {
        reason: RefusalReason,
        /// Time after which the caller should retry; `None` to send no `Retry-After` header.
        retry_after: Option<Duration>,
    },
    /// Forward the saved failure response of the upstream.
    ForwardFailure,
    /// End the attempt in progress.
    Abandon,
    /// End the attempt in progress as if its deadline had passed, unless its response has begun.
    Expire,
    /// Close the caller's connection so that the response is seen as incomplete.
    Abort(RefusalReason),
}

/// Queue of pushed rows from the peer socket to the reader of a table.
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

/// Queues to the tasks that perform effects of the gateway.
pub struct EffectSenders {
    pub rollouts: Sender<RolloutWrite>,
    pub quarantine: Sender<QuarantineWrite>,
    pub upstream_checks: Sender<Vec<SocketAddr>>,
}

/// State of a front daemon.
pub struct FrontShared {
    /// Settings as read at the start.
    pub settings: FrontSettings,
    /// Conversion to and from the platform's protocol.
    pub adapter: Box<dyn FrontAdapter>,
    pub clock: BootClock,
    /// State machine that makes all decisions.
    pub gateway: RefCell<Gateway>,
    pub pool: UpstreamPool,
    /// Budget of the memory that request bodies and responses take.
    pub held: Rc<HeldMemory>,
    pub metrics: FrontMetrics,
    pub log: LogQueue,
    /// Executor of all tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    senders: EffectSenders,
    /// Declared rows pushed by other daemons.
    declared_rows: RowChannel,
    /// Registrations pushed by other daemons.
    upstream_rows: RowChannel,
    /// Copies of the tables, for other daemons.
    declared_snapshot: RefCell<TableSnapshot>,
    upstream_snapshot: RefCell<TableSnapshot>,
    /// Newest era that a response of the store named.
    pub era: Cell<u64>,
    /// Set once a response of the store named its era.
    era_observed: Cell<bool>,
    /// Set once the process was ordered to stop.
    pub stopping: Cell<bool>,
    /// Number of requests that are being answered.
    pub active_requests: Cell<usize>,
    /// Number of requests that are being relayed for peers.
    pub relayed_requests: Cell<usize>,
    /// Number of open connections of callers.
    pub connections: Cell<usize>,
    decision_senders: RefCell<HashMap<LocalRequest, Sender<RequestDecision>>>,
    next_request: Cell<u64>,
}

impl FrontShared {
    /// Creates the state from its parts.
    pub fn new(
        settings: FrontSettings,
        adapter: Box<dyn FrontAdapter>,
        gateway: Gateway,
        log: LogQueue,
        senders: EffectSenders,
    ) -> Rc<Self> {
        Rc::new(Self {
            held: HeldMemory::from_settings(&settings),
            settings,
            adapter,
            clock: BootClock,
            gateway: RefCell::new(gateway),
            pool: UpstreamPool::default(),
            metrics: FrontMetrics::default(),
            log,
            executor: Rc::new(LocalExecutor::new()),
            senders,
            declared_rows: RowChannel::default(),
            upstream_rows: RowChannel::default(),
            declared_snapshot: RefCell::default(),
            upstream_snapshot: RefCell::default(),
            era: Cell::new(0),
            era_observed: Cell::new(false),
            stopping: Cell::new(false),
            active_requests: Cell::new(0),
            relayed_requests: Cell::new(0),
            connections: Cell::new(0),
            decision_senders: RefCell::default(),
            next_request: Cell::new(1),
        })
    }

    /// Reports a newer era of the store, named by another daemon, to the gateway.
    pub fn observe_peer_era(&self, position: StorePosition) {
        if self.gateway.borrow().store_era() < position.era {
            self.step(GatewayEvent::StoreEraObserved(position.era));
        }
    }

    /// Records the era that a response of the store names and returns it. Returns the current era
    /// when the response names none.
    pub fn observe_store_era(&self, response: &StoreResponse) -> u64 {
        let named = self.adapter.store_era(&response.headers);
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

    /// Returns the copy of a table, from which other daemons are served.
    pub fn snapshot(&self, table: SharedTable) -> &RefCell<TableSnapshot> {
        match table {
            SharedTable::Declared => &self.declared_snapshot,
            SharedTable::Upstreams => &self.upstream_snapshot,
        }
    }

    /// Queues rows for the reader of their table. When the queue is full they are dropped, and the
    /// reader fetches them from the store.
    pub fn queue_rows(&self, push: RowsPush) {
        let _ = self.rows(push.table).sender.try_send(push);
    }

    /// Returns the queue of rows of a table that other daemons push.
    pub fn pushed_rows(&self, table: SharedTable) -> Receiver<RowsPush> {
        self.rows(table).receiver.clone()
    }

    /// Spawns a detached task.
    pub fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Passes an event to the gateway and executes the effects.
    pub fn step(&self, event: GatewayEvent) {
        let mut effects = Vec::new();
        let now = self.clock.now();
        self.gateway.borrow_mut().step(now, event, &mut effects);
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Reports what the head of an upstream's response announces, if anything, to the gateway.
    pub fn report_announcement(
        &self,
        upstream: &UpstreamLabel,
        request_id: &str,
        head: &ParsedResponseHead,
    ) {
        // Another incarnation that responds says nothing of the one that was addressed.
        if !head.announcement.is_empty() && !head.misdirected {
            self.step(GatewayEvent::UpstreamAnnounced {
                upstream: upstream.clone(),
                request_id: request_id.to_owned(),
                announcement: head.announcement,
            });
        }
    }

    /// Registers a request; returns its id and the queue of decisions about it.
    pub fn open_request(&self) -> (LocalRequest, Receiver<RequestDecision>) {
        let request = LocalRequest(self.next_request.get());
        self.next_request.set(request.0 + 1);
        let (sender, receiver) = async_channel::unbounded();
        self.decision_senders.borrow_mut().insert(request, sender);
        (request, receiver)
    }

    /// Removes a request; if it has no final response yet, the gateway counts it as left by its
    /// caller.
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
                self.send(request, RequestDecision::Abandon);
            }
            GatewayEffect::ExpireAttempt { request } => {
                self.send(request, RequestDecision::Expire);
            }
            GatewayEffect::AbortResponse { request, reason } => {
                self.send(request, RequestDecision::Abort(reason));
            }
            GatewayEffect::WriteRollout(write) => {
                // The receiver exists as long as the daemon runs, so the send can't fail.
                let _ = self.senders.rollouts.try_send(write);
            }
            GatewayEffect::WriteQuarantine(write) => {
                // The receiver exists as long as the daemon runs, so the send can't fail.
                let _ = self.senders.quarantine.try_send(write);
            }
            GatewayEffect::CheckUpstreams(addresses) => {
                // The receiver exists as long as the daemon runs, so the send can't fail.
                let _ = self.senders.upstream_checks.try_send(addresses);
            }
            GatewayEffect::CloseIdleConnections => self.pool.clear(),
            GatewayEffect::Log(line) => self.log.write_line(&line),
        }
    }

    fn send(&self, request: LocalRequest, decision: RequestDecision) {
        if let Some(waiter) = self.decision_senders.borrow().get(&request) {
            // The queue is unbounded and the receiver outlives the entry, so the send can't fail.
            let _ = waiter.try_send(decision);
        }
    }
}
