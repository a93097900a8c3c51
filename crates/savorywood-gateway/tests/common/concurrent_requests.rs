//! Harmless requests that run concurrently with one that crashes upstreams.
#![allow(dead_code, reason = "each test file uses a part of it")]

use crate::{
    callers::SeededRandom,
    crashes::{CrashEnvironment, RequestEnd, RequestId},
};
use savorywood_gateway::RefusalReason;

/// Retries by the caller after a broken attempt.
const MAX_RETRIES: u32 = 2;
/// Most rounds that a request runs.
const MAX_ROUNDS: usize = 8;

/// A harmless request and its remaining run time.
pub struct ConcurrentRequest {
    id: RequestId,
    path: String,
    /// Rounds until its response is complete.
    rounds: usize,
    retries: u32,
}

/// State of a request after a round.
pub enum ConcurrentRequestEnd {
    Open(ConcurrentRequest),
    Served,
    Quarantined,
    Failed,
}

impl ConcurrentRequest {
    pub fn new(
        environment: &mut CrashEnvironment,
        random: &mut SeededRandom,
        path: String,
    ) -> Self {
        let id = environment.send_harmless(random.below(8), &path);
        Self {
            id,
            path,
            rounds: 1 + random.below(MAX_ROUNDS),
            retries: 0,
        }
    }

    /// Advances a request by one round: it completes, runs on, or is retried after it was refused.
    pub fn advance(
        mut self,
        environment: &mut CrashEnvironment,
        random: &mut SeededRandom,
    ) -> ConcurrentRequestEnd {
        match environment.ends.get(&self.id) {
            Some(RequestEnd::Served) => ConcurrentRequestEnd::Served,
            Some(RequestEnd::Refused(RefusalReason::Quarantined)) => {
                ConcurrentRequestEnd::Quarantined
            }
            Some(RequestEnd::Refused(_)) if self.retries < MAX_RETRIES => {
                let retries = self.retries + 1;
                let retry = Self::new(environment, random, self.path);
                ConcurrentRequestEnd::Open(Self { retries, ..retry })
            }
            Some(RequestEnd::Refused(_)) => ConcurrentRequestEnd::Failed,
            None if self.rounds > 1 => {
                self.rounds -= 1;
                ConcurrentRequestEnd::Open(self)
            }
            None => {
                environment.deliver(self.id);
                ConcurrentRequestEnd::Open(self)
            }
        }
    }
}
