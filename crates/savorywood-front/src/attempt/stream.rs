//! Forwarding of a streamed response.

use super::{
    UpstreamAttempt,
    delivery::Delivery,
    events::{EventBuffer, StreamEvent},
    stream_limit::StreamLimit,
};
use crate::{
    adapter::ParsedResponseHead,
    held::{HeldCharge, HeldKind, HeldVerdict},
    metrics,
    wire::{BodyDecoder, ByteReader, HeaderLine, InputLimit, ResponseHead},
};
use async_io::Timer;
use futures_lite::future;
use savorywood_gateway::{AttemptOutcome, GatewayEvent};
use savorywood_protocol::MonotonicTime;
use std::{io, time::Duration};

/// Bytes of a stream that its caller has not read from which the upstream is not read from either. A
/// complete response of the largest output stays within it, so that the upstream can finish.
const MAX_UNWRITTEN_BYTES: usize = 1 << 20;
/// Interval at which a stream without unwritten bytes asks again whether it may be read.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Complete events that were received together.
#[derive(Debug, Default)]
struct TakenEvents {
    bytes: Vec<u8>,
    count: u32,
}

/// State of a stream that is forwarded.
struct OpenStream {
    decoder: BodyDecoder,
    buffer: EventBuffer,
    limit: StreamLimit,
    charge: HeldCharge,
    /// Bytes that the charge covers.
    charged: usize,
    paused_since: Option<MonotonicTime>,
}

/// How the forwarding of a stream ended.
enum StreamEnd {
    /// The upstream has sent the complete stream.
    Complete,
    /// The stream ended before its last event, or exceeded a limit.
    Broken,
    /// The caller's connection failed.
    CallerFailed,
    /// The memory of unwritten events is needed otherwise.
    Cut,
}

impl From<io::Error> for StreamEnd {
    fn from(_: io::Error) -> Self {
        Self::CallerFailed
    }
}

