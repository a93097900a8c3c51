//! Settings of the configuration duty.

use crate::config::freshness::PeerConfirmation;
use savorywood_protocol::HostName;
use std::time::Duration;

/// How long a daemon may go on without a confirmation that its configuration is current.
///
/// Long enough for three polls at the longest period and for a switch of the table's own
/// replicas, which takes seconds, so that neither makes a daemon refuse work; short enough that a
/// daemon that is cut off stops serving an old configuration within half a minute. The price is
/// that for so long a daemon cut off from both may serve what was replaced elsewhere.
pub const DEFAULT_MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(30);

/// Settings of the configuration duty.
#[derive(Debug, Clone)]
pub struct ConfigOptions {
    pub(super) host: HostName,
    pub(super) seed: u64,
    pub(super) max_confirmation_age: Duration,
    pub(super) peer_confirmation: PeerConfirmation,
    pub(super) write_timeout: Duration,
}

impl ConfigOptions {
    /// Defaults for a host. `seed` must differ between the lives of a host and between hosts: it
    /// makes the nonces by which a writer knows its own change.
    #[must_use]
    pub fn new(host: HostName, seed: u64) -> Self {
        Self {
            host,
            seed,
            max_confirmation_age: DEFAULT_MAX_CONFIRMATION_AGE,
            peer_confirmation: PeerConfirmation::default(),
            write_timeout: Duration::from_secs(10),
        }
    }

    /// Sets how old a confirmation may be.
    #[must_use]
    pub fn max_confirmation_age(self, max_confirmation_age: Duration) -> Self {
        Self {
            max_confirmation_age,
            ..self
        }
    }

    /// Sets whose word counts while the table can't be read.
    #[must_use]
    pub fn peer_confirmation(self, peer_confirmation: PeerConfirmation) -> Self {
        Self {
            peer_confirmation,
            ..self
        }
    }

    /// Sets how long an operator waits at most for the table.
    #[must_use]
    pub fn write_timeout(self, write_timeout: Duration) -> Self {
        Self {
            write_timeout,
            ..self
        }
    }
}
