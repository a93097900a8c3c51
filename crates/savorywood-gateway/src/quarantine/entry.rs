//! One request under which upstreams crashed.

use super::{QUARANTINE_CRASHES, crash_history::CrashHistory, report::ReportScope};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time after the last crash after which a request in quarantine may be tried once; it doubles with
/// each further crash.
const PROBE_DELAY: Duration = Duration::from_secs(60);
/// Doublings of that time at most.
const MAX_DOUBLINGS: u32 = 5;
/// Crashes under a request that is not in quarantine are forgotten after this time.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// The same for one in quarantine.
const QUARANTINE_TTL: Duration = Duration::from_secs(3_600);

/// Crashes from which a request's row is kept: with fewer, a row would be written for each request
/// that ran beside one crash.
const MIN_STORED_CRASHES: u32 = 2;

/// Row of an entry in the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RowState {
    /// None that this daemon knows of.
    #[default]
    Absent,
    /// It was there at this daemon's start.
    Read,
    /// This daemon wrote it.
    Written,
    /// This daemon removed it.
    Removed,
}

impl RowState {
    /// It is in the store.
    pub fn is_present(self) -> bool {
        match self {
            Self::Read | Self::Written => true,
            Self::Absent | Self::Removed => false,
        }
    }
}

/// When the row of an entry may be written next.
#[derive(Debug, Clone, Copy, Default)]
pub struct RowTimer {
    /// Earliest moment of the next write.
    pub due_at: MonotonicTime,
    /// Pause after it.
    pub backoff: Duration,
}

/// What is known of one request.
#[derive(Debug, Clone, Default)]
pub struct QuarantineEntry {
    /// What speaks against it.
    pub history: CrashHistory,
    /// Changed by this daemon's own observation.
    pub own_changed_at: Option<MonotonicTime>,
    /// Changed by an observation of this daemon's zone.
    pub zone_changed_at: Option<MonotonicTime>,
    /// A trial was sent, or the entry was read from the store.
    pub probed_at: MonotonicTime,
    /// Its row in the store.
    pub row: RowState,
    /// Crashes that the row names.
    pub stored_crashes: u32,
    /// When that may be written next.
    pub timer: RowTimer,
}

impl QuarantineEntry {
    /// It is refused.
    pub fn is_quarantined(&self) -> bool {
        self.history.count() >= QUARANTINE_CRASHES
    }

    /// Earliest moment of the next trial.
    pub fn probe_at(&self) -> MonotonicTime {
        let further = self.history.count().saturating_sub(QUARANTINE_CRASHES);
        let pause = PROBE_DELAY * 2u32.pow(further.min(MAX_DOUBLINGS));
        self.history.last_changed_at().max(self.probed_at) + pause
    }

    /// When something of it changed that is reported.
    pub fn changed_at(&self, scope: ReportScope) -> Option<MonotonicTime> {
        match scope {
            ReportScope::Daemon => self.own_changed_at,
            ReportScope::Zone => self.own_changed_at.max(self.zone_changed_at),
        }
    }

    /// It is too old to matter.
    pub fn is_expired(&self, now: MonotonicTime) -> bool {
        let time = if self.is_quarantined() {
            QUARANTINE_TTL
        } else {
            SUSPECT_TTL
        };
        now.since(self.history.last_changed_at().max(self.probed_at)) >= time
    }

    /// It must outlast a start of all daemons.
    pub fn needs_row(&self, now: MonotonicTime) -> bool {
        self.history.count() >= MIN_STORED_CRASHES && !self.is_expired(now)
    }

    /// Its row is missing, is to be removed, or names too few crashes.
    pub fn is_row_outdated(&self, now: MonotonicTime) -> bool {
        let needed = self.history.count().min(QUARANTINE_CRASHES);
        match (self.needs_row(now), self.row.is_present()) {
            (true, true) => self.stored_crashes < needed,
            (wanted, there) => wanted != there,
        }
    }
}
