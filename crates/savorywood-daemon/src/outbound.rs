//! Effects that wait for others: peers, the platform and orders to upstreams.

mod hosts;
mod orders;
mod probes;

use crate::{
    daemon::DaemonShared,
    peers::{DatagramLink, SnapshotLink},
};
use async_channel::Receiver;
use savorywood_core::{DaemonEffect, DaemonEvent, DutyKind, TableCallId};
use savorywood_platform::{PlatformClient, PlatformDuty};
use savorywood_protocol::{HostName, table::TableRequest};
use std::{net::SocketAddr, sync::Arc};

/// What outbound effects need.
pub struct OutboundLinks {
    /// Datagrams to peers.
    pub datagrams: Arc<DatagramLink>,
    /// Configurations of peers.
    pub snapshots: SnapshotLink,
    /// The platform's services.
    pub platform: PlatformClient,
}

/// Executes outbound effects for good. Datagrams leave in order; everything else runs beside.
pub async fn run(
    shared: Arc<DaemonShared>,
    links: Arc<OutboundLinks>,
    effects: Receiver<DaemonEffect>,
) {
    while let Ok(effect) = effects.recv().await {
        match effect {
            DaemonEffect::SendPeer {
                to,
                address,
                message,
            } => {
                let datagrams = &links.datagrams;
                datagrams.send(&shared.driver, &to, address, message).await;
            }
            DaemonEffect::CallTable { call, request } => {
                call_table(&shared, &links, call, request);
            }
            DaemonEffect::FetchSnapshot { from, address } => {
                fetch_snapshot(&shared, &links, from, address);
            }
            DaemonEffect::SendOrder {
                call,
                address,
                order,
                ..
            } => orders::give(&shared, call, address, order),
            // The driver executes all other effects itself.
            _ => {}
        }
    }
}

/// Starts the loops that look at the platform and the upstreams by themselves.
pub fn spawn_loops(shared: &Arc<DaemonShared>, links: &Arc<OutboundLinks>) {
    let executor = &shared.executor;
    let hosts = hosts::read_for_good(Arc::clone(shared), Arc::clone(links));
    executor.spawn(hosts).detach();
    let probes = probes::probe_for_good(Arc::clone(shared));
    executor.spawn(probes).detach();
}

fn call_table(
    shared: &Arc<DaemonShared>,
    links: &Arc<OutboundLinks>,
    call: TableCallId,
    request: TableRequest,
) {
    let driver = Arc::clone(&shared.driver);
    let links = Arc::clone(links);
    let run = async move {
        let duty = platform_duty(call.duty);
        let response = links.platform.execute(duty, &request).await;
        driver.step(DaemonEvent::Table { call, response });
    };
    shared.executor.spawn(run).detach();
}

/// Budget that a duty's calls are charged to.
fn platform_duty(duty: DutyKind) -> PlatformDuty {
    match duty {
        DutyKind::Leases => PlatformDuty::Leases,
        DutyKind::Moves => PlatformDuty::Moves,
        DutyKind::Orders => PlatformDuty::Orders,
        DutyKind::Claims => PlatformDuty::Claims,
        DutyKind::Config
        | DutyKind::Scheduler
        | DutyKind::Credits
        | DutyKind::Membership
        | DutyKind::Stop => PlatformDuty::Config,
    }
}

fn fetch_snapshot(
    shared: &Arc<DaemonShared>,
    links: &Arc<OutboundLinks>,
    from: HostName,
    address: SocketAddr,
) {
    let driver = Arc::clone(&shared.driver);
    let links = Arc::clone(links);
    let run = async move {
        let snapshot = match links.snapshots.fetch(&from, address).await {
            Ok(snapshot) => snapshot.map(Box::new),
            Err(error) => {
                log::info!(
                    "event=snapshot-not-fetched peer={from} error={:?}",
                    error.to_string()
                );
                None
            }
        };
        driver.step(DaemonEvent::SnapshotFetched { from, snapshot });
    };
    shared.executor.spawn(run).detach();
}
