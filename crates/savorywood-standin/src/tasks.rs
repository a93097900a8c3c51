//! Tasks that end when their server is dropped.

use async_executor::{Executor, Task};
use std::{
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Tasks at least before finished ones are looked for.
const MIN_SWEEP: usize = 64;

/// Tasks of one server on a shared executor. Dropping the group cancels them all.
///
/// Tasks hold the group weakly, else they would keep each other alive after the server.
#[derive(Debug)]
pub(crate) struct TaskGroup {
    executor: Arc<Executor<'static>>,
    tasks: Mutex<Vec<Task<()>>>,
}

impl TaskGroup {
    pub(crate) fn new(executor: &Arc<Executor<'static>>) -> Arc<Self> {
        Arc::new(Self {
            executor: Arc::clone(executor),
            tasks: Mutex::default(),
        })
    }

    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let task = self.executor.spawn(future);
        let mut tasks = lock(&self.tasks);
        // Finished connections would pile up over a long run; a sweep whenever the list is full
        // keeps it at most twice as long as the live ones.
        if tasks.len() >= MIN_SWEEP && tasks.len() == tasks.capacity() {
            tasks.retain(|task| !task.is_finished());
        }
        tasks.push(task);
    }
}

/// Locks a mutex whose data stays valid when a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
