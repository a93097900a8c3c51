//! Time that goes on while the machine is suspended.

use async_io::Timer;
use rustix::time::{ClockId, clock_gettime};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// The boot-time clock.
///
/// The ordinary steady clock stands still while a machine is suspended: judged by it, what a
/// daemon read before the suspension would look new, and a key that was taken away meanwhile
/// would go on working.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// Now, in microseconds since the machine started.
    #[must_use]
    pub fn now(self) -> MonotonicTime {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        MonotonicTime(seconds * 1_000_000 + nanos / 1_000)
    }

    /// Waits until a time has come.
    pub async fn sleep_until(self, at: MonotonicTime) {
        let rest = at.since(self.now());
        if !rest.is_zero() {
            Timer::after(rest).await;
        }
    }
}

/// Waits for a future, for some time at most.
pub async fn with_timeout<T>(time: Duration, work: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(time).await;
        None
    };
    futures_lite::future::or(async { Some(work.await) }, expired).await
}
