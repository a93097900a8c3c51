//! Attempts in progress, by request, deadline and upstream.

use super::{cost::CostEstimate, fleet::UpstreamId};
use crate::request::QueuedRequest;
use savorywood_protocol::{AttemptNumber, MonotonicTime, RequestId, TierRank};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies one attempt of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptKey {
    /// Identity of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
}

/// One attempt in progress.
#[derive(Debug)]
pub struct AttemptRecord {
    /// Request that was dispatched.
    pub request: QueuedRequest,
    /// Upstream that it was dispatched to.
    pub upstream: UpstreamId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Predicted size.
    pub estimate: CostEstimate,
    /// Prompt tokens that the upstream was expected to prefill.
    pub uncached: u32,
    /// Prompt tokens that the best other upstream had cached, as far as the index showed.
    pub cached_elsewhere: u32,
    /// Time of the dispatch.
    pub dispatched_at: MonotonicTime,
    /// Time of the first token; `None` before it.
    pub first_token_at: Option<MonotonicTime>,
    /// Time of the last token; the time of the dispatch before the first one.
    pub last_token_at: MonotonicTime,
    /// Number of tokens received.
    pub tokens: u32,
}

impl AttemptRecord {
    /// Returns the tokens that it is expected to occupy in a batch.
    #[must_use]
    pub fn batch_tokens(&self) -> u64 {
        self.estimate.batch_tokens()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptDeadline {
    at: MonotonicTime,
    request: RequestId,
}

/// Attempts in progress, at most one per request.
#[derive(Debug, Default)]
pub struct AttemptTable {
    records: BTreeMap<RequestId, AttemptRecord>,
    deadlines: BTreeSet<AttemptDeadline>,
    slots: BTreeMap<UpstreamId, BTreeMap<TierRank, u32>>,
}

impl AttemptTable {
    /// Adds a record. Returns `false` and keeps the existing record if the request already has an
    /// attempt in progress.
    pub fn insert(&mut self, record: AttemptRecord) -> bool {
        let request = record.request.request;
        if self.records.contains_key(&request) {
            return false;
        }
        let slots = self.slots.entry(record.upstream).or_default();
        *slots.entry(record.request.rank).or_default() += 1;
        self.deadlines.insert(attempt_deadline(&record));
        self.records.insert(request, record);
        true
    }

    /// Removes the record of an attempt. `None` if it has ended, as for a late event of an earlier
    /// attempt.
    pub fn remove(&mut self, key: AttemptKey) -> Option<AttemptRecord> {
        if self.current(key.request) != Some(key.attempt) {
            return None;
        }
        let record = self.records.remove(&key.request)?;
        self.deadlines.remove(&attempt_deadline(&record));
        if let Some(slots) = self.slots.get_mut(&record.upstream) {
            if let Some(count) = slots.get_mut(&record.request.rank) {
                *count = count.saturating_sub(1);
            }
            slots.retain(|_, count| *count > 0);
        }
        Some(record)
    }

    /// Returns the number of the request's attempt in progress.
    pub fn current(&self, request: RequestId) -> Option<AttemptNumber> {
        self.records.get(&request).map(|record| record.attempt)
    }

    /// Returns the record of an attempt; `None` if it has ended.
    pub fn get_mut(&mut self, key: AttemptKey) -> Option<&mut AttemptRecord> {
        let record = self.records.get_mut(&key.request)?;
        (record.attempt == key.attempt).then_some(record)
    }

    /// Returns the number of attempts in progress on an upstream, by tier.
    pub fn slots_by_tier(
        &self,
        upstream: UpstreamId,
    ) -> impl Iterator<Item = (TierRank, u32)> + '_ {
        let slots = self.slots.get(&upstream).into_iter().flatten();
        slots.map(|(rank, count)| (*rank, *count))
    }

    /// Returns the earliest deadline of the attempts in progress.
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Returns a request whose deadline has passed.
    pub fn next_expired(&self, now: MonotonicTime) -> Option<RequestId> {
        let first = self.deadlines.first()?;
        (first.at <= now).then_some(first.request)
    }

    /// Discards the slot counts of an upstream that was removed.
    pub fn remove_upstream(&mut self, upstream: UpstreamId) {
        self.slots.remove(&upstream);
    }

    /// Returns the number of attempts in progress.
    pub fn len(&self) -> usize {
        self.records.len()
    }
}

fn attempt_deadline(record: &AttemptRecord) -> AttemptDeadline {
    AttemptDeadline {
        at: record.request.deadline_at,
        request: record.request.request,
    }
}
