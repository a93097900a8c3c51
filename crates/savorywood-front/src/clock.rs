//! A monotonic clock that includes suspended time, and time-outs.

use async_io::Timer;
use rustix::time::{ClockId, clock_gettime};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// The boot-time clock.
///
/// The usual monotonic clock stops while the machine is suspended. With it, data read before a
/// suspension would count as fresh afterwards, and a key that was revoked meanwhile would still be
/// accepted.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time in microseconds since the machine was booted.
    #[must_use]
    pub fn now(self) -> MonotonicTime {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        MonotonicTime(seconds * 1_000_000 + nanos / 1_000)
    }

    /// Waits until `at`; returns at once when it has passed.
    pub async fn sleep_until(self, at: MonotonicTime) {
        let rest = at.since(self.now());
        if !rest.is_zero() {
            Timer::after(rest).await;
        }
    }
}

/// Runs a future; returns `None` when it does not finish within `time`.
pub async fn with_timeout<T>(time: Duration, work: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(time).await;
        None
    };
    futures_lite::future::or(async { Some(work.await) }, expired).await
}
