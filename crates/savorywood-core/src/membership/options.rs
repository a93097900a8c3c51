//! Options of the membership duty.

use savorywood_protocol::{
    HostIncarnation, HostName, RegionName, peer::membership::MemberLocation,
};
use std::time::Duration;

/// Identity of the daemon, with the intervals and limits of its membership duty.
#[derive(Debug, Clone)]
pub struct MembershipOptions {
    /// Host that the daemon runs on.
    pub host: HostName,
    /// Incarnation of the host; increases with each restart.
    pub incarnation: HostIncarnation,
    /// Zone, region and addresses of the daemon.
    pub location: MemberLocation,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Interval between two probes.
    pub probe_interval: Duration,
    /// Time after which a probe without an acknowledgement is tried through relays.
    pub direct_timeout: Duration,
    /// Time after which a probe has failed.
    pub probe_timeout: Duration,
    /// Added to the direct timeout, and twice to the probe timeout, for a member of another region.
    pub remote_allowance: Duration,
    /// Number of relays that an indirect probe uses.
    pub relays: usize,
    /// Time that a suspected member has to refute.
    pub suspicion_timeout: Duration,
    /// Number of members of its region to which each daemon forwards an urgent update at once.
    pub urgent_fanout: usize,
    /// Number of members of each region that probe another region.
    pub bridges: usize,
    /// Time without a message from another region after which it counts as unreachable.
    pub region_timeout: Duration,
    /// Time without any message after which this daemon considers itself isolated.
    pub isolation_timeout: Duration,
    /// How long dead members are kept. Must exceed the duration of a partition between regions;
    /// otherwise the other side would add removed members again.
    pub dead_retention: Duration,
    /// Interval between attempts to reach a member that is marked dead.
    pub reconnect_interval: Duration,
    /// Maximum gap between two ticks; a longer one means that the process was paused.
    pub max_tick_gap: Duration,
}

impl MembershipOptions {
    /// Creates options with the default intervals and limits.
    #[must_use]
    pub fn new(host: HostName, incarnation: HostIncarnation, location: MemberLocation) -> Self {
        Self {
            host,
            incarnation,
            location,
            seed: 0,
            probe_interval: Duration::from_millis(500),
            direct_timeout: Duration::from_millis(150),
            probe_timeout: Duration::from_millis(700),
            remote_allowance: Duration::from_millis(300),
            relays: 3,
            suspicion_timeout: Duration::from_secs(4),
            urgent_fanout: 4,
            bridges: 3,
            region_timeout: Duration::from_secs(10),
            isolation_timeout: Duration::from_secs(2),
            dead_retention: Duration::from_secs(7_200),
            reconnect_interval: Duration::from_secs(5),
            max_tick_gap: Duration::from_secs(10),
        }
    }

    /// Sets the seed.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Region of this daemon.
    #[must_use]
    pub fn region(&self) -> &RegionName {
        &self.location.region
    }
}
