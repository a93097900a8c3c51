//! Calls of other daemons over TCP: transfers of tables, and requests to be relayed.

use super::{
    relay::{RelayRequest, serve_relay},
    transfer::{TRANSFER_TIMEOUT, TableRequest, TransferServer, read_message, serve_transfer},
};
use crate::{attempt::configure_socket, clock::with_timeout, shared::FrontShared};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use serde::{Deserialize, Serialize};
use std::{io, net::SocketAddr, rc::Rc, time::Duration};

/// Maximum size of a call in bytes.
const MAX_CALL_BYTES: usize = 1_024;
/// Time after a failed accept until the next one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// First message on a connection between two daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerCall {
    /// Asks for the copy of a table.
    Table(TableRequest),
    /// Asks to relay a request to an upstream.
    Relay(RelayRequest),
}

/// Serves calls of other daemons until the process ends.
pub async fn serve_calls(shared: Rc<FrontShared>, listener: TcpListener) {
    let server = Rc::new(TransferServer::default());
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (task_shared, server) = (Rc::clone(&shared), Rc::clone(&server));
                shared.spawn(async move { serve(&task_shared, &server, stream, peer).await });
            }
            Err(error) => {
                log::warn!("event=peer-accept-failed error={error:?}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(
    shared: &Rc<FrontShared>,
    server: &TransferServer,
    mut stream: TcpStream,
    peer: SocketAddr,
) {
    configure_socket(&stream);
    let call = read_message(&mut stream, MAX_CALL_BYTES);
    let (event, outcome) = match with_timeout(TRANSFER_TIMEOUT, call).await {
        Some(Ok(PeerCall::Table(request))) => {
            let served = serve_transfer(shared, server, stream, request);
            ("transfer", with_timeout(TRANSFER_TIMEOUT, served).await)
        }
        Some(Ok(PeerCall::Relay(request))) => {
            ("relay", Some(serve_relay(shared, stream, request).await))
        }
        Some(Err(error)) => ("call", Some(Err(error))),
        None => ("call", None),
    };
    log_outcome(event, peer, outcome);
}

fn log_outcome(event: &str, peer: SocketAddr, outcome: Option<io::Result<&'static str>>) {
    match outcome {
        Some(Ok(outcome)) => log::debug!("event={event}-served peer={peer} outcome={outcome}"),
        Some(Err(error)) => log::debug!("event={event}-failed peer={peer} error={error:?}"),
        None => log::debug!("event={event}-served peer={peer} outcome=timed-out"),
    }
}
