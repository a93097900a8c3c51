//! How a table reader takes rows from other daemons: pushes and transfers of whole tables.

use super::TableReader;
use crate::{
    adapter::StoreRow,
    clock::BootClock,
    peers::{RowsPush, TableRequest, TableTransfer, fetch_table},
};
use async_io::Timer;
use savorywood_gateway::{ReadPlan, StorePosition, TablePosition};
use savorywood_protocol::MonotonicTime;
use std::{net::SocketAddr, time::Duration};

/// Time for which a daemon that misses rows waits for them before it asks for them.
const PUSH_WAIT: Duration = Duration::from_millis(250);
/// Time after which missing rows are read from the store. It leaves most of the time within which
/// the removal of an upstream must be known.
const CATCH_UP_PERIOD: Duration = Duration::from_secs(1);
/// Maximum time for which daemons are asked for a first copy of a table before the plan to read it is
/// checked again.
const FIRST_COPY_PERIOD: Duration = Duration::from_secs(4);
/// Pause after all daemons that were asked had no copy, for an average daemon.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Maximum number of daemons that are asked before such a pause.
const MAX_ASKED: usize = 6;

impl TableReader {
    /// Waits for missing rows to be pushed and asks other daemons for them; reads them from the
    /// store when none has handed them over in time.
    pub(super) async fn catch_up(&mut self, after: StorePosition) -> Result<(), String> {
        let until = BootClock.now() + CATCH_UP_PERIOD;
        let mut known = after;
        while BootClock.now() < until {
            let push_until = BootClock.now() + PUSH_WAIT.mul_f64(0.8 + fastrand::f64() * 0.4);
            while BootClock.now() < push_until {
                self.receive_push(known).await;
                known = self.read_through.unwrap_or(after);
                let gateway = self.shared.gateway.borrow();
                if gateway.read_plan(BootClock.now(), self.shared_table()) != ReadPlan::CatchUp {
                    return Ok(());
                }
            }
            if self.fetch_from_peers(Some(known), until).await {
                return Ok(());
            }
        }
        self.poll_changes(known, Duration::ZERO).await
    }

    /// Waits until another daemon has handed over its copy of the table, or this one may read the
    /// store.
    pub(super) async fn fetch_first_copy(&mut self) {
        let until = BootClock.now() + FIRST_COPY_PERIOD;
        if !self.fetch_from_peers(None, until).await {
            Timer::after(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    /// Asks daemons of the zone, one after the other until a time, for the table or for what changed
    /// after a position. Returns whether one of them had it.
    async fn fetch_from_peers(
        &mut self,
        after: Option<StorePosition>,
        until: MonotonicTime,
    ) -> bool {
        let mut sources = self.shared.gateway.borrow().table_sources(BootClock.now());
        fastrand::shuffle(&mut sources);
        let mut asked: Vec<SocketAddr> = Vec::new();
        let own = self.shared.settings.listen.peers;
        while let Some(peer) = sources.pop() {
            if asked.contains(&peer) || peer == own {
                continue;
            }
            let left = until.since(BootClock.now());
            if asked.len() >= MAX_ASKED || left.is_zero() {
                break;
            }
            asked.push(peer);
            let request = TableRequest {
                table: self.shared_table(),
                after,
                address: own,
            };
            match fetch_table(peer, request, left).await {
                Ok(TableTransfer::Unavailable(named)) => sources.extend(named),
                Ok(TableTransfer::Changes(push)) => {
                    self.log_fetched(peer, "changes", push.rows.len());
                    return self.apply_push(&push);
                }
                Ok(TableTransfer::Table {
                    read_through,
                    last_change,
                    rows,
                }) => {
                    let position = TablePosition {
                        read_through,
                        last_change,
                    };
                    self.log_fetched(peer, "table", rows.len());
                    return self.apply_transferred(rows, position);
                }
                Err(error) => log::debug!("event=transfer-failed cause={error}"),
            }
        }
        false
    }

    fn log_fetched(&self, peer: SocketAddr, kind: &str, rows: usize) {
        let table = self.table;
        log::info!("event=table-fetched table={table} peer={peer} kind={kind} rows={rows}");
    }

    /// Applies pushed rows, unless others before them are missing.
    pub(super) fn apply_push(&mut self, push: &RowsPush) -> bool {
        if !self
            .read_through
            .is_some_and(|known| push.is_complete_for(known))
        {
            return false;
        }
        let known = self.read_through.unwrap_or_default();
        // Rows that a restore lost were not withdrawn, so the gateway must receive the restore
        // before the rows.
        self.shared.observe_peer_era(push.through);
        for row in &push.rows {
            // Rows without a version can't be compared and are always applied.
            if row.position > known || row.position.version == 0 {
                self.apply_row(row);
            }
        }
        self.record_position(&push.rows, push.through, None);
        true
    }

    /// Applies the whole table of another daemon, unless the copy held here is newer.
    fn apply_transferred(&mut self, rows: Vec<StoreRow>, position: TablePosition) -> bool {
        let is_older = self
            .read_through
            .is_some_and(|known| known >= position.read_through);
        if is_older || position.read_through.era < self.shared.gateway.borrow().store_era() {
            return false;
        }
        self.shared.observe_peer_era(position.read_through);
        self.apply_table(&rows, position.read_through);
        self.shared
            .snapshot(self.shared_table())
            .borrow_mut()
            .replace(&rows, position.read_through);
        self.row_cache.replace(rows, position.read_through);
        self.last_change = position.last_change;
        self.has_full_read = true;
        self.full_read_at = BootClock.now();
        self.record_position(&[], position.read_through, None);
        true
    }
}
