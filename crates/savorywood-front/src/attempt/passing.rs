//! Responses that are passed on before they are complete, because the memory budget has no room.
//!
//! A response that is not a stream is usually held until it is complete, so that another upstream can be
//! tried if one fails in the middle, and so that a slow caller keeps no slot. When the budget is
//! exhausted, waiting for memory would stop the responses of callers that read, too. Passing on needs
//! no memory, and slows down only the upstream of the caller that is slow.

use super::{
    UpstreamAttempt,
    delivery::{Delivery, PassedBody},
};
use crate::{
    adapter::ParsedResponseHead,
    held::{ReadEnd, ResponseBody, ResponseReader},
    sink::ResponseSink,
    wire::{BodyError, BodyFraming, ByteReader, InputLimit, ResponseHead},
};
use async_io::Timer;
use futures_lite::future;
use savorywood_core::{LogLevel, LogLine};
use savorywood_gateway::AttemptOutcome;
use std::time::Duration;

/// Interval at which a response without room asks again whether more may be held.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A response body that was read as far as the budget allows.
pub enum WholeRead {
    Complete(ResponseBody),
    Paused(ResponseReader),
}

/// How the passing on ended.
enum PassEnd {
    Complete,
    UpstreamFailed(Option<InputLimit>),
    CallerFailed,
    /// The memory of what was received before is needed otherwise, and the caller reads nothing.
    Cut,
}

impl UpstreamAttempt<'_> {
    pub(super) async fn read_whole(
        &self,
        reader: &mut ByteReader,
        framing: BodyFraming,
        may_pause: bool,
    ) -> Result<WholeRead, BodyError> {
        let mut response = ResponseReader::new(&self.shared.held, framing)?;
        match response.read(self.shared, reader, may_pause).await? {
            ReadEnd::Complete => Ok(WholeRead::Complete(response.body)),
            ReadEnd::Paused => Ok(WholeRead::Paused(response)),
        }
    }

    /// Writes what was received of a response, and the rest as fast as the caller reads it.
    pub(super) async fn pass_on(
        &mut self,
        reader: &mut ByteReader,
        head: ResponseHead,
        parsed: &ParsedResponseHead,
        mut response: ResponseReader,
    ) -> (AttemptOutcome, Option<ResponseHead>) {
        let line = LogLine::new(LogLevel::Info, "response-passed-on")
            .with("request", self.request_id())
            .with("upstream", &self.order.upstream)
            .with("received", response.body.len())
            .with("budget", self.shared.held.budget());
        self.shared.log.write_line(&line);
        let length = match head.framing {
            BodyFraming::Length(length) => Some(length),
            BodyFraming::Empty | BodyFraming::Chunked | BodyFraming::UntilClose => None,
        };
        let lines = self.forwarded_headers(&head);
        self.sink
            .queue_passed_head(head.status, &head.reason, &lines, length);
        let cut = response.body.charge().cut_signal();
        response.body.charge().begin_delivery();
        let passed = self.pass_body(reader, length.is_some(), &mut response);
        let cut = async {
            cut.wait().await;
            PassEnd::Cut
        };
        match future::or(passed, cut).await {
            PassEnd::Complete => {
                self.delivery = Some(Delivery::Passed(PassedBody {
                    body: response.body,
                    has_length: length.is_some(),
                }));
                let outcome = AttemptOutcome::Delivered {
                    metadata: parsed.metadata,
                    events: 0,
                };
                (outcome, Some(head))
            }
            PassEnd::UpstreamFailed(limit) => {
                self.report_limit(limit);
                (self.stream_broken(), None)
            }
            PassEnd::CallerFailed => (AttemptOutcome::CallerDisconnected, None),
            PassEnd::Cut => {
                self.sink.is_cut = true;
                (AttemptOutcome::CallerDisconnected, None)
            }
        }
    }

    /// Receives the rest of the body and writes it meanwhile. As long as the budget has room, it is
    /// received faster than the caller reads; otherwise a piece is received once the last one is
    /// written.
    async fn pass_body(
        &mut self,
        reader: &mut ByteReader,
        has_length: bool,
        response: &mut ResponseReader,
    ) -> PassEnd {
        while !response.is_complete() {
            let is_written = self.sink.unwritten_bytes() == 0
                && !queue_segment(self.sink, &mut response.body, has_length);
            if is_written {
                response.release();
            }
            let may_receive = is_written || response.charge_received(self.shared);
            let delivered = response.body.charge().delivery_record();
            let flush = async {
                if is_written {
                    return future::pending().await;
                }
                let before = self.sink.unwritten_bytes();
                let flushed = self.sink.flush_some().await;
                delivered.record(before - self.sink.unwritten_bytes());
                flushed.map_err(|_| PassEnd::CallerFailed)
            };
            let receive = async {
                if !may_receive {
                    Timer::after(PAUSE_POLL_INTERVAL).await;
                    return Ok(());
                }
                let received = response.receive(reader).await;
                received.map_err(|error| PassEnd::UpstreamFailed(error.limit()))
            };
            if let Err(end) = future::or(flush, receive).await {
                return end;
            }
        }
        PassEnd::Complete
    }
}

/// Moves the next segment of a body to what is to be written. Returns whether there was one.
pub(super) fn queue_segment(
    sink: &mut ResponseSink,
    body: &mut ResponseBody,
    has_length: bool,
) -> bool {
    let Some(segment) = body.next_segment() else {
        return false;
    };
    if has_length {
        sink.queue_bytes(&segment);
    } else {
        sink.queue_events(&segment);
    }
    true
}
