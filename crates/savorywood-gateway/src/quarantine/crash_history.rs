//! Upstreams that crashed under one request.

use super::{row::StoredCrash, served::SERVED_WINDOW};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Crashes that are kept; more say nothing new.
const MAX_CRASHES: usize = 8;
/// An upstream needs longer to start again: what breaks there within this time broke in one crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// An upstream that crashed under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashRecord {
    /// Half of the digest of its name.
    pub upstream: u32,
    /// Which of its crashes under the request, from 1. Reports of one crash are known by it, as their
    /// times depend on how long they lay unread.
    pub number: u8,
    /// When.
    pub at: MonotonicTime,
}

/// What speaks against a request.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    crashes: Vec<CrashRecord>,
    /// When the request was answered in whole last.
    served_at: Option<MonotonicTime>,
}

impl CrashHistory {
    /// An upstream crashed a moment ago; whether that was new and counts.
    pub fn add(&mut self, now: MonotonicTime, upstream: u32) -> bool {
        let there = self
            .crashes
            .iter()
            .filter(|crash| crash.upstream == upstream);
        let newest = there.max_by_key(|crash| crash.number);
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

    /// Takes a crash that a peer reports; whether it was new and counts.
    pub fn merge(&mut self, crash: CrashRecord) -> bool {
        let is_same = |known: &&mut CrashRecord| {
            (known.upstream, known.number) == (crash.upstream, crash.number)
        };
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            known.at = known.at.min(crash.at);
            return false;
        }
        if self.is_covered(crash) || self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        self.crashes.push(crash);
        true
    }

    fn is_covered(&self, crash: CrashRecord) -> bool {
        self.served_at
            .is_some_and(|served_at| crash.at < served_at + SERVED_WINDOW)
    }

    /// Drops what was taken for a crash of an upstream around a moment.
    pub fn withdraw(&mut self, upstream: u32, at: MonotonicTime) {
        let is_it = |crash: &CrashRecord| {
            let apart = crash.at.since(at).max(at.since(crash.at));
            crash.upstream == upstream && apart < SAME_CRASH_WINDOW
        };
        self.crashes.retain(|crash| !is_it(crash));
    }

    /// The request was answered in whole; whether that was not known.
    pub fn clear(&mut self, served_at: MonotonicTime) -> bool {
        if self.served_at.is_some_and(|known| known >= served_at) {
            return false;
        }
        self.served_at = Some(served_at);
        let crashes = std::mem::take(&mut self.crashes);
        self.crashes = crashes
            .into_iter()
            .filter(|crash| !self.is_covered(*crash))
            .collect();
        true
    }

    /// Takes what the store reports; whether that is more than was known.
    pub fn restore(&mut self, now: MonotonicTime, crashes: &[StoredCrash]) -> bool {
        if self.served_at.is_some() {
            return false;
        }
        let before = self.crashes.len();
        for crash in crashes {
            self.merge(CrashRecord {
                upstream: crash.upstream,
                number: crash.number,
                at: now,
            });
        }
        self.crashes.len() > before
    }

    /// What the store keeps of it.
    #[must_use]
    pub fn to_stored(&self) -> Vec<StoredCrash> {
        let crashes = self.crashes.iter().map(|crash| StoredCrash {
            upstream: crash.upstream,
            number: crash.number,
        });
        crashes.collect()
    }

    /// Upstreams that crashed under the request.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.crashes.len()).unwrap_or(u32::MAX)
    }

    /// Crashes that daemons saw.
    #[must_use]
    pub fn crashes(&self) -> &[CrashRecord] {
        &self.crashes
    }

    /// When the request was served last.
    #[must_use]
    pub fn served_at(&self) -> Option<MonotonicTime> {
        self.served_at
    }

    /// When something was learned last.
    #[must_use]
    pub fn last_changed_at(&self) -> MonotonicTime {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        crashes.max().max(self.served_at).unwrap_or_default()
    }
}
