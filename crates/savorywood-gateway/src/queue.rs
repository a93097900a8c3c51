//! Requests that wait for a place at an upstream.

use crate::arrival::LocalRequest;
use savorywood_protocol::MonotonicTime;
use std::collections::BTreeSet;

/// Order of work: a team's rank goes before its route's. Smaller is more urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRank {
    /// Rank of the team.
    pub team: u32,
    /// Rank of the route.
    pub route: u32,
}

/// Place of a request in its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuePosition {
    /// Most urgent first.
    pub rank: RequestRank,
    /// Then the one that must begin first.
    pub start_by: MonotonicTime,
    /// Then the one that came first.
    pub request: LocalRequest,
}

/// Waiting requests of one service, most urgent first.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    positions: BTreeSet<QueuePosition>,
}

impl WaitQueue {
    /// Adds a request.
    pub fn insert(&mut self, place: QueuePosition) {
        self.positions.insert(place);
    }

    /// Takes a request out.
    pub fn remove(&mut self, place: &QueuePosition) {
        self.positions.remove(place);
    }

    /// All places in order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuePosition> {
        self.positions.iter()
    }

    /// Requests that wait and are at least as urgent as a rank.
    #[must_use]
    pub fn count_at_least_as_urgent(&self, rank: RequestRank) -> usize {
        let urgent = self.positions.iter();
        urgent.take_while(|place| place.rank <= rank).count()
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }
}
