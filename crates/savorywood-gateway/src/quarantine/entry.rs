//! Quarantine entry of one fingerprint.

use super::{
    QUARANTINE_CRASHES,
    crash_history::CrashHistory,
    report::{ReportProgress, ReportScope},
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time after the last crash until a quarantined request may be sent as a probe; doubles with each
/// further crash.
const PROBE_DELAY: Duration = Duration::from_secs(60);
/// Maximum number of times that this delay is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// Lifetime of an entry, from its last crash or probe. Crashes may be far apart; if there are many,
/// entries are evicted before.
const ENTRY_TTL: Duration = Duration::from_secs(24 * 3_600);
/// Time between two probes by requests that may be sound.
const EXPLAINED_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Crashes under probes after which no further probe is sent.
pub const MAX_PROBE_CRASHES: usize = 2;

/// Number of crashes from which the entry is stored. With fewer, each concurrent request of one
/// crash would cause a write.
const MIN_STORED_CRASHES: u32 = 2;

/// State of an entry's row in the store, as far as this daemon has observed it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RowState {
    /// No row is known.
    #[default]
    Absent,
    /// The row was read from the store.
    Read,
    /// This daemon wrote the row.
    Written,
    /// This daemon removed the row.
    Removed,
}

impl RowState {
    /// Returns true if the store holds the row.
    pub fn is_present(self) -> bool {
        match self {
            Self::Read | Self::Written => true,
            Self::Absent | Self::Removed => false,
        }
    }
}

/// Schedule for writing the row of an entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct WriteSchedule {
    /// Earliest time of the next write.
    pub due_at: MonotonicTime,
    /// Delay after that write, which doubles with each write that is not accepted.
    pub backoff: Duration,
}

/// State of one fingerprint with recorded crashes.
#[derive(Debug, Clone, Default)]
pub struct QuarantineEntry {
    /// Crashes and the last complete response.
    pub history: CrashHistory,
    /// Time of the last change by an observation of this daemon.
    pub own_changed_at: Option<MonotonicTime>,
    /// Time of the last change by an observation of another daemon in this zone.
    pub zone_changed_at: Option<MonotonicTime>,
    /// Reports of the last change, by scope.
    pub own_reports: ReportProgress,
    /// The same for digests of the zone.
    pub zone_reports: ReportProgress,
    /// Time at which the last probe was sent, or the entry was read from the store.
    pub probed_at: MonotonicTime,
    /// State of the row in the store.
    pub row: RowState,
    /// Number of crashes that the row holds.
    pub stored_crashes: u32,
    /// Schedule of the next write of the row.
    pub schedule: WriteSchedule,
}

impl QuarantineEntry {
    /// Returns true if the request is refused.
    pub fn is_quarantined(&self) -> bool {
        self.history.count() >= QUARANTINE_CRASHES
    }

    /// Returns the earliest time of the next probe; `None` if no further one is sent.
    pub fn probe_at(&self) -> Option<MonotonicTime> {
        if self.history.probe_crashes() >= MAX_PROBE_CRASHES {
            return None;
        }
        let excess = self.history.count().saturating_sub(QUARANTINE_CRASHES);
        let delay = PROBE_DELAY * 2u32.pow(excess.min(MAX_DOUBLINGS));
        Some(self.history.last_changed_at().max(self.probed_at) + delay)
    }

    /// Returns whether a request may be sent as a probe for which another fingerprint, which it does
    /// not have, explains the quarantine of this one.
    pub fn allows_explained_probe(&self, now: MonotonicTime) -> bool {
        now >= self.probed_at + EXPLAINED_PROBE_INTERVAL
    }

    /// Returns the time at which the entry's lifetime ends.
    pub fn expires_at(&self) -> MonotonicTime {
        self.history.last_changed_at().max(self.probed_at) + ENTRY_TTL
    }

    /// Returns the reports of the last change in the given scope.
    pub fn progress(&self, scope: ReportScope) -> ReportProgress {
        match scope {
            ReportScope::Daemon => self.own_reports,
            ReportScope::Zone => self.zone_reports,
        }
    }

    /// Returns the reports of the last change in the given scope, to record another one.
    pub fn progress_mut(&mut self, scope: ReportScope) -> &mut ReportProgress {
        match scope {
            ReportScope::Daemon => &mut self.own_reports,
            ReportScope::Zone => &mut self.zone_reports,
        }
    }

    /// Returns the time of the last change that is reported in the given scope.
    pub fn changed_at(&self, scope: ReportScope) -> Option<MonotonicTime> {
        match scope {
            ReportScope::Daemon => self.own_changed_at,
            ReportScope::Zone => self.own_changed_at.max(self.zone_changed_at),
        }
    }

    /// Returns true if the entry's lifetime has ended.
    pub fn is_expired(&self, now: MonotonicTime) -> bool {
        now >= self.expires_at()
    }

    /// Returns true if the entry has to survive a restart of all daemons.
    pub fn needs_row(&self, now: MonotonicTime) -> bool {
        self.history.count() >= MIN_STORED_CRASHES && !self.is_expired(now)
    }

    /// Returns true if the row has to be written or removed: it is missing, no longer needed, or
    /// holds too few crashes.
    pub fn is_row_outdated(&self, now: MonotonicTime) -> bool {
        let needed = self.history.stored_count();
        match (self.needs_row(now), self.row.is_present()) {
            (true, true) => self.stored_crashes < needed,
            (required, present) => required != present,
        }
    }
}
