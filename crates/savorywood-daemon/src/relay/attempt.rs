//! One attempt: a call to one upstream and the relay of its answer.

use super::{
    observer::{AnswerObserver, ObservedEnd},
    task::{OutgoingCall, RequestTask},
    usage_filter::UsageFilter,
};
use crate::problem::{OUTCOME_HEADER, REQUEST_ID_HEADER, RESUME_HEADER};
use async_io::Timer;
use futures_lite::future;
use http_types::{Body, Method, Request, Response, Url};
use savorywood_core::{
    DaemonEvent, DispatchCommand, FailureCause, InvariantName, ResponseReport, StoredResponse,
    UpstreamEvent,
};
use savorywood_http::{
    BodySender, CallRequest, SendError, UpstreamAnswer, body::BodyPair, body_channel,
};
use savorywood_protocol::{
    OutcomeKind, ServiceName,
    resource::{ServiceProtocol, UpstreamExtension},
    resume_token::ResumeToken,
};
use std::{io, time::Duration};

/// Bytes read from an upstream at a time.
const READ_BYTES: usize = 4_096;

/// Header by which an engine knows a stream, to resume or cancel it (`docs/UPSTREAM.md`).
pub const STREAM_HEADER: &str = "x-savorywood-stream";

/// Time for telling an engine that a stream is cancelled.
const CANCEL_TIME: Duration = Duration::from_secs(1);

/// Headers that belong to one connection, not to the answer.
const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Whether a header belongs to one connection only.
pub fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.contains(&name)
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// No byte left this host.
    NotSent,
    /// The whole answer was relayed.
    Finished(ResponseReport),
    /// Bytes may have left, and there is no whole answer.
    Broken(FailureCause),
    /// The core gave it up.
    Cancelled,
}

/// One attempt.
pub struct RequestAttempt<'a> {
    task: &'a RequestTask,
    order: &'a DispatchCommand,
    service: Option<ServiceName>,
    extensions: Vec<UpstreamExtension>,
}

impl<'a> RequestAttempt<'a> {
    /// Prepares an attempt.
    pub fn new(task: &'a RequestTask, order: &'a DispatchCommand) -> Self {
        let config = task.shared.driver.config();
        let spec = config.upstreams.get(&order.upstream);
        Self {
            task,
            order,
            service: spec.map(|spec| spec.service.clone()),
            extensions: spec
                .map(|spec| spec.extensions.iter().copied().collect())
                .unwrap_or_default(),
        }
    }

    /// Sends the request and relays the answer.
    pub async fn run(&self) -> AttemptEnd {
        let Ok(request) = build_request(&self.task.call, self.order, &self.stream_name()) else {
            return AttemptEnd::NotSent;
        };
        let client = &self.task.shared.client;
        let stream = match client.connect(self.order.address).await {
            Ok(stream) => stream,
            Err(error) => {
                log::info!(
                    "event=dispatch-not-sent request={} upstream={} error={:?}",
                    self.task.request,
                    self.order.upstream,
                    error.to_string()
                );
                return AttemptEnd::NotSent;
            }
        };
        match client.exchange(self.order.address, stream, request).await {
            Ok(answer) => self.relay(answer).await,
            Err(error) => self.send_failed(&error),
        }
    }

    fn send_failed(&self, error: &SendError) -> AttemptEnd {
        log::warn!(
            "event=dispatch-broken request={} upstream={} error={:?}",
            self.task.request,
            self.order.upstream,
            error.to_string()
        );
        match error {
            SendError::NotSent { .. } => AttemptEnd::NotSent,
            SendError::Broken { .. } => AttemptEnd::Broken(FailureCause::Connection),
        }
    }

    /// Name of the stream at the engine: unique over all attempts of all daemons.
    pub fn stream_name(&self) -> String {
        format!("{}.{}", self.task.request, self.order.attempt)
    }

