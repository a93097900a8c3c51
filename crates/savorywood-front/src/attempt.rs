//! One attempt at an upstream: connects, sends the request, reads the response and forwards it.

mod delivery;
mod events;
mod passing;
mod stream;
mod stream_limit;

use crate::{
    adapter::{DispatchContext, ParsedResponseHead},
    clock::with_timeout,
    connect::{ConnectFailure, connect},
    held::{MAX_RESPONSE_BYTES, ResponseBody},
    peers::{RelayFailure, RelayRequest, open_first_relay},
    pool::UpstreamConnection,
    shared::FrontShared,
    sink::ResponseSink,
    wire::{
        BodyFraming, ByteReader, HeaderLine, InputLimit, RequestHead, ResponseHead, discard_body,
        read_final_head,
    },
};
use async_net::TcpStream;
use delivery::{Delivery, WholeResponse};
use futures_lite::{AsyncWriteExt, future};
use passing::WholeRead;
use savorywood_core::{LogLevel, LogLine};
use savorywood_gateway::{AttemptOutcome, DispatchOrder, StreamInterruption};
use savorywood_protocol::MonotonicTime;
use std::{cell::Cell, io, pin::pin, time::Duration};

/// Responses to earlier requests that are skipped before the connection is closed.
const MAX_STALE_RESPONSES: usize = 2;
/// Maximum size in bytes of a body that is read only to use the connection again.
const MAX_DISCARDED_BYTES: usize = 65_536;
/// Maximum time to read such a body after the response that the request was not executed. Waiting for
/// longer would delay the next attempt.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// Bytes of a request body that are written together with its head.
const FIRST_BODY_BYTES: usize = 16_384;
/// Characters of a request's identifier that a relay is told, for its log.
const MAX_RELAYED_ID_CHARS: usize = 64;
/// Time after which the kernel closes a connection whose sent data is not acknowledged, or whose peer
/// accepts no more.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// A failure response of an upstream, saved while a retry is under way and forwarded to the caller
/// if no retry succeeds.
#[derive(Debug)]
pub struct SavedFailure {
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Headers that are forwarded to the caller.
    pub lines: Vec<HeaderLine>,
    pub body: ResponseBody,
}

/// One attempt and what it needs.
pub struct UpstreamAttempt<'a> {
    pub shared: &'a FrontShared,
    /// Time at which the caller's request was complete.
    pub arrived_at: MonotonicTime,
    /// Upstream, deadline and options of the attempt.
    pub order: &'a DispatchOrder,
    pub head: &'a RequestHead,
    /// Complete body of the caller's request.
    pub body: &'a [u8],
    /// Response to the caller.
    pub sink: &'a mut ResponseSink,
    /// Set to the upstream's response when it reports a failure.
    pub saved_failure: &'a mut Option<SavedFailure>,
    /// Complete response that is not written to the caller yet.
    pub delivery: Option<Delivery>,
}

/// No response head that belongs to the request could be read.
struct ReadFailure;

impl<'a> UpstreamAttempt<'a> {
    /// Runs the attempt until it ends or the deadline of the request passes.
    pub async fn run(mut self) -> AttemptOutcome {
        let clock = self.shared.clock;
        let order = self.order;
        let started = self.sink.started();
        let expired = async {
            clock.sleep_until(order.give_up_at).await;
            if started.get() {
                clock.sleep_until(order.deadline_at).await;
            }
            AttemptOutcome::Expired
        };
        future::or(self.attempt(), expired).await
    }

