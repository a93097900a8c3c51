//! Quarantine of requests that crash upstreams: they are not sent to further upstreams.
//!
//! A request crashes each upstream that starts to execute it, and is sent again with a new request
//! id to any daemon; or a part of prompts does, and requests with it arrive that share nothing
//! else. All concurrent requests at the upstream fail as well, and so do retries of both.
//!
//! Each daemon records which upstreams crashed while executing which request, identified by its
//! fingerprints, and daemons merge their records: a set of crashes that only grows, so the order
//! and loss of messages do not matter. Requests with a fingerprint under which
//! [`QUARANTINE_CRASHES`] upstreams crashed are refused. Concurrent requests are distinguished by
//! what crashing requests never have: a complete response. One complete response clears all
//! fingerprints of its request, and excuses crashes that follow soon after.

mod crash_history;
mod entry;
mod fingerprint;
mod report;
mod row;
mod served;

pub use crash_history::CrashRecord;
pub use fingerprint::{RequestFingerprint, RequestFingerprints};
pub use report::{CrashGossip, CrashReport, REPEATED_REPORTS, ReportScope, ReportedCrash};
pub use row::{QuarantineRow, QuarantineWrite, StoredCrash};

use crate::peer::slot_key;
use entry::{QuarantineEntry, RowState, WriteSchedule};
use savorywood_protocol::MonotonicTime;
use served::ServedRequests;
use std::{collections::BTreeMap, time::Duration};

/// Number of upstream crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: u32 = 3;
/// Number of upstream crashes from which a fingerprint is the likely cause.
pub const CONFIRMED_CRASHES: u32 = 5;
/// Minimum number of crashes of a fingerprint that explains those of another one. All concurrent
/// requests of one crash have that one in common.
const MIN_EXPLAINING_CRASHES: u32 = 2;
/// Maximum number of requests with recorded crashes.
const MAX_ENTRIES: usize = 2_048;
/// If an upstream responds to a request that was sent within this time after an attempt failed
/// there, it did not crash.
const REFUTATION_WINDOW: Duration = Duration::from_millis(1_500);
/// Restart time of an upstream, at least. Requests that are sent to it within this time after a
/// failed attempt, and before it responds to any, fail because it is down.
const RESTART_WINDOW: Duration = Duration::from_secs(2);
/// A request that was sent earlier than this after the failure may have been answered before it.
const REFUTATION_MARGIN: Duration = Duration::from_millis(100);
/// Minimum age of crashes that are read from the store. Their upstreams have restarted, and
/// responses after the read do not refute them.
const STORED_CRASH_AGE: Duration = Duration::from_secs(4);
/// Time for which a failure of an upstream is kept.
const SUSPECT_UPSTREAM_TTL: Duration = Duration::from_secs(600);
/// Time in which the row of an expired entry is removed before the entry is.
const ROW_REMOVAL_PERIOD: Duration = Duration::from_secs(600);
/// Delay after the first write of a row that was not accepted.
const MIN_WRITE_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum delay between such writes.
const MAX_WRITE_BACKOFF: Duration = Duration::from_secs(8);

/// Effect of an observation on the quarantine of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// No effect.
    None,
    /// The request is refused from now on, after this number of crashes.
    Quarantined(u32),
    /// The request is no longer refused.
    Lifted,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// It may be sent.
    Clear,
    /// It is refused.
    Quarantined {
        /// Number of upstream crashes while it was executed.
        crashes: u32,
        /// Earliest time of the next probe request; `None` if no further one is sent.
        probe_at: Option<MonotonicTime>,
    },
}

impl QuarantineVerdict {
    fn stricter(self, other: Self) -> Self {
        let (
            Self::Quarantined { crashes, probe_at },
            Self::Quarantined {
                crashes: other_crashes,
                probe_at: other_probe_at,
            },
        ) = (self, other)
        else {
            return if self == Self::Clear { other } else { self };
        };
        Self::Quarantined {
            crashes: crashes.max(other_crashes),
            probe_at: probe_at
                .zip(other_probe_at)
                .map(|(one, other)| one.max(other)),
        }
    }
}

/// An attempt whose connection broke at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Digest of the upstream's name.
    pub upstream: u64,
    /// Time at which the attempt was sent.
    pub sent_at: MonotonicTime,
}