    async fn relay(&self, mut answer: UpstreamAnswer) -> AttemptEnd {
        let status = answer.status();
        if let Some(service) = &self.service {
            self.task
                .shared
                .driver
                .metrics
                .count_answer(service, status);
        }
        let BodyPair { sender, receiver } = body_channel();
        let mut response = self.response_head(&answer, status);
        response.set_body(Body::from_reader(receiver, answer.body.announced()));
        pass_headers(&answer, &mut response);
        self.task.reply(response);
        let mut observer = AnswerObserver::new(&self.task.call, status, &answer);
        let relayed = self.relay_body(&mut answer, &sender, &mut observer).await;
        match relayed {
            Ok(()) if self.is_whole(&answer) => self.finish(sender, observer, status).await,
            Ok(()) => AttemptEnd::Broken(FailureCause::Truncated),
            Err(cause) => AttemptEnd::Broken(cause),
        }
    }

    /// The last look before a body is ended cleanly: the caller would take a part for the whole.
    /// Reading fails before it comes to this; the look does not depend on that.
    fn is_whole(&self, answer: &UpstreamAnswer) -> bool {
        let whole = answer.body.is_whole();
        if !whole {
            let metrics = &self.task.shared.driver.metrics;
            metrics.count_breach(InvariantName::ResponseMatchesRequest);
            log::error!(
                "event=invariant-breach name={} detail=\"request={} upstream={}\"",
                InvariantName::ResponseMatchesRequest,
                self.task.request,
                self.order.upstream
            );
        }
        whole
    }

    async fn relay_body(
        &self,
        answer: &mut UpstreamAnswer,
        sender: &BodySender,
        observer: &mut AnswerObserver,
    ) -> Result<(), FailureCause> {
        let mut piece = vec![0; READ_BYTES];
        let hides = self.task.call.hides_usage && observer.is_token_stream();
        let mut filter = hides.then(UsageFilter::default);
        loop {
            let count = self.read_piece(answer, &mut piece).await?;
            let tokens = observer.observe(&piece[..count]);
            self.report_tokens(observer, tokens);
            let passed = match &mut filter {
                Some(filter) if count == 0 => filter.finish(),
                Some(filter) => filter.pass(&piece[..count]),
                None => piece[..count].to_vec(),
            };
            let sent = if passed.is_empty() {
                Ok(())
            } else {
                sender.send(passed).await
            };
            if count == 0 {
                return Ok(());
            }
            // A caller that left must not stop a call that may not be repeated: its outcome is
            // recorded for the caller's retry.
            if sent.is_err() && self.task.call.idempotent {
                self.caller_left();
                return Err(FailureCause::Cancelled);
            }
        }
    }

