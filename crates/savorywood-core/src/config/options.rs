//! Settings of the configuration duty.

use crate::config::freshness::PeerConfirmation;
use savorywood_protocol::HostName;
use std::time::Duration;

/// Default for how long a daemon serves without a confirmation that its configuration is current.
///
/// Covers three polls at the longest period, and a failover between the replicas of the table,
/// which takes seconds, so that neither makes a daemon refuse requests. A daemon that is
/// partitioned from the table and its peers may serve a replaced configuration for this long, and
/// no longer.
pub const DEFAULT_MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(30);

/// Settings of the configuration duty, fixed when the daemon starts.
#[derive(Debug, Clone)]
pub struct ConfigOptions {
    pub(super) host: HostName,
    pub(super) seed: u64,
    pub(super) max_confirmation_age: Duration,
    pub(super) peer_confirmation: PeerConfirmation,
    pub(super) write_timeout: Duration,
}

impl ConfigOptions {
    /// Returns the default settings for a host. `seed` must differ between hosts and between the
    /// incarnations of a host: it generates the nonces by which a writer recognises its own change.
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

    /// Sets the age of the last confirmation above which the configuration is not current.
    #[must_use]
    pub fn max_confirmation_age(self, max_confirmation_age: Duration) -> Self {
        Self {
            max_confirmation_age,
            ..self
        }
    }

    /// Sets which peers can confirm the configuration while the table can't be read.
    #[must_use]
    pub fn peer_confirmation(self, peer_confirmation: PeerConfirmation) -> Self {
        Self {
            peer_confirmation,
            ..self
        }
    }

    /// Sets how long a change is retried after it was received. The first failure after that time
    /// ends it with a refusal.
    #[must_use]
    pub fn write_timeout(self, write_timeout: Duration) -> Self {
        Self {
            write_timeout,
            ..self
        }
    }
}
