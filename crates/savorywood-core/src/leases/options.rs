//! Options of the lease duty.

use savorywood_protocol::{HostIncarnation, HostName};
use std::time::Duration;

/// Term of a lease. A successor acquires the lease at the earliest a term and a quarter after the
/// last renewal, so work resumes within about 20 s after the holder fails.
const DEFAULT_TERM: Duration = Duration::from_secs(12);

/// Identity of the daemon, and the lease term.
#[derive(Debug, Clone)]
pub struct LeaseOptions {
    pub(super) host: HostName,
    pub(super) incarnation: HostIncarnation,
    pub(super) seed: u64,
    pub(super) term: Duration,
}

impl LeaseOptions {
    /// Creates options for one incarnation of a host. `seed` must differ between incarnations and
    /// between hosts.
    #[must_use]
    pub fn new(host: HostName, incarnation: HostIncarnation, seed: u64) -> Self {
        Self {
            host,
            incarnation,
            seed,
            term: DEFAULT_TERM,
        }
    }

    /// Sets the term.
    #[must_use]
    pub fn term(self, term: Duration) -> Self {
        Self { term, ..self }
    }

    /// How long a holder may act after it sent a renewal.
    pub(super) fn holder_window(&self) -> Duration {
        self.term.mul_f64(0.9)
    }

    /// How long a row must be unchanged before the lease may be acquired. Together with
    /// `holder_window`, this tolerates a clock that runs a third faster than the other.
    pub(super) fn takeover_delay(&self) -> Duration {
        self.term.mul_f64(1.25)
    }

    /// Interval between renewals. Two may be lost before the holder must stop.
    pub(super) fn renew_interval(&self) -> Duration {
        self.term.mul_f64(0.25)
    }

    /// Interval between the reads of a daemon that contends for the lease.
    pub(super) fn watch_interval(&self) -> Duration {
        self.term.mul_f64(0.2)
    }
}
