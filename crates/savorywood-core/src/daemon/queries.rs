//! Read-only queries on the daemon core, which the runtime uses to answer callers and operators.

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
    burn::DaemonBurnReport,
    resource::{ResourceDocument, ResourceSpec},
};
use strum::{Display, EnumIter, IntoStaticStr};

/// Why a daemon accepts no new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NotReadyReason {
    /// The daemon has started but has not read the configuration yet.
    NoConfiguration,
    /// The daemon can't confirm that its configuration is current.
    ConfigStale,
    /// The daemon is shutting down.
    Stopping,
}

impl DaemonCore {
    /// Checks whether the daemon accepts new requests.
    ///
    /// # Errors
    ///
    /// Returns the reason when it does not.
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

    /// Returns a resource with its current status filled in.
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

    /// Returns a snapshot of the configuration for another daemon; `None` until this daemon has
    /// read the configuration completely.
    #[must_use]
    pub fn snapshot(&self) -> Option<ConfigSnapshot> {
        self.config.snapshot()
    }

    /// Returns the changes after a revision, for operators that watch the configuration.
    #[must_use]
    pub fn changes_since(&self, revision: ConfigRevision) -> ChangeList {
        self.config.changes_since(revision)
    }

    /// Returns the daemon addresses for a caller, best first.
    ///
    /// # Errors
    ///
    /// When the service does not exist or no daemon accepts new requests.
    pub fn addresses(&self, query: &AddressQuery<'_>) -> Result<AddressResponse, RequestRefusal> {
        rank_addresses(
            query,
            self.membership.view(),
            self.config.view(),
            &self.options.zone,
            &self.discovery,
        )
    }

    /// Returns the counters of the scheduler since the daemon started.
    #[must_use]
    pub fn scheduler_counters(&self) -> &SchedulerCounters {
        self.scheduler.counters()
    }

    /// Returns the counters of the claim duty since the daemon started.
    #[must_use]
    pub fn claim_counters(&self) -> ClaimCounters {
        self.claims.counters()
    }

    /// Returns the counts of met and missed objectives, over sliding windows.
    #[must_use]
    pub fn burn(&self, now: CoreTime) -> DaemonBurnReport {
        let observed = now.monotonic.since(self.started_at).as_millis();
        DaemonBurnReport {
            host: self.options.host.clone(),
            observed_ms: u64::try_from(observed).unwrap_or(u64::MAX),
            untracked: self.burn.untracked(),
            samples: self.burn.windows(now.monotonic),
        }
    }
}
