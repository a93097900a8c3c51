//! HTTP client for calls to the store.

use crate::{
    attempt::configure_socket,
    clock::{BootClock, with_timeout},
    wire::{ByteReader, HeaderList, InputLimit, StoreCall, read_body, read_final_head},
};
use async_net::TcpStream;
use futures_lite::AsyncWriteExt;
use savorywood_gateway::StoreExchange;
use savorywood_protocol::MonotonicTime;
use snafu::{ResultExt, Snafu};
use std::{io, net::SocketAddr, time::Duration};

/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A call got no response.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The connection could not be opened, or failed.
    #[snafu(display("store {address}: {step} failed: {source}"))]
    Broken {
        /// Phase of the call that failed.
        step: &'static str,
        address: SocketAddr,
        source: io::Error,
    },
    /// No response arrived in time. The store may still execute the call.
    #[snafu(display("store {address}: no response within {} ms", after.as_millis()))]
    TimedOut {
        address: SocketAddr,
        /// Time for which the daemon waited.
        after: Duration,
    },
}

impl StoreError {
    /// Returns the limit that the response exceeded, if it did.
    #[must_use]
    pub fn limit(&self) -> Option<InputLimit> {
        match self {
            Self::Broken { source, .. } => InputLimit::of(source),
            Self::TimedOut { .. } => None,
        }
    }
}

/// A response of the store.
#[derive(Debug)]
pub struct StoreResponse {
    pub status: u16,
    pub headers: HeaderList,
    pub body: Vec<u8>,
    /// Time at which the call was sent, after connecting.
    pub sent: MonotonicTime,
    /// Time at which the response was complete.
    pub received: MonotonicTime,
}

impl StoreResponse {
    /// Returns the times of the exchange, from which the freshness of the response is computed.
    #[must_use]
    pub fn exchange(&self, store_micros: Option<u64>) -> StoreExchange {
        StoreExchange {
            sent: self.sent,
            received: self.received,
            store_micros,
        }
    }
}

/// A connection to the store that is reopened after it failed.
#[derive(Debug)]
pub struct StoreConnection {
    address: SocketAddr,
    host: String,
    reader: Option<ByteReader>,
    clock: BootClock,
}

impl StoreConnection {
    /// Creates a client that connects on its first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            host: address.to_string(),
            reader: None,
            clock: BootClock,
        }
    }

    /// Sends a call and waits up to `time` for its response. After an error the connection is
    /// closed: a late response would be taken for that of the next call.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no response.
    pub async fn call(
        &mut self,
        call: &StoreCall,
        time: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let reader = self.reader.take();
        let address = self.address;
        let exchange = self.exchange(reader, call);
        let result = with_timeout(time, exchange).await;
        let (response, reader) = result.unwrap_or(
            TimedOutSnafu {
                address,
                after: time,
            }
            .fail(),
        )?;
        self.reader = reader;
        Ok(response)
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
        let head = read_final_head(&mut reader).await;
        let head = head.context(BrokenSnafu { step, address })?;
        let body = read_body(&mut reader, head.framing, MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| match error.limit() {
            Some(limit) => limit.into(),
            None => io::Error::other(error),
        });
        let body = body.context(BrokenSnafu { step, address })?;
        // Bytes after the response would be taken for the response to the next call.
        let is_reusable = !head.closes_connection && reader.bytes().is_empty();
        let response = StoreResponse {
            status: head.status,
            headers: head.headers,
            body,
            sent,
            received: self.clock.now(),
        };
        Ok((response, is_reusable.then_some(reader)))
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

#[cfg(test)]
mod tests;
