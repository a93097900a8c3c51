//! Signals, and the planned stop.

use crate::{feeds, peers::PeerSocket, settings::FrontSettings, shared::FrontShared};
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use savorywood_gateway::GatewayEvent;
use std::{
    fs, io,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, SystemTime},
};

/// Callers that hold an old answer of the directory still come for about this long.
const MIN_DRAIN_PERIOD: Duration = Duration::from_millis(3_300);
/// The process ends this long before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How often the settings file is looked at.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(3);
/// How often open requests are counted.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Takes signals from now on.
///
/// Until then a signal ends the process: a signal of changed settings that comes while a daemon
/// starts would kill it. So this is the first thing that a process does.
///
/// # Errors
///
/// When signals can't be had.
pub fn register_signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Waits for the order to stop; settings that change meanwhile are read again.
///
/// # Errors
///
/// When signals can't be read.
pub async fn wait_for_stop(
    shared: &FrontShared,
    signals: &mut Signals,
    settings_path: &Path,
) -> io::Result<()> {
    while let Some(signal) = signals.next().await {
        match signal? {
            Signal::Hup => reload(shared, settings_path),
            _ => break,
        }
    }
    Ok(())
}

/// Settings that can't be read leave those in force. Bounds follow at once, addresses with a
/// restart only.
fn reload(shared: &FrontShared, path: &Path) {
    match FrontSettings::read(path) {
        Ok(settings) => {
            let changed = settings != shared.settings;
            log::info!("event=settings-reloaded changed={changed}");
            shared.step(GatewayEvent::BoundsRead(settings.gateway_bounds()));
        }
        Err(report) => log::error!("event=settings-faulty report={:?}", report.to_string()),
    }
}

/// Settings may change without a signal: the file's time of change is looked at now and then.
pub async fn watch_settings(shared: Rc<FrontShared>, path: PathBuf) {
    let mut known = modified_at(&path);
    loop {
        Timer::after(SETTINGS_POLL_INTERVAL).await;
        let newest = modified_at(&path);
        if newest != known {
            known = newest;
            reload(&shared, &path);
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|data| data.modified()).ok()
}

/// Stops: out of all directories at once, then every open request is answered.
pub async fn drain(shared: &Rc<FrontShared>, peers: &PeerSocket) {
    let grace = shared.settings.grace();
    let began = shared.clock.now();
    shared.stopping.set(true);
    shared.step(GatewayEvent::StopRequested { grace });
    // A lost datagram would leave this daemon in a directory: it is announced three times.
    for _ in 0..3 {
        peers.gossip(shared).await;
        Timer::after(Duration::from_millis(8)).await;
    }
    let leaver = Rc::clone(shared);
    shared.spawn(async move { feeds::deregister_member(&leaver).await });
    loop {
        let elapsed = shared.clock.now().since(began);
        let idle = shared.busy.get() == 0;
        if idle && elapsed >= MIN_DRAIN_PERIOD {
            break;
        }
        if elapsed + KILL_MARGIN >= grace {
            log::warn!("event=stop-forced open={}", shared.busy.get());
            break;
        }
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
}
