//! The reducer of a gateway daemon: dispatches each event to the module that handles it.

mod admission;
mod announcements;
mod catch_up;
mod completion;
mod coordination;
mod dispatch;
mod early_refusal;
mod entry;
mod evacuation;
mod feedback;
mod gossip;
mod placing;
mod quarantine;
mod queue_decisions;
mod rate_limits;
mod reachability;
mod record;
mod registration;
mod rejections;
mod relay;
mod resumption;
mod retries;
mod retry_after;
mod returns;
mod rollouts;
mod stall_detection;
mod state_updates;
mod stopping;
mod store_reads;
mod store_restore;

pub use gossip::GatewayStatus;

use crate::{
    affinity::PrefixCacheIndex,
    arrival::LocalRequest,
    config::DeclaredConfig,
    demand::DemandTracker,
    effect::GatewayEffect,
    entry_set::{EntrySet, HostResources, PeakLoad},
    evacuation::EvacuationOrder,
    event::GatewayEvent,
    gossip::{ContactTable, LastSlotUpdate},
    label::{HostLabel, ServiceLabel, TeamLabel, ZoneLabel},
    lease::MemberLeases,
    message::SlotUse,
    overload::OverloadOptions,
    peer::{PeerTable, name_digest},
    placing::{HoldCounters, LossRetention, MemberHistory, ReservationPolicy},
    quarantine::QuarantineTable,
    queue::WaitQueue,
    queueing::QueueController,
    reachability::UpstreamReachability,
    region::RegionMap,
    registration::RegistrationQueue,
    retry_budget::{RetryBudget, RetryBudgetOptions, RetryCounters},
    rollout::{CANARY_HEAD_START, CanaryOptions, RolloutTable},
    selection::RoutingPolicy,
    stop::StopSchedule,
    store_reads::StoreReadTracker,
    team_limit::{LimitTolerance, PeerPresence, TeamLimiter},
    upstream::UpstreamFleet,
    warmup::WarmupTolerance,
};
use catch_up::CatchUpState;
use coordination::ZoneCoordination;
use record::RequestRecord;
use returns::ReturnState;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Options of a gateway, fixed at its start except for the bounds.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// Host of this daemon.
    pub host: HostLabel,
    /// Availability zone of this daemon.
    pub zone: ZoneLabel,
    /// Incarnation of this daemon; that of a later start is larger.
    pub incarnation: u64,
    /// Address at which other daemons reach this daemon.
    pub peer_address: SocketAddr,
    /// Address at which callers reach this daemon.
    pub caller_address: SocketAddr,
    /// The deployment starts for the first time, so no earlier usage or list of daemons exists.
    pub first_start: bool,
    /// Bounds from the settings; [`GatewayEvent::BoundsRead`] changes them.
    pub bounds: GatewayBounds,
    /// Seed of the random sequences.
    pub seed: u64,
    /// Policy by which upstreams are selected.
    pub routing: RoutingPolicy,
    /// Resources of the host that this process may use.
    pub capacity: HostResources,
    /// Regions of the availability zones.
    pub regions: RegionMap,
    /// Decisions under overload that are enabled.
    pub overload: OverloadOptions,
}

/// Bounds that the settings set.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GatewayBounds {
    /// Maximum time for which a revoked key may keep working; `None` sets no bound.
    pub revocation_delay: Option<Duration>,
    /// Bounds of retries.
    pub retry_budget: RetryBudgetOptions,
    /// Amount by which teams may exceed their limits.
    pub limit_tolerance: LimitTolerance,
    /// Fraction of a service's traffic, 0 to 1, that an unproven version may receive.
    pub max_canary_fraction: f64,
    /// Requests that such a version may receive in addition, in one roll-out.
    pub canary_slack: f64,
    /// Amount by which the rates of cold upstreams may be exceeded; `None` sets no bound.
    pub warmup_tolerance: Option<WarmupTolerance>,
}

/// Maximum confirmation age when no bound for revoked keys is set.
const DEFAULT_MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(5);
impl GatewayBounds {
    /// Returns the time since the last confirmation after which the configuration held here is
    /// unusable. The thresholds of readiness, refusals and reads are fractions of it.
    #[must_use]
    pub fn max_confirmation_age(&self) -> Duration {
        self.revocation_delay
            .unwrap_or(DEFAULT_MAX_CONFIRMATION_AGE)
    }
}

/// Uniformly distributed random numbers from 0 up to 1 (SplitMix64).
#[derive(Debug, Clone)]
struct RandomSequence(u64);

