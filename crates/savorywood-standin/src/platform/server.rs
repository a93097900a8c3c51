//! Runs a platform and serves it.

use super::{
    faults::PlatformFaults, hosts::HostList, options::PlatformOptions, pace::RatePace, routes,
    table::TableStore,
};
use crate::{
    http,
    tasks::{TaskGroup, lock},
};
use async_executor::Executor;
use savorywood_protocol::{
    host_list::HostDocument,
    table::{TableRequest, TableResponse},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, Weak},
    time::Instant,
};

/// What handlers share.
#[derive(Debug)]
pub(crate) struct PlatformShared {
    pub(crate) state: Mutex<PlatformState>,
    pub(crate) group: Weak<TaskGroup>,
}

/// Everything that the platform knows.
#[derive(Debug, Default)]
pub(crate) struct PlatformState {
    pub(crate) faults: PlatformFaults,
    pub(crate) table: TableStore,
    pub(crate) objects: BTreeMap<String, Vec<u8>>,
    pub(crate) weights: BTreeMap<String, Arc<[u8]>>,
    pub(crate) hosts: HostList,
    pub(crate) writes: RatePace,
    pub(crate) reads: RatePace,
    pub(crate) weight_pace: RatePace,
    pub(crate) counts: CallCounts,
}

/// Calls answered, for budgets; refused and lost ones count too.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Commits of the table service and writes of objects.
    pub writes: u64,
    /// Reads of the table service, of objects and of the host list.
    pub reads: u64,
    /// Calls refused for the rate or an outage.
    pub refused: u64,
}

/// A running platform stand-in. Dropping it closes its listener and its connections.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    shared: Arc<PlatformShared>,
    _group: Arc<TaskGroup>,
}

impl PlatformServer {
    /// Starts a platform on an executor.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(
        executor: &Arc<Executor<'static>>,
        options: PlatformOptions,
    ) -> io::Result<Self> {
        let group = TaskGroup::new(executor);
        let shared = Arc::new(PlatformShared {
            state: Mutex::new(PlatformState {
                faults: options.faults,
                ..PlatformState::default()
            }),
            group: Arc::downgrade(&group),
        });
        let handler = Arc::clone(&shared);
        let handle = move |request| routes::handle(Arc::clone(&handler), request);
        let address = http::listen(&group, options.address, handle).await?;
        log::info!("event=platform-started address={address}");
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

    /// Replaces its faults and limits.
    pub fn set_faults(&self, faults: PlatformFaults) {
        lock(&self.shared.state).faults = faults;
    }

    /// Executes a table request without the network and without faults.
    #[must_use]
    pub fn execute(&self, request: &TableRequest) -> TableResponse {
        lock(&self.shared.state).table.execute(request)
    }

    /// Puts a host on the list, or replaces it there.
    pub fn put_host(&self, host: HostDocument) {
        lock(&self.shared.state).hosts.put(Instant::now(), host);
    }

    /// Calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        lock(&self.shared.state).counts
    }
}
