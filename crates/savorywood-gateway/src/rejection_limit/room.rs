//! Room of an upstream as its rejections show it.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Pause after the first of several rejected probes, each of which may cost a second of dispatches.
const MIN_PROBE_PAUSE: Duration = Duration::from_secs(4);
/// Longest pause between two probes.
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(20);
/// Fraction by which pauses are extended at random at most, so that the owners of an upstream do not
/// probe it at the same time.
const PROBE_JITTER: f64 = 0.5;

/// Requests of this daemon that an upstream has room for.
///
/// An upstream may have less room than slots, and less for this daemon than it owns. A rejection
/// shows how much; from then on single requests beyond it probe for more, less often each time.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoomEstimate {
    /// Requests at a time; `None` before the first rejection.
    room: Option<u32>,
    /// Rejections since the last accepted probe.
    rejected_probes: u32,
    probe_at: MonotonicTime,
}

impl RoomEstimate {
    /// Records that the upstream accepted a request, which was one of `concurrent`.
    pub fn record_accepted(&mut self, concurrent: u32) {
        if self.room.is_some_and(|room| concurrent > room) {
            self.room = Some(concurrent);
            self.rejected_probes = 0;
            self.probe_at = MonotonicTime::default();
        }
    }

    /// Records that the upstream rejected a request beside `others`. `sample` is a random number from
    /// 0 up to 1.
    pub fn record_rejection(&mut self, now: MonotonicTime, others: u32, sample: f64) {
        self.room = Some(self.room.map_or(others, |room| room.min(others)));
        let pause = MIN_PROBE_PAUSE.saturating_mul(2u32.saturating_pow(self.rejected_probes));
        let pause = pause
            .min(MAX_PROBE_PAUSE)
            .mul_f64(1.0 + sample * PROBE_JITTER);
        self.rejected_probes = self.rejected_probes.saturating_add(1);
        self.probe_at = now + pause;
    }

    /// Returns whether the upstream may have room for a request beside `own` others.
    #[must_use]
    pub fn allows(&self, now: MonotonicTime, own: u32) -> bool {
        self.room
            .is_none_or(|room| own < room || own == room && !self.is_paused(now))
    }

    /// Returns whether the last rejection was so recent that there is no probe yet.
    #[must_use]
    pub fn is_paused(&self, now: MonotonicTime) -> bool {
        now < self.probe_at
    }

    /// Returns the estimated room; `None` before the first rejection.
    #[must_use]
    pub fn room(&self) -> Option<u32> {
        self.room
    }
}
