//! Serves a caller's connection: reads requests and writes responses.

mod request_reader;
mod unread_body;

use crate::{
    attempt::{
        SavedFailure, UpstreamAttempt, broken_outcome, configure_reader_socket, limit_unread_time,
    },
    clock::with_timeout,
    content::content_digest,
    count::CountGuard,
    metrics,
    shared::{FrontShared, RequestDecision},
    sink::ResponseSink,
    wire::{ByteReader, HeaderLine},
};
use async_channel::Receiver;
use async_net::TcpStream;
use futures_lite::future;
use request_reader::{CompleteRequest, RequestRead, read_request};
use savorywood_core::{LogLevel, LogLine};
use savorywood_gateway::{
    AttemptOutcome, DispatchOrder, GatewayEvent, LocalRequest, RefusalReason, RequestArrival,
};
use savorywood_protocol::MonotonicTime;
use std::{cell::Cell, io, net::Shutdown, rc::Rc, time::Duration};
use strum::IntoStaticStr;
use unread_body::refuse_unread;

/// Time for which input is still read after a connection's last response. Closing a connection with
/// unread input resets it, and the reset can discard the response before the caller reads it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of pipelined requests that are buffered while a request is in progress, in bytes.
const MAX_PIPELINED_BYTES: usize = 65_536;

/// Handling of the connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    KeepAlive,
    Close,
    /// Close without the end of the response, so that the caller sees it as incomplete.
    Abort,
}

/// Why a connection ends although its request has no complete response. The text form is part of
/// the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum CutCause {
    /// The caller closed the connection.
    CallerClosed,
    /// Reading from or writing to the caller's connection failed.
    CallerFailed,
    /// The gateway gave up on a response that had begun.
    GivenUp(RefusalReason),
    /// The gateway removed the request without a decision.
    DecisionMissing,
    /// The caller read nothing of a complete response while its memory was needed.
    ResponseUnread,
    /// The deadline passed before the caller had read a complete response.
    ReadTooSlowly,
    /// The upstream failed, or the deadline passed, within a response that was passed on.
    PassedOnIncomplete,
}

/// Removes the request when dropped, also when its caller disconnects.
struct OpenRequest<'a> {
    shared: &'a FrontShared,
    request: LocalRequest,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.shared.close_request(self.request);
    }
}

/// Serves a connection until one side closes it.
pub async fn serve(shared: Rc<FrontShared>, stream: TcpStream) {
    configure_reader_socket(&stream);
    let _open = CountGuard::new(&shared.connections);
    let mut reader = ByteReader::new(stream);
    loop {
        match read_request(&shared, &mut reader).await {
            RequestRead::Request(request) => {
                let _active = CountGuard::new(&shared.active_requests);
                match handle_request(&shared, &mut reader, &request).await {
                    NextStep::KeepAlive => {}
                    NextStep::Close => return linger(reader).await,
                    NextStep::Abort => return,
                }
            }
            RequestRead::Closed => return,
            RequestRead::Exhausted(head) => {
                let _active = CountGuard::new(&shared.active_requests);
                let mut sink = ResponseSink::new(reader.stream().clone(), true);
                if refuse_unread(&shared, &mut sink, &head).await.is_ok() {
                    linger(reader).await;
                }
                return;
            }
            RequestRead::Rejected(status, reason) => {
                let _active = CountGuard::new(&shared.active_requests);
                let mut sink = ResponseSink::new(reader.stream().clone(), true);
                log::info!("event=request-malformed status={status} reason={reason:?}");
                let written = sink
                    .write_response(status, status_text(status), &[], &[])
                    .await;
                if written.is_ok() {
                    linger(reader).await;
                }
                return;
            }
        }
    }
}

async fn linger(mut reader: ByteReader) {
    if reader.stream().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let read_on = async {
        while matches!(reader.fill().await, Ok(1..)) {
            let count = reader.bytes().len();
            reader.consume(count);
        }
    };
    with_timeout(LINGER_TIMEOUT, read_on).await;
}

