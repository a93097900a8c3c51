//! Runs a plain service and serves it.

use super::{faults::PlainFaults, options::PlainOptions, routes};
use crate::{
    http,
    runs::{RunLedger, RunReport},
    tasks::{TaskGroup, lock},
};
use async_executor::Executor;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

/// Everything that a plain service knows.
#[derive(Debug)]
pub(crate) struct PlainState {
    pub(crate) faults: PlainFaults,
    pub(crate) runs: RunLedger,
    pub(crate) open: u32,
    pub(crate) dice: fastrand::Rng,
}

/// A running plain service stand-in. Dropping it closes its listener and its connections.
#[derive(Debug)]
pub struct PlainServer {
    address: SocketAddr,
    state: Arc<Mutex<PlainState>>,
    _group: Arc<TaskGroup>,
}

impl PlainServer {
    /// Starts a plain service on an executor.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(
        executor: &Arc<Executor<'static>>,
        options: PlainOptions,
    ) -> io::Result<Self> {
        let group = TaskGroup::new(executor);
        let state = Arc::new(Mutex::new(PlainState {
            faults: options.faults,
            runs: RunLedger::default(),
            open: 0,
            dice: fastrand::Rng::with_seed(options.seed),
        }));
        let handler = Arc::clone(&state);
        let handle = move |request| routes::handle(Arc::clone(&handler), request);
        let address = http::listen(&group, options.address, handle).await?;
        log::info!("event=plain-started address={address}");
        Ok(Self {
            address,
            state,
            _group: group,
        })
    }

    /// Address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: PlainFaults) {
        lock(&self.state).faults = faults;
    }

    /// What it ran.
    #[must_use]
    pub fn runs(&self) -> RunReport {
        lock(&self.state).runs.report().clone()
    }
}
