//! Pace of an upstream: the time that work takes there at the moment, relative to normal.
//!
//! Upstreams that share their machines with other work change their pace within fractions of a
//! second, much faster than a learned speed can follow. The pace is therefore kept apart from the
//! learned speed as a reading with a date: observations are divided by the pace at which they were
//! made before the speed is learned from them, and the learned speed is multiplied by the pace that is
//! expected for the next request.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time from a reading after which nothing of it remains. Upstreams keep a pace for about this long,
/// so that the chance that it still holds falls to zero over this time.
const READING_LIFETIME: Duration = Duration::from_millis(600);
/// Largest value that is accepted as a reading, in percent of the normal time.
const MAX_PERCENT: u16 = 10_000;
/// Maximum factor by which a reading changes an expected time, in either direction. Upstreams differ
/// by a factor of about four, and no reading may weigh more than that.
const MAX_FACTOR: f64 = 4.0;
/// Weight of the newest reading in the usual pace. A false reading that does not change is the usual
/// pace after some tens of responses, and has no influence from then on.
const USUAL_WEIGHT: f64 = 0.06;
/// Weight of the newest observation in the errors of the predictions.
const ERROR_WEIGHT: f64 = 0.1;
/// Observations before the errors are compared and readings are used.
const MIN_OBSERVATIONS: u32 = 8;

/// Pace in percent of the normal time: 100 is normal, 250 means that work takes 2.5 times as long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceReading(u16);

impl PaceReading {
    /// Creates a reading; `None` if the value is zero or above 10,000.
    #[must_use]
    pub fn from_percent(percent: u16) -> Option<Self> {
        (1..=MAX_PERCENT)
            .contains(&percent)
            .then_some(Self(percent))
    }

    /// Returns the time that work takes, as a factor of the normal time.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// What a response states about the pace of its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PaceReport {
    /// Nothing.
    #[default]
    Absent,
    /// A value that can't be a pace; it is ignored.
    Invalid,
    /// A valid reading.
    Reading(PaceReading),
}

impl PaceReport {
    /// Returns the reading, if there is a valid one.
    #[must_use]
    pub fn reading(self) -> Option<PaceReading> {
        match self {
            Self::Reading(reading) => Some(reading),
            Self::Absent | Self::Invalid => None,
        }
    }
}

/// A reading and the time at which it was received.
#[derive(Debug, Clone, Copy, PartialEq)]
struct DatedReading {
    factor: f64,
    at: MonotonicTime,
}

/// Pace of one upstream, from the readings in its responses.
///
/// Only changes of the pace matter, as the learned speed includes what is usual. All factors are
/// therefore relative to the usual pace of the upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamPace {
    newest: Option<DatedReading>,
    usual: Option<f64>,
    /// Mean error of the expected times, as a logarithm, without and with the pace.
    plain_error: f64,
    paced_error: f64,
    observations: u32,
}

impl UpstreamPace {
    /// Records the reading of a response.
    pub fn record(&mut self, now: MonotonicTime, reading: PaceReading) {
        let factor = reading.factor();
        let usual = self.usual.get_or_insert(1.0);
        *usual += (factor - *usual) * USUAL_WEIGHT;
        self.newest = Some(DatedReading { factor, at: now });
    }

    /// Records how long a response took in comparison with the time that the learned speed predicts
    /// at the usual pace. Its own reading was recorded before.
    ///
    /// Readings of an upstream are used only while they predict its responses better than the learned
    /// speed alone, so that a false reading can't move work to it or away from it.
    pub fn record_observation(&mut self, now: MonotonicTime, observed_ms: f64, predicted_ms: f64) {
        if self.newest.is_none() || observed_ms <= 0.0 || predicted_ms <= 0.0 {
            return;
        }
        let ratio = (observed_ms / predicted_ms).ln();
        let factor = self.reported_factor(now, Duration::ZERO).ln();
        let plain_error = ratio.abs();
        let paced_error = (ratio - factor).abs();
        self.plain_error += (plain_error - self.plain_error) * ERROR_WEIGHT;
        self.paced_error += (paced_error - self.paced_error) * ERROR_WEIGHT;
        self.observations = self.observations.saturating_add(1);
    }

    /// Returns the age of the newest reading; `None` before the first.
    #[must_use]
    pub fn newest_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.newest.map(|reading| now.since(reading.at))
    }

    /// Returns whether the responses of the upstream agree with its readings.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.observations >= MIN_OBSERVATIONS && self.paced_error <= self.plain_error
    }

    /// Returns the factor on the time of work that takes `duration` at the usual pace and starts
    /// now; 1 without a recent reading that agrees with the responses.
    #[must_use]
    pub fn factor(&self, now: MonotonicTime, duration: Duration) -> f64 {
        if !self.is_confirmed() {
            return 1.0;
        }
        self.reported_factor(now, duration)
    }

    fn reported_factor(&self, now: MonotonicTime, duration: Duration) -> f64 {
        let (Some(newest), Some(usual)) = (self.newest, self.usual) else {
            return 1.0;
        };
        let relative = (newest.factor / usual).clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        1.0 + (relative - 1.0) * remaining_share(now.since(newest.at), duration)
    }
}

/// Returns the mean weight of a reading of this age over the next `duration`.
fn remaining_share(age: Duration, duration: Duration) -> f64 {
    let lifetime = READING_LIFETIME.as_secs_f64();
    let left = (lifetime - age.as_secs_f64()).max(0.0);
    let duration = duration.as_secs_f64();
    if duration <= 0.0 {
        return left / lifetime;
    }
    let covered = duration.min(left);
    (left * covered - covered * covered / 2.0) / (lifetime * duration)
}
