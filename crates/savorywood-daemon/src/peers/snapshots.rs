//! Whole configurations by TCP.
//!
//! Each frame is a length of four bytes, most significant first, and a sealed content.

use crate::driver::CoreDriver;
use async_executor::Executor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use savorywood_core::ConfigSnapshot;
use savorywood_protocol::{
    HostName,
    peer::{
        DatagramKey,
        snapshot::{
            MAX_FRAME_BYTES, SnapshotContent, SnapshotRequest, SnapshotResponse, open_frame,
            seal_frame,
        },
    },
};
use snafu::{ResultExt, Snafu};
use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

/// Time for one transfer.
const TRANSFER_TIME: Duration = Duration::from_secs(10);

/// Largest request frame, in bytes.
const MAX_REQUEST_BYTES: usize = 1_024;

/// Pause after a failed accept, which can fail at once and for long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Why a transfer failed.
#[derive(Debug, Snafu)]
pub enum TransferError {
    /// The connection failed.
    #[snafu(display("step={step} {source}"))]
    Connection {
        /// What was being done.
        step: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A frame was dropped.
    #[snafu(display("step={step} {source}"))]
    Frame {
        /// What was being done.
        step: &'static str,
        /// Why.
        source: savorywood_protocol::peer::snapshot::FrameError,
    },
    /// The reply answers another request.
    #[snafu(display("step=reply the nonce is not that of the request"))]
    WrongNonce,
    /// The resources can't be read.
    #[snafu(display("step=documents {source}"))]
    Documents {
        /// What the codec said.
        source: serde_json::Error,
    },
}

/// Serves and fetches configurations.
#[derive(Debug, Clone)]
pub struct SnapshotLink {
    host: HostName,
    key: DatagramKey,
}

impl SnapshotLink {
    /// A link that speaks for this host.
    pub fn new(host: HostName, key: DatagramKey) -> Self {
        Self { host, key }
    }

    /// Serves configurations for good.
    pub async fn serve(
        self,
        listener: TcpListener,
        driver: Arc<CoreDriver>,
        executor: Arc<Executor<'static>>,
    ) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            let link = self.clone();
            let driver = Arc::clone(&driver);
            let serve = async move {
                let reply = limited(link.reply(stream, &driver)).await;
                if let Err(error) = reply {
                    log::info!(
                        "event=snapshot-not-served peer={peer} error={:?}",
                        error.to_string()
                    );
                }
            };
            executor.spawn(serve).detach();
        }
    }

    async fn reply(&self, mut stream: TcpStream, driver: &CoreDriver) -> Result<(), TransferError> {
        let bytes = read_frame(&mut stream, MAX_REQUEST_BYTES).await?;
        let request: SnapshotRequest =
            open_frame(&bytes, &self.host, &self.key).context(FrameSnafu { step: "request" })?;
        let snapshot = driver.with_core(|core, _, _| core.snapshot());
        let content = snapshot.map(encode).transpose()?;
        let reply = SnapshotResponse {
            nonce: request.nonce,
            content,
        };
        let bytes =
            seal_frame(&reply, &request.from, &self.key).context(FrameSnafu { step: "reply" })?;
        write_frame(&mut stream, &bytes).await
    }

    /// Fetches the configuration of a daemon; `None` when it has read none yet.
    ///
    /// # Errors
    ///
    /// When the transfer fails.
    pub async fn fetch(
        &self,
        from: &HostName,
        address: SocketAddr,
    ) -> Result<Option<ConfigSnapshot>, TransferError> {
        limited(self.fetch_unlimited(from, address)).await
    }

    async fn fetch_unlimited(
        &self,
        from: &HostName,
        address: SocketAddr,
    ) -> Result<Option<ConfigSnapshot>, TransferError> {
        let connected = TcpStream::connect(address).await;
        let mut stream = connected.context(ConnectionSnafu { step: "connect" })?;
        let request = SnapshotRequest {
            from: self.host.clone(),
            nonce: uuid::Uuid::new_v4().as_u128(),
        };
        let bytes =
            seal_frame(&request, from, &self.key).context(FrameSnafu { step: "request" })?;
        write_frame(&mut stream, &bytes).await?;
        let bytes = read_frame(&mut stream, MAX_FRAME_BYTES).await?;
        let reply: SnapshotResponse =
            open_frame(&bytes, &self.host, &self.key).context(FrameSnafu { step: "reply" })?;
        if reply.nonce != request.nonce {
            return WrongNonceSnafu.fail();
        }
        reply.content.map(decode).transpose()
    }
}

async fn limited<T>(
    transfer: impl Future<Output = Result<T, TransferError>>,
) -> Result<T, TransferError> {
    let expire = async {
        Timer::after(TRANSFER_TIME).await;
        Err(io::Error::from(io::ErrorKind::TimedOut)).context(ConnectionSnafu { step: "transfer" })
    };
    future::or(transfer, expire).await
}

fn encode(snapshot: ConfigSnapshot) -> Result<SnapshotContent, TransferError> {
    Ok(SnapshotContent {
        revision: snapshot.revision,
        table_revision: snapshot.table_revision,
        documents: serde_json::to_string(&snapshot.documents).context(DocumentsSnafu)?,
    })
}

fn decode(content: SnapshotContent) -> Result<ConfigSnapshot, TransferError> {
    Ok(ConfigSnapshot {
        revision: content.revision,
        table_revision: content.table_revision,
        documents: serde_json::from_str(&content.documents).context(DocumentsSnafu)?,
    })
}

async fn read_frame(stream: &mut TcpStream, limit: usize) -> Result<Vec<u8>, TransferError> {
    let mut length = [0; 4];
    let read = stream.read_exact(&mut length).await;
    read.context(ConnectionSnafu { step: "length" })?;
    let length = u32::from_be_bytes(length) as usize;
    if length > limit {
        let reason = format!("a frame of {length} bytes, {limit} are allowed");
        let error = io::Error::new(io::ErrorKind::InvalidData, reason);
        return Err(error).context(ConnectionSnafu { step: "length" });
    }
    // Grown as bytes come: a stranger's length must not make the daemon take memory for it.
    let mut bytes = Vec::new();
    let read = stream.take(length as u64).read_to_end(&mut bytes).await;
    let count = read.context(ConnectionSnafu { step: "content" })?;
    if count < length {
        let error = io::Error::from(io::ErrorKind::UnexpectedEof);
        return Err(error).context(ConnectionSnafu { step: "content" });
    }
    Ok(bytes)
}

async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), TransferError> {
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    let head = stream.write_all(&length.to_be_bytes()).await;
    head.context(ConnectionSnafu { step: "write" })?;
    let content = stream.write_all(bytes).await;
    content.context(ConnectionSnafu { step: "write" })
}
