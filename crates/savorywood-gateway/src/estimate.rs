//! What an answer is expected to take at one upstream.

/// How many times as long as guessed an answer may become and still end in time: callers' guesses
/// are right at the median only, and an answer that is cut off at its end has held a slot all that
/// time for nothing.
const LENGTH_MARGIN: f64 = 1.8;

/// Expected milliseconds of one answer at one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseEstimate {
    /// To the first event, or to the whole plain answer, were nothing else to be read there.
    pub idle_first_event_ms: f64,
    /// The same behind the prompts that are still to be read there.
    pub first_event_ms: f64,
    /// From the first event to the last.
    pub streaming_ms: f64,
    /// The answer is a stream.
    pub stream: bool,
}

impl ResponseEstimate {
    /// A plain answer.
    #[must_use]
    pub fn non_streaming(response_ms: f64) -> Self {
        Self {
            idle_first_event_ms: response_ms,
            first_event_ms: response_ms,
            streaming_ms: 0.0,
            stream: false,
        }
    }

    /// Time for which it holds a slot.
    #[must_use]
    pub fn slot_hold_ms(&self) -> f64 {
        self.idle_first_event_ms + self.streaming_ms
    }

    /// Begun now, it ends within so many milliseconds, also where it is longer than guessed.
    #[must_use]
    pub fn fits_within(&self, left_ms: f64) -> bool {
        !self.stream || self.idle_first_event_ms + self.streaming_ms * LENGTH_MARGIN <= left_ms
    }
}
