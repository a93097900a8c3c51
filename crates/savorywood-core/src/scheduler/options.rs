//! Options of the scheduler, set by the embedding program.

use std::collections::BTreeSet;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Mechanism of the scheduler that a simulation can switch off to measure its effect.
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
    /// Higher tiers are dispatched first and shed last.
    Tiers,
    /// Teams of a tier share capacity in proportion to their weights.
    FairShare,
    /// Requests go to upstreams that have their prompt's prefix cached.
    Affinity,
    /// The limits of slots and batch tokens of an upstream adapt to its latency.
    AdaptiveLimit,
    /// Failing upstreams are ejected, and stalled ones get no new requests.
    Ejection,
    /// Requests that can't meet their deadline are refused at once.
    DeadlineAdmission,
    /// Output lengths are predicted by team as well as by route.
    TeamCosts,
}

/// Options of the scheduler.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SchedulerOptions {
    seed: u64,
    disabled: BTreeSet<SchedulerMechanism>,
}

impl SchedulerOptions {
    /// Creates options with all mechanisms enabled and this seed for all random numbers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            disabled: BTreeSet::new(),
        }
    }

    /// Returns the options with one mechanism disabled.
    #[must_use]
    pub fn without(mut self, mechanism: SchedulerMechanism) -> Self {
        self.disabled.insert(mechanism);
        self
    }

    /// Returns the seed of all random numbers.
    #[must_use]
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Whether a mechanism is enabled.
    #[must_use]
    pub fn has(&self, mechanism: SchedulerMechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
