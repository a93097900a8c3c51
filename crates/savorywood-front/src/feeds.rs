//! Readers of the store's tables. Each reads its table completely, then follows the table's change
//! feed, and reads it completely again after a gap in the feed.

mod members;
mod page_limit;
mod quarantine;
mod rollouts;
mod row_cache;
mod row_updates;
mod snapshot;
mod table_reads;
mod transfers;

pub use members::{deregister_member, maintain_membership};
pub use quarantine::sync_quarantine;
pub use rollouts::sync_rollouts;
pub use snapshot::TableSnapshot;

use self::row_cache::RowCache;
use crate::{
    adapter::{StoreRow, StoreTable},
    clock::BootClock,
    peers::{PeerSocket, RowsPush},
    shared::FrontShared,
    store::StoreConnection,
};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use savorywood_gateway::{
    FreshnessClock, GatewayEvent, ReadPlan, SharedTable, StorePosition, TablePosition,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, rc::Rc, time::Duration};

/// Long-poll timeout for changes of registrations; the store responds to changes at once.
const UPSTREAMS_POLL_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Time beyond the long-poll timeout after which a call fails. Without it a connection that fails
/// unnoticed would hide a drain or a revoked key.
const FEED_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Timeout of all other calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// First delay after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum delay after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// First delay after a failed call when other daemons of the zone are to read the store first.
const MIN_STANDBY_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum delay after failed calls when other daemons of the zone are to read the store first.
const MAX_STANDBY_BACKOFF: Duration = Duration::from_secs(2);
/// Delay after a feed response that reported changes, for each daemon that reads the store; further
/// changes are collected meanwhile. Every change is a response to every reader, so with a fixed
/// delay the number of calls would grow with daemons times upstreams.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(8);
/// Maximum of that delay: the removal of an upstream must be received well before its bound.
const MAX_CHANGE_BATCH_DELAY: Duration = Duration::from_millis(400);
/// Interval of complete reads, since the feed alone may miss a change.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of unreadable rows that are tracked to log each only once.
const MAX_UNREADABLE_ROWS: usize = 256;
/// Interval at which the gateway is asked again whether another daemon attests to a table.
const ATTESTATION_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Reads one table and reports its changes to the gateway.
pub struct TableReader {
    shared: Rc<FrontShared>,
    sources: TableSources,
    table: StoreTable,
    connection: StoreConnection,
    freshness: FreshnessClock,
    /// Position up to which all changes are applied; `None` before the first complete read.
    read_through: Option<StorePosition>,
    /// Position of the last change that is applied.
    last_change: StorePosition,
    /// The table was read completely at least once.
    has_full_read: bool,
    /// The feed can't provide the changes after `read_through`.
    has_gap: bool,
    /// A complete read was deferred once since rows were last received.
    has_deferred: bool,
    row_cache: RowCache,
    /// Positions of rows that could not be parsed, so that each is logged once.
    unreadable: BTreeMap<String, StorePosition>,
    /// How the table was last read.
    plan: ReadPlan,
    full_read_at: MonotonicTime,
    backoff: Duration,
    reachable: bool,
}

/// Connections of a table reader to other daemons.
pub struct TableSources {
    /// Socket through which changed rows are pushed to other daemons.
    pub peers: Rc<PeerSocket>,
    /// Rows that other daemons push.
    pub pushes: Receiver<RowsPush>,
}

impl TableReader {
    /// Creates a reader that starts with a complete read.
    pub fn new(shared: Rc<FrontShared>, table: StoreTable, sources: TableSources) -> Self {
        let connection = StoreConnection::new(shared.settings.store.address);
        Self {
            shared,
            sources,
            table,
            connection,
            freshness: FreshnessClock::default(),
            read_through: None,
            last_change: StorePosition::default(),
            has_full_read: false,
            has_gap: false,
            has_deferred: false,
            row_cache: RowCache::default(),
            unreadable: BTreeMap::new(),
            plan: ReadPlan::Direct,
            full_read_at: MonotonicTime::default(),
            backoff: MIN_BACKOFF,
            reachable: true,
        }
    }

    /// Reads the table until the process ends.
    pub async fn run(mut self) {
        loop {
            let now = BootClock.now();
            let due = now.since(self.full_read_at) >= FULL_READ_INTERVAL;
            let plan = self
                .shared
                .gateway
                .borrow()
                .read_plan(now, self.shared_table());
            self.update_plan(plan);
            if self.read_through.is_none() && !self.shared.gateway.borrow().may_read_first(now) {
                self.fetch_first_copy().await;
                continue;
            }
            let result = match (self.read_through, plan) {
                (Some(after), ReadPlan::FollowAttestation | ReadPlan::AwaitReader) => {
                    let after = self.follow_attested(after);
                    self.receive_push(after).await;
                    continue;
                }
                (Some(after), ReadPlan::Direct) if self.should_defer(after) => {
                    self.defer_full_read().await;
                    continue;
                }
                (Some(after), _) if self.needs_full_read(after) => self.read_table().await,
                (Some(after), ReadPlan::CatchUp) => self.catch_up(after).await,
                (Some(after), ReadPlan::Direct) if !due => {
                    self.poll_changes(after, self.poll_timeout()).await
                }
                _ => self.read_table().await,
            };
            match result {
                Ok(()) => {
                    self.backoff = MIN_BACKOFF;
                    self.update_reachable(true, "");
                }
                Err(cause) => self.back_off(&cause).await,
            }
        }
    }

    /// Reports whether the feed can't provide the changes after a position.
    fn needs_full_read(&self, after: StorePosition) -> bool {
        self.has_gap || after.era < self.shared.gateway.borrow().store_era()
    }

