//! Where each caller's request stands during a run.

use crate::{engine::SequenceKey, workload::CallerTask};
use savorywood_protocol::RequestId;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// Its caller has not sent it, or waits to come back.
    Away,
    /// It waits at its daemon.
    Waiting,
    /// It was sent to an engine.
    Sent {
        /// Which.
        engine: usize,
        /// Number of the attempt.
        attempt: u32,
    },
    /// It ended.
    Ended,
}

/// One caller's request and its tries.
#[derive(Debug, Clone, Copy)]
pub struct TaskRecord {
    /// What is asked.
    pub task: CallerTask,
    /// Tier.
    pub rank: usize,
    /// Daemon that the caller uses.
    pub daemon: usize,
    /// Which try of the caller this is, from zero.
    pub entry: u32,
    /// When this try arrived, in seconds.
    pub arrived_at: f64,
    /// When the answer must be whole, in seconds.
    pub deadline_at: f64,
    /// When it was sent to an engine, in seconds.
    pub sent_at: f64,
    /// When its first token came, in seconds.
    pub first_at: Option<f64>,
    /// Where it stands.
    pub state: TaskState,
    /// Whether it arrived after the warm-up and is counted.
    pub counted: bool,
}

/// Identity of a try: schedulers see each as a request of its own.
#[must_use]
pub fn request_id(task: usize, entry: u32) -> RequestId {
    RequestId((task as u128) << 32 | u128::from(entry))
}

/// Task and try of an identity.
#[must_use]
pub fn parts_of(request: RequestId, attempt: u32) -> SequenceKey {
    SequenceKey {
        task: (request.0 >> 32) as usize,
        entry: (request.0 & 0xffff_ffff) as u32,
        attempt,
    }
}
