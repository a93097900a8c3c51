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
pub struct PendingDispatch {
    /// Number of the dispatch, unique within the process.
    pub number: u64,
    /// Time of the dispatch.
    pub at: MonotonicTime,
    /// Requests of this daemon at the upstream, this one included; zero if it was abandoned, as the
    /// upstream's decision then remains unknown.
    pub concurrent: u32,
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
    /// Records a dispatch.
    pub fn record_dispatch(&mut self, dispatch: PendingDispatch) {
        self.pending.push_back(dispatch);
    }

    /// Records that a dispatch was abandoned before the upstream's decision was known.
    pub fn record_abandoned(&mut self, number: u64) {
        let mut pending = self.pending.iter_mut();
        if let Some(dispatch) = pending.find(|dispatch| dispatch.number == number) {
            dispatch.concurrent = 0;
        }
    }

    /// Removes a dispatch whose decision is known; `None` if it was taken as accepted before.
    pub fn take_pending(&mut self, number: u64) -> Option<PendingDispatch> {
        let mut pending = self.pending.iter();
        let index = pending.position(|dispatch| dispatch.number == number)?;
        self.pending.remove(index)
    }

    /// Removes the oldest dispatch if it has been pending for so long that the upstream has accepted it.
    pub fn take_accepted(&mut self, now: MonotonicTime) -> Option<PendingDispatch> {
        let is_accepted = |dispatch: &mut PendingDispatch| !is_pending(now, dispatch);
        self.pending.pop_front_if(is_accepted)
    }

    /// Records a rejection.
    pub fn record_rejection(&mut self, now: MonotonicTime) {
        let is_old = |at: &mut MonotonicTime| now.since(*at) > REJECTION_RETENTION;
        while self.rejected_at.pop_front_if(is_old).is_some() {}
        self.rejected_at.push_back(now);
    }

    /// Returns the number of dispatches that the upstream may yet reject.
    #[must_use]
    pub fn pending(&self, now: MonotonicTime) -> u32 {
        let pending = self.pending.iter();
        let undecided = pending.filter(|dispatch| is_pending(now, dispatch));
        u32::try_from(undecided.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of rejections within a window of at most ten seconds.
    #[must_use]
    pub fn rejections(&self, now: MonotonicTime, window: Duration) -> u32 {
        let recent = self.rejected_at.iter().rev();
        let recent = recent.take_while(|at| now.since(**at) <= window);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }
}

fn is_pending(now: MonotonicTime, dispatch: &PendingDispatch) -> bool {
    now.since(dispatch.at) < DECISION_PERIOD
}
