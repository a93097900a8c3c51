//! Order in which waiting requests are offered free slots.

use crate::queue::{QueuePosition, QueueStage};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time before the latest start of a late request from which it is no longer held back. A slot that
/// can be used becomes free within about the length of a response.
const DUE_MARGIN: Duration = Duration::from_secs(1);

/// Place of requests that can no longer meet their objective.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LateWorkRule {
    /// Behind the requests in time of their own rank.
    BehindRank,
    /// Behind all requests in time while the deadline allows, then as in `BehindRank`.
    #[default]
    HeldBack,
    /// Behind all requests in time, until the deadline passes.
    BehindAll,
}

/// A waiting request with the times that decide its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Position of the request in its queue.
    pub position: QueuePosition,
    /// Latest start after which the response cannot be complete by the deadline.
    pub latest_start: MonotonicTime,
}

impl QueuedRequest {
    /// Returns whether the request can no longer meet its objective. A stream that has begun is
    /// never late: its caller waits for the next event.
    #[must_use]
    pub fn is_late(&self, now: MonotonicTime) -> bool {
        self.position.stage == QueueStage::New && self.position.start_by < now
    }

    fn is_held_back(&self, now: MonotonicTime, rule: LateWorkRule) -> bool {
        let has_time = now + DUE_MARGIN < self.latest_start;
        self.is_late(now)
            && match rule {
                LateWorkRule::BehindRank => false,
                LateWorkRule::HeldBack => has_time,
                LateWorkRule::BehindAll => true,
            }
    }
}

/// A request in its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderedRequest {
    /// Position of the request in its queue.
    pub position: QueuePosition,
    /// The request can no longer meet its objective.
    pub late: bool,
    /// The request takes no slot that a request in time, of any rank, could use.
    pub held_back: bool,
}

/// Returns waiting requests in the order in which they are offered slots: by rank; within a rank
/// streams that have begun, then requests in time, of which those attempted before are first, then
/// late ones. Late requests that are held back are behind all others.
///
/// With `admits_late`, the first late request is not held back. The caller sets it while late work
/// has used less than its share of slots, so that it is not starved.
#[must_use]
pub fn order_requests(
    now: MonotonicTime,
    requests: impl IntoIterator<Item = QueuedRequest>,
    rule: LateWorkRule,
    admits_late: bool,
) -> Vec<OrderedRequest> {
    let ordered = requests.into_iter().map(|request| OrderedRequest {
        position: request.position,
        late: request.is_late(now),
        held_back: request.is_held_back(now, rule),
    });
    let mut ordered: Vec<OrderedRequest> = ordered.collect();
    let sort = |ordered: &mut Vec<OrderedRequest>| {
        ordered.sort_by_key(|request| {
            let position = request.position;
            (
                request.held_back,
                position.rank,
                position.stage,
                request.late,
                position.unattempted,
                position.start_by,
            )
        });
    };
    sort(&mut ordered);
    let first_held = ordered.iter_mut().find(|request| request.held_back);
    if admits_late && let Some(first) = first_held {
        first.held_back = false;
        sort(&mut ordered);
    }
    ordered
}
