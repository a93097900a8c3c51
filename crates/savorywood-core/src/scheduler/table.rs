//! Which requests are under way, and where.

use super::{cost::CostEstimate, fleet::UpstreamId};
use crate::request::QueuedRequest;
use savorywood_protocol::{AttemptNumber, MonotonicTime, RequestId, TierRank};
use std::collections::{BTreeMap, BTreeSet};

/// Names one attempt of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptKey {
    /// Which request.
    pub request: RequestId,
    /// Which attempt of it.
    pub attempt: AttemptNumber,
}

/// One attempt under way.
#[derive(Debug)]
pub struct AttemptRecord {
    /// What was sent.
    pub request: QueuedRequest,
    /// To whom.
    pub upstream: UpstreamId,
    /// Which attempt.
    pub attempt: AttemptNumber,
    /// Predicted size.
    pub estimate: CostEstimate,
    /// Prompt tokens that are expected not to be cached there.
    pub uncached: u32,
    /// Prompt tokens that the best other upstream was known to have cached.
    pub cached_elsewhere: u32,
    /// When it was dispatched.
    pub dispatched_at: MonotonicTime,
    /// When its first token came.
    pub first_token_at: Option<MonotonicTime>,
    /// When its last token came.
    pub last_token_at: MonotonicTime,
    /// Tokens that came.
    pub tokens: u32,
}

impl AttemptRecord {
    /// Tokens that it is expected to hold in a batch.
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

/// Attempts under way, at most one a request.
#[derive(Debug, Default)]
pub struct AttemptTable {
    records: BTreeMap<RequestId, AttemptRecord>,
    deadlines: BTreeSet<AttemptDeadline>,
    slots: BTreeMap<UpstreamId, BTreeMap<TierRank, u32>>,
}

impl AttemptTable {
    /// Adds a record. Says `false`, and keeps the old one, when the request is under way.
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

    /// Takes a record out. An older attempt's late event finds nothing.
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

    /// Attempt of a request that is under way.
    pub fn current(&self, request: RequestId) -> Option<AttemptNumber> {
        self.records.get(&request).map(|record| record.attempt)
    }

    /// Record of an attempt, unless it is an older one.
    pub fn get_mut(&mut self, key: AttemptKey) -> Option<&mut AttemptRecord> {
        let record = self.records.get_mut(&key.request)?;
        (record.attempt == key.attempt).then_some(record)
    }

    /// Attempts under way on an upstream, by tier.
    pub fn slots_by_tier(
        &self,
        upstream: UpstreamId,
    ) -> impl Iterator<Item = (TierRank, u32)> + '_ {
        let slots = self.slots.get(&upstream).into_iter().flatten();
        slots.map(|(rank, count)| (*rank, *count))
    }

    /// Earliest deadline of an attempt under way.
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Request whose deadline has passed.
    pub fn next_expired(&self, now: MonotonicTime) -> Option<RequestId> {
        let first = self.deadlines.first()?;
        (first.at <= now).then_some(first.request)
    }

    /// Forgets the seats of an upstream that is gone.
    pub fn remove_upstream(&mut self, upstream: UpstreamId) {
        self.slots.remove(&upstream);
    }

    /// Attempts under way.
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
