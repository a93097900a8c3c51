//! States of roll-outs in the store.

use super::CALL_TIMEOUT;
use crate::{
    adapter::{StoreTable, TableWrite},
    shared::FrontShared,
    store::StoreConnection,
};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use savorywood_gateway::{GatewayEvent, RolloutWrite};
use std::{rc::Rc, time::Duration};

/// Status rows are read so often while a roll-out is under way.
const STATUS_READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// The other daemons of a zone read them each so many times more rarely.
const STANDBY_ROUNDS: u32 = 5;

/// Writes states of roll-outs, and reads what others wrote while one is under way.
pub async fn sync_rollouts(shared: Rc<FrontShared>, writes: Receiver<RolloutWrite>) {
    let mut link = StoreConnection::new(shared.settings.store.address);
    let mut rounds = 0;
    loop {
        let next = async { writes.recv().await.ok() };
        let pause = async {
            Timer::after(STATUS_READ_INTERVAL).await;
            None
        };
        if let Some(write) = future::or(next, pause).await {
            write_status(&shared, &mut link, write).await;
        }
        rounds += 1;
        let due = is_status_due(&shared, rounds);
        if due && shared.gateway.borrow().has_active_rollouts() {
            read_statuses(&shared, &mut link).await;
        }
    }
}

/// Every daemon learns by gossip how a new version does; only those that may write the status need
/// the row at once.
fn is_status_due(shared: &FrontShared, rounds: u32) -> bool {
    let is_initial_reader = shared
        .gateway
        .borrow()
        .is_initial_reader(shared.clock.now());
    is_initial_reader || rounds.is_multiple_of(STANDBY_ROUNDS)
}

async fn write_status(shared: &FrontShared, link: &mut StoreConnection, write: RolloutWrite) {
    if write.expected_position.version != 0 && write.expected_position.era != shared.era.get() {
        // The version that it expects may stand for another content by now.
        read_statuses(shared, link).await;
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
    let call = shared.adapter.write_row_call(&table_write);
    let answer = link.call(&call, CALL_TIMEOUT).await;
    let accepted = matches!(&answer, Ok(answer) if answer.status == 200);
    let era = answer
        .as_ref()
        .map_or(0, |answer| shared.observe_store_era(answer));
    log::info!(
        "event=rollout-status-written service={} state={} expected={} accepted={accepted}",
        write.service,
        write.phase,
        write.expected_position
    );
    // Whatever became of it, the row is read back: an answer may be lost after the write.
    read_statuses(shared, link).await;
    shared.step(GatewayEvent::RolloutWriteFinished {
        service: write.service,
        accepted,
        era,
    });
}

async fn read_statuses(shared: &FrontShared, link: &mut StoreConnection) {
    let call = shared.adapter.read_rows_call(StoreTable::Status, None);
    let answer = link.call(&call, CALL_TIMEOUT).await;
    let page = answer.ok().filter(|answer| answer.status == 200);
    let page = page.and_then(|answer| {
        let era = shared.observe_store_era(&answer);
        shared.adapter.parse_page(era, &answer.body)
    });
    for row in page.into_iter().flat_map(|page| page.rows) {
        if let Some(status) = shared.adapter.parse_rollout_status(&row) {
            shared.step(GatewayEvent::RolloutStatusRead(status));
        }
    }
}
