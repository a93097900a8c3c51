//! Index of waiting requests of all services by their latest start.

use super::queue::WaitingRequest;
use savorywood_protocol::{MonotonicTime, RequestId, ServiceName};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitLimit {
    latest_start: MonotonicTime,
    request: RequestId,
}

#[derive(Debug)]
struct WaitEntry {
    service: ServiceName,
    latest_start: MonotonicTime,
}

/// Waiting requests by identity and by the time after which they can't meet their deadline.
#[derive(Debug, Default)]
pub struct WaitIndex {
    limits: BTreeSet<WaitLimit>,
    entries: BTreeMap<RequestId, WaitEntry>,
}

impl WaitIndex {
    /// Adds a request.
    pub fn insert(&mut self, waiting: &WaitingRequest) {
        let request = waiting.request.request;
        let latest_start = waiting.latest_start;
        let service = waiting.request.service.clone();
        let entry = WaitEntry {
            service,
            latest_start,
        };
        self.entries.insert(request, entry);
        self.limits.insert(WaitLimit {
            latest_start,
            request,
        });
    }

    /// Removes a request and returns its service.
    pub fn remove(&mut self, request: RequestId) -> Option<ServiceName> {
        let entry = self.entries.remove(&request)?;
        self.limits.remove(&WaitLimit {
            latest_start: entry.latest_start,
            request,
        });
        Some(entry.service)
    }

    /// Returns a request that can no longer meet its deadline at `now`.
    #[must_use]
    pub fn next_expired(&self, now: MonotonicTime) -> Option<RequestId> {
        let first = self.limits.first()?;
        (first.latest_start <= now).then_some(first.request)
    }

    /// Returns the earliest of the latest starts.
    #[must_use]
    pub fn next_expiry(&self) -> Option<MonotonicTime> {
        self.limits.first().map(|limit| limit.latest_start)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