impl RandomSequence {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// State of one daemon: requests, upstreams, peers and the configuration in force.
#[derive(Debug)]
pub struct Gateway {
    options: GatewayOptions,
    random: RandomSequence,
    /// Separate sequence for requests near a team's limit; it differs between daemons.
    limit_random: RandomSequence,
    config: Option<Arc<DeclaredConfig>>,
    fleet: UpstreamFleet,
    upstreams_read: bool,
    reachability: UpstreamReachability,
    confirmed_at: Option<MonotonicTime>,
    requests: BTreeMap<LocalRequest, RequestRecord>,
    queues: BTreeMap<ServiceLabel, WaitQueue>,
    returns: ReturnState,
    demand_trackers: BTreeMap<ServiceLabel, DemandTracker>,
    queueing: QueueController,
    prefix_cache: PrefixCacheIndex,
    peers: PeerTable,
    contacts: ContactTable,
    contacts_read: bool,
    /// Daemons that this one registers; present at a seed when all start for the first time.
    registrations: Option<RegistrationQueue>,
    /// Resources that this process uses.
    load: HostResources,
    /// Recent peak load of the own zone.
    peak: PeakLoad,
    entry: EntrySet,
    coordination: ZoneCoordination,
    /// Time of the last request, if it arrived recently.
    last_arrival_at: Option<MonotonicTime>,
    /// Time at which this daemon was last a member of an entry set whose members know what others
    /// use of the teams' limits, or served callers that it kept as one.
    last_member_at: Option<MonotonicTime>,
    /// Share of the teams' limits that this daemon keeps to; `None` while it knows the use of others.
    lone_share: Option<f64>,
    /// Members of the entry sets of all zones.
    entry_daemons: usize,
    entry_refreshed_at: MonotonicTime,
    /// Leases that this daemon holds among all members of entry sets.
    leases: MemberLeases,
    leases_refreshed_at: MonotonicTime,
    /// Time at which the shares of slots were last computed.
    slot_shares_at: MonotonicTime,
    /// The daemons that divide them have changed since.
    slot_shares_stale: bool,
    /// Daemons that divide the slots of upstreams with limited rejections.
    limit_members: MemberHistory,
    limit_members_at: MonotonicTime,
    /// Time at which this daemon last saw most others.
    majority_seen_at: MonotonicTime,
    reservation_policy: ReservationPolicy,
    /// Daemons among which slots are reserved.
    slot_members: MemberHistory,
    slot_members_at: MonotonicTime,
    /// Number of live peers then.
    slot_live_peers: usize,
    /// Time at which the free slots of upstreams were last looked at.
    vacancies_at: MonotonicTime,
    /// Selections that a reservation held back.
    reservation_holds: HoldCounters,
    /// Requests under which upstreams crashed.
    quarantine: QuarantineTable,
    /// The store's list of requests in quarantine was read.
    quarantine_read: bool,
    /// Time at which a view stated that no request is in quarantine, if the last one did.
    none_quarantined_at: Option<MonotonicTime>,
    store_era: Option<u64>,
    /// Time at which a restore of the store was observed.
    store_restored_at: Option<MonotonicTime>,
    /// Withdrawals of evacuations that may only reflect rows lost in a restore of the store.
    pending_withdrawals: Vec<EvacuationOrder>,
    /// Time at which this process resumed after it was frozen.
    resumed_at: Option<MonotonicTime>,
    store_reads: StoreReadTracker,
    /// Peers that share the limits of teams.
    presence: PeerPresence,
    team_limiters: BTreeMap<TeamLabel, TeamLimiter>,
    retry_budgets: BTreeMap<ServiceLabel, RetryBudget>,
    retry_counters: RetryCounters,
    limited_rejections: u64,
    rollouts: RolloutTable,
    /// This daemon writes the status of roll-outs, as of the last tick.
    leads_rollouts: bool,
    catch_up: CatchUpState,
    /// Present once the daemon was ordered to stop.
    stop: Option<StopSchedule>,
    ready_logged: bool,
    sequence: u64,
    /// Own slots in use as last sent.
    last_sent_slots: Vec<SlotUse>,
    /// Last update of the own zone's slots sent to other zones.
    last_sent_zone_slots: LastSlotUpdate,
    dispatches: u64,
    started_at: Option<MonotonicTime>,
    /// Time of the last check for stalled attempts.
    stalls_checked_at: Option<MonotonicTime>,
    /// Time at which this process last woke from a suspension.
    last_wake_at: MonotonicTime,
}

/// Effects of one step, in the order in which they are to be performed.
pub type GatewayEffects = Vec<GatewayEffect>;

impl Gateway {
    /// Creates a gateway without configuration, upstreams or peers.
    #[must_use]
    pub fn new(options: GatewayOptions) -> Self {
        let returns = ReturnState::new(!options.seed ^ name_digest(options.host.as_str()));
        Self {
            random: RandomSequence(options.seed),
            limit_random: RandomSequence(options.seed ^ name_digest(options.host.as_str())),
            peers: PeerTable::new(options.zone.clone()),
            contacts: ContactTable::new(
                options.peer_address,
                options.zone.clone(),
                options.capacity.processor_millis,
            ),
            contacts_read: false,
            registrations: None,
            load: HostResources::default(),
            peak: PeakLoad::default(),
            entry: EntrySet::default(),
            coordination: ZoneCoordination::default(),
            last_arrival_at: None,
            last_member_at: None,
            lone_share: None,
            entry_daemons: 1,
            entry_refreshed_at: MonotonicTime::default(),
            leases: MemberLeases::default(),
            leases_refreshed_at: MonotonicTime::default(),
            slot_shares_at: MonotonicTime::default(),
            slot_shares_stale: false,
            limit_members: MemberHistory::new(LossRetention::cautious()),
            limit_members_at: MonotonicTime::default(),
            majority_seen_at: MonotonicTime::default(),
            reservation_policy: ReservationPolicy::default(),
            slot_members: MemberHistory::default(),
            slot_members_at: MonotonicTime::default(),
            slot_live_peers: 0,
            vacancies_at: MonotonicTime::default(),
            reservation_holds: HoldCounters::default(),
            quarantine: QuarantineTable::default(),
            quarantine_read: false,
            none_quarantined_at: None,
            store_era: None,
            store_restored_at: None,
            pending_withdrawals: Vec::new(),
            resumed_at: None,
            store_reads: StoreReadTracker::default(),
            options,
            config: None,
            fleet: UpstreamFleet::default(),
            upstreams_read: false,
            reachability: UpstreamReachability::default(),
            confirmed_at: None,
            requests: BTreeMap::new(),
            queues: BTreeMap::new(),
            returns,
            demand_trackers: BTreeMap::new(),
            queueing: QueueController::default(),
            prefix_cache: PrefixCacheIndex::default(),
            presence: PeerPresence::default(),
            team_limiters: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            retry_counters: RetryCounters::default(),
            limited_rejections: 0,
            rollouts: RolloutTable::default(),
            leads_rollouts: false,
            catch_up: CatchUpState::default(),
            stop: None,
            ready_logged: false,
            sequence: 0,
            last_sent_slots: Vec::new(),
            last_sent_zone_slots: LastSlotUpdate::default(),
            dispatches: 0,
            started_at: None,
            stalls_checked_at: None,
            last_wake_at: MonotonicTime::default(),
        }
    }

