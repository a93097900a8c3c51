//! Gossip about crashes of upstreams under requests.

use super::{CrashRecord, QuarantineTable, RequestFingerprint, entry::QuarantineEntry};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, ops::Bound, time::Duration};

/// Maximum number of changed entries in one message, so that it fits into one datagram.
const MAX_REPORTS: usize = 24;
/// Number of gossip rounds in which a change is reported, as messages may be lost.
const REPORT_ROUNDS: u32 = 4;
/// Number of quarantined requests that each message reports regardless of changes: a daemon that
/// was partitioned or has restarted receives all of them within a few rounds.
const REPEATED_REPORTS: usize = 2;

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
    /// Returns the reports for one round of gossip. If not all changes fit, requests with more
    /// crashes take precedence.
    pub fn reports(
        &mut self,
        now: MonotonicTime,
        scope: ReportScope,
        round: Duration,
    ) -> Vec<CrashReport> {
        let window = round.saturating_mul(REPORT_ROUNDS);
        let is_changed = |entry: &QuarantineEntry| {
            let changed_at = entry.changed_at(scope);
            changed_at.is_some_and(|at| now.since(at) < window)
        };
        let entries = self.entries.iter();
        let mut changed: Vec<_> = entries.filter(|(_, entry)| is_changed(entry)).collect();
        changed.sort_by_key(|(_, entry)| {
            Reverse((entry.history.count(), entry.history.last_changed_at()))
        });
        let mut reports: Vec<CrashReport> = changed
            .into_iter()
            .take(MAX_REPORTS)
            .map(|(fingerprint, entry)| CrashReport::new(now, *fingerprint, entry))
            .collect();
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