/// An upstream at which an attempt failed recently.
#[derive(Debug, Clone, Copy)]
struct SuspectUpstream {
    /// Time of the first failure.
    at: MonotonicTime,
    /// Time of a response to a request that was sent after the failure.
    responded_at: Option<MonotonicTime>,
}

impl SuspectUpstream {
    /// Returns true if an attempt that failed was sent while the upstream was down.
    fn is_down(self, sent_at: MonotonicTime, failed_at: MonotonicTime) -> bool {
        let is_within_window = failed_at.since(self.at) < RESTART_WINDOW;
        sent_at > self.at && is_within_window && self.responded_at.is_none()
    }
}

/// Crash records by request, from this daemon and its peers.
#[derive(Debug, Clone, Default)]
pub struct QuarantineTable {
    entries: BTreeMap<RequestFingerprint, QuarantineEntry>,
    upstreams: BTreeMap<u32, SuspectUpstream>,
    served: ServedRequests,
    /// Quarantined request that was reported last without a change.
    last_repeated: Option<RequestFingerprint>,
}

impl QuarantineTable {
    /// Records a failed attempt, which counts as a crash of the upstream unless that was down
    /// before or the request has recently had a complete response.
    pub fn record_failed_attempt(
        &mut self,
        now: MonotonicTime,
        attempt: FailedAttempt,
    ) -> QuarantineChange {
        let fingerprint = attempt.fingerprint;
        let upstream = slot_key(attempt.upstream);
        let known = self.upstreams.get(&upstream);
        let is_down = known.is_some_and(|known| known.is_down(attempt.sent_at, now));
        if is_down || self.served.excuses(fingerprint, now) {
            return QuarantineChange::None;
        }
        self.record_upstream_failure(now, upstream);
        let entry = self.entries.entry(fingerprint).or_default();
        let was_quarantined = entry.is_quarantined();
        if !entry.history.add(now, upstream) {
            return QuarantineChange::None;
        }
        entry.own_changed_at = Some(now);
        let crashes = entry.history.count();
        let is_new = entry.is_quarantined() && !was_quarantined;
        self.evict();
        if is_new {
            QuarantineChange::Quarantined(crashes)
        } else {
            QuarantineChange::None
        }
    }

    /// Records that attempts fail at an upstream, as observed by this daemon or a peer.
    fn record_upstream_failure(&mut self, at: MonotonicTime, upstream: u32) {
        let is_known = self.upstreams.get(&upstream).is_some_and(|known| {
            let is_running = known.responded_at.is_some_and(|responded| responded < at);
            at < known.at + RESTART_WINDOW && !is_running
        });
        if !is_known {
            let suspect = SuspectUpstream {
                at,
                responded_at: None,
            };
            self.upstreams.insert(upstream, suspect);
        }
    }

