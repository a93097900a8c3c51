//! Baselines that place each request at once and never refuse one.

use crate::policy::PolicyKind;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// State of the baselines, for all daemons.
#[derive(Debug)]
pub struct DirectRouter {
    policy: PolicyKind,
    turns: Vec<usize>,
    outstanding: Vec<Vec<u32>>,
}

impl DirectRouter {
    /// A router for this many daemons and engines.
    #[must_use]
    pub fn new(policy: PolicyKind, daemons: usize, engines: usize) -> Self {
        Self {
            policy,
            turns: (0..daemons).collect(),
            outstanding: vec![vec![0; engines]; daemons],
        }
    }

    /// Engine for a request that came to a daemon.
    pub fn place(&mut self, daemon: usize, rng: &mut ChaCha8Rng) -> usize {
        let engines = self.outstanding[daemon].len();
        let engine = match self.policy {
            PolicyKind::RoundRobin => {
                self.turns[daemon] += 1;
                self.turns[daemon] % engines
            }
            PolicyKind::LeastOutstanding => self.least(daemon, rng),
            _ => rng.random_range(0..engines),
        };
        self.outstanding[daemon][engine] += 1;
        engine
    }

    fn least(&self, daemon: usize, rng: &mut ChaCha8Rng) -> usize {
        let counts = &self.outstanding[daemon];
        let fewest = counts.iter().min().copied().unwrap_or_default();
        let equal = (0..counts.len()).filter(|engine| counts[*engine] == fewest);
        let equal: Vec<usize> = equal.collect();
        equal[rng.random_range(0..equal.len())]
    }

    /// A request of a daemon left an engine.
    pub fn release(&mut self, daemon: usize, engine: usize) {
        let count = &mut self.outstanding[daemon][engine];
        *count = count.saturating_sub(1);
    }
}
