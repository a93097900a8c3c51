//! One daemon in a process: its core, its edges and the tasks between them.

use crate::{
    api::ApiHandler,
    clock::RuntimeClock,
    driver::{CoreDriver, DriverParts},
    metrics::DaemonMetrics,
    options::DaemonOptions,
};
use async_executor::Executor;
use savorywood_core::{DaemonCore, DaemonEvent};
use savorywood_http::{HttpClient, HttpServer};
use snafu::{ResultExt, Snafu};
use std::{io, net::SocketAddr, sync::Arc};

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
        spawn_timers(&shared);
        executor
            .spawn(async move { while outbound.recv().await.is_ok() {} })
            .detach();
        let handler = Arc::new(ApiHandler::new(Arc::clone(&shared)));
        executor
            .spawn(server.run(Arc::clone(&executor), handler))
            .detach();
        shared.driver.step(DaemonEvent::Started);
        Ok(Self {
            shared,
            caller_address,
        })
    }

    /// Where callers reach the daemon.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Begins the planned stop.
    pub fn stop(&self) {
        self.shared.driver.step(DaemonEvent::StopRequested);
    }

    /// Resolves when the planned stop is over.
    pub async fn stopped(&self) {
        self.shared.driver.exit_listener().await;
    }

    /// Puts resources in force without the platform, for embedding and trials.
    pub fn install_config(&self, config: savorywood_core::ConfigView) {
        self.shared
            .driver
            .with_core(|core, now, effects| core.install_config(now, config, effects));
    }
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