/// Waits until the caller disconnects. Input received meanwhile is buffered as the next request.
async fn caller_disconnected(reader: &mut ByteReader) -> CutCause {
    loop {
        if reader.bytes().len() > MAX_PIPELINED_BYTES {
            return future::pending().await;
        }
        match reader.fill().await {
            Ok(1..) => {}
            Ok(0) => return CutCause::CallerClosed,
            Err(_) => return CutCause::CallerFailed,
        }
    }
}

async fn handle_request(
    shared: &FrontShared,
    reader: &mut ByteReader,
    request: &CompleteRequest,
) -> NextStep {
    shared.metrics.arrived.inc();
    let closes = request.head.closes_connection || shared.stopping.get();
    let mut sink = ResponseSink::new(reader.stream().clone(), closes);
    let arrival = match shared.adapter.parse_arrival(&request.head) {
        Ok(arrival) => RequestArrival {
            content_digest: content_digest(&request.head, &request.body.bytes),
            ..arrival
        },
        Err(error) => {
            log::info!(
                "event=request-malformed status=400 reason={:?}",
                error.reason
            );
            let lines = shared.adapter.local_response_headers(&request.head);
            let written = sink
                .write_response(400, status_text(400), &lines, &[])
                .await;
            return next_step(written.is_ok(), &sink);
        }
    };
    let arrived_at = shared.clock.now();
    let (id, decisions) = shared.open_request();
    let open = OpenRequest {
        shared,
        request: id,
    };
    shared.step(GatewayEvent::Arrived {
        request: id,
        arrival: Box::new(arrival),
    });
    let exchange = CallerExchange {
        shared,
        request,
        arrived_at,
        id,
    };
    let next = exchange.run(reader, &mut sink, &decisions).await;
    drop(open);
    next
}

fn next_step(written: bool, sink: &ResponseSink) -> NextStep {
    match (written, sink.closes_connection) {
        (false, _) => NextStep::Abort,
        (true, true) => NextStep::Close,
        (true, false) => NextStep::KeepAlive,
    }
}

/// One request from its arrival to its final response.
struct CallerExchange<'a> {
    shared: &'a FrontShared,
    request: &'a CompleteRequest,
    arrived_at: MonotonicTime,
    id: LocalRequest,
}

