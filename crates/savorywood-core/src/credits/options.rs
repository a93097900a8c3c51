//! Options of the credit duty.

use savorywood_protocol::HostName;
use std::time::Duration;

/// Identity of the daemon, with the intervals and limits of its credit duty.
#[derive(Debug, Clone)]
pub struct CreditOptions {
    /// Host that the daemon runs on.
    pub host: HostName,
    /// Interval between regular rounds of demands, and of grants.
    pub round_interval: Duration,
    /// Minimum interval between two urgent rounds.
    pub urgent_round_interval: Duration,
    /// How long an arbiter collects demands before its first grants.
    pub collection_window: Duration,
    /// How long a grant is valid after it is received.
    pub term: Duration,
    /// How long after the last queue an upstream stops being contended.
    pub idle_timeout: Duration,
    /// Interval between surveys for further users of a contended upstream, among the daemons of its
    /// zone.
    pub survey_interval: Duration,
    /// Every survey whose number is a multiple of this covers the whole region.
    pub surveys_per_region_survey: u32,
    /// How long a shed waits for an arbiter that has not responded at all.
    pub arbiter_timeout: Duration,
    /// Maximum time that a shed waits while the floor rises from the lowest tier.
    pub max_shed_wait: Duration,
    /// Time that a new floor takes to reach all daemons.
    pub propagation_delay: Duration,
    /// How long a floor is held after the last shed request.
    pub floor_hold: Duration,
    /// Bytes per second for demands, and as many for grants. Rounds are spaced further apart when
    /// their messages exceed it.
    pub bytes_per_second: u32,
}

impl CreditOptions {
    /// Creates options with the default intervals and limits.
    #[must_use]
    pub fn new(host: HostName) -> Self {
        Self {
            host,
            round_interval: Duration::from_millis(250),
            urgent_round_interval: Duration::from_millis(50),
            collection_window: Duration::from_millis(100),
            term: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(3),
            survey_interval: Duration::from_secs(5),
            surveys_per_region_survey: 4,
            arbiter_timeout: Duration::from_millis(400),
            max_shed_wait: Duration::from_secs(2),
            propagation_delay: Duration::from_millis(50),
            floor_hold: Duration::from_secs(1),
            bytes_per_second: 2_500,
        }
    }

    /// Time that sending `bytes` takes at the permitted rate.
    #[must_use]
    pub fn send_duration(&self, bytes: usize) -> Duration {
        let micros = bytes as u64 * 1_000_000 / u64::from(self.bytes_per_second.max(1));
        Duration::from_micros(micros)
    }
}
