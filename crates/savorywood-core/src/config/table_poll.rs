//! Periodic scans of the table for changed rows: their period, and their progress page by page.
//!
//! All daemons together may make [`POLL_READS_PER_SECOND`] reads per second, so the period grows
//! with their number: 1 s up to 125 daemons, 2.8 s for 350. Even if all announcements by gossip are
//! lost, each daemon then has a change in force within the required 4 s.

use crate::config::row::CONFIG_PREFIX;
use savorywood_protocol::{
    MonotonicTime,
    table::{CommitRevision, TableRequest, TableRow},
};
use std::time::Duration;

/// Reads per second that polling may make across all daemons: a sixteenth of the 2,000 that the
/// table serves for all duties.
pub const POLL_READS_PER_SECOND: usize = 125;

/// Minimum polling period.
pub const MIN_POLL_PERIOD: Duration = Duration::from_secs(1);

/// Maximum polling period. Reached with 1,250 daemons.
pub const MAX_POLL_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of rows per page of a scan.
pub const PAGE_ROWS: u32 = 1_000;

/// Time since the start of a scan after which it is abandoned and a new one may start.
const SCAN_TIMEOUT: Duration = Duration::from_secs(10);

/// Polling period of each daemon for the given number of serving members.
#[must_use]
pub fn poll_period(members: usize) -> Duration {
    let micros = members * 1_000_000 / POLL_READS_PER_SECOND;
    Duration::from_micros(micros as u64).clamp(MIN_POLL_PERIOD, MAX_POLL_PERIOD)
}

/// Scan whose last page has not been received.
#[derive(Debug)]
struct ScanProgress {
    call: u64,
    requested_at: MonotonicTime,
    rows: Vec<TableRow>,
}

/// Completed scan.
#[derive(Debug)]
pub struct ScanResult {
    /// When the first page was requested. The rows are at least as recent as this.
    pub requested_at: MonotonicTime,
    /// Rows changed after the commit revision that the scan started from.
    pub rows: Vec<TableRow>,
}

/// Next step after a page.
#[derive(Debug)]
pub enum PageResult {
    /// Request the next page: the rows changed after this commit revision.
    More(CommitRevision),
    /// The scan is complete.
    Done(ScanResult),
}

/// Scans of the configuration rows. At most one is in progress.
#[derive(Debug, Default)]
pub struct TablePoll {
    current: Option<ScanProgress>,
    serial: u64,
    rescan_requested: bool,
}

impl TablePoll {
    /// Starts a scan whose first read has the number `call`, and returns its request. If a scan is
    /// in progress and has not timed out, returns `None` and records that another scan must follow.
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

    /// When the scan in progress was requested; `None` when there is none.
    #[must_use]
    pub fn requested_at(&self) -> Option<MonotonicTime> {
        self.current.as_ref().map(|current| current.requested_at)
    }

    /// Serial number of the next scan to start.
    #[must_use]
    pub fn next_serial(&self) -> u64 {
        self.serial + 1
    }

    /// Serial number of the scan started last; 0 before the first.
    #[must_use]
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Whether `call` is the pending read of the scan in progress. The response to a read of an
    /// abandoned scan must be discarded: its rows may be older than the configuration in force.
    #[must_use]
    pub fn owns(&self, call: u64) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.call == call)
    }

    /// Adds one page to the scan in progress. `call` is the number of the read of the next page, if
    /// there is one. Returns `None` when no scan is in progress.
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

    /// Ends the scan in progress after a failed read.
    pub fn fail(&mut self) {
        self.current = None;
    }

    /// Returns whether another scan was requested while one was in progress that has since ended,
    /// and clears the request.
    pub fn take_rescan_request(&mut self) -> bool {
        self.current.is_none() && std::mem::take(&mut self.rescan_requested)
    }
}

/// Returns the request for a page of the rows changed after a commit revision.
#[must_use]
pub fn page_request(after: CommitRevision) -> TableRequest {
    TableRequest::Scan {
        prefix: CONFIG_PREFIX.into(),
        after,
        limit: PAGE_ROWS,
    }
}
