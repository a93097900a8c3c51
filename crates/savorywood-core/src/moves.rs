//! Progressive delivery: shifts the traffic of a service from one version to another in stages.
//!
//! The holder of the lease [`LeaseName::Moves`](crate::leases::LeaseName) decides on the stages and
//! writes them to the table. Every daemon can stop a move without the table or the holder. The
//! design is in `docs/design/moves.md`.

pub mod evaluator;
pub mod options;
pub mod plan;
pub mod relative_load;
pub mod row;
pub mod samples;

mod driver;
mod local_statistics;
mod row_updates;
mod splits;
mod status;
mod stops;

pub use options::MoveOptions;
pub use samples::{ComparedVersion, MoveSample};
pub use stops::StopRecord;

use crate::{
    effect::{DaemonEffect, EffectQueue},
    event::{DutyKind, TableCallId, TimerKey},
    leases::LeaseGrant,
    view::{ConfigView, MemberView, VersionSplit},
};
use driver::DrivenMove;
use local_statistics::LocalStatistics;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use row::{MoveRecord, MoveRow};
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostName, MonotonicTime, MoveName, ServiceName,
    peer::MoveMessage,
    resource::{ResourceKey, ResourceKind, TrafficMoveSpec},
    table::{CommitRevision, TableRequest, TableResponse},
};
use std::{collections::BTreeMap, time::Duration};

/// Interval at which samples are evaluated and deadlines are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Input of the move duty.
#[derive(Debug, Clone, PartialEq)]
pub enum MoveEvent {
    /// The daemon started.
    Started,
    /// The configuration in force was replaced.
    ConfigChanged,
    /// A timer of this duty fired.
    TimerFired {
        /// Number from the [`TimerKey`] that the duty set.
        number: u64,
    },
    /// A table call of this duty ended.
    Table {
        /// Number from the [`TableCallId`] that the duty made.
        number: u64,
        /// Response of the table, or why there is none.
        answer: TableResponse,
    },
    /// A datagram about a move arrived from a peer.
    Peer {
        /// Host of the sender.
        from: HostName,
        /// A stop, or statistics for the lease holder.
        message: MoveMessage,
    },
    /// A request ended that this daemon dispatched for a service with a move.
    Sampled(MoveSample),
}

/// State of other duties that a step of the move duty reads.
#[derive(Debug, Clone, Copy)]
pub struct MoveView<'a> {
    /// Configuration in force.
    pub config: &'a ConfigView,
    /// Members of the cluster.
    pub members: &'a MemberView,
    /// Lease for driving moves as of this step; `None` unless this daemon holds it.
    pub lease: Option<LeaseGrant>,
}

/// Whether a step changed the traffic splits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveStepResult {
    /// All splits are as before the step.
    Unchanged,
    /// At least one split changed, so the scheduler must run again.
    SplitsChanged,
}

/// A row write whose response is outstanding.
#[derive(Debug)]
struct PendingWrite {
    number: u64,
    row: MoveRow,
}

/// A scan of the rows whose response is outstanding.
#[derive(Debug)]
struct PendingRead {
    number: u64,
    sent_at: MonotonicTime,
}

/// State of the move duty of one daemon.
#[derive(Debug)]
pub struct MovesState {
    options: MoveOptions,
    rng: ChaCha8Rng,
    rows: BTreeMap<MoveName, MoveRecord>,
    /// Revision after which the next scan begins.
    scanned_to: CommitRevision,
    pending_read: Option<PendingRead>,
    pending_writes: BTreeMap<MoveName, PendingWrite>,
    /// Newest stop of each move, issued here or received from a peer.
    stops: BTreeMap<MoveName, StopRecord>,
    /// Samples and evaluation of the requests that this daemon dispatched.
    local: BTreeMap<MoveName, LocalStatistics>,
    /// Evaluation over all daemons; empty unless this daemon holds the lease.
    driven: BTreeMap<MoveName, DrivenMove>,
    splits: BTreeMap<ServiceName, VersionSplit>,
    tick_scheduled: bool,
    /// Time until which the poll timer counts as set; absent until the first poll is scheduled.
    poll_scheduled_until: Option<MonotonicTime>,
    /// Number of the newest table call.
    last_call: u64,
}

