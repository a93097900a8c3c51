//! Opening of connections to upstreams, with the cause of a failure.

use crate::clock::with_timeout;
use async_net::TcpStream;
use std::{io, net::SocketAddr, time::Duration};
use strum::IntoStaticStr;

/// Maximum time to connect. A lost SYN packet is retransmitted only after one second, so waiting a
/// little longer does not help.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Cause for which a connection could not be opened. The text form is part of logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ConnectFailure {
    /// Nothing was received within `CONNECT_TIMEOUT`.
    TimedOut,
    /// The host is reachable and refuses the connection.
    Refused,
    /// The connection was reset while it was opened.
    Reset,
    /// The network reports that the host can't be reached.
    Unreachable,
    /// Any other error, such as a lack of descriptors at this host.
    Other,
}

impl From<io::ErrorKind> for ConnectFailure {
    fn from(kind: io::ErrorKind) -> Self {
        match kind {
            io::ErrorKind::TimedOut => Self::TimedOut,
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionAborted => Self::Reset,
            io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => Self::Unreachable,
            _ => Self::Other,
        }
    }
}

/// Opens a connection within `CONNECT_TIMEOUT`.
///
/// # Errors
///
/// Returns the cause when no connection could be opened.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectFailure> {
    let connected = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let connected = connected.ok_or(ConnectFailure::TimedOut)?;
    connected.map_err(|error| error.kind().into())
}
