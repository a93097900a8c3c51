//! Tokens that requests hold of the memory of an upstream's engine.
//!
//! An engine crashes when the tokens of its requests exceed its memory. The sum is the cause then, and
//! none of the requests, so that such a crash does not count towards the quarantine of a request.

use crate::arrival::RequestSize;
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time after a crash by exceeded memory in which further attempts fail of the same cause: a crash ends
/// all of them, and each of the following ones finds fewer tokens.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

/// Returns the tokens that a request may hold: its prompt and its maximum output.
#[must_use]
pub fn request_tokens(size: RequestSize) -> u64 {
    u64::from(size.prompt_tokens) + u64::from(size.max_output_tokens)
}

/// Tokens in an upstream's memory, as far as this daemon knows them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamMemory {
    /// Tokens of this daemon's requests in progress.
    own_tokens: u64,
    /// Time of the last crash while the tokens exceeded the memory.
    exceeded_at: Option<MonotonicTime>,
}

impl UpstreamMemory {
    /// Returns the tokens of this daemon's requests in progress.
    #[must_use]
    pub fn own_tokens(self) -> u64 {
        self.own_tokens
    }

    /// Records a request that is sent to the upstream.
    pub fn record_dispatch(&mut self, size: RequestSize) {
        self.own_tokens = self.own_tokens.saturating_add(request_tokens(size));
    }

    /// Records that an attempt of a request ended.
    pub fn record_end(&mut self, size: RequestSize) {
        self.own_tokens = self.own_tokens.saturating_sub(request_tokens(size));
    }

    /// Returns whether a request fits beside those in progress. `others` are tokens of requests of
    /// other daemons.
    #[must_use]
    pub fn allows(self, size: RequestSize, others: u32, capacity: u64) -> bool {
        let held = self.own_tokens.saturating_add(u64::from(others));
        held.saturating_add(request_tokens(size)) <= capacity
    }

    /// Records that an attempt broke, before its end is recorded. Returns whether the tokens exceeded
    /// the memory. A request that exceeds it alone is a cause of its own.
    pub fn record_broken(
        &mut self,
        now: MonotonicTime,
        attempt: BrokenAttempt,
        others: u32,
        capacity: u64,
    ) -> bool {
        let held = self.own_tokens.saturating_add(u64::from(others));
        let is_alone = request_tokens(attempt.size) > capacity;
        if held > capacity && !is_alone {
            self.exceeded_at = Some(now);
            return true;
        }
        let follows = self
            .exceeded_at
            .is_some_and(|at| attempt.dispatched_at <= at && now.since(at) < CRASH_WINDOW);
        follows && !is_alone
    }
}

/// An attempt whose connection broke.
#[derive(Debug, Clone, Copy)]
pub struct BrokenAttempt {
    pub size: RequestSize,
    pub dispatched_at: MonotonicTime,
}
