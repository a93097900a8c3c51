//! One caller's connection: heads in, answers out, until one side has enough.

use super::{
    HeadFault, HttpHandler, IncomingRequest, ServerControl, ServerLimits,
    head::{BodyFraming, HeadRead, RequestHead, read_head},
    replay::ReplayStream,
    within,
};
use async_h1::server::Encoder;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use http_types::{Method, Response};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// Bytes written at a time.
const WRITE_BYTES: usize = 8_192;

/// Interim answer that lets a caller send its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Time for which bytes of a refused request are still read. Closing a socket with unread bytes
/// resets the connection, and the reset can overtake the refusal: the caller would see a broken
/// connection where it should see the reason.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// One caller's connection.
pub struct CallerConnection {
    stream: ReplayStream,
    peer: SocketAddr,
    limits: Arc<ServerLimits>,
    control: Arc<ServerControl>,
    /// Kept for the connection's life: a buffer of this size for each answer was a quarter of the
    /// processor time of a short call.
    scratch: Vec<u8>,
}

/// What becomes of the connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    KeepAlive,
    Close,
}

impl CallerConnection {
    /// Wraps an accepted connection.
    pub fn new(
        stream: TcpStream,
        peer: SocketAddr,
        limits: Arc<ServerLimits>,
        control: Arc<ServerControl>,
    ) -> Self {
        // Tokens are small writes: waiting to fill a packet would delay each of them.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=nodelay-failed peer={peer} error={error:?}");
        }
        Self {
            stream: ReplayStream::new(stream),
            peer,
            limits,
            control,
            scratch: vec![0; WRITE_BYTES],
        }
    }

    /// Serves requests until one side closes.
    pub async fn serve<H: HttpHandler>(mut self, handler: &H) {
        loop {
            let head = match read_head(&mut self.stream, &self.limits).await {
                HeadRead::Head(head) => head,
                HeadRead::Closed => return,
                HeadRead::Fault(fault) => return self.refuse(handler, &fault).await,
            };
            match self.serve_one(handler, head).await {
                Ok(NextStep::KeepAlive) => {}
                Ok(NextStep::Close) => return self.linger().await,
                Err(error) => {
                    log::debug!("event=connection-broken peer={} error={error:?}", self.peer);
                    return;
                }
            }
        }
    }

    /// Answers with a fault and closes.
    pub async fn refuse<H: HttpHandler>(mut self, handler: &H, fault: &HeadFault) {
        let mut response = handler.problem(fault);
        response.insert_header("connection", "close");
        if self.write(Method::Get, response).await.is_ok() {
            self.linger().await;
        }
    }

    async fn linger(mut self) {
        if self
            .stream
            .raw()
            .shutdown(std::net::Shutdown::Write)
            .is_err()
        {
            return;
        }
        let mut sink = vec![0; WRITE_BYTES];
        let read_on = async { while matches!(self.stream.raw().read(&mut sink).await, Ok(1..)) {} };
        within(LINGER_TIME, read_on).await;
    }

    async fn serve_one<H: HttpHandler>(
        &mut self,
        handler: &H,
        head: RequestHead,
    ) -> io::Result<NextStep> {
        let length = match head.framing {
            BodyFraming::None => Some(0),
            BodyFraming::Length(length) => Some(length),
            BodyFraming::Chunked => None,
        };
        // The decoder would answer the expectation on a thread pool of its own.
        let bytes = strip_expectation(&head);
        self.stream.replay(&bytes, length);
        if head.expects_continue && length.is_none_or(|length| length <= self.body_limit()) {
            self.stream.write_all(CONTINUE).await?;
        }
        let decoded = Box::pin(async_h1::server::decode(self.stream.clone())).await;
        let request = match decoded {
            Ok(Some((request, _body))) => request,
            Ok(None) => return Ok(NextStep::Close),
            Err(error) => {
                let reason = error.to_string();
                let fault = HeadFault::Malformed { reason };
                let mut response = handler.problem(&fault);
                response.insert_header("connection", "close");
                self.write(Method::Get, response).await?;
                return Ok(NextStep::Close);
            }
        };
        self.answer(handler, request, &head).await
    }

    fn body_limit(&self) -> u64 {
        self.limits.body_bytes as u64
    }

    async fn answer<H: HttpHandler>(
        &mut self,
        handler: &H,
        request: http_types::Request,
        head: &RequestHead,
    ) -> io::Result<NextStep> {
        let method = request.method();
        let incoming = IncomingRequest {
            request,
            peer: self.peer,
            body_bytes: self.limits.body_bytes,
            body_time: self.limits.body_time,
        };
        let raw = self.stream.raw().clone();
        let handled = async { Some(handler.handle(incoming).await) };
        let left = async {
            caller_left(&raw).await;
            None
        };
        let Some(mut response) = future::or(handled, left).await else {
            return Err(io::ErrorKind::ConnectionAborted.into());
        };
        let next = self.next_step(head, &response);
        if next == NextStep::Close {
            response.insert_header("connection", "close");
        }
        let write = self.write(method, response);
        let left = async {
            caller_left(&raw).await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        future::or(write, left).await?;
        Ok(next)
    }

    /// A body that the handler left unread would be taken for the next head; chunked bodies may
    /// have been read past their end. Both end the connection.
    fn next_step(&self, head: &RequestHead, response: &Response) -> NextStep {
        let asked = response
            .header("connection")
            .is_some_and(|value| value.as_str() == "close");
        let clean = match head.framing {
            BodyFraming::None => true,
            BodyFraming::Length(_) => self.stream.is_consumed(),
            BodyFraming::Chunked => false,
        };
        if asked || head.closes || !clean || self.control.is_draining() {
            NextStep::Close
        } else {
            NextStep::KeepAlive
        }
    }

    async fn write(&mut self, method: Method, response: Response) -> io::Result<()> {
        let mut encoder = Encoder::new(response, method);
        loop {
            let count = encoder.read(&mut self.scratch).await?;
            if count == 0 {
                return Ok(());
            }
            let written = within(
                self.limits.write_time,
                self.stream.raw().write_all(&self.scratch[..count]),
            );
            written
                .await
                .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
        }
    }
}

/// How often a connection with unread bytes is looked at: behind them its end can't be seen.
const UNREAD_PAUSE: Duration = Duration::from_millis(250);

/// Waits until the caller has closed its connection. A caller that sends more is still there.
async fn caller_left(stream: &TcpStream) {
    let mut byte = [0; 1];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => Timer::after(UNREAD_PAUSE).await,
        };
    }
}

fn strip_expectation(head: &RequestHead) -> Vec<u8> {
    if !head.expects_continue {
        return head.bytes.clone();
    }
    let lines = head.bytes.split_inclusive(|byte| *byte == b'\n');
    let kept = lines.filter(|line| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        !name.eq_ignore_ascii_case(b"expect")
    });
    kept.flatten().copied().collect()
}
