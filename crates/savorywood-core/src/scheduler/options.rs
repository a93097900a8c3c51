//! What an embedder may set about the scheduler.

use std::collections::BTreeSet;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A part of the scheduler that an experiment may switch off to show what it is worth.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum SchedulerMechanism {
    /// Higher tiers go first and are shed last.
    Tiers,
    /// Teams of a tier share by weight.
    FairShare,
    /// Requests go where their prompt's prefix is cached.
    Affinity,
    /// Seats and tokens of an upstream follow its latency.
    AdaptiveLimit,
    /// Failing and silent upstreams get no work.
    Ejection,
    /// Work that can't meet its deadline is refused at once.
    DeadlineAdmission,
    /// Output lengths are learned by team as well as by route.
    TeamCosts,
}

/// Settings of the scheduler.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SchedulerOptions {
    seed: u64,
    disabled: BTreeSet<SchedulerMechanism>,
}

impl SchedulerOptions {
    /// All mechanisms on, with this seed of all random numbers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            disabled: BTreeSet::new(),
        }
    }

    /// The same options with one mechanism off.
    #[must_use]
    pub fn without(mut self, mechanism: SchedulerMechanism) -> Self {
        self.disabled.insert(mechanism);
        self
    }

    /// Seed of all random numbers.
    #[must_use]
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Whether a mechanism is on.
    #[must_use]
    pub fn has(&self, mechanism: SchedulerMechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
