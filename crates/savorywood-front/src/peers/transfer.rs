//! Transfer of whole tables, or of their last changes, between daemons over TCP.
//!
//! If each daemon of a large zone read the store at its start, or after a lost datagram, the calls
//! and bytes of the store would grow with the number of daemons times that of rows. A daemon
//! therefore asks another one of its zone for its copy. A daemon serves few others at a time, and
//! names those that it has served to the rest, so that copies spread as a tree.

use super::{PeerCall, RowsPush, format};
use crate::{
    adapter::StoreRow, attempt::configure_socket, clock::with_timeout, count::CountGuard,
    feeds::TableSnapshot, shared::FrontShared,
};
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use savorywood_gateway::{SharedTable, StorePosition};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    net::SocketAddr,
    time::Duration,
};

/// Maximum number of daemons that are served at a time. With few, each has its copy soon and serves
/// others itself: the number of copies triples with each round of transfers.
const MAX_TRANSFERS: usize = 2;
/// Number of daemons last served that are remembered, for all tables.
const MAX_SERVED: usize = 16;
/// Number of daemons last served that are named to another one.
const MAX_NAMED: usize = 8;
/// Maximum time of a transfer.
pub const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time to connect to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A transfer failed.
#[derive(Debug, Snafu)]
pub enum TransferError {
    /// The connection could not be opened, or failed.
    #[snafu(display("peer {peer}: {step} failed: {source}"))]
    Broken {
        /// Phase of the transfer that failed.
        step: &'static str,
        /// Address of the other daemon.
        peer: SocketAddr,
        /// Error of the operating system, or of the format.
        source: io::Error,
    },
    /// The transfer took too long.
    #[snafu(display("peer {peer}: no table within {} ms", after.as_millis()))]
    TimedOut {
        /// Address of the other daemon.
        peer: SocketAddr,
        /// Time for which the daemon waited.
        after: Duration,
    },
}

/// Request for the copy of a table.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct TableRequest {
    /// Table that is asked for.
    pub table: SharedTable,
    /// Position up to which the requesting daemon has applied all changes; absent when it has no
    /// copy.
    pub after: Option<StorePosition>,
    /// Peer address of the requesting daemon.
    pub address: SocketAddr,
}

/// Response to a [`TableRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub enum TableTransfer {
    /// The daemon has no copy, or serves others; these may have one.
    Unavailable(Vec<SocketAddr>),
    /// Rows that changed since the position in the request.
    Changes(RowsPush),
    /// All rows.
    Table {
        /// Position up to which all changes are applied.
        read_through: StorePosition,
        /// Position of the last change.
        last_change: StorePosition,
        /// Rows of the table, by key.
        rows: Vec<StoreRow>,
    },
}

/// A daemon that was served.
#[derive(Debug, Clone, Copy)]
struct ServedDaemon {
    address: SocketAddr,
    table: SharedTable,
    /// Position that its copy has reached.
    read_through: StorePosition,
}

/// Transfers that this daemon serves.
#[derive(Debug, Default)]
pub struct TransferServer {
    active: Cell<usize>,
    /// Daemons last served, the latest first.
    served: RefCell<VecDeque<ServedDaemon>>,
}

impl TransferServer {
    /// Records that a daemon has been served.
    fn record(&self, request: &TableRequest, read_through: StorePosition) {
        let mut served = self.served.borrow_mut();
        served.retain(|daemon| daemon.address != request.address || daemon.table != request.table);
        served.push_front(ServedDaemon {
            address: request.address,
            table: request.table,
            read_through,
        });
        served.truncate(MAX_SERVED);
    }

    /// Returns daemons that have what is asked for.
    fn named(&self, request: &TableRequest) -> Vec<SocketAddr> {
        let served = self.served.borrow();
        let able = served.iter().filter(|daemon| {
            let is_newer = Some(daemon.read_through) > request.after;
            daemon.table == request.table && is_newer && daemon.address != request.address
        });
        able.map(|daemon| daemon.address).take(MAX_NAMED).collect()
    }
}

/// Serves the copy of a table to another daemon. Returns the outcome for the log.
pub async fn serve_transfer(
    shared: &FrontShared,
    server: &TransferServer,
    mut stream: TcpStream,
    request: TableRequest,
) -> io::Result<&'static str> {
    let is_full = server.active.get() >= MAX_TRANSFERS;
    let _active = CountGuard::new(&server.active);
    let transfer = if is_full {
        None
    } else {
        answer(shared.snapshot(request.table), &request)
    };
    let Some(transfer) = transfer else {
        let named = server.named(&request);
        write_message(&mut stream, &TableTransfer::Unavailable(named)).await?;
        return Ok("unavailable");
    };
    write_message(&mut stream, &transfer).await?;
    let (read_through, outcome) = match transfer {
        TableTransfer::Unavailable(_) => return Ok("unavailable"),
        TableTransfer::Changes(push) => (push.through, "changes"),
        TableTransfer::Table { read_through, .. } => (read_through, "table"),
    };
    server.record(&request, read_through);
    Ok(outcome)
}

fn answer(snapshot: &RefCell<TableSnapshot>, request: &TableRequest) -> Option<TableTransfer> {
    let snapshot = snapshot.borrow();
    let position = snapshot.position()?;
    if let Some(after) = request.after {
        if position.read_through <= after {
            return None;
        }
        if let Some(push) = snapshot.changes_after(request.table, after) {
            return Some(TableTransfer::Changes(push));
        }
    }
    Some(TableTransfer::Table {
        read_through: position.read_through,
        last_change: position.last_change,
        rows: snapshot.rows(),
    })
}

/// Asks a daemon for its copy of a table, for up to `time`.
///
/// # Errors
///
/// Returns an error when the daemon can't be reached or does not respond in time.
pub async fn fetch_table(
    peer: SocketAddr,
    request: TableRequest,
    time: Duration,
) -> Result<TableTransfer, TransferError> {
    let after = time.min(TRANSFER_TIMEOUT);
    let transfer = with_timeout(after, exchange(peer, request)).await;
    transfer.unwrap_or_else(|| TimedOutSnafu { peer, after }.fail())
}

async fn exchange(peer: SocketAddr, request: TableRequest) -> Result<TableTransfer, TransferError> {
    let connected = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
    let connected = connected.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
    let step = "connecting";
    let mut stream = connected.context(BrokenSnafu { step, peer })?;
    configure_socket(&stream);
    let step = "sending";
    let sent = write_message(&mut stream, &PeerCall::Table(request)).await;
    sent.context(BrokenSnafu { step, peer })?;
    let step = "reading";
    let read = read_message(&mut stream, MAX_RESPONSE_BYTES).await;
    read.context(BrokenSnafu { step, peer })
}

/// Writes a message after its length in four bytes, the most significant first.
pub async fn write_message<T: Serialize>(stream: &mut TcpStream, message: &T) -> io::Result<()> {
    let bytes = format::encode(message).ok_or(io::ErrorKind::InvalidData)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&bytes).await
}

/// Reads a message that `write_message` wrote.
pub async fn read_message<T: DeserializeOwned>(
    stream: &mut TcpStream,
    max_bytes: usize,
) -> io::Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = usize::try_from(u32::from_be_bytes(length)).map_err(io::Error::other)?;
    if length > max_bytes {
        let text = format!("a message of {length} bytes, at most {max_bytes} are accepted");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    format::decode(&bytes).map_err(io::Error::other)
}

#[cfg(test)]
mod tests;
