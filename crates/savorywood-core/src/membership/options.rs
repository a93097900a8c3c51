//! Settings of the membership duty.

use savorywood_protocol::{HostIncarnation, HostName, RegionName, peer::membership::MemberPlace};
use std::time::Duration;

/// Who a daemon is, and the times and limits of its membership duty.
#[derive(Debug, Clone)]
pub struct MembershipOptions {
    /// Host it runs on.
    pub host: HostName,
    /// Its life; larger after a restart.
    pub incarnation: HostIncarnation,
    /// Where it stands.
    pub place: MemberPlace,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time until a probe that was not answered is tried through others.
    pub direct_timeout: Duration,
    /// Time until a probe has failed.
    pub probe_timeout: Duration,
    /// The same two times for a member of another region are longer by this.
    pub remote_allowance: Duration,
    /// Others through which a probe is tried.
    pub relays: usize,
    /// Time that a suspected member has to refute.
    pub suspicion_timeout: Duration,
    /// Members that urgent news is sent to at once by each that learns it.
    pub urgent_fanout: usize,
    /// Members of each region that talk to the other regions.
    pub bridges: usize,
    /// Time without a word from another region after which it is called unreachable.
    pub region_timeout: Duration,
    /// Time without any message after which this daemon takes itself for cut off.
    pub isolation_timeout: Duration,
    /// Time that dead members are remembered. It must outlast a cut between regions, or the
    /// other side would bring a member back that is long gone.
    pub dead_retention: Duration,
    /// Time between two tries to reach a member that is taken for dead.
    pub reconnect_interval: Duration,
    /// A gap between two ticks longer than this means that the process was paused.
    pub max_tick_gap: Duration,
}

impl MembershipOptions {
    /// Options with the usual times.
    #[must_use]
    pub fn new(host: HostName, incarnation: HostIncarnation, place: MemberPlace) -> Self {
        Self {
            host,
            incarnation,
            place,
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

    /// The same options with another seed.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Own region.
    #[must_use]
    pub fn region(&self) -> &RegionName {
        &self.place.region
    }
}
