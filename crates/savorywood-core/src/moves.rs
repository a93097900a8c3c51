//! Moves of traffic from one version to another: driven by one holder, stopped by anybody.
//!
//! See `docs/design/moves.md`.

pub mod evidence;
pub mod judge;
pub mod options;
pub mod plan;
pub mod row;

mod driving;
mod reading;
mod splitting;
mod status;
mod stopping;
mod watching;

pub use evidence::{MoveSample, VersionArm};
pub use options::MoveOptions;
pub use stopping::StopRecord;

use crate::{
    effect::{DaemonEffect, EffectQueue},
    event::{DutyKind, TableCallId, TimerKey},
    leases::LeaseGrant,
    view::{ConfigView, MemberView, VersionSplit},
};
use driving::DrivenMove;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use row::{MoveRecord, MoveRow};
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostName, MonotonicTime, MoveName, ServiceName,
    peer::MoveMessage,
    resource::{ResourceKey, ResourceKind, TrafficMoveSpec},
    table::{CommitRevision, TableAnswer, TableRequest},
};
use std::{collections::BTreeMap, time::Duration};
use watching::LocalWatch;

/// Between two looks at what was gathered and at the clock.
const TICK: Duration = Duration::from_millis(250);

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
        answer: TableAnswer,
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
pub enum MoveVerdict {
    /// Traffic is split as before.
    Unchanged,
    /// Traffic is split otherwise: the scheduler must look.
    SplitsChanged,
}

/// A write of a row under way.
#[derive(Debug)]
struct RowWriting {
    number: u64,
    row: MoveRow,
}

/// A read of the rows under way.
#[derive(Debug)]
struct RowReading {
    number: u64,
    asked_at: MonotonicTime,
}

/// State of the move duty.
#[derive(Debug)]
pub struct MovesState {
    options: MoveOptions,
    rng: ChaCha8Rng,
    rows: BTreeMap<MoveName, MoveRecord>,
    read_to: CommitRevision,
    reading: Option<RowReading>,
    writing: BTreeMap<MoveName, RowWriting>,
    stops: BTreeMap<MoveName, StopRecord>,
    watches: BTreeMap<MoveName, LocalWatch>,
    driven: BTreeMap<MoveName, DrivenMove>,
    splits: BTreeMap<ServiceName, VersionSplit>,
    ticking: bool,
    /// Until when the timer for reading is known to be set.
    polled_until: Option<MonotonicTime>,
    calls: u64,
}

impl MovesState {
    /// A daemon that knows of no move.
    #[must_use]
    pub fn new(options: MoveOptions) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            rows: BTreeMap::new(),
            read_to: 0,
            reading: None,
            writing: BTreeMap::new(),
            stops: BTreeMap::new(),
            watches: BTreeMap::new(),
            driven: BTreeMap::new(),
            splits: BTreeMap::new(),
            ticking: false,
            polled_until: None,
            calls: 0,
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
    pub fn wants_lease(&self, config: &ConfigView) -> bool {
        config.moves.keys().any(|name| !self.is_over(name, config))
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: MoveEvent,
        view: MoveView<'_>,
        effects: &mut EffectQueue,
    ) -> MoveVerdict {
        match event {
            MoveEvent::Started => self.read_rows(now, effects),
            MoveEvent::ConfigChanged => self.forget_old(view.config),
            MoveEvent::TimerFired { number } => self.timer(now, number, view, effects),
            MoveEvent::Table { number, answer } => self.answered(number, answer, effects),
            MoveEvent::Peer { from, message } => self.hear(now, &from, message, view, effects),
            MoveEvent::Sampled(sample) => self.sample(&sample, view.config),
        }
        self.keep_ticking(now, view, effects);
        let splits = self.build_splits(now, view.config);
        if splits == self.splits {
            return MoveVerdict::Unchanged;
        }
        self.splits = splits;
        MoveVerdict::SplitsChanged
    }

    fn timer(&mut self, now: CoreTime, number: u64, view: MoveView<'_>, effects: &mut EffectQueue) {
        match MoveTimer::from_number(number) {
            Some(MoveTimer::Tick) => {
                self.ticking = false;
                self.flush(now, view, effects);
                self.drive(now, view, effects);
                self.repeat_stops(view.members, effects);
            }
            Some(MoveTimer::Read) => {
                self.read_rows(now, effects);
                self.set_read(now, view.members, effects);
            }
            None => {}
        }
    }

    fn keep_ticking(&mut self, now: CoreTime, view: MoveView<'_>, effects: &mut EffectQueue) {
        if self.ticking || !(self.wants_lease(view.config) || self.stops_to_repeat()) {
            return;
        }
        self.ticking = true;
        effects.set_timer(MoveTimer::Tick.key(), now.monotonic + TICK);
        if self.reading.is_none() && !self.is_polling(now) {
            self.read_rows(now, effects);
            self.set_read(now, view.members, effects);
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
    fn forget_old(&mut self, config: &ConfigView) {
        self.watches
            .retain(|name, _| config.moves.contains_key(name));
        self.driven
            .retain(|name, _| config.moves.contains_key(name));
    }

    fn call_table(&mut self, request: TableRequest, effects: &mut EffectQueue) -> u64 {
        self.calls += 1;
        let number = self.calls;
        let duty = DutyKind::Moves;
        let call = TableCallId { duty, number };
        effects.push(DaemonEffect::CallTable { call, request });
        number
    }
}

/// One move as the configuration has it.
#[derive(Debug, Clone, Copy)]
struct PlannedMove<'a> {
    name: &'a MoveName,
    revision: ConfigRevision,
    spec: &'a TrafficMoveSpec,
}

fn planned_moves(config: &ConfigView) -> impl Iterator<Item = PlannedMove<'_>> {
    config.moves.iter().map(|(name, spec)| PlannedMove {
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
    Read,
}

impl MoveTimer {
    fn key(self) -> TimerKey {
        let duty = DutyKind::Moves;
        let number = self as u64;
        TimerKey { duty, number }
    }

    fn from_number(number: u64) -> Option<Self> {
        [Self::Tick, Self::Read]
            .into_iter()
            .find(|timer| *timer as u64 == number)
    }
}
