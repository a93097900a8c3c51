//! Roll-out states in the store.

use super::CALL_TIMEOUT;
use crate::{
    adapter::{RowRange, StoreTable, TableWrite},
    shared::FrontShared,
    store::StoreConnection,
};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use savorywood_gateway::{DaemonRole, GatewayEvent, RolloutWrite};
use std::{rc::Rc, time::Duration};

/// Interval at which the status table is read while a roll-out is in progress.
const STATUS_READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of intervals between reads for the daemons of a zone that do not read first.
const STANDBY_ROUNDS: u32 = 5;

/// Writes roll-out states, and reads those of other daemons while a roll-out is in progress.
pub async fn sync_rollouts(shared: Rc<FrontShared>, writes: Receiver<RolloutWrite>) {
    let mut connection = StoreConnection::new(shared.settings.store.address);
    let mut rounds = 0;
    loop {
        let next = async { writes.recv().await.ok() };
        let pause = async {
            Timer::after(STATUS_READ_INTERVAL).await;
            None
        };
        if let Some(write) = future::or(next, pause).await {
            write_status(&shared, &mut connection, write).await;
        }
        rounds += 1;
        let due = is_status_due(&shared, rounds);
        if due && shared.gateway.borrow().has_active_rollouts() {
            read_statuses(&shared, &mut connection).await;
        }
    }
}

/// Reports whether the status table is to be read in this interval. All daemons receive the results
/// of a new version by gossip; only those that may write the state need the row at once. In a large
/// zone, daemons that serve nobody do not read it at all.
fn is_status_due(shared: &FrontShared, rounds: u32) -> bool {
    let gateway = shared.gateway.borrow();
    let now = shared.clock.now();
    let is_standby = gateway.has_coordinators() && gateway.role() == DaemonRole::Standby;
    gateway.is_initial_reader(now) || (!is_standby && rounds.is_multiple_of(STANDBY_ROUNDS))
}

async fn write_status(shared: &FrontShared, connection: &mut StoreConnection, write: RolloutWrite) {
    if write.expected_position.version != 0 && write.expected_position.era != shared.era.get() {
        // After a restore the expected version may belong to other content.
        read_statuses(shared, connection).await;
        return shared.step(GatewayEvent::RolloutWriteFinished {
            service: write.service,
            accepted: false,
            era: write.expected_position.era,
        });
    }
    let row = shared.adapter.encode_rollout_row(&write);
    let table_write = TableWrite {
        table: StoreTable::Status,
        key: row.key,
        value: Some(row.value),
        expected_version: Some(write.expected_position.version),
    };
    let call = shared.adapter.write_rows_call(&[table_write]);
    let response = connection.call(&call, CALL_TIMEOUT).await;
    let accepted = matches!(&response, Ok(response) if response.status == 200);
    let era = response
        .as_ref()
        .map_or(0, |response| shared.observe_store_era(response));
    log::info!(
        "event=rollout-status-written service={} state={} expected={} accepted={accepted}",
        write.service,
        write.phase,
        write.expected_position
    );
    // The row is read back in any case: the response to a successful write may be lost.
    read_statuses(shared, connection).await;
    shared.step(GatewayEvent::RolloutWriteFinished {
        service: write.service,
        accepted,
        era,
    });
}

async fn read_statuses(shared: &FrontShared, connection: &mut StoreConnection) {
    let range = RowRange::default();
    let call = shared.adapter.read_rows_call(StoreTable::Status, range);
    let response = connection.call(&call, CALL_TIMEOUT).await;
    let page = response.ok().filter(|response| response.status == 200);
    let page = page.and_then(|response| {
        let era = shared.observe_store_era(&response);
        shared.adapter.parse_page(era, &response.body)
    });
    for row in page.into_iter().flat_map(|page| page.rows) {
        if let Some(status) = shared.adapter.parse_rollout_status(&row) {
            shared.step(GatewayEvent::RolloutStatusRead(status));
        }
    }
}
