//! Points in time as plain numbers, so that the decision logic never reads a clock.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use std::{
    fmt,
    ops::{Add, Sub},
    time::{Duration, SystemTime},
};

/// Microseconds on the monotonic clock of one process. Not comparable between processes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// Returns the time from `earlier` to this point; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(saturating_micros(duration)))
    }
}

impl Sub<Duration> for MonotonicTime {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(saturating_micros(duration)))
    }
}

fn saturating_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Milliseconds since the Unix epoch. Written as RFC 3339 text in JSON.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns the time from `earlier` to this point; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Converts a system time; times before the Unix epoch become zero.
    #[must_use]
    pub fn from_system(time: SystemTime) -> Self {
        let elapsed = time
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Self(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Add<Duration> for WallTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(self.0));
        match time {
            Some(time) => humantime::format_rfc3339_millis(time).fmt(f),
            None => write!(f, "{}ms", self.0),
        }
    }
}

/// Latest time that RFC 3339 can express, the end of the year 9999 in milliseconds.
const MAX_WALL_MILLIS: u64 = 253_402_300_799_999;

impl Serialize for WallTime {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(&Self(self.0.min(MAX_WALL_MILLIS)))
        } else {
            serializer.serialize_u64(self.0)
        }
    }
}

impl<'de> Deserialize<'de> for WallTime {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return u64::deserialize(deserializer).map(Self);
        }
        let text = String::deserialize(deserializer)?;
        let time = humantime::parse_rfc3339_weak(&text).map_err(D::Error::custom)?;
        Ok(Self::from_system(time))
    }
}

/// Readings of both clocks, taken once per step and passed to the decision logic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CoreTime {
    /// For timers, leases and deadlines; never jumps.
    pub monotonic: MonotonicTime,
    /// For times in resources and ages of idempotency keys; jumps when the clock is set.
    pub wall: WallTime,
}

impl CoreTime {
    /// Returns this point moved forward by `duration` on both clocks.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        Self {
            monotonic: self.monotonic + duration,
            wall: self.wall + duration,
        }
    }
}
