//! Queue of requests that wait for a free slot at an upstream.

use crate::arrival::LocalRequest;
use savorywood_protocol::MonotonicTime;
use std::collections::BTreeSet;

/// Rank of a request. The team's rank is compared before the route's; smaller is more urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRank {
    /// Rank of the team; 0 is the most urgent.
    pub team: u32,
    /// Rank of the route; 0 is the most urgent.
    pub route: u32,
}

/// Whether the caller of a waiting request has received a part of the response. Those that have
/// are first: what they received would otherwise be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QueueStage {
    /// A stream that has begun.
    Resumed,
    /// A request without any part of a response.
    New,
}

/// Position of a request in the queue. The order of the fields is the order of comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuePosition {
    /// The most urgent rank is first.
    pub rank: RequestRank,
    /// Whether the request is a new one or a stream that has begun.
    pub stage: QueueStage,
    /// Whether the request waits for its first attempt. Requests that have waited for a slot before
    /// are first.
    pub unattempted: bool,
    /// Otherwise, the request that must start earliest is first. The time stays the same when the
    /// request returns to the queue.
    pub start_by: MonotonicTime,
    /// Otherwise, the request that arrived earliest is first.
    pub request: LocalRequest,
}

/// Waiting requests of one service, the most urgent first.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    positions: BTreeSet<QueuePosition>,
}

impl WaitQueue {
    /// Adds a request to the queue.
    pub fn insert(&mut self, place: QueuePosition) {
        self.positions.insert(place);
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, place: &QueuePosition) {
        self.positions.remove(place);
    }

    /// Iterates over the waiting requests, the most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = &QueuePosition> {
        self.positions.iter()
    }

    /// Returns the number of waiting requests that are at least as urgent as `rank`.
    #[must_use]
    pub fn count_at_least_as_urgent(&self, rank: RequestRank) -> usize {
        let urgent = self.positions.iter();
        urgent.take_while(|place| place.rank <= rank).count()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }
}