    async fn attempt(&mut self) -> AttemptOutcome {
        let opened = if self.order.relays.is_empty() {
            self.open_direct().await
        } else {
            self.open_relayed().await
        };
        let mut connection = match opened {
            Ok(connection) => connection,
            Err(outcome) => return outcome,
        };
        connection.record_request(&self.request_id());
        let (bytes, body) = self.request_bytes();
        let mut writer = connection.reader.stream().clone();
        let first = match writer.write(&bytes).await {
            Ok(count) if count > 0 => count,
            // The upstream closed the connection before any byte of the request was written.
            Ok(_) | Err(_) => return AttemptOutcome::NotSent,
        };
        let written = Cell::new(first == bytes.len() && body.is_empty());
        let write_failure = connection.reader.write_failure();
        let write_rest = async {
            if !written.get() {
                let sent = async {
                    writer.write_all(&bytes[first..]).await?;
                    writer.write_all(body).await
                };
                match sent.await {
                    Ok(()) => written.set(true),
                    Err(error) => write_failure.record(&error),
                }
            }
            future::pending::<AttemptOutcome>().await
        };
        // Upstreams may respond before they have read a long body, so writing and reading run
        // concurrently.
        let response = self.read_response(&mut connection);
        let (outcome, reusable) = {
            let response = pin!(response);
            let never = async { (write_rest.await, None) };
            future::or(response, never).await
        };
        // If part of the body is still unsent, the upstream would take the next request for it.
        if let Some(head) = reusable
            && written.get()
            && !head.closes_connection
            && self.order.relays.is_empty()
        {
            self.shared
                .pool
                .put(&self.order.upstream, connection, head.keep_alive);
        } else {
            drop(connection);
        }
        match self.delivery.take() {
            Some(delivery) => self.deliver(delivery, outcome).await,
            None => outcome,
        }
    }

    /// Takes a connection to the upstream from the pool, or opens one.
    async fn open_direct(&self) -> Result<UpstreamConnection, AttemptOutcome> {
        let once = !self.order.idempotent;
        let upstream = &self.order.upstream;
        let request_id = self.request_id();
        let lookup = self.shared.pool.take(upstream, &request_id, once).await;
        let result = lookup
            .as_ref()
            .map_or_else(|miss| (*miss).into(), |_| "reused");
        let metric = &self.shared.metrics.pool_lookups;
        metric.with_label_values(&[result]).inc();
        if let Ok(connection) = lookup {
            return Ok(connection);
        }
        let started_at = self.shared.clock.now();
        let connected = connect(self.order.address).await;
        let elapsed = self.shared.clock.now().since(started_at);
        match connected {
            Ok(stream) => {
                let metric = &self.shared.metrics.connecting;
                metric.observe(elapsed.as_secs_f64());
                configure_socket(&stream);
                Ok(UpstreamConnection::new(ByteReader::new(stream)))
            }
            Err(failure) => {
                self.report_connect_failure(failure, elapsed);
                Err(AttemptOutcome::NotSent)
            }
        }
    }

