//! How fast upstreams are, learned from what this daemon sees.

use std::time::Duration;

/// Weight of the newest observation.
const NEWEST_WEIGHT: f64 = 0.2;
/// Weight of a pause that is longer than the usual longest ones: these come beside long prompts,
/// rarely and at any moment.
const LONGER_GAP_WEIGHT: f64 = 0.5;
/// Weight of a shorter one.
const SHORTER_GAP_WEIGHT: f64 = 0.05;
/// Longest pause, before anything was seen.
const DEFAULT_LONGEST_GAP_MS: f64 = 400.0;
/// Time of a request without prompt, before anything was seen.
const DEFAULT_BASE_MS: f64 = 20.0;
/// Time of one prompt token, before anything was seen.
const DEFAULT_TOKEN_MS: f64 = 0.025;
/// Time of a pair of prompt tokens: each token attends to all before it.
const DEFAULT_TOKEN_PAIR_MS: f64 = 0.000_000_29;
/// By how much the usual time to the first event moves with each observation, as a part of it.
const FIRST_EVENT_STEP: f64 = 0.12;
/// Weight of a caller's guess of its answer's length against the usual length: guesses are right
/// at the median and often far off.
const HINT_WEIGHT: f64 = 0.7;
/// Time between two events, before anything was seen.
const DEFAULT_GAP_MS: f64 = 20.0;

/// Time to the first event that an upstream of ordinary speed needs for a prompt.
#[must_use]
pub fn nominal_first_event_ms(prompt: u32) -> f64 {
    let tokens = f64::from(prompt);
    DEFAULT_BASE_MS + tokens * DEFAULT_TOKEN_MS + tokens * tokens * DEFAULT_TOKEN_PAIR_MS
}

/// Moving means of one upstream, or of all upstreams of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LatencyModel {
    /// Time to the first event against the nominal one.
    first: Option<f64>,
    /// Milliseconds between events.
    gap_ms: Option<f64>,
    /// Milliseconds of the longest pauses between events.
    longest_gap_ms: Option<f64>,
    /// Milliseconds of a whole answer.
    response_ms: Option<f64>,
    /// Events of an answer.
    events: Option<f64>,
    /// Events against the tokens that the caller expected.
    events_per_token: Option<f64>,
}

fn blend(mean: &mut Option<f64>, value: f64) {
    *mean = Some(match *mean {
        Some(old) => old + (value - old) * NEWEST_WEIGHT,
        None => value,
    });
}

impl LatencyModel {
    /// The first event came.
    pub fn record_first_event(&mut self, prompt: u32, elapsed: Duration) {
        let ratio = elapsed.as_secs_f64() * 1e3 / nominal_first_event_ms(prompt);
        // The median: a wait in the upstream's queue, or behind another's long prompt, says little
        // of its speed, and a mean would take such an upstream for a slow one.
        let known = self.first.get_or_insert(ratio);
        *known *= if ratio > *known {
            1.0 + FIRST_EVENT_STEP
        } else {
            1.0 / (1.0 + FIRST_EVENT_STEP)
        };
    }

    /// A stream ended well.
    pub fn record_stream(
        &mut self,
        events: u32,
        expected_tokens: u32,
        after_first: Duration,
        total: Duration,
    ) {
        if events > 1 {
            let gap = after_first.as_secs_f64() * 1e3 / f64::from(events - 1);
            blend(&mut self.gap_ms, gap);
        }
        blend(&mut self.events, f64::from(events));
        if expected_tokens > 0 {
            let ratio = f64::from(events) / f64::from(expected_tokens);
            blend(&mut self.events_per_token, ratio.min(2.0));
        }
        blend(&mut self.response_ms, total.as_secs_f64() * 1e3);
    }

    /// The longest pause of a stream that ended well.
    pub fn record_longest_gap(&mut self, longest: Duration) {
        let millis = longest.as_secs_f64() * 1e3;
        let known = self.longest_gap_ms.get_or_insert(millis);
        let weight = if millis > *known {
            LONGER_GAP_WEIGHT
        } else {
            SHORTER_GAP_WEIGHT
        };
        *known += (millis - *known) * weight;
    }

    /// Milliseconds of the longest pauses that are usual there.
    #[must_use]
    pub fn longest_gap_ms(&self, service: &Self) -> f64 {
        self.longest_gap_ms
            .or(service.longest_gap_ms)
            .unwrap_or(DEFAULT_LONGEST_GAP_MS)
    }

    /// A plain answer ended well.
    pub fn record_response(&mut self, total: Duration) {
        blend(&mut self.response_ms, total.as_secs_f64() * 1e3);
    }

    /// Expected milliseconds to the first event; `usual` stands in for what was not seen.
    #[must_use]
    pub fn first_event_ms(&self, service: &Self, prompt: u32) -> f64 {
        nominal_first_event_ms(prompt) * self.first.or(service.first).unwrap_or(1.0)
    }

    /// Expected milliseconds from the first event to the last, for an answer of about so many
    /// tokens; zero where nobody guessed.
    #[must_use]
    pub fn streaming_ms(&self, service: &Self, expected_tokens: u32) -> f64 {
        let gap = self.gap_ms.or(service.gap_ms).unwrap_or(DEFAULT_GAP_MS);
        let mean = service.events.unwrap_or(10.0);
        let hinted = match service.events_per_token {
            Some(ratio) if expected_tokens > 0 => ratio * f64::from(expected_tokens),
            _ => mean,
        };
        gap * (hinted * HINT_WEIGHT + mean * (1.0 - HINT_WEIGHT))
    }

    /// Expected milliseconds of a whole answer.
    #[must_use]
    pub fn response_ms(&self, service: &Self) -> f64 {
        self.response_ms.or(service.response_ms).unwrap_or(100.0)
    }

    /// Answers a second of one slot, up to a factor that is the same for a whole service.
    #[must_use]
    pub fn throughput(&self, service: &Self) -> f64 {
        let gap = self.gap_ms.or(service.gap_ms);
        1.0 / gap.unwrap_or_else(|| self.response_ms(service)).max(0.1)
    }

    /// Mean gap between events in milliseconds, where some were seen.
    #[must_use]
    pub fn gap_ms(&self) -> Option<f64> {
        self.gap_ms
    }
}
