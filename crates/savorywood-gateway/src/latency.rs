//! Latency model of upstreams, estimated from the responses that this daemon receives.

use std::time::Duration;

/// Weight of the newest observation in moving averages.
const NEWEST_WEIGHT: f64 = 0.2;
/// Weight of a gap that exceeds the current estimate of the longest gap. Such gaps are caused by
/// long prompts in the same batch, rarely and at any time.
const LONGER_GAP_WEIGHT: f64 = 0.5;
/// Weight of a gap that is shorter than the estimate.
const SHORTER_GAP_WEIGHT: f64 = 0.05;
/// Longest gap between events, without observations.
const DEFAULT_LONGEST_GAP_MS: f64 = 400.0;
/// Time to the first event for an empty prompt, without observations.
const DEFAULT_BASE_MS: f64 = 20.0;
/// Time for each prompt token, without observations.
const DEFAULT_TOKEN_MS: f64 = 0.025;
/// Time for each pair of prompt tokens: a token attends to all tokens before it.
const DEFAULT_TOKEN_PAIR_MS: f64 = 0.000_000_29;
/// Relative step by which the estimated time to the first event changes with each observation.
const FIRST_EVENT_STEP: f64 = 0.12;
/// Weight of a caller's length hint relative to the mean length: hints are accurate at the median
/// and often far off.
const HINT_WEIGHT: f64 = 0.7;
/// Interval between events, without observations.
const DEFAULT_GAP_MS: f64 = 20.0;

/// Returns the time to the first event of an upstream of typical speed, in milliseconds.
#[must_use]
pub fn nominal_first_event_ms(prompt_tokens: u32) -> f64 {
    let tokens = f64::from(prompt_tokens);
    DEFAULT_BASE_MS + tokens * DEFAULT_TOKEN_MS + tokens * tokens * DEFAULT_TOKEN_PAIR_MS
}

/// Moving averages for one upstream, or for all upstreams of a service. `None` means that nothing
/// has been observed yet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LatencyModel {
    /// Time to the first event, as a ratio to the nominal time.
    first_event_ratio: Option<f64>,
    /// Interval between events, in milliseconds.
    gap_ms: Option<f64>,
    /// Longest gap between events of a stream, in milliseconds.
    longest_gap_ms: Option<f64>,
    /// Duration of a complete response, in milliseconds.
    response_ms: Option<f64>,
    /// Number of events of a stream.
    events: Option<f64>,
    /// Ratio of events to the tokens that the caller expected.
    events_per_token: Option<f64>,
}

fn update_mean(mean: &mut Option<f64>, value: f64) {
    *mean = Some(match *mean {
        Some(old) => old + (value - old) * NEWEST_WEIGHT,
        None => value,
    });
}

impl LatencyModel {
    /// Records the time to the first event of a response.
    pub fn record_first_event(&mut self, prompt_tokens: u32, elapsed: Duration) {
        let ratio = elapsed.as_secs_f64() * 1e3 / nominal_first_event_ms(prompt_tokens);
        // Estimates the median: a wait in the upstream's queue, or behind another request's long
        // prompt, does not reflect its speed, and would distort a mean.
        let estimate = self.first_event_ratio.get_or_insert(ratio);
        *estimate *= if ratio > *estimate {
            1.0 + FIRST_EVENT_STEP
        } else {
            1.0 / (1.0 + FIRST_EVENT_STEP)
        };
    }

    /// Records a stream that ended successfully: its number of events, the tokens that the caller
    /// expected, the time after the first event and the total time.
    pub fn record_stream(
        &mut self,
        events: u32,
        expected_tokens: u32,
        after_first: Duration,
        total: Duration,
    ) {
        if events > 1 {
            let gap = after_first.as_secs_f64() * 1e3 / f64::from(events - 1);
            update_mean(&mut self.gap_ms, gap);
        }
        update_mean(&mut self.events, f64::from(events));
        if expected_tokens > 0 {
            let ratio = f64::from(events) / f64::from(expected_tokens);
            update_mean(&mut self.events_per_token, ratio.min(2.0));
        }
        update_mean(&mut self.response_ms, total.as_secs_f64() * 1e3);
    }

    /// Records the longest gap between events of a stream that ended successfully.
    pub fn record_longest_gap(&mut self, longest: Duration) {
        let millis = longest.as_secs_f64() * 1e3;
        let estimate = self.longest_gap_ms.get_or_insert(millis);
        let weight = if millis > *estimate {
            LONGER_GAP_WEIGHT
        } else {
            SHORTER_GAP_WEIGHT
        };
        *estimate += (millis - *estimate) * weight;
    }

    /// Returns the typical longest gap between events, in milliseconds; `service` is used without
    /// observations.
    #[must_use]
    pub fn longest_gap_ms(&self, service: &Self) -> f64 {
        self.longest_gap_ms
            .or(service.longest_gap_ms)
            .unwrap_or(DEFAULT_LONGEST_GAP_MS)
    }

    /// Returns whether a complete response was recorded.
    #[must_use]
    pub fn has_responses(&self) -> bool {
        self.response_ms.is_some()
    }

    /// Records the total time of a successful non-streaming response.
    pub fn record_response(&mut self, total: Duration) {
        update_mean(&mut self.response_ms, total.as_secs_f64() * 1e3);
    }

    /// Returns the expected time to the first event, in milliseconds; `service` is used without
    /// observations.
    #[must_use]
    pub fn first_event_ms(&self, service: &Self, prompt_tokens: u32) -> f64 {
        nominal_first_event_ms(prompt_tokens)
            * self
                .first_event_ratio
                .or(service.first_event_ratio)
                .unwrap_or(1.0)
    }

    /// Returns the expected time from the first event to the last, in milliseconds.
    /// `expected_tokens` is the caller's hint, zero if there is none.
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

    /// Returns the expected duration of a complete response, in milliseconds.
    #[must_use]
    pub fn response_ms(&self, service: &Self) -> f64 {
        self.response_ms.or(service.response_ms).unwrap_or(100.0)
    }

    /// Returns the responses per second of one slot, up to a factor that is the same within a
    /// service.
    #[must_use]
    pub fn throughput(&self, service: &Self) -> f64 {
        let gap = self.gap_ms.or(service.gap_ms);
        1.0 / gap.unwrap_or_else(|| self.response_ms(service)).max(0.1)
    }

    /// Returns the mean interval between events in milliseconds, if any were observed.
    #[must_use]
    pub fn gap_ms(&self) -> Option<f64> {
        self.gap_ms
    }
}
