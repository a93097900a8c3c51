//! Latency histograms.

use hdrhistogram::Histogram;
use std::time::Duration;

/// Largest latency told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Significant digits.
const DIGITS: u8 = 3;

/// Latencies of many calls.
#[derive(Debug, Clone)]
pub struct LatencyRecord {
    histogram: Histogram<u64>,
}

impl Default for LatencyRecord {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_MICROS, DIGITS);
        Self {
            // The bounds are constants that the library accepts.
            histogram: histogram.unwrap_or_else(|error| unreachable!("{error}")),
        }
    }
}

impl LatencyRecord {
    /// Adds one latency.
    pub fn add(&mut self, elapsed: Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(MAX_MICROS);
        self.histogram.saturating_record(micros);
    }

    /// Adds all latencies of another record.
    pub fn merge(&mut self, other: &Self) {
        // Both have the same bounds.
        let _ = self.histogram.add(&other.histogram);
    }

    /// Latency that a share of the calls did not exceed, in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let micros = self.histogram.value_at_quantile(share);
        Duration::from_micros(micros).as_secs_f64() * 1_000.0
    }

    /// Calls recorded.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }
}
