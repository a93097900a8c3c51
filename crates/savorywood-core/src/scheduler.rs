//! Request scheduling: admission control, queueing, routing to upstreams, adaptive limits and load
//! shedding.

mod admission;
mod attempts;
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
use attempts::AttemptTable;
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
use timers::PlannedTimers;
use waits::WaitIndex;

/// State of other components that the scheduler reads during one step.
#[derive(Debug, Clone, Copy)]
pub struct SchedulerView<'a> {
    /// Configuration in force.
    pub config: &'a ConfigView,
    /// Own availability zone.
    pub zone: &'a ZoneName,
    /// Version splits of the services that have a traffic move in progress.
    pub splits: &'a BTreeMap<ServiceName, VersionSplit>,
    /// Slots granted to this daemon on contended upstreams. An upstream without an entry is not
    /// contended and is bounded only by its adaptive limit.
    pub grants: &'a BTreeMap<UpstreamName, SlotGrant>,
    /// Admission floor of each service: the lowest tier that it admits. A service without an entry
    /// admits all tiers.
    pub floors: &'a BTreeMap<ServiceName, TierRank>,
}

/// Slots that the arbiter of a contended upstream allows this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotGrant {
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Input of the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// A request was validated, and claimed first if it is not idempotent.
    Arrived(Box<QueuedRequest>),
    /// A request that was refused for load and then held, until lower tiers of other daemons yield,
    /// is submitted again.
    Resubmitted {
        /// The request.
        request: Box<QueuedRequest>,
        /// Number of the next attempt.
        attempt: AttemptNumber,
    },
    /// The caller closed its connection.
    CallerLeft {
        /// Request of that caller.
        request: RequestId,
    },
    /// An upstream reported progress, a result, its load or a cache change.
    Upstream(UpstreamEvent),
    /// One of the scheduler's timers fired.
    TimerFired {
        /// Number of the timer, as given when it was set.
        number: u64,
    },
    /// Configuration, splits, grants or admission floors changed.
    ViewChanged,
}

/// Request scheduler of one daemon. It does no I/O: events come in by [`RequestScheduler::step`],
/// effects go out through the queue.
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
    /// Creates a scheduler without upstreams. They are added from the configuration at the first
    /// step.
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

    /// Handles one event and appends the resulting effects to `effects`.
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
            SchedulerEvent::Upstream(event) => self.handle_upstream(now, &event, view, effects),
            SchedulerEvent::TimerFired { number } => self.handle_timer(now, number, view, effects),
            SchedulerEvent::ViewChanged => self.dispatch_all_waiting(now, view, effects),
        }
        self.set_timers(now, effects);
    }

    /// Number of requests that wait or are in progress; a planned stop waits until it is zero.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.waits.len() + self.attempts.len()
    }

    /// Counters since the scheduler was created.
    #[must_use]
    pub fn counters(&self) -> &SchedulerCounters {
        &self.counters
    }
}