impl UpstreamAttempt<'_> {
    /// Forwards a stream. The caller may read more slowly than the upstream sends: events that it has
    /// not read are held, so that the slot of the upstream becomes free.
    pub(super) async fn relay_stream(
        &mut self,
        reader: &mut ByteReader,
        head: ResponseHead,
        parsed: &ParsedResponseHead,
    ) -> (AttemptOutcome, Option<ResponseHead>) {
        let mut stream = OpenStream {
            decoder: BodyDecoder::new(head.framing),
            buffer: EventBuffer::default(),
            limit: StreamLimit::new(self.max_output_tokens()),
            charge: HeldCharge::open(&self.shared.held, HeldKind::Events),
            charged: 0,
            paused_since: None,
        };
        let cut = stream.charge.cut_signal();
        let forward = self.forward(reader, &head, parsed, &mut stream);
        let cut = async {
            cut.wait().await;
            StreamEnd::Cut
        };
        let end = future::or(forward, cut).await;
        let outcome = match end {
            StreamEnd::Complete => {
                self.sink.queue_stream_end();
                self.delivery = Some(Delivery::Stream(stream.charge));
                let outcome = AttemptOutcome::Delivered {
                    metadata: parsed.metadata,
                    events: self.sink.events(),
                };
                return (outcome, Some(head));
            }
            StreamEnd::Broken => self.stream_broken(),
            StreamEnd::CallerFailed => AttemptOutcome::CallerDisconnected,
            StreamEnd::Cut => {
                self.sink.is_cut = true;
                AttemptOutcome::CallerDisconnected
            }
        };
        (outcome, None)
    }

    async fn forward(
        &mut self,
        reader: &mut ByteReader,
        head: &ResponseHead,
        parsed: &ParsedResponseHead,
        stream: &mut OpenStream,
    ) -> StreamEnd {
        let read = self.read_events(reader, head, parsed, stream).await;
        let is_complete = match read {
            Ok(is_complete) => is_complete && self.sink.has_started(),
            Err(end) => return end,
        };
        if is_complete {
            return StreamEnd::Complete;
        }
        // What the caller has not received yet must precede the events of the upstream that resumes.
        match self.sink.flush(&stream.charge).await {
            Ok(()) => StreamEnd::Broken,
            Err(error) => error.into(),
        }
    }

    /// Reads events until the stream ends, and writes them as fast as the caller reads. Returns whether
    /// the stream is complete.
    async fn read_events(
        &mut self,
        reader: &mut ByteReader,
        head: &ResponseHead,
        parsed: &ParsedResponseHead,
        stream: &mut OpenStream,
    ) -> Result<bool, StreamEnd> {
        let mut started = false;
        loop {
            let decoded = stream.decoder.decode(reader, stream.buffer.input_mut());
            if let Err(error) = decoded {
                self.report_limit(error.limit());
                return Ok(false);
            }
            let mut events = TakenEvents::default();
            let taken = self.take_events(&mut stream.buffer, &mut stream.limit, &mut events);
            if events.count > 0 {
                self.queue(&events, head);
                // Most callers take the events at once.
                if let Some(flushed) = future::poll_once(self.sink.flush_some()).await {
                    flushed?;
                }
                if started {
                    self.shared.step(GatewayEvent::ResponseProgressed {
                        request: self.order.request,
                        events: events.count,
                    });
                } else {
                    started = true;
                    self.report_started(parsed);
                }
            }
            if let Err(exceeded) = taken {
                self.report_limit(Some(exceeded));
                return Ok(false);
            }
            if stream.decoder.is_done() {
                return Ok(stream.buffer.is_empty());
            }
            match self.receive(reader, stream).await? {
                Ok(0) => return Ok(stream.decoder.ended().is_ok() && stream.buffer.is_empty()),
                Ok(_) => {}
                Err(_) => return Ok(false),
            }
        }
    }

    /// Waits for bytes of the upstream, and writes queued bytes meanwhile. The upstream is not read
    /// from while the budget is exhausted, or the caller has read too little.
    async fn receive(
        &mut self,
        reader: &mut ByteReader,
        stream: &mut OpenStream,
    ) -> Result<io::Result<usize>, StreamEnd> {
        loop {
            let may_read = self.update_charge(stream);
            let may_read = may_read && self.sink.unwritten_bytes() < MAX_UNWRITTEN_BYTES;
            if self.sink.unwritten_bytes() == 0 {
                if may_read {
                    return Ok(reader.fill().await);
                }
                Timer::after(PAUSE_POLL_INTERVAL).await;
                continue;
            }
            let flush = async {
                self.sink.flush_some().await?;
                Ok(None)
            };
            let fill = async {
                if may_read {
                    Ok(Some(reader.fill().await))
                } else {
                    Timer::after(PAUSE_POLL_INTERVAL).await;
                    Ok(None)
                }
            };
            let received: Result<_, StreamEnd> = future::or(flush, fill).await;
            if let Some(received) = received? {
                return Ok(received);
            }
        }
    }

    /// Adjusts the charge to the bytes held. Returns whether more may be read.
    fn update_charge(&self, stream: &mut OpenStream) -> bool {
        let unwritten = self.sink.unwritten_bytes();
        let held = unwritten + stream.buffer.len();
        if held < stream.charged {
            stream.charge.shrink(stream.charged - held);
            stream.charged = held;
        }
        let verdict = stream.charge.try_grow(self.shared, held - stream.charged);
        if unwritten > 0 {
            stream.charge.begin_delivery();
        } else {
            stream.charge.keep();
        }
        let now = self.shared.clock.now();
        if verdict != HeldVerdict::Allow {
            stream.paused_since.get_or_insert(now);
            return false;
        }
        stream.charged = held;
        if let Some(since) = stream.paused_since.take() {
            stream.charge.report_pause(self.shared, now.since(since));
        }
        true
    }

    /// Moves the complete events of the buffer that the caller does not have yet to `taken`. Those
    /// before an error are recorded as forwarded, and have to be.
    fn take_events(
        &mut self,
        buffer: &mut EventBuffer,
        limit: &mut StreamLimit,
        taken: &mut TakenEvents,
    ) -> Result<(), InputLimit> {
        while let Some(event) = buffer.take_event()? {
            limit.record(event.bytes.len())?;
            if self.is_duplicate(&event) {
                continue;
            }
            taken.bytes.extend_from_slice(&event.bytes);
            taken.count += 1;
            self.sink.record_event(event.id);
        }
        Ok(())
    }

    fn queue(&mut self, events: &TakenEvents, head: &ResponseHead) {
        if !self.sink.has_started() {
            let lines: Vec<HeaderLine> = self.forwarded_headers(head);
            self.sink
                .queue_stream_head(head.status, &head.reason, &lines);
        }
        self.sink.queue_events(&events.bytes);
    }

    /// Reports whether the caller already has the event: an upstream that resumes a stream may
    /// repeat the last ones.
    fn is_duplicate(&self, event: &StreamEvent) -> bool {
        let known = self
            .sink
            .last_event_id()
            .and_then(|id| id.parse::<u64>().ok());
        let new = event.id.as_ref().and_then(|id| id.parse::<u64>().ok());
        matches!((known, new), (Some(known), Some(new)) if new <= known)
    }

    fn report_started(&self, parsed: &ParsedResponseHead) {
        let elapsed = self.shared.clock.now().since(self.arrived_at);
        metrics::observe(&self.shared.metrics.first_event, self.order, elapsed);
        self.shared.step(GatewayEvent::ResponseStarted {
            request: self.order.request,
            metadata: parsed.metadata,
        });
    }
}