    async fn read_piece(
        &self,
        answer: &mut UpstreamAnswer,
        piece: &mut [u8],
    ) -> Result<usize, FailureCause> {
        let stalled = async {
            Timer::after(self.task.shared.options.stall_time).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let read = future::or(answer.body.read(piece), stalled).await;
        read.map_err(|error| {
            log::warn!(
                "event=answer-broken request={} upstream={} error={:?}",
                self.task.request,
                self.order.upstream,
                error.to_string()
            );
            match error.kind() {
                io::ErrorKind::TimedOut => FailureCause::Stalled,
                io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData => {
                    FailureCause::Truncated
                }
                _ => FailureCause::Connection,
            }
        })
    }

    fn caller_left(&self) {
        let event = savorywood_core::CallerEvent::Disconnected {
            request: self.task.request,
        };
        self.task.shared.driver.step(DaemonEvent::Caller(event));
    }

    fn report_tokens(&self, observer: &mut AnswerObserver, tokens: u32) {
        if tokens == 0 {
            return;
        }
        let driver = &self.task.shared.driver;
        let request = self.task.request;
        let attempt = self.order.attempt;
        if observer.take_first() {
            let event = UpstreamEvent::FirstToken { request, attempt };
            driver.step(DaemonEvent::Upstream(event));
            if let Some(service) = &self.service {
                let elapsed = driver.clock().now().monotonic.since(self.task.arrived_at);
                driver.metrics.observe_first_token(service, elapsed);
            }
        }
        let event = UpstreamEvent::Tokens {
            request,
            attempt,
            count: tokens,
        };
        driver.step(DaemonEvent::Upstream(event));
    }

    async fn finish(
        &self,
        sender: BodySender,
        observer: AnswerObserver,
        status: u16,
    ) -> AttemptEnd {
        let report = match observer.end() {
            ObservedEnd::Whole(report) => report,
            // Without its end mark a token stream may lack its last tokens. The sender is
            // dropped, which breaks the caller's body off.
            ObservedEnd::Truncated => return AttemptEnd::Broken(FailureCause::Truncated),
        };
        self.keep_answer(observer, status);
        if sender.finish().await.is_err() {
            log::debug!("event=caller-left-at-end request={}", self.task.request);
        }
        let driver = &self.task.shared.driver;
        if let Some(service) = &self.service {
            let elapsed = driver.clock().now().monotonic.since(self.task.arrived_at);
            driver.metrics.observe_whole_answer(service, elapsed);
        }
        if status >= 500 {
            return AttemptEnd::Broken(FailureCause::UpstreamError);
        }
        AttemptEnd::Finished(report)
    }

    fn keep_answer(&self, observer: AnswerObserver, status: u16) {
        if self.task.call.idempotent {
            return;
        }
        let response = StoredResponse {
            status,
            content_type: observer.content_type().to_owned(),
            body: observer.into_kept(),
        };
        let event = DaemonEvent::ResponseCaptured {
            request: self.task.request,
            response: Box::new(response),
        };
        self.task.shared.driver.step(event);
    }

    fn response_head(&self, answer: &UpstreamAnswer, status: u16) -> Response {
        let mut response = Response::new(answer.head.status());
        let outcome = match status {
            500.. => OutcomeKind::Unknown,
            _ => OutcomeKind::Ran,
        };
        let outcome: &'static str = outcome.into();
        response.insert_header(OUTCOME_HEADER, outcome);
        response.insert_header(REQUEST_ID_HEADER, self.task.request.to_string());
        response.insert_header("x-savorywood-upstream", self.order.upstream.as_str());
        if let Some(token) = self.resume_token() {
            response.insert_header(RESUME_HEADER, token);
        }
        response
    }

    /// Token with which the caller reads the stream on at any daemon after this one died.
    fn resume_token(&self) -> Option<String> {
        if !self.extensions.contains(&UpstreamExtension::Resume) {
            return None;
        }
        let key = self.task.shared.options.core.resume_key.as_ref()?;
        let token = ResumeToken {
            upstream: self.order.upstream.clone(),
            stream: self.stream_name(),
            service: self.service.clone()?,
            team: self.task.call.team.clone()?,
            attempt: self.order.attempt,
            issued_at: self.task.shared.driver.clock().now().wall,
        };
        token.sign(key).ok()
    }

    /// Tells the engine to stop, so that it does not generate what nobody reads.
    pub async fn cancel_upstream(&self, order: &DispatchCommand) {
        if !self.extensions.contains(&UpstreamExtension::Cancel) {
            return;
        }
        let target = format!("/savorywood/streams/{}", self.stream_name());
        let mut call = CallRequest::new(order.address, Method::Delete, target);
        call.timeout = CANCEL_TIME;
        if let Err(error) = self.task.shared.client.call(&call).await {
            log::info!(
                "event=cancel-unheard request={} upstream={} error={:?}",
                self.task.request,
                order.upstream,
                error.to_string()
            );
        }
    }
}

fn build_request(
    call: &OutgoingCall,
    order: &DispatchCommand,
    stream: &str,
) -> Result<Request, http_types::url::ParseError> {
    let url = Url::parse(&format!("http://{}{}", order.address, call.target))?;
    let mut request = Request::new(call.method, url);
    request.set_body(Body::from_bytes(call.body.clone()));
    request.remove_header("content-type");
    for header in &call.headers {
        request.append_header(header.name.as_str(), header.value.as_str());
    }
    request.insert_header(REQUEST_ID_HEADER, order.request.to_string());
    if call.protocol == ServiceProtocol::Model {
        request.insert_header(STREAM_HEADER, stream);
    }
    Ok(request)
}

fn pass_headers(answer: &UpstreamAnswer, response: &mut Response) {
    for (name, values) in &answer.head {
        let ours = name.as_str().starts_with("x-savorywood") || name == REQUEST_ID_HEADER;
        if is_hop_header(name.as_str()) || ours {
            continue;
        }
        response.remove_header(name);
        for value in values {
            response.append_header(name, value.as_str());
        }
    }
}