impl MovesState {
    /// Creates the state before any row was read.
    #[must_use]
    pub fn new(options: MoveOptions) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            rows: BTreeMap::new(),
            scanned_to: 0,
            pending_read: None,
            pending_writes: BTreeMap::new(),
            stops: BTreeMap::new(),
            local: BTreeMap::new(),
            driven: BTreeMap::new(),
            splits: BTreeMap::new(),
            tick_scheduled: false,
            poll_scheduled_until: None,
            last_call: 0,
        }
    }

    /// Returns the traffic split of each service that has a move. The new version has no share once
    /// this daemon records a stop of the move or its deadline has passed.
    #[must_use]
    pub fn splits(&self) -> &BTreeMap<ServiceName, VersionSplit> {
        &self.splits
    }

    /// Whether any move is unfinished, which requires a daemon to hold the lease.
    #[must_use]
    pub fn needs_lease(&self, config: &ConfigView) -> bool {
        config.moves.keys().any(|name| !self.is_over(name, config))
    }

    /// Handles one event and appends the resulting effects.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: MoveEvent,
        view: MoveView<'_>,
        effects: &mut EffectQueue,
    ) -> MoveStepResult {
        match event {
            MoveEvent::Started => self.read_rows(now, effects),
            MoveEvent::ConfigChanged => self.remove_deleted(view.config),
            MoveEvent::TimerFired { number } => self.handle_timer(now, number, view, effects),
            MoveEvent::Table { number, answer } => self.handle_response(number, answer, effects),
            MoveEvent::Peer { from, message } => self.receive(now, &from, message, view, effects),
            MoveEvent::Sampled(sample) => self.record_sample(&sample, view.config),
        }
        self.ensure_tick(now, view, effects);
        let splits = self.build_splits(now, view.config);
        if splits == self.splits {
            return MoveStepResult::Unchanged;
        }
        self.splits = splits;
        MoveStepResult::SplitsChanged
    }

    fn handle_timer(
        &mut self,
        now: CoreTime,
        number: u64,
        view: MoveView<'_>,
        effects: &mut EffectQueue,
    ) {
        match MoveTimer::from_number(number) {
            Some(MoveTimer::Tick) => {
                self.tick_scheduled = false;
                self.process_samples(now, view, effects);
                self.drive(now, view, effects);
                self.resend_stops(view.members, effects);
            }
            Some(MoveTimer::Poll) => {
                self.read_rows(now, effects);
                self.schedule_poll(now, view.members, effects);
            }
            None => {}
        }
    }

    /// Keeps the tick timer running while a move is unfinished or a stop must be sent again.
    fn ensure_tick(&mut self, now: CoreTime, view: MoveView<'_>, effects: &mut EffectQueue) {
        if self.tick_scheduled || !(self.needs_lease(view.config) || self.has_stops_to_resend()) {
            return;
        }
        self.tick_scheduled = true;
        effects.set_timer(MoveTimer::Tick.key(), now.monotonic + TICK_INTERVAL);
        if self.pending_read.is_none() && !self.is_poll_scheduled(now) {
            self.read_rows(now, effects);
            self.schedule_poll(now, view.members, effects);
        }
    }

    fn is_over(&self, name: &MoveName, config: &ConfigView) -> bool {
        let revision = spec_revision(name, config);
        self.row_of(name, revision).is_some_and(MoveRow::is_over)
    }

    /// Returns the row of a move if it belongs to that revision of the spec.
    fn row_of(&self, name: &MoveName, revision: ConfigRevision) -> Option<&MoveRow> {
        let row = &self.rows.get(name)?.row;
        (row.spec_revision == revision).then_some(row)
    }

    /// Discards the statistics of moves that were deleted from the configuration.
    fn remove_deleted(&mut self, config: &ConfigView) {
        self.local.retain(|name, _| config.moves.contains_key(name));
        self.driven
            .retain(|name, _| config.moves.contains_key(name));
    }

    fn call_table(&mut self, request: TableRequest, effects: &mut EffectQueue) -> u64 {
        self.last_call += 1;
        let number = self.last_call;
        let duty = DutyKind::Moves;
        let call = TableCallId { duty, number };
        effects.push(DaemonEffect::CallTable { call, request });
        number
    }
}

/// A move in the configuration in force, with the revision of its spec.
#[derive(Debug, Clone, Copy)]
struct ConfiguredMove<'a> {
    name: &'a MoveName,
    revision: ConfigRevision,
    spec: &'a TrafficMoveSpec,
}

fn configured_moves(config: &ConfigView) -> impl Iterator<Item = ConfiguredMove<'_>> {
    config.moves.iter().map(|(name, spec)| ConfiguredMove {
        name,
        revision: spec_revision(name, config),
        spec,
    })
}

fn spec_revision(name: &MoveName, config: &ConfigView) -> ConfigRevision {
    let key = ResourceKey {
        kind: ResourceKind::Move,
        name: name.as_str().to_owned(),
    };
    let document = config.documents.get(&key);
    let revision = document.and_then(|document| document.revision);
    revision.unwrap_or_default()
}

/// Timers of the move duty. The discriminant is the number in the [`TimerKey`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveTimer {
    Tick,
    Poll,
}

impl MoveTimer {
    fn key(self) -> TimerKey {
        let duty = DutyKind::Moves;
        let number = self as u64;
        TimerKey { duty, number }
    }

    fn from_number(number: u64) -> Option<Self> {
        [Self::Tick, Self::Poll]
            .into_iter()
            .find(|timer| *timer as u64 == number)
    }
}
