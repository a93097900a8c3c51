//! What the shell reads of a daemon to answer callers and operators.

use super::DaemonCore;
use crate::{
    claims::ClaimCounters,
    config::ChangeList,
    discovery::{AddressQuery, AddressResponse, rank_addresses},
    scheduler::SchedulerCounters,
    snapshot::ConfigSnapshot,
};
use savorywood_protocol::{
    ConfigRevision, CoreTime, RequestRefusal,
    burn::DaemonBurn,
    resource::{ResourceDocument, ResourceSpec},
};
use strum::{Display, EnumIter, IntoStaticStr};

/// Why a daemon takes no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NotReadyReason {
    /// It begins, and has not read the configuration.
    NoConfiguration,
    /// It can't confirm that its configuration is current.
    ConfigStale,
    /// It is stopping.
    Stopping,
}

impl DaemonCore {
    /// Whether new work is taken.
    ///
    /// # Errors
    ///
    /// Says why not.
    pub fn readiness(&self, now: CoreTime) -> Result<(), NotReadyReason> {
        if self.stop.is_stopping() {
            return Err(NotReadyReason::Stopping);
        }
        if !self.config.is_ready() {
            return Err(NotReadyReason::NoConfiguration);
        }
        if !self.config.is_current(now) {
            return Err(NotReadyReason::ConfigStale);
        }
        Ok(())
    }

    /// A resource with what the system says of it now.
    #[must_use]
    pub fn with_status(&self, document: &ResourceDocument) -> ResourceDocument {
        let key = document.key();
        let mut status = self.config.status_of(&key, self.membership.view());
        if let (ResourceSpec::Move(_), Some(status)) = (&document.spec, &mut status)
            && let Ok(name) = key.name.parse()
        {
            self.add_move_status(&name, status);
        }
        ResourceDocument {
            status,
            ..document.clone()
        }
    }

    /// The whole configuration for another daemon; `None` until it was read whole.
    #[must_use]
    pub fn snapshot(&self) -> Option<ConfigSnapshot> {
        self.config.snapshot()
    }

    /// Changes after a revision, for operators that watch.
    #[must_use]
    pub fn changes_since(&self, revision: ConfigRevision) -> ChangeList {
        self.config.changes_since(revision)
    }

    /// Addresses for a caller.
    ///
    /// # Errors
    ///
    /// When the service is unknown or no daemon takes work.
    pub fn addresses(&self, query: &AddressQuery<'_>) -> Result<AddressResponse, RequestRefusal> {
        rank_addresses(
            query,
            self.membership.view(),
            self.config.view(),
            &self.options.zone,
            &self.discovery,
        )
    }

    /// What the scheduler counted.
    #[must_use]
    pub fn scheduler_counters(&self) -> &SchedulerCounters {
        self.scheduler.counters()
    }

    /// What the claim duty counted.
    #[must_use]
    pub fn claim_counters(&self) -> ClaimCounters {
        self.claims.counters()
    }

    /// Counts of met and missed objectives.
    #[must_use]
    pub fn burn(&self, now: CoreTime) -> DaemonBurn {
        let observed = now.monotonic.since(self.started_at).as_millis();
        DaemonBurn {
            host: self.options.host.clone(),
            observed_ms: u64::try_from(observed).unwrap_or(u64::MAX),
            untracked: self.burn.untracked(),
            samples: self.burn.windows(now.monotonic),
        }
    }
}
