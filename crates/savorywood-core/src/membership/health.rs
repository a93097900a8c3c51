//! Local health score that scales probe timeouts (Lifeguard).
//!
//! A daemon on a host short of CPU time sends and receives late and would declare healthy members
//! dead, which shows as suspicions that all come from one host. It therefore uses longer timeouts
//! the more evidence it has that it is the slow one.

use std::time::Duration;

/// Maximum score; durations are multiplied by the score plus one.
const MAX_SCORE: u32 = 7;

/// Health score of this daemon; zero is healthy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Records evidence that this daemon is slow: relays did not send negative acknowledgements, or
    /// it had to refute a suspicion.
    pub fn worsen(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Records evidence that this daemon is healthy: a probe was acknowledged in time.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Scales a duration by the score.
    #[must_use]
    pub fn stretch(&self, duration: Duration) -> Duration {
        duration * (self.score + 1)
    }
}
