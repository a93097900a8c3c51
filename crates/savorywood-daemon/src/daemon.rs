//! One daemon in a process: its core, its edges and the tasks between them.

use crate::{
    api::ApiHandler,
    clock::RuntimeClock,
    driver::{CoreDriver, DriverParts},
    metrics::DaemonMetrics,
    options::DaemonOptions,
    outbound::{self, OutboundLinks},
    peers::{DatagramLink, PeerSockets, SnapshotLink},
};
use async_channel::Receiver;
use async_executor::Executor;
use async_net::TcpListener;
use savorywood_core::{DaemonCore, DaemonEffect, DaemonEvent, daemon::NotReadyReason};
use savorywood_http::{HttpClient, HttpServer};
use savorywood_platform::PlatformClient;
use snafu::{ResultExt, Snafu};
use std::{future::Future, io, net::SocketAddr, sync::Arc};

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// An address can't be listened on.
    #[snafu(display("listen: {address} can't be bound: {source}"))]
    Listen {
        /// Which.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The metrics can't be registered.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// What the library said.
        source: prometheus::Error,
    },
}

/// What the tasks of a daemon share.
pub struct DaemonShared {
    /// The core.
    pub driver: Arc<CoreDriver>,
    /// Connections to upstreams.
    pub client: HttpClient,
    /// Runs all tasks.
    pub executor: Arc<Executor<'static>>,
    /// What the daemon was started with.
    pub options: DaemonOptions,
}

/// A daemon that runs.
pub struct RunningDaemon {
    shared: Arc<DaemonShared>,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
}

impl RunningDaemon {
    /// Binds the daemon's addresses and spawns its tasks.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn start(
        mut options: DaemonOptions,
        executor: Arc<Executor<'static>>,
    ) -> Result<Self, DaemonError> {
        let address = options.listen_callers;
        let server = HttpServer::bind(address, options.server_limits.clone())
            .await
            .context(ListenSnafu { address })?;
        let caller_address = server.local_address().context(ListenSnafu { address })?;
        if options.core.caller_address.port() == 0 {
            options.core.caller_address.set_port(caller_address.port());
        }
        let peers = options.listen_peers;
        let host = options.core.host.clone();
        let key = options.peer_key.clone();
        let sockets = PeerSockets::bind(peers).await;
        let sockets = sockets.context(ListenSnafu { address: peers })?;
        let peers = sockets.address;
        if options.core.peer_address.port() == 0 {
            options.core.peer_address.set_port(peers.port());
        }
        let bytes = options.peer_bytes_per_second;
        let datagrams = DatagramLink::new(sockets.datagrams, host.clone(), key.clone(), bytes);
        let snapshot_listener = sockets.snapshots;
        let metrics = DaemonMetrics::new().context(MetricsSnafu)?;
        let core = DaemonCore::new(options.core.clone());
        let DriverParts { driver, outbound } =
            CoreDriver::wrap(core, RuntimeClock::system(), metrics);
        let client = HttpClient::new(options.client_limits.clone());
        let shared = Arc::new(DaemonShared {
            driver,
            client,
            executor: Arc::clone(&executor),
            options,
        });
        let links = Arc::new(OutboundLinks {
            datagrams: Arc::new(datagrams),
            snapshots: SnapshotLink::new(host, key),
            platform: PlatformClient::new(shared.client.clone(), shared.options.platform.clone()),
        });
        spawn_timers(&shared);
        spawn_links(&shared, &links, outbound, snapshot_listener);
        let handler = Arc::new(ApiHandler::new(Arc::clone(&shared)));
        executor
            .spawn(server.run(Arc::clone(&executor), handler))
            .detach();
        shared.driver.step(DaemonEvent::Started);
        Ok(Self {
            shared,
            caller_address,
            peer_address: peers,
        })
    }

    /// Where callers reach the daemon.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where peers reach the daemon.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Whether new work is taken.
    ///
    /// # Errors
    ///
    /// Says why not.
    pub fn readiness(&self) -> Result<(), NotReadyReason> {
        self.shared
            .driver
            .with_core(|core, now, _| core.readiness(now))
    }

    /// Requests that wait or run.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.shared.driver.registry.len()
    }

    /// Begins the planned stop.
    pub fn stop(&self) {
        self.shared.driver.step(DaemonEvent::StopRequested);
    }

    /// Resolves when the planned stop is over. Call it before [`stop`](Self::stop).
    pub fn stopped(&self) -> impl Future<Output = ()> + use<> {
        self.shared.driver.exit_listener()
    }
}

fn spawn_links(
    shared: &Arc<DaemonShared>,
    links: &Arc<OutboundLinks>,
    effects: Receiver<DaemonEffect>,
    listener: TcpListener,
) {
    let executor = &shared.executor;
    let driver = &shared.driver;
    let run = outbound::run(Arc::clone(shared), Arc::clone(links), effects);
    executor.spawn(run).detach();
    let receive = Arc::clone(&links.datagrams).receive(Arc::clone(driver));
    executor.spawn(receive).detach();
    let snapshots = links.snapshots.clone();
    let serve = snapshots.serve(listener, Arc::clone(driver), Arc::clone(executor));
    executor.spawn(serve).detach();
    outbound::spawn_loops(shared, links);
}

fn spawn_timers(shared: &Arc<DaemonShared>) {
    let driver = Arc::clone(&shared.driver);
    let run = async move {
        loop {
            let fired = driver.timers.next(driver.clock()).await;
            driver.metrics.observe_timer_lag(fired.lag);
            driver.step(DaemonEvent::TimerFired(fired.key));
        }
    };
    shared.executor.spawn(run).detach();
}
