//! Calls of a table reader to the store: complete reads and the change feed.

use super::{
    CALL_TIMEOUT, CHANGE_BATCH_DELAY, FEED_TIMEOUT_MARGIN, MAX_CHANGE_BATCH_DELAY, TableReader,
    page_limit::PageLimit,
};
use crate::{
    adapter::{RowRange, StorePage, StoreRow, StoreTable},
    clock::BootClock,
    peers::RowsPush,
    store::{StoreError, StoreResponse},
};
use async_io::Timer;
use savorywood_gateway::{GatewayEvent, StorePosition};
use std::time::Duration;

impl TableReader {
    /// Reads the complete table and pushes the differences to the daemons that rely on this one.
    pub(super) async fn read_table(&mut self) -> Result<(), String> {
        let mut rows = Vec::new();
        let mut first: Option<(StorePage, StoreResponse)> = None;
        let mut after: Option<String> = None;
        let mut limit = PageLimit::default();
        loop {
            let call = self
                .shared
                .adapter
                .read_rows_call(self.table, RowRange::after(after.as_deref()));
            let response = self.connection.call(&call, CALL_TIMEOUT).await;
            let response = self.check_status(response)?;
            let mut page = self.parse_page(&response)?;
            let first_revision = first
                .as_ref()
                .map_or(page.revision, |(page, _)| page.revision);
            if page.revision.era != first_revision.era {
                return Err("the store was restored while a table was read".to_owned());
            }
            rows.append(&mut page.rows);
            after = rows.last().map(|row: &StoreRow| row.key.clone());
            let truncated = page.truncated;
            if truncated {
                let read = limit.record(response.body.len(), after.as_deref());
                read.map_err(|limit| {
                    self.shared.report_unbounded(limit, "store", "-");
                    limit.to_string()
                })?;
            }
            first.get_or_insert((page, response));
            if !truncated || after.is_none() {
                break;
            }
        }
        let Some((page, response)) = first else {
            return Err("no page was read".to_owned());
        };
        self.full_read_at = BootClock.now();
        self.apply_table(&rows, page.revision);
        let before = self.read_through.unwrap_or_default();
        let changed = self.last_change;
        self.shared
            .snapshot(self.shared_table())
            .borrow_mut()
            .replace(&rows, page.revision);
        let differences = self.row_cache.replace(rows, page.revision);
        // After a restore other daemons may hold rows that the store has lost.
        let is_changed = before.era < page.revision.era || !differences.is_empty();
        if is_changed {
            // A missing row was removed at a version that the response does not report, so the
            // position of the complete read is used.
            self.last_change = page.revision;
        }
        self.record_position(&[], page.revision, None);
        self.record_freshness(&page, &response);
        if std::mem::replace(&mut self.has_full_read, true) && is_changed {
            let push = RowsPush {
                table: self.shared_table(),
                after: changed,
                before,
                through: page.revision,
                rows: differences,
            };
            self.sources.peers.push(&self.shared, push).await;
        }
        Ok(())
    }

    /// Waits for changes after a position, applies them and pushes them to the daemons that rely on
    /// this one.
    pub(super) async fn poll_changes(
        &mut self,
        after: StorePosition,
        wait: Duration,
    ) -> Result<(), String> {
        let call = self
            .shared
            .adapter
            .feed_rows_call(self.table, after.version, wait);
        let response = self
            .connection
            .call(&call, wait + FEED_TIMEOUT_MARGIN)
            .await;
        if matches!(&response, Ok(response) if response.status == 410) {
            log::info!("event=feed-gap table={} after={after}", self.table);
            self.has_gap = true;
            return Ok(());
        }
        let page = self.check_status(response).and_then(|response| {
            let page = self.parse_page(&response)?;
            Ok((page, response))
        });
        let (page, response) = page.inspect_err(|_| self.record_failure())?;
        if page.revision.era != after.era {
            // After a restore the same version may stand for other changes.
            let (table, revision) = (self.table, page.revision);
            log::warn!("event=feed-restored table={table} after={after} now={revision}");
            self.has_gap = true;
            return Ok(());
        }
        for row in &page.rows {
            self.apply_row(row);
        }
        let through = page.revision.max(after);
        let changed = self.last_change;
        self.record_position(&page.rows, through, None);
        self.record_freshness(&page, &response);
        if !page.rows.is_empty() {
            let push = RowsPush {
                table: self.shared_table(),
                after: changed,
                before: after,
                through,
                rows: page.rows,
            };
            self.sources.peers.push(&self.shared, push).await;
            let readers = self
                .shared
                .gateway
                .borrow()
                .store_reader_count(BootClock.now());
            let pause = CHANGE_BATCH_DELAY.saturating_mul(readers);
            Timer::after(pause.min(MAX_CHANGE_BATCH_DELAY)).await;
        }
        Ok(())
    }

    fn check_status(
        &self,
        response: Result<StoreResponse, StoreError>,
    ) -> Result<StoreResponse, String> {
        let outcome = match &response {
            Ok(response) if response.status == 200 => "ok",
            Ok(_) => "refused",
            Err(_) => "failed",
        };
        let calls = &self.shared.metrics.store_calls;
        calls.with_label_values(&[outcome]).inc();
        match response {
            Ok(response) if response.status == 200 => Ok(response),
            Ok(response) => Err(format!(
                "the store responded with status {}",
                response.status
            )),
            Err(error) => {
                if let Some(limit) = error.limit() {
                    self.shared.report_unbounded(limit, "store", "-");
                }
                Err(error.to_string())
            }
        }
    }

    fn parse_page(&self, response: &StoreResponse) -> Result<StorePage, String> {
        let era = self.shared.observe_store_era(response);
        if era < self.shared.gateway.borrow().store_era() {
            return Err("the response is from before the store was restored".to_owned());
        }
        let page = self.shared.adapter.parse_page(era, &response.body);
        page.ok_or_else(|| "the response body is malformed".to_owned())
    }

    /// Records the time as of which the table is current. For the declared table this also confirms
    /// the configuration with its keys and routes.
    fn record_freshness(&mut self, page: &StorePage, response: &StoreResponse) {
        let at = self
            .freshness
            .earliest_response_time(response.exchange(page.store_micros));
        if let Some(through) = self.read_through {
            self.record_position(&[], through, Some(at));
        }
        if self.table == StoreTable::Declared {
            self.shared.step(GatewayEvent::ConfigConfirmed { at });
        }
    }
}
