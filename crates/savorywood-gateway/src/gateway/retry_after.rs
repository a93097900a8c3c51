//! When a refused caller should come back.

use super::Gateway;
use crate::{arrival::LocalRequest, queue::WaitQueue, refusal::RefusalReason};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// When to come back where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Least time after which an overload may be over.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time for which the newest rate says anything.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Part of the time that a caller has left after which it must be back: the rest is for its place
/// in the queue and its answer.
const MAX_DEADLINE_FRACTION: f64 = 1.0 / 3.0;
/// Part of the estimate by which returns are spread: callers that were refused together would be
/// refused together once more.
const RETRY_AFTER_SPREAD: f64 = 0.5;

impl Gateway {
    /// When the caller of a request that was not run should come back: once the work that is at
    /// least as urgent and waits now has got its slots, at the rate of the last moments.
    pub(super) fn retry_after_delay(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        reason: RefusalReason,
    ) -> Duration {
        let Some(record) = self.requests.get(&request) else {
            return DEFAULT_RETRY_AFTER;
        };
        match reason {
            RefusalReason::Overloaded => {}
            RefusalReason::Quarantined => return self.probe_delay(now, record.fingerprint),
            _ => return DEFAULT_RETRY_AFTER,
        }
        let queue = self.queues.get(&record.service);
        let ahead = queue.map_or(0, |queue: &WaitQueue| {
            queue.count_at_least_as_urgent(record.rank)
        });
        let demand = self.demands.get(&record.service);
        let rate = demand.map_or(0.0, |demand| demand.dispatch_rate(now, record.rank));
        let wait_s = ahead as f64 / rate.max(f64::MIN_POSITIVE);
        let wait_s = wait_s.clamp(MIN_RETRY_AFTER.as_secs_f64(), MAX_RETRY_AFTER.as_secs_f64());
        let most = record.give_up_at.since(now).mul_f64(MAX_DEADLINE_FRACTION);
        let spread = 1.0 - RETRY_AFTER_SPREAD / 2.0 + RETRY_AFTER_SPREAD * self.random.next();
        Duration::from_secs_f64(wait_s * spread).min(most)
    }
}
