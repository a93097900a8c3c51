//! When waiting requests become hopeless, over all services.

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

/// Waiting requests by the time at which they become hopeless.
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

    /// Removes a request; gives the service that it waits for.
    pub fn remove(&mut self, request: RequestId) -> Option<ServiceName> {
        let entry = self.entries.remove(&request)?;
        self.limits.remove(&WaitLimit {
            latest_start: entry.latest_start,
            request,
        });
        Some(entry.service)
    }

    /// A request that is hopeless at `now`.
    #[must_use]
    pub fn next_expired(&self, now: MonotonicTime) -> Option<RequestId> {
        let first = self.limits.first()?;
        (first.latest_start <= now).then_some(first.request)
    }

    /// When the next request becomes hopeless.
    #[must_use]
    pub fn next_expiry(&self) -> Option<MonotonicTime> {
        self.limits.first().map(|limit| limit.latest_start)
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
