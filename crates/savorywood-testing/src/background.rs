//! An executor that runs beside a test.

use async_executor::Executor;
use std::{
    future,
    sync::{Arc, OnceLock},
    thread,
};

/// Threads that run the tasks of all tests of a process.
const WORKERS: usize = 2;

/// The executor of this process, run by threads of its own, so that a test may block.
#[must_use]
pub fn background_executor() -> Arc<Executor<'static>> {
    static EXECUTOR: OnceLock<Arc<Executor<'static>>> = OnceLock::new();
    Arc::clone(EXECUTOR.get_or_init(start))
}

fn start() -> Arc<Executor<'static>> {
    let executor = Arc::new(Executor::new());
    for _ in 0..WORKERS {
        let executor = Arc::clone(&executor);
        thread::spawn(move || async_io::block_on(executor.run(future::pending::<()>())));
    }
    executor
}
