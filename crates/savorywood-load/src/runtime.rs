//! A few executor threads for the length of a run.

use async_executor::Executor;
use async_lock::Barrier;
use futures_lite::future;
use std::{sync::Arc, thread};

/// Threads that generate load, beside the one that steers it.
const THREADS: usize = 3;

/// Runs a future with an executor that several threads drive.
pub fn run<T>(work: impl AsyncFnOnce(Arc<Executor<'static>>) -> T) -> T {
    let executor: Arc<Executor<'static>> = Arc::default();
    let end = Arc::new(Barrier::new(THREADS + 1));
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let executor = Arc::clone(&executor);
            let end = Arc::clone(&end);
            thread::spawn(move || {
                future::block_on(executor.run(end.wait()));
            })
        })
        .collect();
    let result = future::block_on(executor.run(work(Arc::clone(&executor))));
    future::block_on(end.wait());
    for thread in threads {
        // A thread that panicked has printed why.
        let _ = thread.join();
    }
    result
}
