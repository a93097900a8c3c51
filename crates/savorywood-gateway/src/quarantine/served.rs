//! Requests that were answered in whole lately.

use super::RequestFingerprint;
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// A request that was served does not count as the cause of crashes for this long after it. Plain
/// reads of many callers have one fingerprint, and some of them run at each upstream that ends.
pub const SERVED_WINDOW: Duration = Duration::from_secs(30);
/// Requests that are remembered at most.
const MAX_SERVED: usize = 4_096;

/// When requests were served last.
#[derive(Debug, Clone, Default)]
pub struct ServedRequests {
    served_at: HashMap<RequestFingerprint, MonotonicTime>,
    /// In the order of their first answers.
    order: VecDeque<RequestFingerprint>,
}

impl ServedRequests {
    /// A request was answered in whole.
    pub fn record(&mut self, now: MonotonicTime, fingerprint: RequestFingerprint) {
        if self.served_at.insert(fingerprint, now).is_some() {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > MAX_SERVED
            && let Some(oldest) = self.order.pop_front()
        {
            self.served_at.remove(&oldest);
        }
    }

    /// When a request was answered in whole, if that covers a crash at a moment.
    #[must_use]
    pub fn covering(
        &self,
        fingerprint: RequestFingerprint,
        crash_at: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let served_at = self.served_at.get(&fingerprint).copied();
        served_at.filter(|served_at| crash_at < *served_at + SERVED_WINDOW)
    }

    /// A crash at a moment is not this request's doing.
    #[must_use]
    pub fn covers(&self, fingerprint: RequestFingerprint, crash_at: MonotonicTime) -> bool {
        self.covering(fingerprint, crash_at).is_some()
    }
}