impl CallerExchange<'_> {
    async fn run(
        &self,
        reader: &mut ByteReader,
        sink: &mut ResponseSink,
        decisions: &Receiver<RequestDecision>,
    ) -> NextStep {
        let mut saved_failure = None;
        loop {
            let decision = async {
                let decision = decisions.recv().await;
                decision.map_err(|_| CutCause::DecisionMissing)
            };
            let disconnected = async { Err(caller_disconnected(reader).await) };
            let decision = match future::or(decision, disconnected).await {
                Ok(decision) => decision,
                Err(cause) => {
                    self.count_end("caller-left");
                    self.report_cut(cause, sink);
                    return NextStep::Abort;
                }
            };
            sink.closes_connection |= self.shared.stopping.get();
            let decision = if sink.has_started() {
                without_response(decision)
            } else {
                decision
            };
            match decision {
                RequestDecision::Dispatch(order) => {
                    let outcome = self
                        .attempt(reader, sink, &mut saved_failure, &order, decisions)
                        .await;
                    let end = self.after_attempt(&order, &outcome, sink);
                    self.report(outcome);
                    if let Some(next) = end {
                        return next;
                    }
                }
                RequestDecision::Refuse {
                    reason,
                    retry_after,
                } => {
                    self.count_end(reason.into());
                    let written = self.refuse(sink, reason, retry_after).await;
                    return next_step(written, sink);
                }
                RequestDecision::ForwardFailure => {
                    self.count_end("failure-passed");
                    let written = self.forward_failure(sink, saved_failure).await;
                    return next_step(written, sink);
                }
                // The attempt that was to be ended has already ended.
                RequestDecision::Abandon | RequestDecision::Expire => {}
                RequestDecision::Abort(reason) => {
                    self.count_end("broken-off");
                    self.report_cut(CutCause::GivenUp(reason), sink);
                    return NextStep::Abort;
                }
            }
        }
    }

    async fn attempt(
        &self,
        reader: &mut ByteReader,
        sink: &mut ResponseSink,
        saved_failure: &mut Option<SavedFailure>,
        order: &DispatchOrder,
        decisions: &Receiver<RequestDecision>,
    ) -> AttemptOutcome {
        if order.attempt == 1 {
            let waited = self.shared.clock.now().since(self.arrived_at);
            metrics::observe(&self.shared.metrics.waiting_duration, order, waited);
            let time_left = order.deadline_at.since(self.shared.clock.now());
            limit_unread_time(reader.stream(), time_left);
        }
        let (writing, started) = (sink.writing(), sink.started());
        let attempt = UpstreamAttempt {
            shared: self.shared,
            arrived_at: self.arrived_at,
            order,
            head: &self.request.head,
            body: &self.request.body.bytes,
            sink: &mut *sink,
            saved_failure,
            delivery: None,
        };
        let cause = Cell::new(CutCause::CallerFailed);
        let disconnected = async {
            cause.set(caller_disconnected(reader).await);
            Ok(AttemptOutcome::CallerDisconnected)
        };
        let ended = async {
            let end = attempt_ended(decisions, |end| {
                let gateway = self.shared.gateway.borrow();
                !writing.get()
                    && match end {
                        AttemptEnd::Abandoned => gateway.is_attempt_abandoned(self.id),
                        AttemptEnd::Expired => !started.get(),
                    }
            });
            Err(end.await)
        };
        let ran = async { Ok(attempt.run().await) };
        let outcome = future::or(ran, future::or(disconnected, ended)).await;
        let outcome = outcome.unwrap_or_else(|end| match end {
            AttemptEnd::Abandoned => broken_outcome(sink, true),
            AttemptEnd::Expired => AttemptOutcome::Expired,
        });
        match &outcome {
            AttemptOutcome::CallerDisconnected if sink.is_cut => {
                self.report_cut(CutCause::ResponseUnread, sink);
            }
            AttemptOutcome::CallerDisconnected => self.report_cut(cause.get(), sink),
            AttemptOutcome::Expired if sink.delivering.get() => {
                self.report_cut(CutCause::ReadTooSlowly, sink);
            }
            _ => {}
        }
        outcome
    }

    /// Returns the handling of the connection when the outcome ends the request.
    fn after_attempt(
        &self,
        order: &DispatchOrder,
        outcome: &AttemptOutcome,
        sink: &ResponseSink,
    ) -> Option<NextStep> {
        match outcome {
            AttemptOutcome::Delivered { .. } => {
                self.count_end("served");
                let elapsed = self.shared.clock.now().since(self.arrived_at);
                metrics::observe(&self.shared.metrics.complete_response, order, elapsed);
                Some(next_step(true, sink))
            }
            AttemptOutcome::CallerDisconnected => {
                self.count_end("caller-left");
                Some(NextStep::Abort)
            }
            _ if sink.is_passed_on => {
                self.count_end("broken-off");
                self.report_cut(CutCause::PassedOnIncomplete, sink);
                Some(NextStep::Abort)
            }
            // The gateway has counted the request as served and makes no further decision.
            _ if sink.delivering.get() => {
                self.count_end("caller-left");
                Some(NextStep::Abort)
            }
            _ => None,
        }
    }

    fn report(&self, outcome: AttemptOutcome) {
        let metric = self
            .shared
            .metrics
            .attempts
            .with_label_values(&[outcome.name()]);
        metric.inc();
        self.shared.step(GatewayEvent::AttemptEnded {
            request: self.id,
            outcome,
        });
    }

    /// Reports that the connection ends without a complete response.
    fn report_cut(&self, cause: CutCause, sink: &ResponseSink) {
        let name: &'static str = cause.into();
        self.shared.metrics.cut.with_label_values(&[name]).inc();
        let request_id = self.shared.adapter.parse_arrival(&self.request.head);
        let request_id = request_id.map(|arrival| arrival.request_id);
        let line = LogLine::new(LogLevel::Info, "connection-cut")
            .with("request", request_id.unwrap_or_default())
            .with("cause", name)
            .with("events", sink.events())
            .with(
                "took_ms",
                self.shared.clock.now().since(self.arrived_at).as_millis(),
            );
        let line = match cause {
            CutCause::GivenUp(reason) => line.with("reason", reason),
            _ => line,
        };
        self.shared.log.write_line(&line);
    }

    fn count_end(&self, end: &str) {
        self.shared.metrics.ended.with_label_values(&[end]).inc();
    }

    async fn refuse(
        &self,
        sink: &mut ResponseSink,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) -> bool {
        let status = refusal_status(reason);
        let mut lines = self
            .shared
            .adapter
            .local_response_headers(&self.request.head);
        if let Some(after) = retry_after {
            let seconds = format!("{:.2}", after.as_secs_f64());
            lines.push(HeaderLine::new("Retry-After", seconds));
        }
        lines.push(HeaderLine::new("Content-Type", "application/json"));
        let body = format!("{{\"error\":\"{reason}\"}}");
        let written = sink.write_response(status, status_text(status), &lines, body.as_bytes());
        written.await.is_ok()
    }

    /// Forwards the saved failure of the upstream. A status that states that the request was
    /// not executed is replaced by 502.
    async fn forward_failure(
        &self,
        sink: &mut ResponseSink,
        saved_failure: Option<SavedFailure>,
    ) -> bool {
        let saved_failure = saved_failure
            .filter(|saved_failure| !matches!(saved_failure.status, 408 | 421 | 429 | 503));
        let Some(mut saved_failure) = saved_failure else {
            return self
                .refuse(sink, RefusalReason::IncompleteResponse, None)
                .await;
        };
        let cut = saved_failure.body.charge().cut_signal();
        let written = sink.write_held(
            saved_failure.status,
            &saved_failure.reason,
            &saved_failure.lines,
            &mut saved_failure.body,
        );
        let cut = async {
            cut.wait().await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        future::or(written, cut).await.is_ok()
    }
}

