//! One request under which upstreams crashed.

use super::{QUARANTINE_CRASHES, crash_history::CrashHistory, report::ReportScope};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time after the last crash after which a request in quarantine may be tried once; it doubles with
/// each further crash.
const TRIAL_PAUSE: Duration = Duration::from_secs(60);
/// Doublings of that time at most.
const MOST_DOUBLINGS: u32 = 5;
/// Crashes under a request that is not in quarantine are forgotten after this time.
pub const SUSPECT_TIME: Duration = Duration::from_secs(600);
/// The same for one in quarantine.
const QUARANTINE_TIME: Duration = Duration::from_secs(3_600);

/// Crashes from which a request's row is kept: with fewer, a row would be written for each request
/// that ran beside one crash.
const STORED_CRASHES: u32 = 2;

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
    pub fn is_there(self) -> bool {
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
    pub pause: Duration,
}

/// What is known of one request.
#[derive(Debug, Clone, Default)]
pub struct QuarantineEntry {
    /// What speaks against it.
    pub evidence: CrashHistory,
    /// Changed by this daemon's own observation.
    pub own_changed_at: Option<MonotonicTime>,
    /// Changed by an observation of this daemon's zone.
    pub zone_changed_at: Option<MonotonicTime>,
    /// A trial was sent, or the entry was read from the store.
    pub tried_at: MonotonicTime,
    /// Its row in the store.
    pub row: RowState,
    /// Crashes that the row names.
    pub row_crashes: u32,
    /// When that may be written next.
    pub timer: RowTimer,
}

impl QuarantineEntry {
    /// It is refused.
    pub fn is_quarantined(&self) -> bool {
        self.evidence.count() >= QUARANTINE_CRASHES
    }

    /// Earliest moment of the next trial.
    pub fn trial_at(&self) -> MonotonicTime {
        let further = self.evidence.count().saturating_sub(QUARANTINE_CRASHES);
        let pause = TRIAL_PAUSE * 2u32.pow(further.min(MOST_DOUBLINGS));
        self.evidence.newest().max(self.tried_at) + pause
    }

    /// When something of it changed that is reported.
    pub fn changed_at(&self, scope: ReportScope) -> Option<MonotonicTime> {
        match scope {
            ReportScope::Daemon => self.own_changed_at,
            ReportScope::Zone => self.own_changed_at.max(self.zone_changed_at),
        }
    }

    /// It is too old to matter.
    pub fn is_forgotten(&self, now: MonotonicTime) -> bool {
        let time = if self.is_quarantined() {
            QUARANTINE_TIME
        } else {
            SUSPECT_TIME
        };
        now.since(self.evidence.newest().max(self.tried_at)) >= time
    }

    /// It must outlast a start of all daemons.
    pub fn wants_row(&self, now: MonotonicTime) -> bool {
        self.evidence.count() >= STORED_CRASHES && !self.is_forgotten(now)
    }

    /// Its row is missing, is to be removed, or names too few crashes.
    pub fn is_row_due(&self, now: MonotonicTime) -> bool {
        let needed = self.evidence.count().min(QUARANTINE_CRASHES);
        match (self.wants_row(now), self.row.is_there()) {
            (true, true) => self.row_crashes < needed,
            (wanted, there) => wanted != there,
        }
    }
}
