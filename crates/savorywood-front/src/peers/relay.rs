//! Relaying of requests over TCP: a daemon that can't reach upstreams sends its requests through a
//! peer, which connects to the upstream and forwards the bytes of both sides.
//!
//! Each relayed request has connections of its own, as the peer does not know where a response ends.

use super::{
    PeerCall,
    transfer::{read_message, write_message},
};
use crate::{
    attempt::{configure_socket, limit_unread_time},
    clock::with_timeout,
    connect::{CONNECT_TIMEOUT, connect},
    count::CountGuard,
    shared::FrontShared,
    wire::{
        ByteReader, FRAME_HEADER_BYTES, HeadSearch, InputLimit, MAX_FRAME_BYTES,
        MAX_RESPONSE_HEAD_BYTES, ResponseHead, WriteFailure, frame_header,
    },
};
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use savorywood_core::{LogLevel, LogLine};
use savorywood_gateway::{GatewayEvent, RelayRefusal, UpstreamLabel};
use serde::{Deserialize, Serialize};
use std::{io, net::SocketAddr, rc::Rc, time::Duration};
use strum::IntoStaticStr;

/// Maximum time from the request for a relay to the peer's reply: the peer connects meanwhile.
const REPLY_TIMEOUT: Duration = CONNECT_TIMEOUT.saturating_mul(2);
/// Time beyond the deadline of a request after which the peer closes its connections.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum size of a reply in bytes.
const MAX_REPLY_BYTES: usize = 64;
/// Maximum number of bytes of an upstream that are relayed for one request. The requesting daemon
/// accepts 16 MiB of a response; the rest is for heads, chunk headers and stale responses.
const MAX_RELAYED_BYTES: usize = 64 << 20;
/// Bytes after which a relay lets other tasks run, because an upstream and a requesting daemon that
/// are never slower than this one would otherwise keep its only thread.
const YIELD_BYTES: usize = 262_144;

/// Request to connect to an upstream and to forward bytes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayRequest {
    /// Incarnation of the upstream; the peer knows its address.
    pub upstream: String,
    /// Identifier that the caller gave the request, for the log.
    pub request_id: String,
    /// Time until the requesting daemon gives up on the request, in milliseconds.
    pub time_left_ms: u32,
}

/// Reply to a [`RelayRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum RelayReply {
    /// All bytes that follow are forwarded; those of the upstream come in frames.
    Connected,
    /// No connection to the upstream could be opened.
    UpstreamUnreachable,
    /// The peer does not relay the request.
    Refused(RelayRefusal),
}

/// Cause for which a peer did not relay a request. The text form is part of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RelayFailure {
    /// The peer can't be reached or did not reply in time.
    PeerUnreachable,
    /// The peer can't reach the upstream.
    UpstreamUnreachable,
    /// The peer refused; its log gives the reason.
    Refused(RelayRefusal),
}

/// Asks a peer to relay a request. Returns the connection once the peer has reached the upstream.
///
/// # Errors
///
/// Returns the cause when the peer does not relay the request.
async fn open_relay(peer: SocketAddr, request: &RelayRequest) -> Result<ByteReader, RelayFailure> {
    let mut stream = connect(peer)
        .await
        .map_err(|_| RelayFailure::PeerUnreachable)?;
    configure_socket(&stream);
    let exchange = async {
        write_message(&mut stream, &PeerCall::Relay(request.clone())).await?;
        read_message(&mut stream, MAX_REPLY_BYTES).await
    };
    match with_timeout(REPLY_TIMEOUT, exchange).await {
        Some(Ok(RelayReply::Connected)) => Ok(ByteReader::framed(stream)),
        Some(Ok(RelayReply::UpstreamUnreachable)) => Err(RelayFailure::UpstreamUnreachable),
        Some(Ok(RelayReply::Refused(refusal))) => Err(RelayFailure::Refused(refusal)),
        Some(Err(_)) | None => Err(RelayFailure::PeerUnreachable),
    }
}

