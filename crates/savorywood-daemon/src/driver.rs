//! Feeds events to the core and executes its effects in order.

use crate::{
    clock::RuntimeClock,
    logging,
    metrics::DaemonMetrics,
    registry::{RequestCommand, RequestRegistry},
    timers::TimerTable,
};
use async_channel::{Receiver, Sender};
use event_listener::{Event, EventListener};
use savorywood_core::{
    ConfigView, DaemonCore, DaemonEffect, DaemonEvent, EffectQueue, OperatorCallId, OperatorReply,
};
use savorywood_protocol::RequestId;
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// The core with everything its effects need that does not wait.
#[derive(Debug)]
pub struct CoreDriver {
    core: Mutex<DaemonCore>,
    clock: RuntimeClock,
    /// Timers that the core has set.
    pub timers: TimerTable,
    /// Requests that wait for decisions.
    pub registry: RequestRegistry,
    /// Counters and histograms.
    pub metrics: DaemonMetrics,
    config: Mutex<Arc<ConfigView>>,
    config_changed: Event,
    outbound: Sender<DaemonEffect>,
    operators: Mutex<HashMap<OperatorCallId, Sender<OperatorReply>>>,
    next_operator: AtomicU64,
    exit: Event,
}

/// The core's driver and the effects that its shell executes with waiting.
#[derive(Debug)]
pub struct DriverParts {
    /// The driver.
    pub driver: Arc<CoreDriver>,
    /// Effects that talk to peers, the table and upstreams.
    pub outbound: Receiver<DaemonEffect>,
}

impl CoreDriver {
    /// Wraps a core; the outbound effects are for the shell's own tasks.
    pub fn wrap(core: DaemonCore, clock: RuntimeClock, metrics: DaemonMetrics) -> DriverParts {
        let (outbound, receiver) = async_channel::unbounded();
        let config = Arc::clone(core.config());
        let driver = Self {
            core: Mutex::new(core),
            clock,
            timers: TimerTable::default(),
            registry: RequestRegistry::default(),
            metrics,
            config: Mutex::new(config),
            config_changed: Event::new(),
            outbound,
            operators: Mutex::default(),
            next_operator: AtomicU64::new(1),
            exit: Event::new(),
        };
        DriverParts {
            driver: Arc::new(driver),
            outbound: receiver,
        }
    }

    /// The clock of the runtime.
    pub fn clock(&self) -> &RuntimeClock {
        &self.clock
    }

    /// Handles one event.
    pub fn step(&self, event: DaemonEvent) {
        self.with_core(|core, now, effects| core.step(now, event, effects));
    }

    /// Runs some work on the core and executes the effects before any other step's.
    pub fn with_core<T>(
        &self,
        work: impl FnOnce(&mut DaemonCore, savorywood_protocol::CoreTime, &mut EffectQueue) -> T,
    ) -> T {
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let mut effects = EffectQueue::new();
        let result = work(&mut core, now, &mut effects);
        // Before any reply: an operator that reads back at once would not find its own change.
        if effects.as_slice().contains(&DaemonEffect::ConfigChanged) {
            self.publish_config(&core);
        }
        // Under the lock, so that a cancel can't overtake its dispatch. Nothing here waits.
        for effect in effects.drain() {
            self.execute(effect);
        }
        result
    }

    fn execute(&self, effect: DaemonEffect) {
        match effect {
            DaemonEffect::SetTimer { key, at } => self.timers.set(key, at),
            DaemonEffect::Dispatch(order) => {
                self.command(order.request, RequestCommand::Dispatch(order));
            }
            DaemonEffect::CancelAttempt { request, attempt } => {
                self.command(request, RequestCommand::Cancel(attempt));
            }
            DaemonEffect::Refuse { request, refusal } => {
                self.metrics.count_refusal(refusal.code);
                self.command(request, RequestCommand::Refuse(refusal));
            }
            DaemonEffect::Resume(order) => {
                self.command(order.request, RequestCommand::Resume(order));
            }
            DaemonEffect::Replay { request, response } => {
                self.command(request, RequestCommand::Replay(response));
            }
            DaemonEffect::ReplyOperator { call, reply } => self.reply_operator(call, *reply),
            // Published before all others.
            DaemonEffect::ConfigChanged => {}
            DaemonEffect::Log(line) => logging::write_line(&line),
            DaemonEffect::InvariantViolated(breach) => {
                self.metrics.count_breach(breach.name);
                log::error!(
                    "event=invariant-breach name={} detail={:?}",
                    breach.name,
                    breach.detail
                );
            }
            DaemonEffect::Exit => {
                self.exit.notify(usize::MAX);
            }
            DaemonEffect::SendPeer { .. }
            | DaemonEffect::CallTable { .. }
            | DaemonEffect::FetchSnapshot { .. }
            | DaemonEffect::SendOrder { .. } => {
                // The receiver lives as long as the daemon.
                let _ = self.outbound.try_send(effect);
            }
        }
    }

    fn command(&self, request: RequestId, command: RequestCommand) {
        if !self.registry.send(request, command) {
            log::debug!("event=command-unheard request={request}");
        }
    }

    fn reply_operator(&self, call: OperatorCallId, reply: OperatorReply) {
        let mut operators = self
            .operators
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = operators.remove(&call) {
            let _ = sender.try_send(reply);
        }
    }

    /// Opens a call of an operator.
    pub fn open_operator_call(&self) -> OperatorTicket {
        let call = OperatorCallId(self.next_operator.fetch_add(1, Ordering::Relaxed));
        let (sender, reply) = async_channel::bounded(1);
        let mut operators = self
            .operators
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        operators.insert(call, sender);
        OperatorTicket { call, reply }
    }

    fn publish_config(&self, core: &DaemonCore) {
        let mut config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        *config = Arc::clone(core.config());
        drop(config);
        self.config_changed.notify(usize::MAX);
    }

    /// Configuration in force.
    pub fn config(&self) -> Arc<ConfigView> {
        let config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&config)
    }

    /// Resolves at the next change of the configuration.
    pub fn config_listener(&self) -> EventListener {
        self.config_changed.listen()
    }

    /// Resolves when the core says that the process may end.
    pub fn exit_listener(&self) -> EventListener {
        self.exit.listen()
    }
}

/// An operator's call that waits for its reply.
#[derive(Debug)]
pub struct OperatorTicket {
    /// Name of the call.
    pub call: OperatorCallId,
    /// Gets the reply.
    pub reply: Receiver<OperatorReply>,
}
