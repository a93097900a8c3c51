//! How fast an upstream prefills and decodes, learned from its own answers.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time after which an old figure counts for a third against a new one.
const SPEED_DECAY: Duration = Duration::from_secs(10);
/// Prompts shorter than this tell of the fixed part of a first token, longer ones of the rest.
const MIN_PREFILL_SAMPLE_TOKENS: u32 = 512;
/// Share of a sample in the usual case.
const MIN_SAMPLE_WEIGHT: f64 = 0.2;

/// A mean that forgets by time as well as by samples.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayedMean {
    value: Option<f64>,
    updated_at: MonotonicTime,
}

impl DecayedMean {
    /// Adds a sample. The longer ago the last one, the more this one counts.
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

    /// The mean, if there was a sample.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        self.value
    }
}

/// Speed figures that predictions are made of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedEstimate {
    /// Fixed part of the time to the first token, in seconds.
    pub overhead: f64,
    /// Seconds to prefill one token.
    pub prefill: f64,
    /// Seconds between two tokens.
    pub gap: f64,
}

impl SpeedEstimate {
    /// Seconds to the first token of a prompt of which `uncached` tokens must be prefilled.
    #[must_use]
    pub fn first_token_seconds(&self, uncached: f64) -> f64 {
        self.overhead + self.prefill * uncached
    }

    /// Seconds to the last of `output` tokens.
    #[must_use]
    pub fn completion_seconds(&self, uncached: f64, output: f64) -> f64 {
        self.first_token_seconds(uncached) + self.gap * output
    }
}

/// Learned speed of one upstream, or of a service as a whole.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpeedMeter {
    overhead: DecayedMean,
    prefill: DecayedMean,
    gap: DecayedMean,
}

impl SpeedMeter {
    /// Learns from a first token.
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

    /// Learns from `count` tokens that took this long.
    pub fn record_tokens(&mut self, now: MonotonicTime, took: Duration, count: u32) {
        if count > 0 {
            self.gap.record(now, took.as_secs_f64() / f64::from(count));
        }
    }

    /// Whether the time between tokens was seen, without which no end can be predicted.
    #[must_use]
    pub fn has_token_gap(&self) -> bool {
        self.gap.value().is_some()
    }

    /// The figures, with those of `fallback` for what was not seen yet.
    #[must_use]
    pub fn estimate(&self, fallback: SpeedEstimate) -> SpeedEstimate {
        SpeedEstimate {
            overhead: self.overhead.value().unwrap_or(fallback.overhead),
            prefill: self.prefill.value().unwrap_or(fallback.prefill),
            gap: self.gap.value().unwrap_or(fallback.gap),
        }
    }
}
