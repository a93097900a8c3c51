//! Gossip about crashes of upstreams under requests.

use super::{CrashRecord, QuarantineTable, RequestFingerprint, entry::QuarantineEntry};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, ops::Bound, time::Duration};

/// Maximum number of changed entries in one message, so that it fits into one datagram.
const MAX_REPORTS: usize = 24;
/// Number of gossip rounds in which a change is reported, as messages may be lost.
const REPORT_ROUNDS: u32 = 4;
/// Number of gossip rounds after a change in which it is reported that often, if many changes wait.
const REPORT_WINDOW_ROUNDS: u32 = 12;
/// Number of quarantined requests that each message reports regardless of changes: a daemon that
/// was partitioned or has restarted receives all of them within a few rounds.
pub const REPEATED_REPORTS: usize = 2;

/// Whose observations a message reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportScope {
    /// Observations of the sender only.
    Daemon,
    /// Observations of all daemons in the sender's zone.
    Zone,
}

/// A crash as reported to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// Half of the digest of the upstream's name.
    pub upstream: u32,
    /// Number of the crash among those of this upstream under the request, from 1.
    pub number: u8,
    /// Milliseconds since the crash.
    pub age_ms: u32,
}

/// State of one request as reported to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Crashes of upstreams under the request.
    pub crashes: Vec<ReportedCrash>,
    /// Milliseconds since its last complete response; `None` if there was none.
    pub served_ms: Option<u32>,
}

/// Crash reports in a message of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashGossip {
    /// Digest of the sender's zone.
    pub zone: u64,
    /// Reported requests.
    pub reports: Vec<CrashReport>,
}

/// Reports of one entry in one scope since its last change.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportProgress {
    /// Time of the change that was reported.
    changed_at: Option<MonotonicTime>,
    /// Number of reports.
    sent: u32,
    /// Time of the last report.
    sent_at: Option<MonotonicTime>,
}

impl ReportProgress {
    /// Returns the number of reports of a change.
    fn sent(self, changed_at: Option<MonotonicTime>) -> u32 {
        if self.changed_at == changed_at {
            self.sent
        } else {
            0
        }
    }

    fn record(&mut self, now: MonotonicTime, changed_at: Option<MonotonicTime>) {
        self.sent = self.sent(changed_at) + 1;
        self.changed_at = changed_at;
        self.sent_at = Some(now);
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl ReportedCrash {
    /// Converts the report to a record on this daemon's clock.
    #[must_use]
    pub fn to_record(self, now: MonotonicTime) -> CrashRecord {
        CrashRecord {
            upstream: self.upstream,
            number: self.number,
            at: now - Duration::from_millis(u64::from(self.age_ms)),
        }
    }
}

impl CrashReport {
    fn new(now: MonotonicTime, fingerprint: RequestFingerprint, entry: &QuarantineEntry) -> Self {
        let history = &entry.history;
        let crashes = history.crashes().iter().map(|crash| ReportedCrash {
            upstream: crash.upstream,
            number: crash.number,
            age_ms: millis(now.since(crash.at)),
        });
        Self {
            fingerprint,
            crashes: crashes.collect(),
            served_ms: history.served_at().map(|at| millis(now.since(at))),
        }
    }

    /// Returns the time of the last complete response on this daemon's clock.
    #[must_use]
    pub fn served_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let age = self.served_ms?;
        Some(now - Duration::from_millis(u64::from(age)))
    }
}

impl QuarantineTable {
    /// Returns the reports for one message; further messages of a round report other entries. If
    /// not all changes fit, those with more crashes take precedence, and then those that were
    /// reported least.
    pub fn reports(
        &mut self,
        now: MonotonicTime,
        scope: ReportScope,
        round: Duration,
    ) -> Vec<CrashReport> {
        let window = round.saturating_mul(REPORT_WINDOW_ROUNDS);
        let is_due = |entry: &QuarantineEntry| {
            let changed_at = entry.changed_at(scope);
            let progress = entry.progress(scope);
            changed_at.is_some_and(|at| now.since(at) < window)
                && progress.sent(changed_at) < REPORT_ROUNDS
                && progress.sent_at != Some(now)
        };
        let entries = self.entries.iter_mut();
        let mut due: Vec<_> = entries.filter(|(_, entry)| is_due(entry)).collect();
        due.sort_by_key(|(_, entry)| {
            let sent = entry.progress(scope).sent(entry.changed_at(scope));
            let last_changed_at = entry.history.last_changed_at();
            (
                Reverse(entry.history.count()),
                sent,
                Reverse(last_changed_at),
            )
        });
        let mut reports = Vec::new();
        for (fingerprint, entry) in due.into_iter().take(MAX_REPORTS) {
            let changed_at = entry.changed_at(scope);
            entry.progress_mut(scope).record(now, changed_at);
            reports.push(CrashReport::new(now, *fingerprint, entry));
        }
        for _ in 0..REPEATED_REPORTS {
            let Some(fingerprint) = self.next_repeated() else {
                break;
            };
            if reports
                .iter()
                .any(|report| report.fingerprint == fingerprint)
            {
                continue;
            }
            let entry = self.entries.get(&fingerprint);
            reports.extend(entry.map(|entry| CrashReport::new(now, fingerprint, entry)));
        }
        reports
    }

    /// Returns the next quarantined request to be reported without a change, in round-robin order.
    fn next_repeated(&mut self) -> Option<RequestFingerprint> {
        let next_in = |bound: Bound<RequestFingerprint>| {
            let mut later = self.entries.range((bound, Bound::Unbounded));
            let found = later.find(|(_, entry)| entry.is_quarantined());
            found.map(|(fingerprint, _)| *fingerprint)
        };
        let after = self.last_repeated.map_or(Bound::Unbounded, Bound::Excluded);
        let next = next_in(after).or_else(|| next_in(Bound::Unbounded));
        self.last_repeated = next;
        next
    }
}
