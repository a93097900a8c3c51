//! A breaker: after some failures in a row calls fail at once for a while, then one call tries.
//!
//! Without it every duty would wait out its timeout on each call while the service is down, and
//! all daemons would fall on it at once in the moment it comes back.

use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Failures in a row that open the breaker.
const OPEN_AFTER: u32 = 5;

/// First pause.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause. Half of the time within which an accepted configuration must be in force
/// everywhere, so that the end of an outage is noticed within it.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// What the breaker does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum BreakerState {
    /// Lets them through.
    Closed,
    /// Fails them at once.
    Open,
    /// Lets one through to see how it goes.
    Trying,
}

/// A breaker for one service.
#[derive(Debug, Default)]
pub struct CallBreaker {
    failures: u32,
    pause: Duration,
    open_until: Option<Instant>,
    trying: bool,
}

impl CallBreaker {
    /// Whether a call may be made now. A call that may must be followed by
    /// [`record`](Self::record).
    pub fn admit(&mut self, now: Instant) -> bool {
        match self.state(now) {
            BreakerState::Closed => true,
            BreakerState::Open => false,
            BreakerState::Trying => !std::mem::replace(&mut self.trying, true),
        }
    }

    /// What it does with calls now.
    #[must_use]
    pub fn state(&self, now: Instant) -> BreakerState {
        match self.open_until {
            None => BreakerState::Closed,
            Some(until) if now < until => BreakerState::Open,
            Some(_) => BreakerState::Trying,
        }
    }

    /// Tells how a call ended. `jitter` in 0 to 1 spreads the next tries of many daemons.
    pub fn record(&mut self, now: Instant, success: bool, jitter: f64) {
        self.trying = false;
        if success {
            *self = Self::default();
            return;
        }
        self.failures += 1;
        if self.failures < OPEN_AFTER {
            return;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        let spread = 0.5 + 0.5 * jitter.clamp(0.0, 1.0);
        self.open_until = Some(now + self.pause.mul_f64(spread));
    }

    /// Forgets that a call is under way: it was given up before it ended.
    pub fn abandon(&mut self) {
        self.trying = false;
    }
}
