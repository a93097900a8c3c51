//! Reading what changed in the table: when, and page by page.
//!
//! All daemons together may make [`POLL_READS_PER_SECOND`] reads a second, so the period grows
//! with their number: 1 s up to 125 daemons, 2.8 s for 350. Even without any gossip each daemon
//! then has a change within the 4 s that are allowed.

use crate::config::row::CONFIG_PREFIX;
use savorywood_protocol::{
    MonotonicTime,
    table::{CommitRevision, TableRequest, TableRow},
};
use std::time::Duration;

/// Reads a second that polling may cost over all daemons: a sixteenth of the 2,000 that the
/// table gives to all duties.
pub const POLL_READS_PER_SECOND: usize = 125;

/// Shortest period of polling.
pub const MIN_POLL_PERIOD: Duration = Duration::from_secs(1);

/// Longest period of polling. Reached with 1,250 daemons.
pub const MAX_POLL_PERIOD: Duration = Duration::from_secs(10);

/// Rows asked for in one read.
pub const PAGE_ROWS: u32 = 1_000;

/// A read whose answer has not come for so long is given up and made anew.
const SCAN_TIMEOUT: Duration = Duration::from_secs(10);

/// Period of polling with so many members.
#[must_use]
pub fn poll_period(members: usize) -> Duration {
    let micros = members * 1_000_000 / POLL_READS_PER_SECOND;
    Duration::from_micros(micros as u64).clamp(MIN_POLL_PERIOD, MAX_POLL_PERIOD)
}

/// A scan under way.
#[derive(Debug)]
struct ScanProgress {
    call: u64,
    requested_at: MonotonicTime,
    rows: Vec<TableRow>,
}

/// A scan whose last page came.
#[derive(Debug)]
pub struct ScanResult {
    /// When its first page was asked for: the answer is no older.
    pub requested_at: MonotonicTime,
    /// Rows changed since the revision asked for.
    pub rows: Vec<TableRow>,
}

/// What to do after a page.
#[derive(Debug)]
pub enum PageResult {
    /// Ask for the rows after this revision.
    More(CommitRevision),
    /// All is there.
    Done(ScanResult),
}

/// Scans of the configuration's rows, one at a time.
#[derive(Debug, Default)]
pub struct TablePoll {
    current: Option<ScanProgress>,
    serial: u64,
    rescan_requested: bool,
}

impl TablePoll {
    /// Begins a scan under `call`, unless one is under way; then another follows it.
    pub fn begin(
        &mut self,
        now: MonotonicTime,
        call: u64,
        after: CommitRevision,
    ) -> Option<TableRequest> {
        if let Some(current) = &self.current
            && now.since(current.requested_at) < SCAN_TIMEOUT
        {
            self.rescan_requested = true;
            return None;
        }
        self.serial += 1;
        self.rescan_requested = false;
        self.current = Some(ScanProgress {
            call,
            requested_at: now,
            rows: Vec::new(),
        });
        Some(page_request(after))
    }

    /// Serial number of the first scan that begins from now on.
    #[must_use]
    pub fn next_serial(&self) -> u64 {
        self.serial + 1
    }

    /// Serial number of the newest scan.
    #[must_use]
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Whether `call` belongs to the scan under way. An answer to a scan that was given up
    /// belongs to none and is dropped: its rows may be older than what is in force.
    #[must_use]
    pub fn owns(&self, call: u64) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.call == call)
    }

    /// Takes one page; `call` names the read of the next one.
    pub fn add_page(&mut self, rows: Vec<TableRow>, more: bool, call: u64) -> Option<PageResult> {
        let mut current = self.current.take()?;
        current.rows.extend(rows);
        let last = current.rows.last().map(|row| row.revision);
        if let (true, Some(last)) = (more, last) {
            current.call = call;
            self.current = Some(current);
            return Some(PageResult::More(last));
        }
        Some(PageResult::Done(ScanResult {
            requested_at: current.requested_at,
            rows: current.rows,
        }))
    }

    /// The scan failed.
    pub fn fail(&mut self) {
        self.current = None;
    }

    /// Whether another scan was asked for while one was under way.
    pub fn take_rescan_request(&mut self) -> bool {
        self.current.is_none() && std::mem::take(&mut self.rescan_requested)
    }
}

/// Asks for the rows changed after a revision.
#[must_use]
pub fn page_request(after: CommitRevision) -> TableRequest {
    TableRequest::Scan {
        prefix: CONFIG_PREFIX.into(),
        after,
        limit: PAGE_ROWS,
    }
}
