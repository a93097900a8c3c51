//! How fast upstreams are, learned from what this daemon sees.

use std::time::Duration;

/// Weight of the newest observation.
const NEWEST_WEIGHT: f64 = 0.2;
/// Time of a request without prompt, before anything was seen.
const BASE_MS: f64 = 20.0;
/// Time of one prompt token, before anything was seen.
const TOKEN_MS: f64 = 0.025;
/// Time between two events, before anything was seen.
const GAP_MS: f64 = 20.0;

/// Time to the first event that an upstream of ordinary speed needs for a prompt.
#[must_use]
pub fn nominal_first_ms(prompt: u32) -> f64 {
    BASE_MS + f64::from(prompt) * TOKEN_MS
}

/// Moving means of one upstream, or of all upstreams of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PaceEstimate {
    /// Time to the first event against the nominal one.
    first: Option<f64>,
    /// Milliseconds between events.
    gap_ms: Option<f64>,
    /// Milliseconds of a whole answer.
    whole_ms: Option<f64>,
    /// Events of an answer.
    events: Option<f64>,
}

fn blend(mean: &mut Option<f64>, value: f64) {
    *mean = Some(match *mean {
        Some(old) => old + (value - old) * NEWEST_WEIGHT,
        None => value,
    });
}

impl PaceEstimate {
    /// The first event came.
    pub fn saw_first(&mut self, prompt: u32, elapsed: Duration) {
        let ratio = elapsed.as_secs_f64() * 1e3 / nominal_first_ms(prompt);
        // A long wait in the upstream's queue says little of its speed.
        blend(&mut self.first, ratio.min(50.0));
    }

    /// A stream ended well.
    pub fn saw_stream(&mut self, events: u32, after_first: Duration, whole: Duration) {
        if events > 1 {
            let gap = after_first.as_secs_f64() * 1e3 / f64::from(events - 1);
            blend(&mut self.gap_ms, gap);
        }
        blend(&mut self.events, f64::from(events));
        blend(&mut self.whole_ms, whole.as_secs_f64() * 1e3);
    }

    /// A plain answer ended well.
    pub fn saw_answer(&mut self, whole: Duration) {
        blend(&mut self.whole_ms, whole.as_secs_f64() * 1e3);
    }

    /// Expected milliseconds to the first event; `usual` stands in for what was not seen.
    #[must_use]
    pub fn first_ms(&self, usual: &Self, prompt: u32) -> f64 {
        nominal_first_ms(prompt) * self.first.or(usual.first).unwrap_or(1.0)
    }

    /// Expected milliseconds from the first event to the last.
    #[must_use]
    pub fn rest_ms(&self, usual: &Self) -> f64 {
        let gap = self.gap_ms.or(usual.gap_ms).unwrap_or(GAP_MS);
        gap * usual.events.unwrap_or(10.0)
    }

    /// Expected milliseconds of a whole answer.
    #[must_use]
    pub fn whole_ms(&self, usual: &Self) -> f64 {
        self.whole_ms.or(usual.whole_ms).unwrap_or(100.0)
    }

    /// Mean gap between events in milliseconds, where some were seen.
    #[must_use]
    pub fn gap_ms(&self) -> Option<f64> {
        self.gap_ms
    }
}