    /// Opens a connection to the upstream through the first peer that relays the request.
    async fn open_relayed(&self) -> Result<UpstreamConnection, AttemptOutcome> {
        let time_left = self.order.give_up_at.since(self.shared.clock.now());
        let request = RelayRequest {
            upstream: self.order.upstream.as_str().to_owned(),
            request_id: self
                .request_id()
                .chars()
                .take(MAX_RELAYED_ID_CHARS)
                .collect(),
            time_left_ms: u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX),
        };
        let report = |peer, opened: &Result<ByteReader, RelayFailure>| {
            let outcome = opened
                .as_ref()
                .map_or_else(|failure| (*failure).into(), |_| "relayed");
            let metric = &self.shared.metrics.relays;
            metric.with_label_values(&[outcome]).inc();
            let line = LogLine::new(LogLevel::Info, "request-relayed")
                .with("request", &request.request_id)
                .with("upstream", &self.order.upstream)
                .with("peer", peer)
                .with("outcome", outcome);
            self.shared.log.write_line(&line);
        };
        let opened = open_first_relay(&self.order.relays, &request, report).await;
        opened
            .map(UpstreamConnection::new)
            .map_err(|failure| match failure {
                RelayFailure::UpstreamUnreachable => AttemptOutcome::NotSent,
                RelayFailure::PeerUnreachable | RelayFailure::Refused(_) => {
                    AttemptOutcome::NotRelayed
                }
            })
    }

    fn report_connect_failure(&self, failure: ConnectFailure, elapsed: Duration) {
        let cause: &'static str = failure.into();
        let metric = &self.shared.metrics.connect_failures;
        metric.with_label_values(&[cause]).inc();
        let line = LogLine::new(LogLevel::Info, "connect-failed")
            .with("request", self.request_id())
            .with("upstream", &self.order.upstream)
            .with("send", self.order.attempt)
            .with("cause", cause)
            .with("took_ms", elapsed.as_millis());
        self.shared.log.write_line(&line);
    }

    /// Returns the identifier that the caller gave the request.
    fn request_id(&self) -> String {
        let arrival = self.shared.adapter.parse_arrival(self.head);
        arrival
            .map(|arrival| arrival.request_id)
            .unwrap_or_default()
    }

    /// Returns the first bytes of the request, and the rest of its body, which is not copied.
    fn request_bytes(&self) -> (Vec<u8>, &'a [u8]) {
        let time_left = self.order.give_up_at.since(self.shared.clock.now());
        let context = DispatchContext {
            upstream: &self.order.upstream,
            team: self.order.team.as_ref(),
            time_left,
            last_event_id: self.sink.last_event_id(),
        };
        let lines = self.shared.adapter.upstream_headers(self.head, &context);
        let mut text = format!("{} {} HTTP/1.1\r\n", self.head.method, self.head.target);
        for line in &lines {
            text.push_str(&line.name);
            text.push_str(": ");
            text.push_str(&line.value);
            text.push_str("\r\n");
        }
        if self.head.framing != BodyFraming::Empty {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        let (first, rest) = self.body.split_at(self.body.len().min(FIRST_BODY_BYTES));
        bytes.extend_from_slice(first);
        (bytes, rest)
    }

    /// Reads the response. Returns its head too when the connection can be used again.
    async fn read_response(
        &mut self,
        connection: &mut UpstreamConnection,
    ) -> (AttemptOutcome, Option<ResponseHead>) {
        let (head, parsed) = match self.read_matching_head(connection).await {
            Ok(read) => read,
            Err(ReadFailure) => return (AttemptOutcome::Broken { stalled: false }, None),
        };
        let reader = &mut connection.reader;
        if parsed.not_executed || parsed.misdirected {
            let discarded = discard_body(reader, head.framing, MAX_DISCARDED_BYTES);
            let discarded = with_timeout(DISCARD_TIMEOUT, discarded).await;
            if let Some(Err(error)) = &discarded {
                self.report_limit(error.limit());
            }
            let outcome = AttemptOutcome::NotRun {
                misdirected: parsed.misdirected,
                metadata: parsed.metadata,
            };
            // A copy of a rejection without an id could be taken for the response to another request.
            let is_reusable = matches!(discarded, Some(Ok(()))) && parsed.request_id.is_some();
            return (outcome, is_reusable.then_some(head));
        }
        let success = (200..300).contains(&head.status);
        // An encoded body does not come from the upstream itself: no content coding was requested.
        let coded = head.headers.get("content-encoding").is_some();
        if coded || (success && !parsed.from_upstream) {
            return (AttemptOutcome::Broken { stalled: false }, None);
        }
        if success && self.order.stream && is_event_stream(&head) {
            return self.relay_stream(reader, head, &parsed).await;
        }
        if self.sink.has_started() {
            // A stream can only be resumed by another stream.
            let outcome = if success {
                self.stream_broken()
            } else {
                AttemptOutcome::Failed {
                    metadata: parsed.metadata,
                }
            };
            return (outcome, None);
        }
        self.relay_response(reader, head, &parsed).await
    }

    /// Reads the head of the response to this request. Late responses to earlier requests on the
    /// same connection are skipped.
    ///
    /// A rejection without an id may belong to any request that the connection has carried.
    async fn read_matching_head(
        &self,
        connection: &mut UpstreamConnection,
    ) -> Result<(ResponseHead, ParsedResponseHead), ReadFailure> {
        let is_unshared = connection.is_unshared();
        let reader = &mut connection.reader;
        let mut stale_responses = 0;
        loop {
            let head = read_final_head(reader).await.map_err(|error| {
                self.report_limit(InputLimit::of(&error));
                ReadFailure
            })?;
            let parsed = self.shared.adapter.parse_response_head(&head);
            if let Some(load) = parsed.metadata.load {
                self.shared.metrics.record_reported_pace(load.pace);
            }
            let own_id = self.request_id();
            let upstream = &self.order.upstream;
            self.shared.report_announcement(upstream, &own_id, &parsed);
            match &parsed.request_id {
                Some(id) if *id != own_id => {
                    stale_responses += 1;
                    let framed = head.framing != BodyFraming::UntilClose;
                    if stale_responses > MAX_STALE_RESPONSES {
                        self.report_limit(Some(InputLimit::StaleResponses));
                        return Err(ReadFailure);
                    }
                    if !framed {
                        return Err(ReadFailure);
                    }
                    let skipped = discard_body(reader, head.framing, MAX_RESPONSE_BYTES).await;
                    skipped.map_err(|error| {
                        self.report_limit(error.limit());
                        ReadFailure
                    })?;
                }
                Some(_) => return Ok((head, parsed)),
                None if is_unshared && (parsed.not_executed || parsed.misdirected) => {
                    return Ok((head, parsed));
                }
                None => return Err(ReadFailure),
            }
        }
    }

    /// Forwards a response that is not streamed. It reaches the caller only once it is complete.
    async fn relay_response(
        &mut self,
        reader: &mut ByteReader,
        head: ResponseHead,
        parsed: &ParsedResponseHead,
    ) -> (AttemptOutcome, Option<ResponseHead>) {
        let framing = if self.head.method == "HEAD" {
            BodyFraming::Empty
        } else {
            head.framing
        };
        let is_failure = head.status >= 500 || matches!(head.status, 408 | 421 | 429);
        let body = match self.read_whole(reader, framing, !is_failure).await {
            Ok(WholeRead::Complete(body)) => body,
            Ok(WholeRead::Paused(response)) => {
                return self.pass_on(reader, head, parsed, response).await;
            }
            Err(error) => {
                self.report_limit(error.limit());
                return (AttemptOutcome::Broken { stalled: false }, None);
            }
        };
        let lines = self.forwarded_headers(&head);
        if is_failure {
            body.charge().keep();
            *self.saved_failure = Some(SavedFailure {
                status: head.status,
                reason: head.reason.clone(),
                lines,
                body,
            });
            let outcome = AttemptOutcome::Failed {
                metadata: parsed.metadata,
            };
            return (outcome, Some(head));
        }
        self.delivery = Some(Delivery::Whole(WholeResponse {
            status: head.status,
            reason: head.reason.clone(),
            lines,
            body,
        }));
        let outcome = AttemptOutcome::Delivered {
            metadata: parsed.metadata,
            events: 0,
        };
        (outcome, Some(head))
    }

    /// Reports that the connection to the upstream is closed because of a limit.
    fn report_limit(&self, limit: Option<InputLimit>) {
        if let Some(limit) = limit {
            let upstream = &self.order.upstream;
            self.shared
                .report_unbounded(limit, upstream, &self.request_id());
        }
    }

    /// Returns the maximum output that the caller named.
    fn max_output_tokens(&self) -> Option<u32> {
        let arrival = self.shared.adapter.parse_arrival(self.head).ok()?;
        arrival.size.map(|size| size.max_output_tokens)
    }

    fn stream_broken(&self) -> AttemptOutcome {
        broken_outcome(self.sink, false)
    }

    fn forwarded_headers(&self, head: &ResponseHead) -> Vec<HeaderLine> {
        let lines = head.headers.iter();
        let passing = lines.filter(|line| self.shared.adapter.forwards_response_header(&line.name));
        passing.cloned().collect()
    }
}