    /// Reports whether to defer a complete read to the daemons of the zone that read first. They
    /// push what changed.
    fn should_defer(&self, after: StorePosition) -> bool {
        let is_first = self
            .shared
            .gateway
            .borrow()
            .is_initial_reader(BootClock.now());
        !self.has_deferred && !is_first && self.needs_full_read(after)
    }

    /// Records a failed call. Its delay is the only one before the next complete read.
    fn record_failure(&mut self) {
        self.has_gap = true;
        self.has_deferred = true;
    }

    async fn defer_full_read(&mut self) {
        self.has_deferred = true;
        let jitter = 0.5 + fastrand::f64();
        self.sleep_until_attested(MIN_STANDBY_BACKOFF.mul_f64(jitter))
            .await;
    }

    fn update_plan(&mut self, plan: ReadPlan) {
        if self.plan != plan {
            self.plan = plan;
            let known = self.read_through.unwrap_or_default();
            log::info!(
                "event=reading-changed table={} plan={plan} known={known}",
                self.table
            );
        }
    }

    /// Logs a row that can't be parsed, such as one of another writer, once for each of its
    /// positions.
    fn log_unreadable(&mut self, row: &StoreRow) {
        let known = self.unreadable.get(&row.key);
        if row.value.is_none() || known == Some(&row.position) {
            return;
        }
        if self.unreadable.len() >= MAX_UNREADABLE_ROWS {
            self.unreadable.clear();
        }
        self.unreadable.insert(row.key.clone(), row.position);
        log::warn!(
            "event=row-unreadable table={} key={:?} version={}",
            self.table,
            row.key,
            row.position
        );
    }

    fn shared_table(&self) -> SharedTable {
        match self.table {
            StoreTable::Upstreams => SharedTable::Upstreams,
            StoreTable::Declared
            | StoreTable::Members
            | StoreTable::Status
            | StoreTable::Quarantine => SharedTable::Declared,
        }
    }

    fn poll_timeout(&self) -> Duration {
        match self.table {
            StoreTable::Declared => self.shared.gateway.borrow().config_poll_timeout(),
            _ => UPSTREAMS_POLL_TIMEOUT,
        }
    }

    /// Records the position up to which another daemon attests that nothing changed. Returns the
    /// position that the copy has reached.
    fn follow_attested(&mut self, known: StorePosition) -> StorePosition {
        let table = self.shared_table();
        let attested = self.shared.gateway.borrow().attested_read_through(table);
        if let Some(through) = attested {
            self.record_position(&[], through, None);
        }
        attested.unwrap_or(known)
    }

    /// Waits for pushed rows while another daemon attests that the applied rows are current, or may
    /// soon.
    async fn receive_push(&mut self, known: StorePosition) {
        let pushed = async { self.sources.pushes.recv().await.ok() };
        let pause = async {
            Timer::after(ATTESTATION_POLL_INTERVAL).await;
            None
        };
        let push = future::or(pushed, pause).await;
        // Rows after a gap are not applied; the changes in the gap are asked for.
        let Some(push) = push.filter(|push| push.is_complete_for(known)) else {
            return;
        };
        // In a large zone each coordinator forwards rows to its share of the daemons.
        if self.apply_push(&push) && self.shared.gateway.borrow().has_coordinators() {
            self.sources.peers.push(&self.shared, push).await;
        }
    }

    /// Records that all changes up to `through` are applied, and reports it to the gateway.
    fn record_position(
        &mut self,
        rows: &[StoreRow],
        read_through: StorePosition,
        confirmed_at: Option<MonotonicTime>,
    ) {
        for row in rows {
            self.last_change = self.last_change.max(row.position);
            self.row_cache.insert(row);
        }
        self.read_through = Some(read_through);
        self.has_gap = false;
        self.has_deferred = false;
        let position = TablePosition {
            read_through,
            last_change: self.last_change,
        };
        self.shared
            .snapshot(self.shared_table())
            .borrow_mut()
            .apply(rows, position);
        self.shared.step(GatewayEvent::TableRead {
            table: self.shared_table(),
            position,
            confirmed_at,
        });
    }

    async fn back_off(&mut self, cause: &str) {
        self.update_reachable(false, cause);
        self.shared.step(GatewayEvent::StoreFailed);
        let jitter = 0.5 + fastrand::f64();
        let is_initial_reader = self
            .shared
            .gateway
            .borrow()
            .is_initial_reader(BootClock.now());
        let (min, max) = if is_initial_reader {
            (MIN_BACKOFF, MAX_BACKOFF)
        } else {
            (MIN_STANDBY_BACKOFF, MAX_STANDBY_BACKOFF)
        };
        self.sleep_until_attested(self.backoff.max(min).mul_f64(jitter))
            .await;
        self.backoff = (self.backoff.max(min) * 2).min(max);
    }

    /// Sleeps for `pause`, or until another daemon attests that the applied rows are current.
    async fn sleep_until_attested(&self, pause: Duration) {
        let until = BootClock.now() + pause;
        while BootClock.now() < until {
            let left = until.since(BootClock.now());
            Timer::after(left.min(ATTESTATION_POLL_INTERVAL)).await;
            let gateway = self.shared.gateway.borrow();
            if gateway.read_plan(BootClock.now(), self.shared_table()) != ReadPlan::Direct {
                return;
            }
        }
    }

    fn update_reachable(&mut self, reachable: bool, cause: &str) {
        if self.reachable == reachable {
            return;
        }
        self.reachable = reachable;
        let table = self.table;
        if reachable {
            log::info!("event=store-regained table={table}");
        } else {
            log::warn!("event=store-lost table={table} cause={cause:?}");
        }
    }
}
