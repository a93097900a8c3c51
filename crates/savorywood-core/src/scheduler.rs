//! Admission, queues, limits and routing: who runs, where, and who is turned away.

mod admission;
mod cost;
mod counters;
mod dispatch;
mod feedback;
mod fleet;
mod health;
mod limit;
mod options;
mod prefix;
mod pressure;
mod queue;
mod retry;
mod routing;
mod service;
mod shedding;
mod speed;
mod split;
mod table;
mod timers;
mod topology;
mod waits;

pub use counters::{EstimateCounters, PrefillCounters, SchedulerCounters, TierCounters};
pub use options::{SchedulerMechanism, SchedulerOptions};
pub use pressure::ServicePressure;

use crate::{
    effect::EffectQueue,
    event::UpstreamEvent,
    request::QueuedRequest,
    view::{ConfigView, VersionSplit},
};
use cost::CostModel;
use fleet::UpstreamFleet;
use prefix::PrefixIndex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use retry::RetryBudget;
use savorywood_protocol::{
    AttemptNumber, ConfigRevision, CoreTime, RequestId, ServiceName, TierRank, UpstreamName,
    ZoneName,
};
use service::ServiceState;
use std::collections::{BTreeMap, BTreeSet};
use table::AttemptTable;
use timers::PlannedTimers;
use waits::WaitIndex;

/// What the scheduler reads of other duties in a step.
#[derive(Debug, Clone, Copy)]
pub struct SchedulerView<'a> {
    /// Configuration in force.
    pub config: &'a ConfigView,
    /// Own availability zone.
    pub zone: &'a ZoneName,
    /// Splits of services whose traffic is moving.
    pub splits: &'a BTreeMap<ServiceName, VersionSplit>,
    /// Seats granted on contended upstreams; an absent upstream is not contended.
    pub grants: &'a BTreeMap<UpstreamName, SlotGrant>,
    /// Lowest tier that a service admits; absent when all are.
    pub floors: &'a BTreeMap<ServiceName, TierRank>,
}

/// What the arbiter of an upstream allows this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotGrant {
    /// Seats at once.
    pub slots: u32,
}

/// What happens to the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// A request was resolved, and claimed where it may not be repeated.
    Arrived(Box<QueuedRequest>),
    /// A request that was turned away and held comes again.
    Resubmitted {
        /// The request.
        request: Box<QueuedRequest>,
        /// Attempt that comes next.
        attempt: AttemptNumber,
    },
    /// A caller left.
    CallerLeft {
        /// Its request.
        request: RequestId,
    },
    /// An upstream did something.
    Upstream(UpstreamEvent),
    /// One of its timers fired.
    TimerFired {
        /// Number of the timer.
        number: u64,
    },
    /// Configuration, splits, grants or floors changed.
    ViewChanged,
}

/// State of the scheduler.
#[derive(Debug)]
pub struct RequestScheduler {
    options: SchedulerOptions,
    rng: ChaCha8Rng,
    attempts: AttemptTable,
    services: BTreeMap<ServiceName, ServiceState>,
    fleet: UpstreamFleet,
    costs: CostModel,
    prefixes: PrefixIndex,
    waits: WaitIndex,
    retries: RetryBudget,
    timers: PlannedTimers,
    counters: SchedulerCounters,
    revision: Option<ConfigRevision>,
    declared_upstreams: usize,
    leaving: BTreeSet<UpstreamName>,
}

impl Default for RequestScheduler {
    fn default() -> Self {
        Self::new(SchedulerOptions::default())
    }
}

impl RequestScheduler {
    /// A scheduler that knows no upstream yet.
    #[must_use]
    pub fn new(options: SchedulerOptions) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed()),
            options,
            attempts: AttemptTable::default(),
            services: BTreeMap::new(),
            fleet: UpstreamFleet::default(),
            costs: CostModel::default(),
            prefixes: PrefixIndex::default(),
            waits: WaitIndex::default(),
            retries: RetryBudget::default(),
            timers: PlannedTimers::default(),
            counters: SchedulerCounters::default(),
            revision: None,
            declared_upstreams: 0,
            leaving: BTreeSet::new(),
        }
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: SchedulerEvent,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let now = now.monotonic;
        let changed = matches!(event, SchedulerEvent::ViewChanged);
        self.refresh_topology(now, view, changed);
        self.expire_waiting(now, effects);
        self.cancel_expired(now, view, effects);
        match event {
            SchedulerEvent::Arrived(request) => {
                self.handle_arrival(now, *request, AttemptNumber::default(), view, effects);
            }
            SchedulerEvent::Resubmitted { request, attempt } => {
                self.handle_arrival(now, *request, attempt, view, effects);
            }
            SchedulerEvent::CallerLeft { request } => {
                self.handle_caller_left(now, request, view, effects);
            }
            SchedulerEvent::Upstream(event) => {
                self.handle_upstream_event(now, &event, view, effects)
            }
            SchedulerEvent::TimerFired { number } => self.handle_timer(now, number, view, effects),
            SchedulerEvent::ViewChanged => self.dispatch_all_waiting(now, view, effects),
        }
        self.set_timers(now, effects);
    }

    /// Requests that wait or run, for the planned stop.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.waits.len() + self.attempts.len()
    }

    /// What it has done.
    #[must_use]
    pub fn counters(&self) -> &SchedulerCounters {
        &self.counters
    }
}
