//! Reads the platform's host list now and then.

use super::OutboundLinks;
use crate::daemon::DaemonShared;
use savorywood_core::{DaemonEvent, HostEntry};
use savorywood_protocol::host_list::HostDocument;
use std::{sync::Arc, time::Duration};

/// Time between two reads by a daemon that knows few others.
const MIN_PERIOD: Duration = Duration::from_secs(2);

/// Reads a second over all daemons: the list only seeds the membership and lags anyway.
const READS_PER_SECOND: u32 = 35;

/// Reads the list for good.
pub async fn read_for_good(shared: Arc<DaemonShared>, links: Arc<OutboundLinks>) {
    loop {
        match links.platform.list_hosts().await {
            Ok(hosts) => {
                let hosts = hosts.into_iter().map(entry).collect();
                shared.driver.step(DaemonEvent::HostsListed(hosts));
            }
            Err(error) => log::warn!("event=hosts-not-listed error={:?}", error.to_string()),
        }
        let members = shared
            .driver
            .with_core(|core, _, _| core.members().serving().count());
        let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
        links.platform.set_members(members);
        shared.driver.clock().sleep(period(members)).await;
    }
}

/// Spreads the reads of many daemons, so that they do not come together.
fn period(members: u32) -> Duration {
    let fair = Duration::from_secs(1) * members / READS_PER_SECOND;
    fair.max(MIN_PERIOD).mul_f64(0.8 + 0.4 * fastrand::f64())
}

fn entry(document: HostDocument) -> HostEntry {
    HostEntry {
        host: document.host,
        peer_address: document.peer_address,
        caller_address: document.caller_address,
        zone: document.zone,
        region: document.region,
        leaving: document.leaving,
    }
}