/// Returns the outcome of an attempt that ended without a complete response.
pub fn broken_outcome(sink: &ResponseSink, stalled: bool) -> AttemptOutcome {
    if sink.has_started() {
        AttemptOutcome::StreamBroken(StreamInterruption {
            events: sink.events(),
            stalled,
        })
    } else {
        AttemptOutcome::Broken { stalled }
    }
}

fn is_event_stream(head: &ResponseHead) -> bool {
    let kind = head.headers.get("content-type").unwrap_or_default();
    kind.starts_with("text/event-stream")
}

/// Sets the options of a connection whose peer reads what it is sent at once: no delay for small
/// writes, and detection by the kernel of peers that vanished without closing.
pub fn configure_socket(stream: &TcpStream) {
    configure_reader_socket(stream);
    limit_unread_time(stream, TCP_USER_TIMEOUT);
}

/// Sets the options of a connection whose peer may read slowly.
pub fn configure_reader_socket(stream: &TcpStream) {
    report_option(socket2::SockRef::from(stream).set_tcp_nodelay(true));
}

/// Lets the kernel close a connection whose peer reads nothing, or acknowledges nothing, for `time`; no
/// sooner than connections of [`configure_socket`].
pub fn limit_unread_time(stream: &TcpStream, time: Duration) {
    let time = time.max(TCP_USER_TIMEOUT);
    report_option(socket2::SockRef::from(stream).set_tcp_user_timeout(Some(time)));
}

fn report_option(set: io::Result<()>) {
    if let Err(error) = set {
        log::debug!("event=socket-option-failed error={error:?}");
    }
}
