//! Who calls the platform, and how many calls all daemons together may make.
//!
//! The platform gives several hundred writes and about two thousand reads a second. The sums of
//! the figures here are 400 writes and 1,600 reads, which leaves a fifth of the reads to others.

use strum::{Display, EnumCount, EnumIter, IntoStaticStr};

/// A duty that calls the platform.
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
    EnumCount,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum PlatformDuty {
    /// Accepted configuration.
    Config,
    /// Terms of single holders.
    Leases,
    /// Moves of traffic between versions.
    Moves,
    /// Orders to engines.
    Orders,
    /// Claims of idempotency keys.
    Claims,
    /// Host list.
    Hosts,
    /// Object store.
    Objects,
    /// Weight store.
    Weights,
}

/// A service of the platform. Each may fail by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PlatformService {
    /// The transactional table.
    Table,
    /// Objects and weights.
    Objects,
    /// The list of hosts.
    HostList,
}

/// Whether a call only reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// Changes nothing; may be tried again.
    Read,
    /// Changes something; its answer may be lost after it took effect.
    Write,
}

/// Calls that a duty may make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DutyRate {
    /// Calls a second over all daemons.
    pub per_second: f64,
    /// Calls at once after a pause, by one daemon.
    pub burst: f64,
    /// Whether the rate is split evenly over the daemons. Duties with a single holder are not
    /// split: the holder makes nearly all of their calls.
    pub split: bool,
}

impl PlatformDuty {
    /// What this duty may do over all daemons.
    #[must_use]
    pub fn rate(self, kind: CallKind) -> DutyRate {
        let split = |per_second, burst| DutyRate {
            per_second,
            burst,
            split: true,
        };
        let held = |per_second, burst| DutyRate {
            per_second,
            burst,
            split: false,
        };
        match (self, kind) {
            (Self::Config, CallKind::Read) => split(400.0, 40.0),
            (Self::Config, CallKind::Write) => held(60.0, 60.0),
            (Self::Leases, CallKind::Read) => held(50.0, 10.0),
            (Self::Leases | Self::Moves | Self::Orders, CallKind::Write) => held(20.0, 10.0),
            (Self::Moves, CallKind::Read) => split(300.0, 10.0),
            (Self::Orders, CallKind::Read) => held(40.0, 10.0),
            (Self::Claims, CallKind::Read) => split(500.0, 20.0),
            (Self::Claims, CallKind::Write) => split(250.0, 20.0),
            (Self::Hosts, CallKind::Read) => split(150.0, 5.0),
            (Self::Hosts | Self::Weights, CallKind::Write) => held(0.0, 0.0),
            (Self::Objects, CallKind::Read) => split(150.0, 10.0),
            (Self::Objects, CallKind::Write) => split(30.0, 10.0),
            (Self::Weights, CallKind::Read) => held(10.0, 4.0),
        }
    }
}
