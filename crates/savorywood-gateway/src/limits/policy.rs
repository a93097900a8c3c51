//! Variants of retry scheduling, compared by the same tests.

use super::ReturnPreference;

/// What a refused caller receives if no return time within its limits has capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum WhenFull {
    /// No time: a caller that returned would take the place of one that was promised it.
    #[default]
    NoTime,
    /// Its latest time, without a reservation.
    Latest,
    /// A time at which the response can still be in time, without a reservation.
    InTime,
}

/// Which of the free times a caller receives that was refused during an outage of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OutageOrder {
    /// The latest free time, at which the outage is most likely to have ended.
    LatestFirst,
    /// The earliest free time.
    EarliestFirst,
    /// A random time, whatever was promised before.
    Uniform,
    /// A random time at which the response can still be in time, whatever was promised before. A
    /// late response is worth a tenth to three tenths, and takes a slot from one in time.
    #[default]
    InTime,
}

impl OutageOrder {
    pub(crate) fn preference(self) -> ReturnPreference {
        match self {
            Self::LatestFirst => ReturnPreference::Latest,
            Self::EarliestFirst | Self::Uniform | Self::InTime => ReturnPreference::Earliest,
        }
    }
}

/// Rules of retry scheduling.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnPolicy {
    /// Response to callers for whom no time has capacity.
    pub when_full: WhenFull,
    /// Times during an outage of the store.
    pub outage: OutageOrder,
    /// New requests of a team leave the units that were promised to returning ones.
    pub holds_units: bool,
    /// Returning requests are recognised, and queued by the objective of their first attempt.
    pub recognises_returns: bool,
}

impl Default for ReturnPolicy {
    fn default() -> Self {
        Self {
            when_full: WhenFull::NoTime,
            outage: OutageOrder::InTime,
            holds_units: true,
            recognises_returns: true,
        }
    }
}
