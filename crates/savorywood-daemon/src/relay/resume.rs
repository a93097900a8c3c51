//! Reads on a stream that another daemon dispatched.

use super::{attempt::is_hop_header, task::RequestTask};
use crate::problem::{self, OUTCOME_HEADER, REQUEST_ID_HEADER};
use async_io::Timer;
use futures_lite::future;
use http_types::{Body, Method, Response};
use savorywood_core::effect::ResumeCommand;
use savorywood_http::{CallRequest, UpstreamAnswer, body::BodyPair, body_channel};
use savorywood_protocol::{OutcomeKind, RefusalCode, RequestRefusal};
use std::io;

/// Bytes read from an upstream at a time.
const READ_BYTES: usize = 16_384;

impl RequestTask {
    /// Relays the rest of a stream. Reading it twice does no harm, so a failure here is told to
    /// the caller as "come again with the token".
    pub(super) async fn resume(&self, order: ResumeCommand) {
        let target = format!(
            "/savorywood/streams/{}?offset={}",
            order.stream, order.offset
        );
        let call = CallRequest::new(order.address, Method::Get, target);
        let answer = match call.build() {
            Ok(request) => self.shared.client.send(order.address, request).await,
            Err(error) => Err(error),
        };
        match answer {
            Ok(answer) if answer.status() == 200 => self.relay_rest(answer).await,
            Ok(answer) => {
                let detail = format!(
                    "upstream {} no longer has the stream (status {})",
                    order.upstream,
                    answer.status()
                );
                self.refuse_resume(&detail);
            }
            Err(error) => self.refuse_resume(&error.to_string()),
        }
    }

    fn refuse_resume(&self, detail: &str) {
        let refusal = RequestRefusal::unknown(RefusalCode::UpstreamFailed, detail);
        self.reply(problem::problem(&refusal, Some(self.request)));
    }

    /// Reads on, but not for ever: over a link that carries nothing any more the caller would hang
    /// with half an answer.
    async fn read_rest(&self, answer: &mut UpstreamAnswer, piece: &mut [u8]) -> io::Result<usize> {
        let stalled = async {
            Timer::after(self.shared.options.stall_time).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        future::or(answer.body.read(piece), stalled).await
    }

    async fn relay_rest(&self, mut answer: UpstreamAnswer) {
        let BodyPair { sender, receiver } = body_channel();
        let mut response = Response::new(answer.head.status());
        response.set_body(Body::from_reader(receiver, answer.body.announced()));
        for (name, values) in &answer.head {
            if !is_hop_header(name.as_str()) {
                response.remove_header(name);
                for value in values {
                    response.append_header(name, value.as_str());
                }
            }
        }
        let outcome: &'static str = OutcomeKind::Ran.into();
        response.insert_header(OUTCOME_HEADER, outcome);
        response.insert_header(REQUEST_ID_HEADER, self.request.to_string());
        let is_events = answer
            .header("content-type")
            .is_some_and(|kind| kind.starts_with("text/event-stream"));
        self.reply(response);
        let mut piece = vec![0; READ_BYTES];
        let mut tail = StreamTail::default();
        // Any error drops the sender, which breaks the caller's body off.
        while let Ok(count) = self.read_rest(&mut answer, &mut piece).await {
            if count == 0 {
                if !is_events || tail.ends_stream() {
                    let _ = sender.finish().await;
                }
                return;
            }
            tail.push(&piece[..count]);
            if sender.send(piece[..count].to_vec()).await.is_err() {
                return;
            }
        }
    }
}

/// End of a token stream.
const END_MARK: &[u8] = b"data: [DONE]";

/// The last bytes of a stream's rest. The rest may begin anywhere, even within the end mark.
#[derive(Debug, Default)]
struct StreamTail {
    bytes: Vec<u8>,
}

impl StreamTail {
    /// Room for the mark and the line ends after it.
    const ROOM: usize = END_MARK.len() + 8;

    fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        let surplus = self.bytes.len().saturating_sub(Self::ROOM);
        self.bytes.drain(..surplus);
    }

    /// Whether the stream's end mark came, here or before the rest began.
    fn ends_stream(&self) -> bool {
        let end = self.bytes.trim_ascii_end();
        // An empty rest says nothing: the stream may have been cut off just where the caller's part
        // ends. Read as a clean end, it would make that part a whole answer.
        !end.is_empty() && (end.ends_with(END_MARK) || END_MARK.ends_with(end))
    }
}

#[cfg(test)]
mod tests;
