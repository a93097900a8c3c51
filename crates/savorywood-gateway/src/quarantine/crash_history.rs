//! Crashes of upstreams while they executed requests with one fingerprint.

use super::{
    CONFIRMED_CRASHES, QUARANTINE_CRASHES, entry::MAX_PROBE_CRASHES, row::StoredCrash,
    served::SERVED_WINDOW,
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Maximum number of crashes that are kept before any under a probe.
const MAX_CRASHES: usize = 8;
/// Time after the crash that began the quarantine from which crashes are those of probes: what was
/// sent before the quarantine has ended.
const PROBE_CRASH_DELAY: Duration = Duration::from_secs(30);
/// An upstream needs longer than this to restart, so attempts that fail there within this time
/// failed in the same crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Crash of an upstream while it executed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashRecord {
    /// Half of the digest of the upstream's name.
    pub upstream: u32,
    /// Number of the crash among those of this upstream under the request, from 1. It identifies
    /// reports of the same crash, as their times depend on how long the messages were queued.
    pub number: u8,
    /// Time of the crash, on this daemon's clock.
    pub at: MonotonicTime,
}

impl CrashRecord {
    fn is_near(&self, at: MonotonicTime) -> bool {
        self.at.since(at).max(at.since(self.at)) < SAME_CRASH_WINDOW
    }
}

/// Crashes under a request that have not been excused by a complete response.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    crashes: Vec<CrashRecord>,
    /// Time of the last complete response.
    served_at: Option<MonotonicTime>,
}

impl CrashHistory {
    /// Records a crash of an upstream at this daemon. Returns true if it is new and counts.
    pub fn add(&mut self, now: MonotonicTime, upstream: u32) -> bool {
        let of_upstream = self
            .crashes
            .iter()
            .filter(|crash| crash.upstream == upstream);
        let newest = of_upstream.max_by_key(|crash| crash.number);
        if newest.is_some_and(|crash| now.since(crash.at) < SAME_CRASH_WINDOW) {
            return false;
        }
        let number = newest.map_or(0, |crash| crash.number).saturating_add(1);
        self.merge(CrashRecord {
            upstream,
            number,
            at: now,
        })
    }

