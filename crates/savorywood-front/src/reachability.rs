//! Execution of the checks whether upstreams can be reached.

use crate::{connect::connect, shared::FrontShared};
use async_channel::Receiver;
use async_executor::LocalExecutor;
use savorywood_gateway::GatewayEvent;
use std::{net::SocketAddr, rc::Rc};

/// Runs the checks that the gateway orders. Each opens a connection to every address at the same
/// time and closes it again.
pub async fn run_checks(shared: Rc<FrontShared>, checks: Receiver<Vec<SocketAddr>>) {
    while let Ok(addresses) = checks.recv().await {
        let reached = count_reached(&shared.executor, addresses).await;
        shared.step(GatewayEvent::UpstreamsChecked { reached });
    }
}

/// Returns the number of addresses to which a connection could be opened. Nothing is read from them.
async fn count_reached(executor: &LocalExecutor<'static>, addresses: Vec<SocketAddr>) -> usize {
    let connects: Vec<_> = addresses
        .into_iter()
        .map(|address| executor.spawn(connect(address)))
        .collect();
    let mut reached = 0;
    for connecting in connects {
        reached += usize::from(connecting.await.is_ok());
    }
    reached
}

#[cfg(test)]
mod tests;
