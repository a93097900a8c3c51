//! Bound of a streamed response.

use crate::wire::InputLimit;

/// Maximum size of a stream of one attempt in bytes, as that of a response that is not streamed.
const MAX_STREAM_BYTES: usize = 16 << 20;
/// Events that are accepted for each token of the request's maximum output. An upstream sends at most
/// one event for each token, besides comments that keep the connection open.
const MAX_EVENTS_PER_TOKEN: u32 = 8;
/// Events that are accepted besides.
const MAX_EXTRA_EVENTS: u32 = 1_024;

/// Counts what an upstream sends as one stream.
///
/// A stream that is far longer than the maximum output that its caller named will not end in a valid
/// way. It is cut before its deadline, because until then it would hold a slot and the link of this
/// host.
#[derive(Debug)]
pub struct StreamLimit {
    max_events: u32,
    events: u32,
    bytes: usize,
}

impl StreamLimit {
    /// Creates the limit of a stream; `max_output_tokens` is absent when the request does not report
    /// it, and only the bytes are limited.
    pub fn new(max_output_tokens: Option<u32>) -> Self {
        let max_events = max_output_tokens.map_or(u32::MAX, |tokens| {
            let events = tokens.saturating_mul(MAX_EVENTS_PER_TOKEN);
            events.saturating_add(MAX_EXTRA_EVENTS)
        });
        Self {
            max_events,
            events: 0,
            bytes: 0,
        }
    }

    /// Records an event of the upstream, also one that is not forwarded.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream is longer than its limit.
    pub fn record(&mut self, bytes: usize) -> Result<(), InputLimit> {
        self.events = self.events.saturating_add(1);
        self.bytes = self.bytes.saturating_add(bytes);
        if self.events > self.max_events || self.bytes > MAX_STREAM_BYTES {
            return Err(InputLimit::Stream);
        }
        Ok(())
    }
}
