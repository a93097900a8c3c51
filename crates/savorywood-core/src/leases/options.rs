//! Settings of the lease duty.

use savorywood_protocol::{HostIncarnation, HostName};
use std::time::Duration;

/// Term of a lease. A successor acts at the earliest a term and a quarter after the last renewal,
/// so the work of a holder that died goes on within some 20 s.
const DEFAULT_TERM: Duration = Duration::from_secs(12);

/// Settings of the lease duty.
#[derive(Debug, Clone)]
pub struct LeaseOptions {
    pub(super) host: HostName,
    pub(super) incarnation: HostIncarnation,
    pub(super) seed: u64,
    pub(super) term: Duration,
}

impl LeaseOptions {
    /// Defaults for one life of a host. `seed` must differ between lives and hosts.
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

    /// How long a holder may act after it sent a renewal: nine tenths of the term.
    pub(super) fn holder_window(&self) -> Duration {
        self.term.mul_f64(0.9)
    }

    /// How long a row must be seen unchanged before it may be taken. With the acting time this
    /// allows for one clock running a third faster than the other.
    pub(super) fn takeover_delay(&self) -> Duration {
        self.term.mul_f64(1.25)
    }

    /// Between two renewals: two may be lost before the holder must stop.
    pub(super) fn renew_interval(&self) -> Duration {
        self.term.mul_f64(0.25)
    }

    /// Between two reads of a daemon that waits for the lease.
    pub(super) fn watch_interval(&self) -> Duration {
        self.term.mul_f64(0.2)
    }
}