/// Asks peers in turn to relay a request until one does or the upstream can't be reached. `report`
/// gets the outcome of each. The bytes of the request are sent by the caller of this function, and
/// only over the returned connection, so that no other peer can forward them.
///
/// # Errors
///
/// Returns the cause of the last peer when none relays the request.
pub async fn open_first_relay(
    peers: &[SocketAddr],
    request: &RelayRequest,
    mut report: impl FnMut(SocketAddr, &Result<ByteReader, RelayFailure>),
) -> Result<ByteReader, RelayFailure> {
    let mut last = RelayFailure::PeerUnreachable;
    for peer in peers {
        let opened = open_relay(*peer, request).await;
        report(*peer, &opened);
        match opened {
            Err(failure @ (RelayFailure::PeerUnreachable | RelayFailure::Refused(_))) => {
                last = failure;
            }
            Ok(_) | Err(RelayFailure::UpstreamUnreachable) => return opened,
        }
    }
    Err(last)
}

/// Relays a request of a peer until one side closes its connection or the deadline passes.
pub async fn serve_relay(
    shared: &Rc<FrontShared>,
    mut origin: TcpStream,
    request: RelayRequest,
) -> io::Result<&'static str> {
    let upstream = UpstreamLabel::from(request.upstream.as_str());
    let open = shared.relayed_requests.get();
    let admitted = shared
        .gateway
        .borrow()
        .admit_relay(shared.clock.now(), &upstream, open);
    let line = LogLine::new(LogLevel::Info, "relay-requested")
        .with("request", &request.request_id)
        .with("upstream", &upstream)
        .with("open", open);
    let address = match admitted {
        Ok(address) => address,
        Err(refusal) => {
            shared.log.write_line(&line.with("outcome", refusal));
            write_message(&mut origin, &RelayReply::Refused(refusal)).await?;
            return Ok(refusal.into());
        }
    };
    let _relayed = CountGuard::new(&shared.relayed_requests);
    // A daemon that stops waits for the requests that it relays as for its own.
    let _active = CountGuard::new(&shared.active_requests);
    let number = {
        let now = shared.clock.now();
        let mut gateway = shared.gateway.borrow_mut();
        gateway.begin_relay(now, &upstream)
    };
    let relay = AdmittedRelay {
        shared,
        upstream: &upstream,
        request: &request,
        number,
    };
    let Ok(target) = connect(address).await else {
        let outcome = "upstream-unreachable";
        shared.log.write_line(&line.with("outcome", outcome));
        shared.step(GatewayEvent::RelayConnectFailed(upstream.clone()));
        relay.end(false);
        write_message(&mut origin, &RelayReply::UpstreamUnreachable).await?;
        return Ok(outcome);
    };
    configure_socket(&target);
    shared.log.write_line(&line.with("outcome", "connected"));
    let forwarded = relay.forward(origin, target).await;
    relay.end(true);
    forwarded
}

/// A request of a peer that this daemon relays.
struct AdmittedRelay<'a> {
    shared: &'a Rc<FrontShared>,
    upstream: &'a UpstreamLabel,
    request: &'a RelayRequest,
    /// Number by which events refer to it.
    number: u64,
}

impl AdmittedRelay<'_> {
    /// Confirms the connection to the peer and forwards bytes until one side ends or the deadline
    /// passes.
    async fn forward(&self, mut origin: TcpStream, target: TcpStream) -> io::Result<&'static str> {
        write_message(&mut origin, &RelayReply::Connected).await?;
        let time = Duration::from_millis(self.request.time_left_ms.into()) + DEADLINE_MARGIN;
        // The requesting daemon reads no faster than its caller.
        limit_unread_time(&origin, time);
        let mut observer = HeadObserver::new(self);
        let observe = |bytes: &[u8]| observer.observe(bytes);
        let forwarded = with_timeout(time, forward(origin, target, observe)).await;
        if let Some(Err(error)) = &forwarded
            && let Some(limit) = InputLimit::of(error)
        {
            let id = &self.request.request_id;
            self.shared.report_unbounded(limit, self.upstream, id);
        }
        forwarded.unwrap_or(Ok("expired"))
    }

    /// Reports that the request has ended; `sent`: the upstream may have received it.
    fn end(&self, sent: bool) {
        self.shared.step(GatewayEvent::RelayEnded {
            upstream: self.upstream.clone(),
            number: self.number,
            sent,
        });
    }
}

