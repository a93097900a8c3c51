//! Delivery of complete responses to callers, after the upstream has been released.

use super::{UpstreamAttempt, passing::queue_segment};
use crate::{
    held::{HeldCharge, ResponseBody},
    sink::ResponseSink,
    wire::HeaderLine,
};
use futures_lite::future;
use savorywood_gateway::{AttemptOutcome, GatewayEvent};
use std::{io, pin::pin, rc::Rc};

/// A complete response that is not streamed.
#[derive(Debug)]
pub struct WholeResponse {
    pub status: u16,
    pub reason: String,
    /// Headers that are forwarded to the caller.
    pub lines: Vec<HeaderLine>,
    pub body: ResponseBody,
}

/// Rest of a response that was passed on before it was complete.
#[derive(Debug)]
pub struct PassedBody {
    pub body: ResponseBody,
    /// The head states a length, so that the body is not written in chunks.
    pub has_length: bool,
}

/// What is still to be written of a complete response.
#[derive(Debug)]
pub enum Delivery {
    /// All of it.
    Whole(WholeResponse),
    /// Queued bytes of a stream, with their charge.
    Stream(HeldCharge),
    /// The rest of a response that was passed on.
    Passed(PassedBody),
}

impl Delivery {
    fn charge(&self) -> &HeldCharge {
        match self {
            Self::Whole(response) => response.body.charge(),
            Self::Stream(charge) => charge,
            Self::Passed(passed) => passed.body.charge(),
        }
    }
}

/// How writing ended.
enum WriteEnd {
    Complete,
    /// The caller's connection failed.
    Failed,
    /// The memory of the response is needed otherwise, and the caller reads nothing.
    Cut,
}

impl From<io::Result<()>> for WriteEnd {
    fn from(written: io::Result<()>) -> Self {
        match written {
            Ok(()) => Self::Complete,
            Err(_) => Self::Failed,
        }
    }
}

impl UpstreamAttempt<'_> {
    /// Writes a complete response to the caller. `outcome` is that of a delivery.
    ///
    /// If the caller does not take all of it at once, the attempt is reported as ended before it is
    /// written: the upstream has finished, and its slot must not stay occupied for as long as the
    /// caller reads.
    pub(super) async fn deliver(
        &mut self,
        mut delivery: Delivery,
        outcome: AttemptOutcome,
    ) -> AttemptOutcome {
        let (shared, request) = (self.shared, self.order.request);
        let delivering = Rc::clone(&self.sink.delivering);
        let cut = delivery.charge().cut_signal();
        let sink = &mut *self.sink;
        let end = {
            let mut write = pin!(async {
                match &mut delivery {
                    Delivery::Whole(response) => {
                        let WholeResponse {
                            status,
                            reason,
                            lines,
                            body,
                        } = response;
                        sink.write_held(*status, reason, lines, body).await
                    }
                    Delivery::Stream(charge) => sink.flush(charge).await,
                    Delivery::Passed(passed) => write_passed(sink, passed).await,
                }
            });
            match future::poll_once(write.as_mut()).await {
                Some(written) => written.into(),
                None => {
                    delivering.set(true);
                    shared.step(GatewayEvent::AttemptEnded {
                        request,
                        outcome: outcome.clone(),
                    });
                    let cut = async {
                        cut.wait().await;
                        WriteEnd::Cut
                    };
                    future::or(async { write.await.into() }, cut).await
                }
            }
        };
        match end {
            WriteEnd::Complete => outcome,
            WriteEnd::Failed => AttemptOutcome::CallerDisconnected,
            WriteEnd::Cut => {
                self.sink.is_cut = true;
                AttemptOutcome::CallerDisconnected
            }
        }
    }
}

async fn write_passed(sink: &mut ResponseSink, passed: &mut PassedBody) -> io::Result<()> {
    let PassedBody { body, has_length } = passed;
    loop {
        sink.flush(body.charge()).await?;
        if !queue_segment(sink, body, *has_length) {
            break;
        }
    }
    if !*has_length {
        sink.queue_stream_end();
    }
    sink.flush(body.charge()).await
}
