//! Signals, and the planned stop.

use crate::{feeds, peers::PeerBook, settings::FrontSettings, shared::FrontShared};
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use savorywood_gateway::GatewayEvent;
use std::{io, path::Path, rc::Rc, time::Duration};

/// Callers that hold an old answer of the directory still come for about this long.
const LEAST_DRAIN: Duration = Duration::from_millis(3_300);
/// The process ends this long before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How often open requests are counted.
const LOOK_TIME: Duration = Duration::from_millis(25);

/// Waits for the order to stop; settings that change meanwhile are read again.
///
/// # Errors
///
/// When signals can't be had.
pub async fn wait_for_stop(shared: &FrontShared, settings_path: &Path) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    while let Some(signal) = signals.next().await {
        match signal? {
            Signal::Hup => reload(shared, settings_path),
            _ => break,
        }
    }
    Ok(())
}

/// Settings that can't be read leave those in force; addresses change only with a restart.
fn reload(shared: &FrontShared, path: &Path) {
    match FrontSettings::read(path) {
        Ok(settings) => {
            let changed = settings != shared.settings;
            log::info!("event=settings-reloaded changed={changed}");
        }
        Err(report) => log::error!("event=settings-faulty report={:?}", report.to_string()),
    }
}

/// Stops: out of all directories at once, then every open request is answered.
pub async fn drain(shared: &Rc<FrontShared>, peers: &PeerBook) {
    let grace = shared.settings.grace();
    let began = shared.clock.now();
    shared.stopping.set(true);
    shared.step(GatewayEvent::StopRequested { grace });
    // A lost datagram would leave this daemon in a directory: it is told three times.
    for round in 0..3 {
        peers.tell(shared, round).await;
        Timer::after(Duration::from_millis(8)).await;
    }
    let leaver = Rc::clone(shared);
    shared.spawn(async move { feeds::leave_members(&leaver).await });
    loop {
        let elapsed = shared.clock.now().since(began);
        let idle = shared.busy.get() == 0;
        if idle && elapsed >= LEAST_DRAIN {
            break;
        }
        if elapsed + KILL_MARGIN >= grace {
            log::warn!("event=stop-forced open={}", shared.busy.get());
            break;
        }
        Timer::after(LOOK_TIME).await;
    }
}