    /// Handles one event at the time `now` and appends the resulting effects to `effects`.
    pub fn step(&mut self, now: MonotonicTime, event: GatewayEvent, effects: &mut GatewayEffects) {
        match event {
            GatewayEvent::Arrived { request, arrival } => {
                self.handle_arrival(now, request, &arrival, effects);
            }
            GatewayEvent::CallerDisconnected(request) => {
                self.caller_disconnected(now, request, effects);
            }
            GatewayEvent::ResponseStarted { request, metadata } => {
                self.response_started(now, request, metadata, effects);
            }
            GatewayEvent::ResponseProgressed { request, events } => {
                self.response_progressed(now, request, events);
            }
            GatewayEvent::AttemptEnded { request, outcome } => {
                self.attempt_ended(now, request, &outcome, effects);
            }
            GatewayEvent::ConfigRead(config) => self.config_read(now, config, effects),
            GatewayEvent::UpstreamsRead(entries) => self.upstreams_read(now, entries, effects),
            GatewayEvent::UpstreamWritten(entry) => self.upstream_written(now, entry, effects),
            GatewayEvent::UpstreamRemoved(name) => self.upstream_removed(now, &name, effects),
            GatewayEvent::ConfigConfirmed { at } => {
                self.confirmed_at = Some(self.confirmed_at.map_or(at, |previous| previous.max(at)));
                self.log_readiness_change(now, effects);
            }
            GatewayEvent::EvacuationOrdered(order) => self.evacuation_ordered(order, effects),
            GatewayEvent::EvacuationWithdrawn(order) => {
                self.evacuation_withdrawn(now, order, effects);
            }
            GatewayEvent::EvacuationsRead { orders, revision } => {
                self.evacuations_read(now, orders, revision, effects);
            }
            GatewayEvent::StoreEraObserved(era) => self.store_era_observed(now, era, effects),
            GatewayEvent::BoundsRead(bounds) => self.bounds_read(now, bounds, effects),
            GatewayEvent::TableRead {
                table,
                position,
                confirmed_at,
            } => self.store_reads.record_read(table, position, confirmed_at),
            GatewayEvent::StoreFailed => {
                self.fleet.record_store_failure(now);
                self.store_reads.record_store_failure(now);
            }
            GatewayEvent::RolloutOrdered(order) => self.rollout_ordered(now, order, effects),
            GatewayEvent::RolloutStatusRead(status) => self.rollouts.apply_status(&status),
            GatewayEvent::RolloutWriteFinished {
                service,
                accepted,
                era,
            } => {
                let accepted = accepted && era >= self.store_era();
                self.rollouts.record_write(now, &service, accepted);
            }
            GatewayEvent::SummaryReceived(summary) => self.summary_received(now, *summary, effects),
            GatewayEvent::DigestReceived(digest) => self.digest_received(now, *digest, effects),
            GatewayEvent::ViewReceived(view) => self.view_received(now, &view, effects),
            GatewayEvent::SlotsReceived(update) => {
                if self.peers.apply_slot_update(now, update) {
                    self.dispatch_all_waiting(now, effects);
                }
            }
            GatewayEvent::HeartbeatReceived(heartbeat) => {
                self.peers.apply_heartbeat(now, heartbeat);
            }
            GatewayEvent::CrashesReported(gossip) => self.crashes_reported(now, &gossip, effects),
            GatewayEvent::LimitsReported(gossip) => self.limits_reported(now, &gossip, effects),
            GatewayEvent::QuarantineRead(rows) => self.quarantine_read(now, &rows, effects),
            GatewayEvent::QuarantineWriteFinished {
                write,
                accepted,
                era,
            } => {
                let accepted = accepted && era >= self.store_era();
                self.quarantine.record_write(&write, accepted);
            }
            GatewayEvent::LoadMeasured(load) => self.load = load,
            GatewayEvent::UpstreamAnnounced {
                upstream,
                request_id,
                announcement,
            } => self.upstream_announced(now, &upstream, &request_id, announcement, effects),
            GatewayEvent::UpstreamsChecked { reached } => {
                self.upstreams_checked(now, reached, effects);
            }
            GatewayEvent::RelayConnectFailed(upstream) => {
                self.connection_failed(now, &upstream, effects);
            }
            GatewayEvent::RelayDecided {
                upstream,
                request_id,
                number,
                rejected,
            } => {
                let request = rejections::SentRequest {
                    upstream: &upstream,
                    request_id: &request_id,
                    number,
                };
                self.relay_decided(now, request, rejected, effects);
            }
            GatewayEvent::RelayEnded {
                upstream,
                number,
                sent,
            } => self.relay_ended(now, &upstream, number, sent, effects),
            GatewayEvent::SeedsRead(contacts) => self.seeds_read(now, contacts),
            GatewayEvent::ContactsRead(contacts) => self.contacts_read(now, contacts, effects),
            GatewayEvent::PeerEnded(host) => self.peers.remove(&host),
            GatewayEvent::Tick => self.tick(now, effects),
            GatewayEvent::StopRequested { grace } => self.stop_requested(now, grace, effects),
            GatewayEvent::StopForced => self.stop_forced(now, effects),
        }
    }

