//! Runs a daemon in this process until it is told to stop.

use crate::error::CommandError;
use async_executor::Executor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use savorywood_daemon::RunningDaemon;
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// How often a worker thread looks whether the process ends, when nothing wakes it.
const WORKER_LOOK: Duration = Duration::from_millis(200);

/// Runs a future beside worker threads that drive the executor's tasks.
///
/// # Errors
///
/// Those of the future.
pub fn run_with_workers<T>(
    workers: usize,
    work: impl AsyncFnOnce(Arc<Executor<'static>>) -> Result<T, CommandError>,
) -> Result<T, CommandError> {
    let executor: Arc<Executor<'static>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (1..workers)
        .map(|_| spawn_worker(Arc::clone(&executor), Arc::clone(&over)))
        .collect();
    let result = future::block_on(executor.run(work(Arc::clone(&executor))));
    over.store(true, Ordering::Relaxed);
    for thread in threads {
        if thread.join().is_err() {
            log::error!("event=worker-panicked");
        }
    }
    result
}

fn spawn_worker(executor: Arc<Executor<'static>>, over: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let until_over = async {
            while !over.load(Ordering::Relaxed) {
                Timer::after(WORKER_LOOK).await;
            }
        };
        future::block_on(executor.run(until_over));
    })
}

/// Waits for SIGTERM or SIGINT, then stops the daemon without cutting off a request. A second
/// signal, or the end of `drain`, ends it at once.
///
/// # Errors
///
/// When signals can't be waited for.
pub async fn serve_until_stopped(
    daemon: &RunningDaemon,
    drain: Duration,
) -> Result<(), CommandError> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).map_err(|error| signal_failed(&error))?;
    signals.next().await;
    log::info!("event=stop-requested drain_s={}", drain.as_secs());
    let stopped = daemon.stopped();
    daemon.stop();
    let drained = async {
        stopped.await;
        "drained"
    };
    let expired = async {
        Timer::after(drain).await;
        "drain-expired"
    };
    let insisted = async {
        signals.next().await;
        "second-signal"
    };
    let reason = future::or(drained, future::or(expired, insisted)).await;
    log::info!(
        "event=stopped reason={reason} open={}",
        daemon.open_requests()
    );
    Ok(())
}

fn signal_failed(error: &io::Error) -> CommandError {
    CommandError::Failed {
        step: "waiting for signals".to_owned(),
        reason: error.to_string(),
        remedy: "check the limits of the process".to_owned(),
    }
}