/// Replaces a decision to write a response. After the beginning of another one, it would be taken for
/// a part of that.
fn without_response(decision: RequestDecision) -> RequestDecision {
    match decision {
        RequestDecision::Refuse { reason, .. } => RequestDecision::Abort(reason),
        RequestDecision::ForwardFailure => {
            RequestDecision::Abort(RefusalReason::IncompleteResponse)
        }
        RequestDecision::Dispatch(_)
        | RequestDecision::Abandon
        | RequestDecision::Expire
        | RequestDecision::Abort(_) => decision,
    }
}

/// Why the gateway ends an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptEnd {
    /// Its upstream is stalled.
    Abandoned,
    /// The daemon exits.
    Expired,
}

/// Waits for a decision to end the attempt. A decision that is no longer valid is ignored: bytes are
/// being written, and the caller would receive a truncated chunk, or the attempt has received data
/// since it was made.
async fn attempt_ended(
    decisions: &Receiver<RequestDecision>,
    is_valid: impl Fn(AttemptEnd) -> bool,
) -> AttemptEnd {
    while let Ok(decision) = decisions.recv().await {
        let end = match decision {
            RequestDecision::Abandon => AttemptEnd::Abandoned,
            RequestDecision::Expire => AttemptEnd::Expired,
            _ => continue,
        };
        if is_valid(end) {
            return end;
        }
    }
    future::pending().await
}

fn refusal_status(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::NotReady
        | RefusalReason::Stopping
        | RefusalReason::NoUpstream
        | RefusalReason::Overloaded
        | RefusalReason::NotRun
        | RefusalReason::Quarantined
        | RefusalReason::ExpiredUnsent => 503,
        RefusalReason::NoRoute => 404,
        RefusalReason::UnknownKey => 401,
        RefusalReason::OverLimit => 429,
        RefusalReason::ExpiredUnknown => 504,
        RefusalReason::IncompleteResponse => 502,
    }
}

fn status_text(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
