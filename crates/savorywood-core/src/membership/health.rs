//! How far a daemon may trust its own judgement (the local health of Lifeguard).
//!
//! A daemon whose host is short of processor time sends and reads late, and would take healthy
//! members for dead; one would notice it as suspicions that all come from one host. It therefore
//! waits longer the more signs it has that it is itself the slow one.

use std::time::Duration;

/// Highest score; times are stretched by one more than the score.
const MAX_SCORE: u32 = 7;

/// Score of a daemon's own health: zero is good.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// A sign that this daemon is slow: others did not even say that they failed, or it had to
    /// refute a suspicion.
    pub fn worsen(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// A sign that it is well: a probe was answered in time.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A time stretched by the score.
    #[must_use]
    pub fn stretch(&self, duration: Duration) -> Duration {
        duration * (self.score + 1)
    }
}
