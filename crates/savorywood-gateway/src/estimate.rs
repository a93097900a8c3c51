//! Expected response time of a request at one upstream.

/// Factor by which a response may exceed the length hint and still has to be complete in time.
/// Hints of callers are accurate at the median only, and a response that is cut off near its end
/// has held a slot for nothing.
pub const LENGTH_MARGIN: f64 = 1.8;

/// Expected duration of the phases of one response at one upstream, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseEstimate {
    /// Time to the first event, or to the complete non-streaming response, with no prompts queued
    /// ahead.
    pub idle_first_event_ms: f64,
    /// The same, with the prompts that the upstream has yet to process ahead of it.
    pub first_event_ms: f64,
    /// Time from the first event to the last; zero for a non-streaming response.
    pub streaming_ms: f64,
    /// The response is an event stream.
    pub stream: bool,
}

impl ResponseEstimate {
    /// Creates the estimate of a non-streaming response, which has a single phase.
    #[must_use]
    pub fn non_streaming(response_ms: f64) -> Self {
        Self {
            idle_first_event_ms: response_ms,
            first_event_ms: response_ms,
            streaming_ms: 0.0,
            stream: false,
        }
    }

    /// Returns the time for which the request holds a slot, in milliseconds.
    #[must_use]
    pub fn slot_hold_ms(&self) -> f64 {
        self.idle_first_event_ms + self.streaming_ms
    }

    /// Returns true if a stream that starts now completes within `remaining_ms`, with a margin for a
    /// longer response than expected. Non-streaming responses always fit.
    #[must_use]
    pub fn fits_within(&self, remaining_ms: f64) -> bool {
        !self.stream || self.idle_first_event_ms + self.streaming_ms * LENGTH_MARGIN <= remaining_ms
    }
}
