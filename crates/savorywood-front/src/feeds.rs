//! What lies in the store reaches the decisions: a full read, then a feed, then a full read again
//! after any gap.

mod members;
mod quarantine;
mod rollouts;
mod row_cache;
mod row_updates;
mod table_reads;

pub use members::{deregister_member, maintain_membership};
pub use quarantine::sync_quarantine;
pub use rollouts::sync_rollouts;

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

/// Wait of one call for registrations; changes are answered at once.
const UPSTREAMS_POLL_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Time beyond the wait with_timeout which the answer must come: a connection that fell silent must
/// not hide a drain or a revoked key.
const FEED_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Time for any other call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// First pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(60);
/// Longest pause after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// First pause after a failed call of a daemon that others of its zone go before.
const MIN_STANDBY_BACKOFF: Duration = Duration::from_millis(500);
/// Longest pause after failed calls of such a daemon.
const MAX_STANDBY_BACKOFF: Duration = Duration::from_secs(2);
/// Pause between two answers of a feed that reported changes, for each daemon that reads it: changes
/// gather meanwhile. Every change is an answer to every daemon, so without a pause that grows with
/// them the calls grow with daemons times upstreams.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(8);
/// Longest such pause: an upstream that leaves must be learned of well before its bound.
const MAX_CHANGE_BATCH_DELAY: Duration = Duration::from_millis(400);
/// The feed alone may miss a change: the whole table is read again so often.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Rows that can't be read that are remembered at most.
const MAX_UNREADABLE_ROWS: usize = 256;
/// Time between two looks whether another daemon still attests to a table.
const ATTESTATION_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Reads one table for as long as the process lives.
pub struct TableReader {
    shared: Rc<FrontShared>,
    sources: TableSources,
    table: StoreTable,
    link: StoreConnection,
    freshness: FreshnessClock,
    /// All changes up to this position are known.
    revision: Option<StorePosition>,
    /// Position of the last change that is known.
    changed: StorePosition,
    /// The whole table was read once.
    has_full_read: bool,
    /// The changes after `revision` can't be had one by one.
    has_gap: bool,
    /// A whole read was left to other daemons of the zone once, and nothing was learned since.
    has_deferred: bool,
    row_cache: RowCache,
    /// Positions of rows that could not be read, so that each is logged once.
    unreadable: BTreeMap<String, StorePosition>,
    /// How the table was learned of last.
    plan: ReadPlan,
    full_read_at: MonotonicTime,
    backoff: Duration,
    reachable: bool,
}

/// Where a reader of a table has rows from beside the store, and to whom it sends them.
pub struct TableSources {
    /// Other daemons.
    pub peers: Rc<PeerSocket>,
    /// Rows that other daemons hand on.
    pub pushes: Receiver<RowsPush>,
}

impl TableReader {
    /// A reader that begins with a full read.
    pub fn new(shared: Rc<FrontShared>, table: StoreTable, sources: TableSources) -> Self {
        let link = StoreConnection::new(shared.settings.store.address);
        Self {
            shared,
            sources,
            table,
            link,
            freshness: FreshnessClock::default(),
            revision: None,
            changed: StorePosition::default(),
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

    /// Reads on and on.
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
            let result = match (self.revision, plan) {
                (Some(after), ReadPlan::FollowAttestation) => {
                    self.follow_attestation(after).await;
                    continue;
                }
                (Some(_), ReadPlan::AwaitReader) => {
                    Timer::after(ATTESTATION_POLL_INTERVAL).await;
                    continue;
                }
                (Some(after), ReadPlan::Direct) if self.should_defer(after) => {
                    self.defer_full_read().await;
                    continue;
                }
                (Some(after), _) if self.needs_full_read(after) => self.read_table().await,
                (Some(after), ReadPlan::CatchUp) => self.poll_changes(after, Duration::ZERO).await,
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

    /// What changed since a position can't be had one by one.
    fn needs_full_read(&self, after: StorePosition) -> bool {
        self.has_gap || after.era < self.shared.gateway.borrow().store_era()
    }

    /// A whole read is first left to the daemons of the zone that go first; they pass on what changed.
    fn should_defer(&self, after: StorePosition) -> bool {
        let is_first = self
            .shared
            .gateway
            .borrow()
            .is_initial_reader(BootClock.now());
        !self.has_deferred && !is_first && self.needs_full_read(after)
    }

    /// A call failed; the pause after it is all that a whole read waits for.
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
            let known = self.revision.unwrap_or_default();
            log::info!(
                "event=reading-changed table={} plan={plan} known={known}",
                self.table
            );
        }
    }

    /// A row by another writer; it is logged once, however often it is read.
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

    /// Another daemon attests to what is known; it hands on what changes.
    async fn follow_attestation(&mut self, known: StorePosition) {
        let pushed = async { self.sources.pushes.recv().await.ok() };
        let pause = async {
            Timer::after(ATTESTATION_POLL_INTERVAL).await;
            None
        };
        let push = future::or(pushed, pause).await;
        // Rows after a gap are not enough: what lies in it is read.
        let Some(push) = push.filter(|push| push.is_complete_for(known)) else {
            return;
        };
        // What a restore has lost is not what was withdrawn: the decisions learn of the restore first.
        self.shared.observe_peer_era(push.through);
        for row in &push.rows {
            // A version that is not reported can't be known.
            if row.position > known || row.position.version == 0 {
                self.apply_row(row);
            }
        }
        self.record_position(&push.rows, push.through, None);
    }

    /// Notes what is known now.
    fn record_position(
        &mut self,
        rows: &[StoreRow],
        read_through: StorePosition,
        confirmed_at: Option<MonotonicTime>,
    ) {
        for row in rows {
            self.changed = self.changed.max(row.position);
            self.row_cache.insert(row);
        }
        self.revision = Some(read_through);
        self.has_gap = false;
        self.has_deferred = false;
        let position = TablePosition {
            read_through,
            last_change: self.changed,
        };
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
        let (first, longest) = if is_initial_reader {
            (MIN_BACKOFF, MAX_BACKOFF)
        } else {
            (MIN_STANDBY_BACKOFF, MAX_STANDBY_BACKOFF)
        };
        self.sleep_until_attested(self.backoff.max(first).mul_f64(jitter))
            .await;
        self.backoff = (self.backoff.max(first) * 2).min(longest);
    }

    /// Pauses, until another daemon attests to what is known at the longest.
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