    /// Returns the configuration in force; `None` before the first read.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<DeclaredConfig>> {
        self.config.as_ref()
    }

    /// Returns the registered upstreams and their observed state.
    #[must_use]
    pub fn fleet(&self) -> &UpstreamFleet {
        &self.fleet
    }

    /// Returns the state received from peers.
    #[must_use]
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Returns whether there are so many daemons that zones exchange digests.
    #[must_use]
    pub fn uses_zone_digests(&self) -> bool {
        self.contacts.uses_zone_digests()
    }

    /// Returns the number of requests that wait or run.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that wait for a free slot.
    #[must_use]
    pub fn waiting_requests(&self) -> usize {
        self.queues.values().map(WaitQueue::len).sum()
    }

    /// Returns whether a roll-out is in progress, or its final status is not in the store yet.
    #[must_use]
    pub fn has_active_rollouts(&self) -> bool {
        self.rollouts.is_active()
    }

    fn canary_options(&self) -> CanaryOptions {
        CanaryOptions {
            share: self.options.bounds.max_canary_fraction,
            slack: self.options.bounds.canary_slack,
            head_start: if self.leads_rollouts {
                CANARY_HEAD_START
            } else {
                self.spread()
            },
        }
    }

    fn tick(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        self.refresh_catch_up(now, effects);
        self.log_readiness_change(now, effects);
        self.peers.refresh(now);
        self.expire_presence(now);
        self.refresh_entry(now, effects);
        self.refill_limits(now);
        self.refresh_rejection_budgets(now);
        self.refresh_reservations(now);
        self.store_reads.expire(now);
        self.refresh_returns(now);
        self.expire_waiting(now, effects);
        self.refuse_early(now, effects);
        self.detect_stalls(now, effects);
        self.check_upstreams(now, effects);
        self.dispatch_all_waiting(now, effects);
        self.fleet.remove_ended(now);
        self.quarantine.evict_expired(now);
        self.write_quarantine(now, effects);
        self.apply_withdrawals(now, effects);
        self.advance_rollouts(now, effects);
    }
}
