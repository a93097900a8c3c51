//! Requests with a recent complete response.

use super::RequestFingerprint;
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// A request does not count as the cause of crashes for this long after a complete response.
/// Non-streaming reads of many callers share a fingerprint, and some of them are in progress at
/// each upstream that ends.
pub const SERVED_WINDOW: Duration = Duration::from_secs(30);
/// Maximum number of requests that are kept.
const MAX_SERVED: usize = 4_096;

/// Time of the last complete response by request.
#[derive(Debug, Clone, Default)]
pub struct ServedRequests {
    served_at: HashMap<RequestFingerprint, MonotonicTime>,
    /// Fingerprints with the time at which each was queued for eviction, the oldest first.
    order: VecDeque<(RequestFingerprint, MonotonicTime)>,
}

impl ServedRequests {
    /// Records that a request had a complete response.
    pub fn record(&mut self, now: MonotonicTime, fingerprint: RequestFingerprint) {
        if self.served_at.insert(fingerprint, now).is_some() {
            return;
        }
        self.order.push_back((fingerprint, now));
        while self.order.len() > MAX_SERVED
            && let Some((oldest, queued_at)) = self.order.pop_front()
        {
            // Many requests share a fingerprint, so its entry may be the most recent one.
            match self.served_at.get(&oldest).copied() {
                Some(served_at) if served_at > queued_at => {
                    self.order.push_back((oldest, served_at));
                }
                _ => {
                    self.served_at.remove(&oldest);
                }
            }
        }
    }

    /// Returns the time of a complete response that excuses the request for a crash at `crash_at`.
    #[must_use]
    pub fn excusing_response(
        &self,
        fingerprint: RequestFingerprint,
        crash_at: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let served_at = self.served_at.get(&fingerprint).copied();
        served_at.filter(|served_at| crash_at < *served_at + SERVED_WINDOW)
    }

    /// Returns true if the request is excused for a crash at `crash_at`.
    #[must_use]
    pub fn excuses(&self, fingerprint: RequestFingerprint, crash_at: MonotonicTime) -> bool {
        self.excusing_response(fingerprint, crash_at).is_some()
    }
}
