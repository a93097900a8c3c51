//! Settings of the credit duty.

use savorywood_protocol::HostName;
use std::time::Duration;

/// Who a daemon is, and the times and limits of its credit duty.
#[derive(Debug, Clone)]
pub struct CreditOptions {
    /// Host it runs on.
    pub host: HostName,
    /// Time between two rounds of demands, and of grants.
    pub round_interval: Duration,
    /// Least time between two rounds when something is urgent.
    pub urgent_round_interval: Duration,
    /// Time that an arbiter listens before its first grants.
    pub collection_window: Duration,
    /// Time that a grant is good for after it was received.
    pub term: Duration,
    /// Time without a queue anywhere after which an upstream is no longer contended.
    pub idle_timeout: Duration,
    /// Time between two surveys of who else uses a contended upstream, among the daemons of
    /// its zone.
    pub survey_interval: Duration,
    /// One survey in so many asks the whole region.
    pub surveys_per_region_survey: u32,
    /// Time that a shed waits for an arbiter that has not answered at all.
    pub arbiter_timeout: Duration,
    /// Time that a shed waits at most while the floor rises from the bottom.
    pub max_shed_wait: Duration,
    /// Time that a new floor takes to reach all daemons.
    pub propagation_delay: Duration,
    /// Time that a floor stays up after the last daemon that was about to shed.
    pub floor_hold: Duration,
    /// Bytes a second that demands may take, and as many that grants may. Rounds become longer
    /// when there is more to say.
    pub bytes_per_second: u32,
}

impl CreditOptions {
    /// Options with the usual times.
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

    /// Time that so many bytes take at the rate that is allowed.
    #[must_use]
    pub fn send_duration(&self, bytes: usize) -> Duration {
        let micros = bytes as u64 * 1_000_000 / u64::from(self.bytes_per_second.max(1));
        Duration::from_micros(micros)
    }
}
