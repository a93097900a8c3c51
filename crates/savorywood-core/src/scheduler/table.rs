//! Which requests are under way, and where.

use crate::request::QueuedRequest;
use savorywood_protocol::{AttemptNumber, RequestId, UpstreamName};
use std::collections::BTreeMap;

/// One attempt under way.
#[derive(Debug)]
pub struct AttemptRecord {
    /// What was sent.
    pub request: QueuedRequest,
    /// To whom.
    pub upstream: UpstreamName,
    /// Which attempt.
    pub attempt: AttemptNumber,
}

/// Attempts under way, at most one a request.
#[derive(Debug, Default)]
pub struct AttemptTable {
    records: BTreeMap<RequestId, AttemptRecord>,
    seats: BTreeMap<UpstreamName, u32>,
}

impl AttemptTable {
    /// Adds a record. Says `false`, and keeps the old one, when the request is under way.
    pub fn insert(&mut self, record: AttemptRecord) -> bool {
        let request = record.request.request;
        if self.records.contains_key(&request) {
            return false;
        }
        *self.seats.entry(record.upstream.clone()).or_default() += 1;
        self.records.insert(request, record);
        true
    }

    /// Takes a record out. An older attempt's late event finds nothing.
    pub fn remove(&mut self, request: RequestId, attempt: AttemptNumber) -> Option<AttemptRecord> {
        if self.current(request) != Some(attempt) {
            return None;
        }
        let record = self.records.remove(&request)?;
        if let Some(seats) = self.seats.get_mut(&record.upstream) {
            *seats = seats.saturating_sub(1);
        }
        Some(record)
    }

    /// Attempt of a request that is under way.
    pub fn current(&self, request: RequestId) -> Option<AttemptNumber> {
        self.records.get(&request).map(|record| record.attempt)
    }

    /// Attempts under way on an upstream.
    pub fn used_seats(&self, upstream: &UpstreamName) -> u32 {
        self.seats.get(upstream).copied().unwrap_or_default()
    }

    /// Attempts under way.
    pub fn len(&self) -> usize {
        self.records.len()
    }
}
