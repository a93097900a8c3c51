//! Requests that run beside one that crashes upstreams.
#![allow(dead_code, reason = "each test file uses a part of it")]

use crate::{
    callers::SeededRandom,
    crashes::{CrashEnvironment, RequestEnd, RequestName},
};
use savorywood_gateway::RefusalReason;

/// Repeats of a request that broke.
const REPEATS: u32 = 2;
/// Rounds for which a request runs at most.
const MOST_ROUNDS: usize = 8;

/// A request that harms nobody.
pub struct Bystander {
    name: RequestName,
    path: String,
    rounds: usize,
    repeats: u32,
}

/// What became of it.
pub enum BystanderEnd {
    Open(Bystander),
    Served,
    Quarantined,
    Failed,
}

impl Bystander {
    pub fn new(
        environment: &mut CrashEnvironment,
        random: &mut SeededRandom,
        path: String,
    ) -> Self {
        let name = environment.send_sound(random.below(8), &path);
        Self {
            name,
            path,
            rounds: 1 + random.below(MOST_ROUNDS),
            repeats: 0,
        }
    }

    /// A round passes: it is answered, runs on, or comes again.
    pub fn advance(
        mut self,
        environment: &mut CrashEnvironment,
        random: &mut SeededRandom,
    ) -> BystanderEnd {
        match environment.ends.get(&self.name) {
            Some(RequestEnd::Served) => BystanderEnd::Served,
            Some(RequestEnd::Refused(RefusalReason::Quarantined)) => BystanderEnd::Quarantined,
            Some(RequestEnd::Refused(_)) if self.repeats < REPEATS => {
                let repeats = self.repeats + 1;
                let again = Self::new(environment, random, self.path);
                BystanderEnd::Open(Self { repeats, ..again })
            }
            Some(RequestEnd::Refused(_)) => BystanderEnd::Failed,
            None if self.rounds > 1 => {
                self.rounds -= 1;
                BystanderEnd::Open(self)
            }
            None => {
                environment.deliver(self.name);
                BystanderEnd::Open(self)
            }
        }
    }
}
