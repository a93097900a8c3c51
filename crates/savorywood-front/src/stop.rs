//! Signal handling and graceful shutdown.

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

/// Interval at which the modification time of the settings file is checked.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which the number of open requests is checked.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Registers for signals.
///
/// This must be the first action of the process: without a handler, a signal that announces changed
/// settings would end a daemon that is starting.
///
/// # Errors
///
/// Returns an error when the signals can't be registered.
pub fn register_signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Waits for the order to stop, and reloads the settings on each hang-up signal.
///
/// # Errors
///
/// Returns an error when signals can't be read.
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

/// Reads the settings again. Bounds apply at once, addresses only after a restart. Invalid settings
/// leave the current ones in force.
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

/// Reloads the settings when the modification time of their file changes, since a change may come
/// without a signal.
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

/// Shuts down gracefully: leaves all directories at once, then waits until all open requests are
/// answered.
pub async fn drain(shared: &Rc<FrontShared>, peers: &PeerSocket) {
    shared.stopping.set(true);
    shared.step(GatewayEvent::StopRequested {
        grace: shared.settings.grace(),
    });
    let schedule = shared.gateway.borrow().stop_schedule();
    // The announcement is sent three times: if it were lost, the directories of other daemons would
    // still list this one.
    for _ in 0..3 {
        peers.gossip(shared).await;
        Timer::after(Duration::from_millis(8)).await;
    }
    let leaver = Rc::clone(shared);
    shared.spawn(async move { feeds::deregister_member(&leaver).await });
    let Some(schedule) = schedule else { return };
    let mut is_forced = false;
    loop {
        let now = shared.clock.now();
        let idle = shared.active_requests.get() == 0;
        if idle && now >= schedule.arrivals_until() {
            break;
        }
        if !is_forced && now >= schedule.answers_at() {
            is_forced = true;
            shared.step(GatewayEvent::StopForced);
        }
        if now >= schedule.exits_at() {
            log::warn!("event=stop-forced open={}", shared.active_requests.get());
            break;
        }
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
}
