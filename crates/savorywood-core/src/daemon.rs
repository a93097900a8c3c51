//! The daemon core: routes each event to the state machines of the duties and connects them.

mod arrivals;
mod credits;
mod dispatch_guard;
mod hosts;
mod leases;
mod moves;
mod objectives;
mod queries;
mod requests;
mod stop;

pub use queries::NotReadyReason;

use crate::{
    burn::BurnTracker,
    claims::{ClaimEvent, ClaimOptions, ClaimState},
    config::{ConfigEvent, ConfigOptions, ConfigState, ConfigStepOutcome},
    credits::{CreditEvent, CreditOptions, CreditState},
    discovery::DiscoveryOptions,
    effect::{DaemonEffect, EffectQueue},
    event::{DaemonEvent, DutyKind, TimerKey},
    leases::{LeaseEvent, LeaseOptions, LeaseState},
    membership::{MembershipEvent, MembershipOptions, MembershipState},
    moves::{MoveEvent, MoveOptions, MovesState},
    orders::{OrderEvent, OrderOptions, OrdersState},
    scheduler::{RequestScheduler, SchedulerEvent, SchedulerOptions, SlotGrant},
    stop::{StopEvent, StopOptions, StopState},
    view::{ConfigView, MemberView, VersionSplit},
};
use credits::{DemandCounts, HeldRequests};
use dispatch_guard::DispatchGuard;
use leases::RequestedLeases;
use objectives::ObjectiveTracker;
use savorywood_protocol::{
    CoreTime, HostIncarnation, HostName, MonotonicTime, RegionName, RequestId, ServiceName,
    TierRank, UpstreamName, ZoneName,
    peer::{PeerMessage, membership::MemberLocation},
    resume_token::ResumeKey,
    table::TableResponse,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Identity, addresses and settings of one daemon.
#[derive(Debug, Clone)]
pub struct CoreOptions {
    /// Host that the daemon runs on.
    pub host: HostName,
    /// Incarnation of this process; larger after each restart.
    pub incarnation: HostIncarnation,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region of the host.
    pub region: RegionName,
    /// Address at which other daemons reach this one.
    pub peer_address: SocketAddr,
    /// Address at which callers reach this daemon.
    pub caller_address: SocketAddr,
    /// How long callers may cache an address response.
    pub address_max_age: Duration,
    /// Key that signs and verifies resume tokens. Without one, this daemon resumes no streams.
    pub resume_key: Option<ResumeKey>,
    /// Seed of all random numbers of this daemon.
    pub seed: u64,
}

impl CoreOptions {
    fn place(&self) -> MemberLocation {
        MemberLocation {
            peer_address: self.peer_address,
            caller_address: self.caller_address,
            zone: self.zone.clone(),
            region: self.region.clone(),
        }
    }
}

/// Outputs of other duties that the scheduler reads at each step.
#[derive(Debug, Default)]
struct SchedulerInputs {
    splits: BTreeMap<ServiceName, VersionSplit>,
    grants: BTreeMap<UpstreamName, SlotGrant>,
    floors: BTreeMap<ServiceName, TierRank>,
}

/// State machine of one daemon.
#[derive(Debug)]
pub struct DaemonCore {
    options: CoreOptions,
    discovery: DiscoveryOptions,
    config: ConfigState,
    membership: MembershipState,
    claims: ClaimState,
    guard: DispatchGuard,
    credits: CreditState,
    demands: DemandCounts,
    held_requests: HeldRequests,
    queued_services: BTreeSet<ServiceName>,
    leases: LeaseState,
    moves: MovesState,
    orders: OrdersState,
    requested_leases: RequestedLeases,
    stop: StopState,
    resumed_requests: BTreeSet<RequestId>,
    leaving_hosts: BTreeSet<HostName>,
    leaving_upstreams: BTreeSet<UpstreamName>,
    scheduler: RequestScheduler,
    scheduler_inputs: SchedulerInputs,
    burn: BurnTracker,
    objectives: ObjectiveTracker,
    started_at: MonotonicTime,
}

impl DaemonCore {
    /// Creates the state of a daemon that has not started.
    #[must_use]
    pub fn new(options: CoreOptions) -> Self {
        let host = options.host.clone();
        let seed = options.seed;
        let membership = MembershipOptions::new(host.clone(), options.incarnation, options.place());
        let discovery = DiscoveryOptions {
            max_age: options.address_max_age,
            ..DiscoveryOptions::default()
        };
        Self {
            discovery,
            config: ConfigState::new(ConfigOptions::new(host, seed)),
            membership: MembershipState::new(membership.with_seed(seed)),
            claims: ClaimState::new(ClaimOptions::new(
                options.host.clone(),
                options.incarnation,
                seed,
            )),
            guard: DispatchGuard::default(),
            credits: CreditState::new(CreditOptions::new(options.host.clone())),
            demands: DemandCounts::default(),
            held_requests: HeldRequests::default(),
            queued_services: BTreeSet::new(),
            leases: LeaseState::new(LeaseOptions::new(
                options.host.clone(),
                options.incarnation,
                seed,
            )),
            moves: MovesState::new(MoveOptions {
                host: options.host.clone(),
                seed,
            }),
            orders: OrdersState::new(OrderOptions::default()),
            requested_leases: RequestedLeases::default(),
            stop: StopState::new(StopOptions {
                address_max_age: options.address_max_age,
                ..StopOptions::default()
            }),
            resumed_requests: BTreeSet::new(),
            leaving_hosts: BTreeSet::new(),
            leaving_upstreams: BTreeSet::new(),
            scheduler: RequestScheduler::new(SchedulerOptions::new(seed)),
            scheduler_inputs: SchedulerInputs::default(),
            burn: BurnTracker::default(),
            objectives: ObjectiveTracker::default(),
            started_at: MonotonicTime::default(),
            options,
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> &Arc<ConfigView> {
        self.config.view()
    }

    /// Returns the members of the cluster as this daemon sees them, itself included.
    #[must_use]
    pub fn members(&self) -> &MemberView {
        self.membership.view()
    }

    /// Returns the own incarnation, which is part of the seal of outgoing datagrams. Larger than in
    /// [`CoreOptions`] when membership had to raise it.
    #[must_use]
    pub fn incarnation(&self) -> HostIncarnation {
        self.membership.incarnation()
    }

    /// Handles one event.
    pub fn step(&mut self, now: CoreTime, event: DaemonEvent, effects: &mut EffectQueue) {
        let first_new = effects.as_slice().len();
        self.handle(now, event, effects);
        self.record_refusals(now, &effects.as_slice()[first_new..]);
        if self.stop.is_stopping() {
            self.step_stop(now, StopEvent::WorkChanged, effects);
        }
    }

    /// Counts refused requests as missed deadlines, whichever duty refused them. Refusals that the
    /// caller caused, such as a reused idempotency key, do not count against the service's
    /// objectives.
    fn record_refusals(&mut self, now: CoreTime, effects: &[DaemonEffect]) {
        for effect in effects {
            let DaemonEffect::Refuse { request, refusal } = effect else {
                continue;
            };
            if refusal.code.is_caller_error() {
                self.objectives.discard(*request);
            } else {
                self.objectives
                    .record_missed_deadline(now.monotonic, *request, &mut self.burn);
            }
        }
    }

    fn handle(&mut self, now: CoreTime, event: DaemonEvent, effects: &mut EffectQueue) {
        match event {
            DaemonEvent::Started => self.handle_started(now, effects),
            DaemonEvent::TimerFired(key) => self.handle_timer(now, key, effects),
            DaemonEvent::Caller(event) => self.handle_caller(now, event, effects),
            DaemonEvent::Upstream(event) => self.handle_upstream(now, event, effects),
            DaemonEvent::Peer { from, message } => self.handle_peer(now, from, message, effects),
            DaemonEvent::Table { call, response } => {
                self.handle_table_response(now, call.duty, call.number, response, effects);
            }
            DaemonEvent::Operator { call, request } => {
                let event = ConfigEvent::Operator { call, request };
                self.step_config(now, event, effects);
            }
            DaemonEvent::SnapshotFetched { from, snapshot } => {
                let event = ConfigEvent::SnapshotFetched { from, snapshot };
                self.step_config(now, event, effects);
            }
            DaemonEvent::HostsListed(hosts) => self.update_hosts(now, hosts, effects),
            DaemonEvent::StopRequested => self.step_stop(now, StopEvent::Requested, effects),
            DaemonEvent::ResponseCaptured { request, response } => {
                self.step_claims(
                    now,
                    ClaimEvent::ResponseReceived {
                        request,
                        answer: response,
                    },
                    effects,
                );
            }
            DaemonEvent::OrderCompleted { call, response } => {
                self.step_orders(now, OrderEvent::Completed { call, response }, effects);
            }
        }
    }

    fn handle_started(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        self.started_at = now.monotonic;
        self.step_membership(now, MembershipEvent::Started, effects);
        self.step_config(now, ConfigEvent::Started, effects);
        self.step_claims(now, ClaimEvent::Started, effects);
        self.step_credits(now, CreditEvent::Started, effects);
        self.step_moves(now, MoveEvent::Started, effects);
    }

    fn handle_timer(&mut self, now: CoreTime, key: TimerKey, effects: &mut EffectQueue) {
        let number = key.number;
        match key.duty {
            DutyKind::Scheduler => {
                self.step_scheduler(now, SchedulerEvent::TimerFired { number }, effects);
            }
            DutyKind::Membership => self.step_membership(now, MembershipEvent::TimerFired, effects),
            DutyKind::Config => self.step_config(now, ConfigEvent::TimerFired { number }, effects),
            DutyKind::Claims => self.step_claims(now, ClaimEvent::TimerFired { number }, effects),
            DutyKind::Credits => {
                self.step_credits(now, CreditEvent::TimerFired { number }, effects);
            }
            DutyKind::Leases => self.step_leases(now, LeaseEvent::TimerFired { number }, effects),
            DutyKind::Stop => self.step_stop(now, StopEvent::TimerFired, effects),
            DutyKind::Moves => self.step_moves(now, MoveEvent::TimerFired { number }, effects),
            DutyKind::Orders => self.step_orders(now, OrderEvent::TimerFired, effects),
        }
    }

    fn handle_peer(
        &mut self,
        now: CoreTime,
        from: HostName,
        message: PeerMessage,
        effects: &mut EffectQueue,
    ) {
        match message {
            PeerMessage::Membership(message) => {
                self.step_membership(now, MembershipEvent::Peer { from, message }, effects);
            }
            PeerMessage::Config(message) => {
                self.step_config(now, ConfigEvent::Peer { from, message }, effects);
            }
            PeerMessage::Credits(message) => {
                self.step_credits(now, CreditEvent::Peer { from, message }, effects);
            }
            PeerMessage::Moves(message) => {
                self.step_moves(now, MoveEvent::Peer { from, message }, effects);
            }
        }
    }

    fn handle_table_response(
        &mut self,
        now: CoreTime,
        duty: DutyKind,
        number: u64,
        response: TableResponse,
        effects: &mut EffectQueue,
    ) {
        match duty {
            DutyKind::Config => {
                let event = ConfigEvent::Table {
                    number,
                    answer: response,
                };
                self.step_config(now, event, effects);
            }
            DutyKind::Claims => {
                self.step_claims(
                    now,
                    ClaimEvent::Table {
                        number,
                        answer: response,
                    },
                    effects,
                );
            }
            DutyKind::Leases => {
                self.step_leases(
                    now,
                    LeaseEvent::Table {
                        number,
                        answer: response,
                    },
                    effects,
                );
            }
            DutyKind::Moves => {
                self.step_moves(
                    now,
                    MoveEvent::Table {
                        number,
                        answer: response,
                    },
                    effects,
                );
            }
            DutyKind::Scheduler
            | DutyKind::Credits
            | DutyKind::Membership
            | DutyKind::Orders
            | DutyKind::Stop => {}
        }
    }

    /// Steps the configuration duty and notifies the other duties of a newer configuration.
    fn step_config(&mut self, now: CoreTime, event: ConfigEvent, effects: &mut EffectQueue) {
        let verdict = self
            .config
            .step(now, event, self.membership.view(), effects);
        if verdict == ConfigStepOutcome::Changed {
            let revision = self.config.view().revision;
            self.step_membership(now, MembershipEvent::RevisionInForce(revision), effects);
            self.mark_leaving_upstreams(now, effects);
            self.step_moves(now, MoveEvent::ConfigChanged, effects);
            self.step_orders(now, OrderEvent::ViewChanged, effects);
            self.step_scheduler(now, SchedulerEvent::ViewChanged, effects);
        }
    }

    /// Steps the membership duty and notifies the configuration duty when a member has a newer
    /// revision.
    fn step_membership(
        &mut self,
        now: CoreTime,
        event: MembershipEvent,
        effects: &mut EffectQueue,
    ) {
        let change = self.membership.step(now, event, effects);
        if change.newer_revision.is_some() {
            self.step_config(now, ConfigEvent::MembersChanged, effects);
        }
    }
}
