//! Start, main tasks and end of a front daemon.

use crate::{
    adapter::{FrontAdapter, StoreTable},
    admin, caller,
    feeds::{TableReader, TableSources, maintain_membership, sync_quarantine, sync_rollouts},
    load::measure_load,
    logging::LogQueue,
    peers::{PeerSocket, serve_calls},
    reachability::run_checks,
    settings::FrontSettings,
    shared::{EffectSenders, FrontShared},
    stop,
};
use async_io::Timer;
use async_net::TcpListener;
use savorywood_gateway::{
    Gateway, GatewayEvent, GatewayOptions, HostLabel, PeerContact, SharedTable, ZoneLabel,
};
use savorywood_settings::FaultReport;
use snafu::{ResultExt, Snafu};
use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    path::Path,
    rc::Rc,
    time::{Duration, SystemTime},
};

/// Time between two ticks while requests wait for a slot.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two ticks while no request waits.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for which new connections wait for the first reads of the store.
const FIRST_READS_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the readiness of the gateway is polled during that time.
const FIRST_READS_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which log lines are flushed and idle connections are closed.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// A front daemon could not start, or failed.
#[derive(Debug, Snafu)]
pub enum FrontError {
    /// The settings file can't be read or is invalid.
    #[snafu(display("{report}"))]
    Settings {
        /// All errors of the file.
        report: FaultReport,
    },
    /// A listening socket could not be opened.
    #[snafu(display("{step} at {address}: {source}; choose an address of this host that is free"))]
    Listen {
        /// Purpose of the socket.
        step: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Signals could not be registered or read.
    #[snafu(display("handling signals: {source}"))]
    Signals {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Runs a front daemon with the settings of a file until it is ordered to stop.
///
/// # Errors
///
/// Returns an error when the settings are invalid, an address can't be used or signals can't be
/// handled.
pub fn run(settings_path: &Path, adapter: Box<dyn FrontAdapter>) -> Result<(), FrontError> {
    let mut signals = stop::register_signals().context(SignalsSnafu)?;
    let settings = FrontSettings::read(settings_path);
    let settings = settings.map_err(|report| SettingsSnafu { report }.build())?;
    let level = settings.log_level.parse().unwrap_or(log::LevelFilter::Info);
    let log = LogQueue::start(level);
    let (rollouts, rollout_writes) = async_channel::unbounded();
    let (quarantine, quarantine_writes) = async_channel::unbounded();
    let (upstream_checks, ordered_checks) = async_channel::unbounded();
    let senders = EffectSenders {
        rollouts,
        quarantine,
        upstream_checks,
    };
    let gateway = Gateway::new(gateway_options(&settings));
    let shared = FrontShared::new(settings, adapter, gateway, log.clone(), senders);
    let executor = Rc::clone(&shared.executor);
    let served = async_io::block_on(executor.run(async {
        let peers = start(&shared).await?;
        shared.spawn(sync_rollouts(Rc::clone(&shared), rollout_writes));
        shared.spawn(sync_quarantine(Rc::clone(&shared), quarantine_writes));
        shared.spawn(run_checks(Rc::clone(&shared), ordered_checks));
        let watched = settings_path.to_owned();
        shared.spawn(stop::watch_settings(Rc::clone(&shared), watched));
        stop::wait_for_stop(&shared, &mut signals, settings_path)
            .await
            .context(SignalsSnafu)?;
        stop::drain(&shared, &peers).await;
        Ok(())
    }));
    log::info!("event=stopped");
    log.finish();
    served
}

fn gateway_options(settings: &FrontSettings) -> GatewayOptions {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = since_epoch.unwrap_or_default().as_micros();
    GatewayOptions {
        host: HostLabel::from(settings.host.as_str()),
        zone: ZoneLabel::from(settings.zone.as_str()),
        incarnation: u64::try_from(micros).unwrap_or(u64::MAX),
        peer_address: settings.listen.peers,
        caller_address: settings.listen.callers,
        first_start: settings.first_start,
        bounds: settings.gateway_bounds(),
        seed: fastrand::u64(..),
        routing: settings.routing,
        capacity: settings.limits.capacity(),
        regions: settings.regions(),
        overload: settings.overload.options(),
    }
}

async fn start(shared: &Rc<FrontShared>) -> Result<Rc<PeerSocket>, FrontError> {
    let listen = shared.settings.listen.clone();
    let address = listen.callers;
    let step = "listening for callers";
    let callers = TcpListener::bind(address).await;
    let callers = callers.context(ListenSnafu { step, address })?;
    let others = [listen.readiness, listen.directory, listen.metrics];
    let others: BTreeSet<SocketAddr> = others.into_iter().flatten().collect();
    for address in others {
        let step = "listening for directory, readiness and metrics";
        admin::listen(shared, address)
            .await
            .context(ListenSnafu { step, address })?;
    }
    let address = listen.peers;
    let step = "listening for peers";
    let peers = PeerSocket::open(address).await;
    let peers = peers.context(ListenSnafu { step, address })?;
    let step = "listening for calls of peers";
    let calls = TcpListener::bind(address).await;
    let calls = calls.context(ListenSnafu { step, address })?;
    let seeds = shared.settings.seeds.iter().map(|seed| PeerContact {
        address: SocketAddr::new(seed.ip(), listen.peers.port()),
        zone: None,
        processor_millis: 0,
    });
    shared.step(GatewayEvent::SeedsRead(seeds.collect()));
    log::info!(
        "event=started host={} zone={} callers={} peers={} first_start={}",
        shared.settings.host,
        shared.settings.zone,
        listen.callers,
        listen.peers,
        shared.settings.first_start
    );
    shared.spawn(accept(Rc::clone(shared), callers));
    shared.spawn(serve_calls(Rc::clone(shared), calls));
    let sources = |table| TableSources {
        peers: Rc::clone(&peers),
        pushes: shared.pushed_rows(table),
    };
    let from = sources(SharedTable::Declared);
    shared.spawn(TableReader::new(Rc::clone(shared), StoreTable::Declared, from).run());
    let from = sources(SharedTable::Upstreams);
    shared.spawn(TableReader::new(Rc::clone(shared), StoreTable::Upstreams, from).run());
    shared.spawn(maintain_membership(Rc::clone(shared), Rc::clone(&peers)));
    shared.spawn(Rc::clone(&peers).receive(Rc::clone(shared)));
    shared.spawn(Rc::clone(&peers).run_gossip(Rc::clone(shared)));
    shared.spawn(Rc::clone(&peers).run_heartbeats(Rc::clone(shared)));
    shared.spawn(measure_load(Rc::clone(shared)));
    shared.spawn(tick(Rc::clone(shared)));
    shared.spawn(flush(Rc::clone(shared)));
    Ok(peers)
}

/// Delays the first accepted connection until the store was read.
///
/// After all daemons were killed, every caller reconnects at once, and the first reads take some
/// milliseconds. Callers accepted before them would be refused, although the daemon could serve
/// them a moment later. The wait is bounded because the store may be unavailable.
async fn wait_for_first_reads(shared: &FrontShared) {
    let started_at = shared.clock.now();
    while !shared.gateway.borrow().is_ready(shared.clock.now()) {
        if shared.clock.now().since(started_at) >= FIRST_READS_TIMEOUT {
            return;
        }
        Timer::after(FIRST_READS_POLL_INTERVAL).await;
    }
}

async fn accept(shared: Rc<FrontShared>, listener: TcpListener) {
    wait_for_first_reads(&shared).await;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => shared.spawn(caller::serve(Rc::clone(&shared), stream)),
            Err(error) => {
                log::warn!("event=accept-failed error={error:?}");
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn tick(shared: Rc<FrontShared>) {
    loop {
        shared.step(GatewayEvent::Tick);
        let waiting = shared.gateway.borrow().waiting_requests();
        let pause = if waiting > 0 {
            BUSY_TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
        };
        Timer::after(pause).await;
    }
}

async fn flush(shared: Rc<FrontShared>) {
    loop {
        Timer::after(LOG_FLUSH_INTERVAL).await;
        shared.log.flush();
        shared.pool.sweep();
    }
}