    /// Records that a request had a complete response.
    pub fn record_complete_response(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
    ) -> QuarantineChange {
        self.served.record(now, fingerprint);
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return QuarantineChange::None;
        };
        let was_quarantined = entry.is_quarantined();
        entry.history.record_served(now);
        entry.own_changed_at = Some(now);
        lifted_if(was_quarantined)
    }

    /// Records a response of an upstream to a request sent at `sent_at`. If an attempt failed there
    /// shortly before, only its connection was lost and the upstream did not crash.
    pub fn record_response(&mut self, now: MonotonicTime, upstream: u64, sent_at: MonotonicTime) {
        let upstream = slot_key(upstream);
        let Some(suspect) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        let at = suspect.at;
        let is_later = sent_at > at + REFUTATION_MARGIN && sent_at < at + REFUTATION_WINDOW;
        if suspect.responded_at.is_some() || !is_later {
            return;
        }
        suspect.responded_at = Some(now);
        for entry in self.entries.values_mut() {
            entry.history.withdraw(upstream, at);
        }
    }

    /// Returns whether a request may be sent.
    #[must_use]
    pub fn verdict(&self, fingerprint: RequestFingerprint) -> QuarantineVerdict {
        let entry = self.entries.get(&fingerprint);
        match entry.filter(|entry| entry.is_quarantined()) {
            Some(entry) => QuarantineVerdict::Quarantined {
                crashes: entry.history.count(),
                probe_at: entry.probe_at(),
            },
            None => QuarantineVerdict::Clear,
        }
    }

    /// Returns the verdict on a request with several fingerprints: the strictest of them.
    #[must_use]
    pub fn verdict_on(&self, fingerprints: &RequestFingerprints) -> QuarantineVerdict {
        let verdicts = fingerprints
            .iter()
            .map(|fingerprint| self.verdict(fingerprint));
        verdicts.fold(QuarantineVerdict::Clear, QuarantineVerdict::stricter)
    }

    /// Returns whether a quarantined fingerprint of a request would not be in quarantine without the
    /// crashes that it shares with another one, which the request does not have. Either may be the
    /// cause, and a response to this request tells which. From five on, all of its
    /// crashes must be shared.
    #[must_use]
    pub fn is_explained(
        &self,
        fingerprint: RequestFingerprint,
        request: &RequestFingerprints,
    ) -> bool {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return false;
        };
        let is_confirmed = entry.history.count() >= CONFIRMED_CRASHES;
        let (min_crashes, max_unexplained) = if is_confirmed {
            (QUARANTINE_CRASHES, 0)
        } else {
            (MIN_EXPLAINING_CRASHES, QUARANTINE_CRASHES - 1)
        };
        let mut others = self.entries.iter().filter(|(other, suspect)| {
            suspect.history.count() >= min_crashes && !request.contains(**other)
        });
        others.any(|(_, other)| entry.history.count_without(&other.history) <= max_unexplained)
    }

    /// Returns whether a request may be sent as a probe: each of its quarantined fingerprints is due
    /// for one, or explained by another fingerprint.
    #[must_use]
    pub fn allows_probe(&self, now: MonotonicTime, request: &RequestFingerprints) -> bool {
        let mut quarantined = self.quarantined(request);
        quarantined.all(|(fingerprint, entry)| {
            entry.probe_at().is_some_and(|at| now >= at)
                || (entry.allows_explained_probe(now) && self.is_explained(fingerprint, request))
        })
    }

    /// Returns the quarantined fingerprints of a request.
    fn quarantined<'a>(
        &'a self,
        request: &'a RequestFingerprints,
    ) -> impl Iterator<Item = (RequestFingerprint, &'a QuarantineEntry)> {
        let known = request
            .iter()
            .filter_map(|fingerprint| Some((fingerprint, self.entries.get(&fingerprint)?)));
        known.filter(|(_, entry)| entry.is_quarantined())
    }

    /// Returns when the quarantine of a request ends at the latest without a probe.
    #[must_use]
    pub fn expires_at(&self, fingerprints: &RequestFingerprints) -> Option<MonotonicTime> {
        let quarantined = self.quarantined(fingerprints);
        quarantined.map(|(_, entry)| entry.expires_at()).max()
    }

    /// Records that a quarantined request is sent as a probe.
    pub fn begin_probe(&mut self, now: MonotonicTime, fingerprint: RequestFingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.probed_at = now;
        }
    }

    /// Merges the report of a peer. `is_same_zone` states that the peer is in this daemon's zone.
    pub fn merge_report(
        &mut self,
        now: MonotonicTime,
        report: &CrashReport,
        is_same_zone: bool,
    ) -> QuarantineChange {
        let fingerprint = report.fingerprint;
        let records: Vec<CrashRecord> = report
            .crashes
            .iter()
            .map(|crash| crash.to_record(now))
            .filter(|record| {
                !self.is_refuted(*record) && !self.served.excuses(fingerprint, record.at)
            })
            .collect();
        if records.len() < report.crashes.len()
            && let Some(served_at) = self.served.excusing_response(fingerprint, now)
        {
            // The peer has not received yet that the request had a complete response.
            let entry = self.entries.entry(fingerprint).or_default();
            if entry.history.record_served(served_at) {
                entry.own_changed_at = Some(now);
            }
        }
        let served_at = report.served_at(now);
        if records.is_empty() && served_at.is_none() {
            return QuarantineChange::None;
        }
        let entry = self.entries.entry(fingerprint).or_default();
        let was_quarantined = entry.is_quarantined();
        let mut is_changed = served_at.is_some_and(|at| entry.history.record_served(at));
        for record in &records {
            is_changed |= entry.history.merge(*record);
        }
        if is_changed && is_same_zone {
            entry.zone_changed_at = Some(now);
        }
        let crashes = entry.history.count();
        let is_quarantined = entry.is_quarantined();
        for record in records {
            self.record_upstream_failure(record.at, record.upstream);
        }
        self.evict();
        match (was_quarantined, is_quarantined) {
            (false, true) => QuarantineChange::Quarantined(crashes),
            (true, false) => QuarantineChange::Lifted,
            _ => QuarantineChange::None,
        }
    }

    fn is_refuted(&self, record: CrashRecord) -> bool {
        let suspect = self.upstreams.get(&record.upstream);
        let responded_at = suspect.and_then(|suspect| suspect.responded_at);
        responded_at.is_some_and(|responded_at| record.at <= responded_at)
    }

    /// Adds the crashes that the store holds.
    pub fn restore_rows(&mut self, now: MonotonicTime, rows: &[QuarantineRow]) {
        for row in rows.iter().take(MAX_ENTRIES) {
            let entry = self.entries.entry(row.fingerprint).or_default();
            entry.row = RowState::Read;
            entry.stored_crashes = u32::try_from(row.crashes.len()).unwrap_or(u32::MAX);
            if entry.history.restore(now - STORED_CRASH_AGE, &row.crashes) {
                entry.probed_at = now;
            }
        }
    }

    /// Handles a restore of the store: rows that were written may be missing, and removed ones may
    /// exist again.
    pub fn on_store_restored(&mut self) {
        for entry in self.entries.values_mut() {
            entry.row = match entry.row {
                RowState::Removed => RowState::Read,
                _ => RowState::Absent,
            };
            entry.schedule = WriteSchedule::default();
        }
    }

    /// Returns the rows that this daemon has to write now. `holds` tells whether it holds the lease
    /// for the row of a request.
    pub fn due_writes(
        &mut self,
        now: MonotonicTime,
        holds: impl Fn(RequestFingerprint) -> bool,
    ) -> Vec<QuarantineWrite> {
        let mut writes = Vec::new();
        for (fingerprint, entry) in &mut self.entries {
            let is_own = entry.row == RowState::Written || holds(*fingerprint);
            if !entry.is_row_outdated(now) || now < entry.schedule.due_at || !is_own {
                continue;
            }
            entry.schedule.backoff =
                (entry.schedule.backoff * 2).clamp(MIN_WRITE_BACKOFF, MAX_WRITE_BACKOFF);
            entry.schedule.due_at = now + entry.schedule.backoff;
            writes.push(QuarantineWrite {
                fingerprint: *fingerprint,
                crashes: entry.needs_row(now).then(|| entry.history.to_stored()),
            });
        }
        writes
    }

    /// Records whether the store accepted a write; `accepted` is false without a response.
    pub fn record_write(&mut self, write: &QuarantineWrite, accepted: bool) {
        if let Some(entry) = self.entries.get_mut(&write.fingerprint)
            && accepted
        {
            entry.row = match &write.crashes {
                Some(_) => RowState::Written,
                None => RowState::Removed,
            };
            let crashes = write.crashes.as_ref().map_or(0, Vec::len);
            entry.stored_crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
            entry.schedule = WriteSchedule::default();
        }
    }

    /// Returns the number of quarantined requests.
    #[must_use]
    pub fn quarantined_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.is_quarantined()).count()
    }

    /// Returns the number of requests with any record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Evicts expired entries.
    pub fn evict_expired(&mut self, now: MonotonicTime) {
        let is_kept = |entry: &QuarantineEntry| {
            // The row is removed before the entry, as it would restore the entry at the next start.
            !entry.is_expired(if entry.row.is_present() {
                now - ROW_REMOVAL_PERIOD
            } else {
                now
            })
        };
        self.entries.retain(|_, entry| is_kept(entry));
        self.upstreams
            .retain(|_, suspect| now.since(suspect.at) < SUSPECT_UPSTREAM_TTL);
    }

    /// Keeps the number of entries bounded. Those with the fewest crashes are evicted first, so
    /// that displacing a request takes as many crashes under other requests.
    fn evict(&mut self) {
        while self.entries.len() > MAX_ENTRIES {
            let entries = self.entries.iter();
            let least = entries
                .min_by_key(|(_, entry)| (entry.history.count(), entry.history.last_changed_at()))
                .map(|(fingerprint, _)| *fingerprint);
            if let Some(least) = least {
                self.entries.remove(&least);
            }
        }
    }
}

fn lifted_if(was_quarantined: bool) -> QuarantineChange {
    if was_quarantined {
        QuarantineChange::Lifted
    } else {
        QuarantineChange::None
    }
}
