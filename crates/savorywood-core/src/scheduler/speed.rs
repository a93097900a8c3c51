//! Latency model of an upstream: prefill and decode speed measured from its responses.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time constant by which older samples lose weight: after this time the old mean counts for at
/// most about a third (1/e) against a new sample.
const SPEED_DECAY: Duration = Duration::from_secs(10);
/// Prompt tokens to prefill from which a sample updates the prefill speed; smaller ones update the
/// fixed overhead.
const MIN_PREFILL_SAMPLE_TOKENS: u32 = 512;
/// Minimum weight of a new sample.
const MIN_SAMPLE_WEIGHT: f64 = 0.2;

/// Exponentially weighted mean that decays with time as well as with samples.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayedMean {
    value: Option<f64>,
    updated_at: MonotonicTime,
}

impl DecayedMean {
    /// Adds a sample. Its weight grows with the time since the last one.
    pub fn record(&mut self, now: MonotonicTime, sample: f64) {
        let age = now.since(self.updated_at).as_secs_f64();
        let time_weight = 1.0 - (-age / SPEED_DECAY.as_secs_f64()).exp();
        let weight = MIN_SAMPLE_WEIGHT.max(time_weight);
        let value = self
            .value
            .map_or(sample, |old| old + weight * (sample - old));
        self.value = Some(value);
        self.updated_at = now;
    }

    /// Returns the mean; `None` without samples.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        self.value
    }
}

/// Speed figures used for predictions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedEstimate {
    /// Fixed part of the time to first token, in seconds.
    pub overhead: f64,
    /// Seconds of prefill per token.
    pub prefill: f64,
    /// Seconds between two output tokens.
    pub gap: f64,
}

impl SpeedEstimate {
    /// Returns the seconds to the first token with `uncached` prompt tokens to prefill.
    #[must_use]
    pub fn first_token_seconds(&self, uncached: f64) -> f64 {
        self.overhead + self.prefill * uncached
    }

    /// Returns the seconds to the last of `output` tokens.
    #[must_use]
    pub fn completion_seconds(&self, uncached: f64, output: f64) -> f64 {
        self.first_token_seconds(uncached) + self.gap * output
    }
}

/// Measured speed of one upstream or of a whole service.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpeedMeter {
    overhead: DecayedMean,
    prefill: DecayedMean,
    gap: DecayedMean,
}

impl SpeedMeter {
    /// Records the time to first token of an attempt with `uncached` tokens to prefill.
    pub fn record_first_token(&mut self, now: MonotonicTime, took: Duration, uncached: u32) {
        let took = took.as_secs_f64();
        if uncached >= MIN_PREFILL_SAMPLE_TOKENS {
            let overhead = self.overhead.value().unwrap_or(0.0).min(took / 2.0);
            let sample = (took - overhead) / f64::from(uncached);
            self.prefill.record(now, sample);
        } else {
            let prefill = self.prefill.value().unwrap_or(0.0) * f64::from(uncached);
            self.overhead.record(now, (took - prefill).max(took / 10.0));
        }
    }

    /// Records the time that `count` tokens after the first took.
    pub fn record_tokens(&mut self, now: MonotonicTime, took: Duration, count: u32) {
        if count > 0 {
            self.gap.record(now, took.as_secs_f64() / f64::from(count));
        }
    }

    /// Whether a token gap has been measured; without it the end of a response can't be predicted.
    #[must_use]
    pub fn has_token_gap(&self) -> bool {
        self.gap.value().is_some()
    }

    /// Returns the measured figures, and those of `fallback` where none were measured.
    #[must_use]
    pub fn estimate(&self, fallback: SpeedEstimate) -> SpeedEstimate {
        SpeedEstimate {
            overhead: self.overhead.value().unwrap_or(fallback.overhead),
            prefill: self.prefill.value().unwrap_or(fallback.prefill),
            gap: self.gap.value().unwrap_or(fallback.gap),
        }
    }
}
