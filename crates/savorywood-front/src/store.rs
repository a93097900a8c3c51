//! Calls to the store.

use crate::{
    attempt::configure_socket,
    clock::{BootClock, with_timeout},
    wire::{ByteReader, HeaderList, StoreCall, read_body, read_response_head},
};
use async_net::TcpStream;
use futures_lite::AsyncWriteExt;
use savorywood_gateway::StoreExchange;
use savorywood_protocol::MonotonicTime;
use snafu::{ResultExt, Snafu};
use std::{io, net::SocketAddr, time::Duration};

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest answer.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The connection could not be made, or broke.
    #[snafu(display("{step} at the store {address}: {source}"))]
    Broken {
        /// What was being done.
        step: &'static str,
        /// The store.
        address: SocketAddr,
        /// How.
        source: io::Error,
    },
    /// No answer came in time. The call may still be carried out.
    #[snafu(display("no answer of the store {address} within {} ms", after.as_millis()))]
    TimedOut {
        /// The store.
        address: SocketAddr,
        /// Time waited.
        after: Duration,
    },
}

/// An answer of the store.
#[derive(Debug)]
pub struct StoreResponse {
    /// Status.
    pub status: u16,
    /// Header lines.
    pub headers: HeaderList,
    /// Body.
    pub body: Vec<u8>,
    /// When the call was sent.
    pub sent: MonotonicTime,
    /// When the answer came.
    pub received: MonotonicTime,
}

impl StoreResponse {
    /// The exchange, for judging how fresh the answer is.
    #[must_use]
    pub fn exchange(&self, store_micros: Option<u64>) -> StoreExchange {
        StoreExchange {
            sent: self.sent,
            received: self.received,
            store_micros,
        }
    }
}

/// One connection to the store, made anew when it breaks.
#[derive(Debug)]
pub struct StoreConnection {
    address: SocketAddr,
    host: String,
    reader: Option<ByteReader>,
    clock: BootClock,
}

impl StoreConnection {
    /// A link that connects at its first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            host: address.to_string(),
            reader: None,
            clock: BootClock,
        }
    }

    /// Makes a call and waits for its answer for some time. After a fault the connection is
    /// closed: an answer that came late would be taken for that of the next call.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn call(
        &mut self,
        call: &StoreCall,
        time: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let reader = self.reader.take();
        let address = self.address;
        let exchange = self.exchange(reader, call);
        let answered = with_timeout(time, exchange).await;
        let (answer, reader) = answered.unwrap_or(
            TimedOutSnafu {
                address,
                after: time,
            }
            .fail(),
        )?;
        self.reader = reader;
        Ok(answer)
    }

    async fn exchange(
        &self,
        reader: Option<ByteReader>,
        call: &StoreCall,
    ) -> Result<(StoreResponse, Option<ByteReader>), StoreError> {
        let address = self.address;
        let mut reader = match reader {
            Some(reader) => reader,
            None => self.connect().await?,
        };
        let sent = self.clock.now();
        let bytes = self.call_bytes(call);
        let mut writer = reader.stream().clone();
        let step = "sending";
        writer
            .write_all(&bytes)
            .await
            .context(BrokenSnafu { step, address })?;
        let step = "reading";
        let head = read_response_head(&mut reader).await;
        let head = head.context(BrokenSnafu { step, address })?;
        let body = read_body(&mut reader, head.framing, MAX_RESPONSE_BYTES).await;
        let body = body.map_err(io::Error::other);
        let body = body.context(BrokenSnafu { step, address })?;
        let answer = StoreResponse {
            status: head.status,
            headers: head.headers,
            body,
            sent,
            received: self.clock.now(),
        };
        Ok((answer, (!head.closes_connection).then_some(reader)))
    }

    async fn connect(&self) -> Result<ByteReader, StoreError> {
        let address = self.address;
        let connected = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let connected = connected.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
        let step = "connecting";
        let stream = connected.context(BrokenSnafu { step, address })?;
        configure_socket(&stream);
        Ok(ByteReader::new_uncounted(stream))
    }

    fn call_bytes(&self, call: &StoreCall) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\n",
            call.method, call.target, self.host
        );
        if !call.content_type.is_empty() {
            text.push_str(&format!(
                "Content-Type: {}\r\nContent-Length: {}\r\n",
                call.content_type,
                call.body.len()
            ));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&call.body);
        bytes
    }
}