    /// Merges a crash that a peer reports. Returns true if it is new and counts.
    pub fn merge(&mut self, crash: CrashRecord) -> bool {
        let is_same = |known: &&mut CrashRecord| {
            (known.upstream, known.number) == (crash.upstream, crash.number)
        };
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            known.at = known.at.min(crash.at);
            return false;
        }
        if self.is_excused(crash) || !self.make_room(crash) {
            return false;
        }
        self.crashes.push(crash);
        true
    }

    /// Makes room for a crash, if it can change the outcome.
    ///
    /// Of the crashes before any under a probe, those that began the quarantine and the newest ones
    /// are kept. Parts that always came together have the same crashes, and only later ones, of
    /// requests with one of them, tell which is the cause.
    fn make_room(&mut self, crash: CrashRecord) -> bool {
        let probes_from = self.quarantined_at().map(|at| at + PROBE_CRASH_DELAY);
        let is_probe = |crash: &CrashRecord| probes_from.is_some_and(|from| crash.at >= from);
        if is_probe(&crash) {
            return self.probe_crashes() < MAX_PROBE_CRASHES;
        }
        let mut initial: Vec<CrashRecord> = self.crashes.clone();
        initial.retain(|crash| !is_probe(crash));
        if initial.len() < MAX_CRASHES {
            return true;
        }
        initial.sort_by_key(|crash| crash.at);
        let Some(oldest) = initial.get(QUARANTINE_CRASHES as usize).copied() else {
            return false;
        };
        if crash.at <= oldest.at {
            return false;
        }
        self.crashes.retain(|crash| *crash != oldest);
        true
    }

    /// Returns the time of the crash that began the quarantine.
    fn quarantined_at(&self) -> Option<MonotonicTime> {
        let mut times: Vec<MonotonicTime> = self.crashes.iter().map(|crash| crash.at).collect();
        times.sort_unstable();
        times.get(QUARANTINE_CRASHES as usize - 1).copied()
    }

    /// Returns the number of crashes that are not those of another history as well.
    #[must_use]
    pub fn count_without(&self, other: &Self) -> u32 {
        let is_shared = |crash: &CrashRecord| {
            let mut others = other.crashes.iter();
            others.any(|other| other.upstream == crash.upstream && other.is_near(crash.at))
        };
        let own = self.crashes.iter().filter(|crash| !is_shared(crash));
        u32::try_from(own.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of crashes under probes.
    #[must_use]
    pub fn probe_crashes(&self) -> usize {
        let Some(at) = self.quarantined_at() else {
            return 0;
        };
        let is_probe = |crash: &&CrashRecord| crash.at >= at + PROBE_CRASH_DELAY;
        self.crashes.iter().filter(is_probe).count()
    }

    fn is_excused(&self, crash: CrashRecord) -> bool {
        self.served_at
            .is_some_and(|served_at| crash.at < served_at + SERVED_WINDOW)
    }

    /// Removes the crash of an upstream around the given time, which has turned out to be none.
    pub fn withdraw(&mut self, upstream: u32, at: MonotonicTime) {
        let is_same = |crash: &CrashRecord| crash.upstream == upstream && crash.is_near(at);
        self.crashes.retain(|crash| !is_same(crash));
    }

    /// Records a complete response, which excuses earlier crashes. Returns true if it is more
    /// recent than the recorded one.
    pub fn record_served(&mut self, served_at: MonotonicTime) -> bool {
        if self.served_at.is_some_and(|known| known >= served_at) {
            return false;
        }
        self.served_at = Some(served_at);
        let crashes = std::mem::take(&mut self.crashes);
        self.crashes = crashes
            .into_iter()
            .filter(|crash| !self.is_excused(*crash))
            .collect();
        true
    }

    /// Merges crashes from the store, which keeps their order but not their times: the first ones are
    /// recorded as of `at`, those under probes as of so much later that they count as such. Returns
    /// true if any of them was new.
    pub fn restore(&mut self, at: MonotonicTime, crashes: &[StoredCrash]) -> bool {
        if self.served_at.is_some() {
            return false;
        }
        let before = self.crashes.len();
        for (index, crash) in crashes.iter().enumerate() {
            let is_probe = index >= CONFIRMED_CRASHES as usize;
            self.merge(CrashRecord {
                upstream: crash.upstream,
                number: crash.number,
                at: if is_probe { at } else { at - PROBE_CRASH_DELAY },
            });
        }
        self.crashes.len() > before
    }

    /// Returns the crashes that the store keeps: those that began the quarantine, and those under
    /// probes.
    #[must_use]
    pub fn to_stored(&self) -> Vec<StoredCrash> {
        let mut crashes: Vec<&CrashRecord> = self.crashes.iter().collect();
        crashes.sort_by_key(|crash| crash.at);
        let first_under_probe = crashes.len() - self.probe_crashes();
        let initial = crashes.iter().take(CONFIRMED_CRASHES as usize);
        let under_probes = crashes
            .iter()
            .skip(first_under_probe.max(CONFIRMED_CRASHES as usize));
        let stored = initial.chain(under_probes).map(|crash| StoredCrash {
            upstream: crash.upstream,
            number: crash.number,
        });
        stored.collect()
    }

    /// Returns the number of crashes that the store is to keep.
    #[must_use]
    pub fn stored_count(&self) -> u32 {
        u32::try_from(self.to_stored().len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of crashes.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.crashes.len()).unwrap_or(u32::MAX)
    }

    /// Returns the crashes.
    #[must_use]
    pub fn crashes(&self) -> &[CrashRecord] {
        &self.crashes
    }

    /// Returns the time of the last complete response.
    #[must_use]
    pub fn served_at(&self) -> Option<MonotonicTime> {
        self.served_at
    }

    /// Returns the time of the last crash or complete response.
    #[must_use]
    pub fn last_changed_at(&self) -> MonotonicTime {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        crashes.max().max(self.served_at).unwrap_or_default()
    }
}