/// Reads the head of a relayed response, as its announcements bind the relay as well: to the
/// upstream, the relay is the daemon that sends the request.
struct HeadObserver<'a> {
    relay: &'a AdmittedRelay<'a>,
    /// Bytes of the head received so far; `None` once it was read.
    head: Option<Vec<u8>>,
    search: HeadSearch,
}

impl<'a> HeadObserver<'a> {
    fn new(relay: &'a AdmittedRelay<'a>) -> Self {
        Self {
            relay,
            head: Some(Vec::new()),
            search: HeadSearch::default(),
        }
    }

    fn observe(&mut self, bytes: &[u8]) {
        let Some(head) = &mut self.head else { return };
        head.extend_from_slice(bytes);
        let Some(end) = self.search.end(head) else {
            if head.len() > MAX_RESPONSE_HEAD_BYTES {
                self.head = None;
            }
            return;
        };
        if let Ok(head) = ResponseHead::parse(&head[..end]) {
            let AdmittedRelay {
                shared,
                upstream,
                request,
                number,
            } = self.relay;
            let parsed = shared.adapter.parse_response_head(&head);
            shared.report_announcement(upstream, &request.request_id, &parsed);
            shared.step(GatewayEvent::RelayDecided {
                upstream: (*upstream).clone(),
                request_id: request.request_id.clone(),
                number: *number,
                rejected: parsed.not_executed && !parsed.misdirected,
            });
        }
        self.head = None;
    }
}

/// Forwards bytes until either side ends; `observe` gets those of the upstream. When the requesting daemon closes its connection, the
/// one to the upstream is closed at once, as the caller has left.
async fn forward(
    origin: TcpStream,
    target: TcpStream,
    mut observe: impl FnMut(&[u8]),
) -> io::Result<&'static str> {
    let write_failure = WriteFailure::default();
    let there = async {
        let (mut origin, mut target) = (ByteReader::new(origin.clone()), target.clone());
        while origin.fill().await? > 0 {
            let bytes = origin.bytes();
            let count = bytes.len();
            if let Err(error) = target.write_all(bytes).await {
                // The upstream may have responded before: what it sent is forwarded.
                write_failure.record(&error);
                return future::pending().await;
            }
            origin.consume(count);
        }
        Ok("closed-by-peer")
    };
    let back = async {
        let (mut origin, mut target) = (origin.clone(), target.clone());
        let mut frame = vec![0; FRAME_HEADER_BYTES + MAX_FRAME_BYTES];
        let (mut relayed, mut unyielded) = (0, 0);
        loop {
            let count = target.read(&mut frame[FRAME_HEADER_BYTES..]).await?;
            if count == 0 {
                write_failure.check_end()?;
            }
            relayed += count;
            if relayed > MAX_RELAYED_BYTES {
                // Without the last frame, the requesting daemon takes the response as incomplete.
                return Err(InputLimit::Relay.into());
            }
            unyielded += count;
            if unyielded >= YIELD_BYTES {
                unyielded = 0;
                future::yield_now().await;
            }
            observe(&frame[FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + count]);
            let header = frame_header(count)?;
            frame[..FRAME_HEADER_BYTES].copy_from_slice(&header);
            origin
                .write_all(&frame[..FRAME_HEADER_BYTES + count])
                .await?;
            if count == 0 {
                return Ok("closed-by-upstream");
            }
        }
    };
    future::or(back, there).await
}

#[cfg(test)]
mod tests;
