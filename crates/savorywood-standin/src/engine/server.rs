//! Runs an engine and serves it.

use super::{
    batch::BatchIteration, faults::EngineFaults, options::EngineOptions, orders::OrderRecord,
    routes, state::EngineState,
};
use crate::{
    http,
    runs::RunReport,
    tasks::{TaskGroup, lock},
};
use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::Timer;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, Weak},
    time::{Duration, Instant},
};

/// A frozen engine looks this often whether it may go on.
const FROZEN_PAUSE: Duration = Duration::from_millis(10);

/// Lateness of timers that the next iteration makes up for, at most.
const MAX_CATCH_UP: Duration = Duration::from_millis(10);

/// What handlers and the batch loop share.
#[derive(Debug)]
pub(crate) struct EngineShared {
    pub(crate) options: EngineOptions,
    pub(crate) state: Mutex<EngineState>,
    pub(crate) group: Weak<TaskGroup>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl EngineShared {
    /// Tells the batch loop that there may be work.
    pub(crate) fn wake(&self) {
        self.wake.try_send(()).ok();
    }

    async fn run_batches(self: Arc<Self>) {
        let mut due = Instant::now();
        loop {
            match self.next_iteration() {
                Some(iteration) => {
                    // Times add up from the last end, so that late timers do not slow the engine.
                    due = due.max(Instant::now() - MAX_CATCH_UP) + iteration.duration;
                    Timer::at(due).await;
                    lock(&self.state).publish(&iteration);
                }
                None if self.is_frozen() => {
                    Timer::after(FROZEN_PAUSE).await;
                }
                None => {
                    if self.woken.recv().await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn next_iteration(&self) -> Option<BatchIteration> {
        lock(&self.state).iterate()
    }

    fn is_frozen(&self) -> bool {
        lock(&self.state).faults.frozen
    }
}

/// A running engine stand-in. Dropping it closes its listener and its connections.
#[derive(Debug)]
pub struct EngineServer {
    address: SocketAddr,
    shared: Arc<EngineShared>,
    _group: Arc<TaskGroup>,
}

impl EngineServer {
    /// Starts an engine on an executor.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(
        executor: &Arc<Executor<'static>>,
        options: EngineOptions,
    ) -> io::Result<Self> {
        let group = TaskGroup::new(executor);
        let (wake, woken) = async_channel::bounded(1);
        let address = options.address;
        let shared = Arc::new(EngineShared {
            state: Mutex::new(EngineState::new(&options)),
            options,
            group: Arc::downgrade(&group),
            wake,
            woken,
        });
        let handler = Arc::clone(&shared);
        let handle = move |request| routes::handle(Arc::clone(&handler), request);
        let address = http::listen(&group, address, handle).await?;
        group.spawn(Arc::clone(&shared).run_batches());
        log::info!("event=engine-started address={address}");
        Ok(Self {
            address,
            shared,
            _group: group,
        })
    }

    /// Address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        lock(&self.shared.state).faults = faults;
        self.shared.wake();
    }

    /// What it ran.
    #[must_use]
    pub fn runs(&self) -> RunReport {
        lock(&self.shared.state).runs.report().clone()
    }

    /// Orders that reached it.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.shared.state).orders.records().to_vec()
    }
}
