//! Policies that are compared.

use savorywood_core::scheduler::{SchedulerMechanism, SchedulerOptions};
use std::fmt;
use strum::IntoEnumIterator;

/// One way to place requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// Any engine, at once.
    Random,
    /// Each engine in turn, at once.
    RoundRobin,
    /// The engine with the fewest requests of this daemon, at once.
    LeastOutstanding,
    /// Queues at the daemons, first come first served, fixed seats, fewest requests first.
    Fifo,
    /// One queue that knows every length, speed and cache.
    Central,
    /// The scheduler.
    Ours,
    /// The scheduler with one mechanism off.
    Without(SchedulerMechanism),
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Random => f.pad("random"),
            Self::RoundRobin => f.pad("round robin"),
            Self::LeastOutstanding => f.pad("least outstanding"),
            Self::Fifo => f.pad("FIFO without tiers"),
            Self::Central => f.pad("central, all-knowing"),
            Self::Ours => f.pad("ours"),
            Self::Without(mechanism) => f.pad(&format!("without {mechanism}")),
        }
    }
}

impl PolicyKind {
    /// All policies, baselines first.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let mut policies = vec![
            Self::Random,
            Self::RoundRobin,
            Self::LeastOutstanding,
            Self::Fifo,
            Self::Central,
            Self::Ours,
        ];
        policies.extend(SchedulerMechanism::iter().map(Self::Without));
        policies
    }

    /// Options of the scheduler under this policy, if it runs one.
    #[must_use]
    pub fn scheduler_options(self, seed: u64) -> Option<SchedulerOptions> {
        let options = SchedulerOptions::new(seed);
        match self {
            Self::Random | Self::RoundRobin | Self::LeastOutstanding | Self::Central => None,
            Self::Ours => Some(options),
            Self::Without(mechanism) => Some(options.without(mechanism)),
            Self::Fifo => {
                let all = SchedulerMechanism::iter();
                Some(all.fold(options, SchedulerOptions::without))
            }
        }
    }
}
