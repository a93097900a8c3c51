//! Quarantined requests in the store, which survive a restart of all daemons.

use super::{CALL_TIMEOUT, MAX_BACKOFF, page_limit::PageLimit};
use crate::{
    adapter::{RowRange, StoreRow, StoreTable, TableWrite},
    shared::FrontShared,
    store::StoreConnection,
    wire::InputLimit,
};
use async_channel::Receiver;
use async_io::Timer;
use savorywood_gateway::{GatewayEvent, QuarantineRow, QuarantineWrite};
use std::{rc::Rc, time::Duration};

/// Interval at which a daemon checks whether it serves callers, and so needs the rows.
const SERVING_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reads all rows once this daemon serves callers, then writes the rows that the gateway orders to write.
pub async fn sync_quarantine(shared: Rc<FrontShared>, writes: Receiver<QuarantineWrite>) {
    let mut connection = StoreConnection::new(shared.settings.store.address);
    while !shared.gateway.borrow().needs_quarantine(shared.clock.now()) {
        Timer::after(SERVING_POLL_INTERVAL).await;
    }
    loop {
        if let Some(rows) = read_rows(&shared, &mut connection).await {
            shared.step(GatewayEvent::QuarantineRead(rows));
            break;
        }
        Timer::after(MAX_BACKOFF.mul_f64(0.8 + fastrand::f64() * 0.4)).await;
    }
    while let Ok(write) = writes.recv().await {
        write_row(&shared, &mut connection, write).await;
    }
}

/// Reads all rows; returns `None` when a page could not be read.
async fn read_rows(
    shared: &FrontShared,
    connection: &mut StoreConnection,
) -> Option<Vec<QuarantineRow>> {
    let mut rows = Vec::new();
    let mut after: Option<String> = None;
    let mut limit = PageLimit::default();
    loop {
        let table = StoreTable::Quarantine;
        let range = RowRange::after(after.as_deref());
        let call = shared.adapter.read_rows_call(table, range);
        let response = connection.call(&call, CALL_TIMEOUT).await.ok()?;
        let size = response.body.len();
        let page = Some(response).filter(|response| response.status == 200);
        let page = page.and_then(|response| {
            let era = shared.observe_store_era(&response);
            shared.adapter.parse_page(era, &response.body)
        })?;
        after = page.rows.last().map(|row| row.key.clone());
        if page.truncated && limit.record(size, after.as_deref()).is_err() {
            shared.report_unbounded(InputLimit::Pages, "store", "-");
            return None;
        }
        rows.extend(page.rows.iter().filter_map(read_row));
        if !page.truncated || after.is_none() {
            return Some(rows);
        }
    }
}

fn read_row(row: &StoreRow) -> Option<QuarantineRow> {
    let value = std::str::from_utf8(row.value.as_deref()?).ok()?;
    QuarantineRow::parse(&row.key, value)
}

async fn write_row(shared: &FrontShared, connection: &mut StoreConnection, write: QuarantineWrite) {
    let value = write.value().map(String::into_bytes);
    let table_write = TableWrite {
        table: StoreTable::Quarantine,
        key: write.fingerprint.to_string(),
        value,
        expected_version: None,
    };
    let call = shared.adapter.write_rows_call(&[table_write]);
    let response = connection.call(&call, CALL_TIMEOUT).await;
    let accepted = matches!(&response, Ok(response) if response.status == 200);
    let era = response
        .as_ref()
        .map_or(0, |response| shared.observe_store_era(response));
    log::info!(
        "event=quarantine-written fingerprint={} crashes={} accepted={accepted}",
        write.fingerprint,
        write.crashes.as_ref().map_or(0, Vec::len)
    );
    shared.step(GatewayEvent::QuarantineWriteFinished {
        write,
        accepted,
        era,
    });
}
