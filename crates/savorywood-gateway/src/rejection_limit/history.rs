//! Dispatches to one upstream that it may yet reject, and those that it rejected recently.

use savorywood_protocol::MonotonicTime;
use std::{collections::VecDeque, time::Duration};

/// Time without a response after which an upstream has accepted a request: it rejects at once what
/// it has no room for. It covers several round trips between regions and a slow turn of the process.
const DECISION_PERIOD: Duration = Duration::from_millis(100);
/// Time for which rejections are recorded.
const REJECTION_RETENTION: Duration = Duration::from_secs(10);

/// A dispatch that the upstream may yet reject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingDispatch {
    /// Number of the dispatch, unique within the process.
    number: u64,
    at: MonotonicTime,
}

/// Dispatches of this daemon to one upstream that are pending or were rejected recently.
#[derive(Debug, Clone, Default)]
pub struct RejectionHistory {
    /// In order of dispatch.
    pending: VecDeque<PendingDispatch>,
    /// Times of rejections, the oldest first.
    rejected_at: VecDeque<MonotonicTime>,
}

impl RejectionHistory {
    /// Records a dispatch with a number that is unique within the process.
    pub fn record_dispatch(&mut self, now: MonotonicTime, number: u64) {
        self.expire(now);
        self.pending.push_back(PendingDispatch { number, at: now });
    }

    /// Records that the upstream accepted a dispatch, or never received it.
    pub fn record_decided(&mut self, number: u64) {
        self.pending.retain(|dispatch| dispatch.number != number);
    }

    /// Records that the upstream rejected a dispatch.
    pub fn record_rejection(&mut self, now: MonotonicTime, number: u64) {
        self.expire(now);
        self.record_decided(number);
        self.rejected_at.push_back(now);
    }

    /// Returns the number of dispatches that the upstream may yet reject.
    #[must_use]
    pub fn pending(&self, now: MonotonicTime) -> u32 {
        let pending = self.pending.iter();
        let undecided = pending.filter(|dispatch| now.since(dispatch.at) < DECISION_PERIOD);
        u32::try_from(undecided.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of rejections within a window of at most ten seconds.
    #[must_use]
    pub fn rejections(&self, now: MonotonicTime, window: Duration) -> u32 {
        let recent = self.rejected_at.iter().rev();
        let recent = recent.take_while(|at| now.since(**at) <= window);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    fn expire(&mut self, now: MonotonicTime) {
        let is_decided = |dispatch: &PendingDispatch| now.since(dispatch.at) >= DECISION_PERIOD;
        while self.pending.front().is_some_and(is_decided) {
            self.pending.pop_front();
        }
        let is_old = |at: &MonotonicTime| now.since(*at) > REJECTION_RETENTION;
        while self.rejected_at.front().is_some_and(is_old) {
            self.rejected_at.pop_front();
        }
    }
}
