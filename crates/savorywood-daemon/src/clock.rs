//! The one clock of the runtime. Tests pause it and advance it by hand.
//!
//! `async-io` has no clock that pauses, so everything in the shell that waits or reads the time
//! asks this one.

use async_io::Timer;
use event_listener::Event;
use savorywood_protocol::{CoreTime, MonotonicTime, WallTime};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

/// A clock that runs, or one that a test holds.
#[derive(Debug, Clone)]
pub enum RuntimeClock {
    /// The system's clocks.
    System {
        /// Zero of the monotonic time.
        origin: Instant,
    },
    /// Stands still until it is advanced.
    Paused(Arc<PausedClock>),
}

/// State of a paused clock.
#[derive(Debug, Default)]
pub struct PausedClock {
    micros: AtomicU64,
    advanced: Event,
}

impl RuntimeClock {
    /// The system's clocks, monotonic time counted from now.
    #[must_use]
    pub fn system() -> Self {
        Self::System {
            origin: Instant::now(),
        }
    }

    /// A clock that stands still at zero.
    #[must_use]
    pub fn paused() -> Self {
        Self::Paused(Arc::default())
    }

    /// Both times now.
    #[must_use]
    pub fn now(&self) -> CoreTime {
        match self {
            Self::System { origin } => CoreTime {
                monotonic: MonotonicTime::default() + origin.elapsed(),
                wall: WallTime::from_system(SystemTime::now()),
            },
            Self::Paused(clock) => {
                let micros = clock.micros.load(Ordering::Acquire);
                CoreTime {
                    monotonic: MonotonicTime(micros),
                    wall: WallTime(micros / 1_000),
                }
            }
        }
    }

    /// Moves a paused clock forward; a running one takes no notice.
    pub fn advance(&self, duration: Duration) {
        if let Self::Paused(clock) = self {
            let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
            clock.micros.fetch_add(micros, Ordering::AcqRel);
            clock.advanced.notify(usize::MAX);
        }
    }

    /// Waits until the monotonic time has come.
    pub async fn sleep_until(&self, at: MonotonicTime) {
        match self {
            Self::System { origin } => {
                let elapsed = at.since(MonotonicTime::default());
                Timer::at(*origin + elapsed).await;
            }
            Self::Paused(clock) => loop {
                let advanced = clock.advanced.listen();
                if self.now().monotonic >= at {
                    return;
                }
                advanced.await;
            },
        }
    }

    /// Waits for some time.
    pub async fn sleep(&self, duration: Duration) {
        self.sleep_until(self.now().monotonic + duration).await;
    }
}
