//! Moves of traffic from one version to another: driven by one holder, stopped by anybody.
//!
//! See `docs/design/moves.md`.

pub mod evaluator;
pub mod options;
pub mod plan;
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
    event::{DutyKind, TableCall, TimerKey},
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

/// Between two looks at what was gathered and at the clock.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// What happens to moves.
#[derive(Debug, Clone, PartialEq)]
pub enum MoveEvent {
    /// The daemon begins.
    Started,
    /// The configuration in force changed.
    ConfigChanged,
    /// One of its timers fired.
    TimerFired {
        /// Number of the timer.
        number: u64,
    },
    /// The table answered.
    Table {
        /// Number of the call.
        number: u64,
        /// Its answer.
        answer: TableResponse,
    },
    /// A peer tells something.
    Peer {
        /// Who.
        from: HostName,
        /// What.
        message: MoveMessage,
    },
    /// A request of some service ended.
    Sampled(MoveSample),
}

/// What the move duty reads of other duties in a step.
#[derive(Debug, Clone, Copy)]
pub struct MoveView<'a> {
    /// Configuration in force.
    pub config: &'a ConfigView,
    /// Daemons known.
    pub members: &'a MemberView,
    /// Lease for driving moves, asked for at this very step.
    pub lease: Option<LeaseGrant>,
}

/// What a step did to the splits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveStepResult {
    /// Traffic is split as before.
    Unchanged,
    /// Traffic is split otherwise: the scheduler must look.
    SplitsChanged,
}

/// A write of a row under way.
#[derive(Debug)]
struct PendingWrite {
    number: u64,
    row: MoveRow,
}

/// A read of the rows under way.
#[derive(Debug)]
struct PendingRead {
    number: u64,
    sent_at: MonotonicTime,
}

/// State of the move duty.
#[derive(Debug)]
pub struct MovesState {
    options: MoveOptions,
    rng: ChaCha8Rng,
    rows: BTreeMap<MoveName, MoveRecord>,
    scanned_to: CommitRevision,
    pending_read: Option<PendingRead>,
    pending_writes: BTreeMap<MoveName, PendingWrite>,
    stops: BTreeMap<MoveName, StopRecord>,
    local: BTreeMap<MoveName, LocalStatistics>,
    driven: BTreeMap<MoveName, DrivenMove>,
    splits: BTreeMap<ServiceName, VersionSplit>,
    tick_scheduled: bool,
    /// Until when the timer for reading is known to be set.
    poll_scheduled_until: Option<MonotonicTime>,
    last_call: u64,
}

impl MovesState {
    /// A daemon that knows of no move.
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

    /// How the traffic of services with a move is split. Once a move was stopped here or its time
    /// is over, its new version has no share.
    #[must_use]
    pub fn splits(&self) -> &BTreeMap<ServiceName, VersionSplit> {
        &self.splits
    }

    /// Whether a move is under way, so that some daemon must hold the lease.
    #[must_use]
    pub fn needs_lease(&self, config: &ConfigView) -> bool {
        config.moves.keys().any(|name| !self.is_over(name, config))
    }

    /// Handles one event.
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

    /// Row of a move, if it is about that revision of its spec.
    fn row_of(&self, name: &MoveName, revision: ConfigRevision) -> Option<&MoveRow> {
        let row = &self.rows.get(name)?.row;
        (row.spec_revision == revision).then_some(row)
    }

    /// Forgets what belongs to moves that were deleted.
    fn remove_deleted(&mut self, config: &ConfigView) {
        self.local.retain(|name, _| config.moves.contains_key(name));
        self.driven
            .retain(|name, _| config.moves.contains_key(name));
    }

    fn call_table(&mut self, request: TableRequest, effects: &mut EffectQueue) -> u64 {
        self.last_call += 1;
        let number = self.last_call;
        let duty = DutyKind::Moves;
        let call = TableCall { duty, number };
        effects.push(DaemonEffect::CallTable { call, request });
        number
    }
}

/// One move as the configuration has it.
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

/// Timers of this duty.
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
