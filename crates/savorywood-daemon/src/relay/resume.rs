//! Reads on a stream that another daemon dispatched.

use super::{attempt::is_hop_header, task::RequestTask};
use crate::problem::{self, OUTCOME_HEADER, REQUEST_HEADER};
use http_types::{Body, Method, Response};
use savorywood_core::effect::ResumeOrder;
use savorywood_http::{CallRequest, UpstreamAnswer, body::BodyPair, body_channel};
use savorywood_protocol::{OutcomeKind, RefusalCode, RequestRefusal};

/// Bytes read from an upstream at a time.
const READ_BYTES: usize = 16_384;

impl RequestTask {
    /// Relays the rest of a stream. Reading it twice does no harm, so a failure here is told to
    /// the caller as "come again with the token".
    pub(super) async fn resume(&self, order: ResumeOrder) {
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
        response.insert_header(REQUEST_HEADER, self.request.to_string());
        self.reply(response);
        let mut piece = vec![0; READ_BYTES];
        // Any error drops the sender, which breaks the caller's body off.
        while let Ok(count) = answer.body.read(&mut piece).await {
            if count == 0 {
                let _ = sender.finish().await;
                return;
            }
            if sender.send(piece[..count].to_vec()).await.is_err() {
                return;
            }
        }
    }
}
