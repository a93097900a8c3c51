//! The whole gateway: one reducer over all events.

mod admission;
mod dispatch;
mod ending;
mod entry;
mod evacuation;
mod gossip;
mod learning;
mod quarantine;
mod rate_limits;
mod reading;
mod record;
mod restoring;
mod returning;
mod updates;
mod watching;

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
    gossip::{ContactTable, SentSlots},
    label::{HostLabel, ServiceLabel, TeamLabel, ZoneLabel},
    lease::MemberLeases,
    message::SlotUse,
    peer::{PeerTable, name_digest},
    quarantine::QuarantineTable,
    queue::WaitQueue,
    region::RegionMap,
    retry_budget::{RetryBudget, RetryBudgetOptions},
    rollout::{CanaryOptions, RolloutTable},
    selection::RoutingPolicy,
    store_reads::StoreReadTracker,
    team_limit::{LimitTolerance, TeamLimiter},
    upstream::UpstreamFleet,
    warmup::WarmupTolerance,
};
use record::RequestRecord;
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Options of a gateway at its start.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// Own host.
    pub host: HostLabel,
    /// Own availability zone.
    pub zone: ZoneLabel,
    /// This life; later ones are larger.
    pub incarnation: u64,
    /// Where other daemons reach this daemon.
    pub peer_address: SocketAddr,
    /// Where callers reach this daemon.
    pub caller_address: SocketAddr,
    /// The whole system starts for the first time.
    pub first_start: bool,
    /// Bounds that must hold; they may change later.
    pub bounds: GatewayBounds,
    /// Seed of all draws.
    pub seed: u64,
    /// What the choice of upstreams goes by.
    pub routing: RoutingPolicy,
    /// What the host has for this process.
    pub capacity: HostResources,
    /// Regions of the zones.
    pub regions: RegionMap,
}

/// Bounds that must hold.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GatewayBounds {
    /// A key must not work for longer than this after it was taken away; `None`: no such bound.
    pub revocation_delay: Option<Duration>,
    /// Bounds of second tries.
    pub retry_budget: RetryBudgetOptions,
    /// By how much teams may exceed their limits.
    pub limit_tolerance: LimitTolerance,
    /// Share of traffic that an unproved version may get.
    pub max_canary_fraction: f64,
    /// By how much cold upstreams' rates may be exceeded; `None`: no such bound is declared.
    pub warmup_tolerance: Option<WarmupTolerance>,
}

/// Bound of proofs where keys have none.
const USUAL_PROOF_BOUND: Duration = Duration::from_secs(5);
impl GatewayBounds {
    /// Age at which a proof of the configuration is worth nothing.
    #[must_use]
    pub fn max_confirmation_age(&self) -> Duration {
        self.revocation_delay.unwrap_or(USUAL_PROOF_BOUND)
    }
}

/// Evenly drawn numbers (SplitMix64).
#[derive(Debug, Clone)]
struct DrawSequence(u64);

impl DrawSequence {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Decisions of one daemon.
#[derive(Debug)]
pub struct Gateway {
    options: GatewayOptions,
    draws: DrawSequence,
    /// Draws for requests near a team's limit.
    limit_draws: DrawSequence,
    config: Option<Arc<DeclaredConfig>>,
    fleet: UpstreamFleet,
    upstreams_read: bool,
    proof_at: Option<MonotonicTime>,
    requests: BTreeMap<LocalRequest, RequestRecord>,
    queues: BTreeMap<ServiceLabel, WaitQueue>,
    demands: BTreeMap<ServiceLabel, DemandTracker>,
    parts: PrefixCacheIndex,
    peers: PeerTable,
    contacts: ContactTable,
    contacts_read: bool,
    /// What this process uses of its host.
    load: HostResources,
    /// Load of the own zone, remembered at its peak.
    peak: PeakLoad,
    entry: EntrySet,
    /// Daemons of all zones that the directory names.
    entry_daemons: usize,
    entry_at: MonotonicTime,
    /// What this daemon does for all.
    leases: MemberLeases,
    leases_at: MonotonicTime,
    /// Requests under which upstreams crashed.
    quarantine: QuarantineTable,
    store_era: Option<u64>,
    /// When the store was seen to have been restored.
    restored_at: Option<MonotonicTime>,
    /// Withdrawals of evacuations that a restored store may only seem to report.
    withdrawals: Vec<EvacuationOrder>,
    /// When this process went on after it was frozen.
    resumed_at: Option<MonotonicTime>,
    reads: StoreReadTracker,
    meters: BTreeMap<TeamLabel, TeamLimiter>,
    budgets: BTreeMap<ServiceLabel, RetryBudget>,
    rollouts: RolloutTable,
    stopping: bool,
    ready_logged: bool,
    sequence: u64,
    /// Slots as they were reported last.
    sent_slots: Vec<SlotUse>,
    /// Slots of the own zone as they were sent to other zones last.
    sent_zone_slots: SentSlots,
    dispatches: u64,
    started_at: Option<MonotonicTime>,
    /// When running attempts were looked at last.
    watched_at: Option<MonotonicTime>,
    /// When this process was last seen to wake up.
    awake_at: MonotonicTime,
}

/// Effects of one step, in order.
pub type GatewayEffects = Vec<GatewayEffect>;

impl Gateway {
    /// A gateway that knows nothing yet.
    #[must_use]
    pub fn new(options: GatewayOptions) -> Self {
        Self {
            draws: DrawSequence(options.seed),
            limit_draws: DrawSequence(options.seed ^ name_digest(options.host.as_str())),
            peers: PeerTable::new(options.zone.clone()),
            contacts: ContactTable::new(options.peer_address, options.zone.clone()),
            contacts_read: false,
            load: HostResources::default(),
            peak: PeakLoad::default(),
            entry: EntrySet::default(),
            entry_daemons: 1,
            entry_at: MonotonicTime::default(),
            leases: MemberLeases::default(),
            leases_at: MonotonicTime::default(),
            quarantine: QuarantineTable::default(),
            store_era: None,
            restored_at: None,
            withdrawals: Vec::new(),
            resumed_at: None,
            reads: StoreReadTracker::default(),
            options,
            config: None,
            fleet: UpstreamFleet::default(),
            upstreams_read: false,
            proof_at: None,
            requests: BTreeMap::new(),
            queues: BTreeMap::new(),
            demands: BTreeMap::new(),
            parts: PrefixCacheIndex::default(),
            meters: BTreeMap::new(),
            budgets: BTreeMap::new(),
            rollouts: RolloutTable::default(),
            stopping: false,
            ready_logged: false,
            sequence: 0,
            sent_slots: Vec::new(),
            sent_zone_slots: SentSlots::default(),
            dispatches: 0,
            started_at: None,
            watched_at: None,
            awake_at: MonotonicTime::default(),
        }
    }

    /// Handles one event; what is to be done is appended to `effects`.
    pub fn step(&mut self, now: MonotonicTime, event: GatewayEvent, effects: &mut GatewayEffects) {
        match event {
            GatewayEvent::Arrived { request, arrival } => {
                self.arrive(now, request, &arrival, effects);
            }
            GatewayEvent::CallerDisconnected(request) => self.caller_left(now, request, effects),
            GatewayEvent::ResponseStarted { request, metadata } => {
                self.answer_began(now, request, metadata, effects);
            }
            GatewayEvent::ResponseProgressed { request, events } => {
                self.answer_moved(now, request, events);
            }
            GatewayEvent::AttemptEnded { request, outcome } => {
                self.attempt_ended(now, request, &outcome, effects);
            }
            GatewayEvent::ConfigRead(config) => self.config_read(now, config, effects),
            GatewayEvent::UpstreamsRead(entries) => self.upstreams_read(now, entries, effects),
            GatewayEvent::UpstreamWritten(entry) => self.upstream_written(now, entry, effects),
            GatewayEvent::UpstreamRemoved(name) => self.upstream_removed(now, &name, effects),
            GatewayEvent::ConfigConfirmed { at } => {
                self.proof_at = Some(self.proof_at.map_or(at, |proof| proof.max(at)));
                self.note_readiness(now, effects);
            }
            GatewayEvent::EvacuationOrdered(order) => self.evacuation_ordered(order, effects),
            GatewayEvent::EvacuationWithdrawn(order) => {
                self.evacuation_withdrawn(now, order, effects);
            }
            GatewayEvent::EvacuationsRead { orders, revision } => {
                self.evacuations_read(now, orders, revision, effects);
            }
            GatewayEvent::StoreEraObserved(era) => self.store_era_seen(now, era, effects),
            GatewayEvent::BoundsRead(bounds) => self.bounds_read(now, bounds, effects),
            GatewayEvent::TableRead {
                table,
                position,
                confirmed_at,
            } => self.reads.record_read(table, position, confirmed_at),
            GatewayEvent::StoreFailed => {
                self.fleet.record_store_failure(now);
                self.reads.record_store_failure(now);
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
            GatewayEvent::SlotsReceived(update) => {
                if self.peers.apply_slot_update(now, update) {
                    self.pump_all(now, effects);
                }
            }
            GatewayEvent::HeartbeatReceived(beat) => {
                self.peers.apply_heartbeat(now, beat);
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
            GatewayEvent::SeedsRead(contacts) => self.learn_contacts(now, contacts),
            GatewayEvent::ContactsRead(contacts) => self.contacts_read(now, contacts, effects),
            GatewayEvent::PeerEnded(host) => self.peers.remove(&host),
            GatewayEvent::Tick => self.tick(now, effects),
            GatewayEvent::StopRequested { grace } => {
                self.stopping = true;
                let line = LogLine::new(LogLevel::Info, "stop-requested")
                    .with("grace_ms", grace.as_millis())
                    .with("open", self.requests.len());
                effects.push(GatewayEffect::Log(line));
            }
        }
    }

    /// Configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<DeclaredConfig>> {
        self.config.as_ref()
    }

    /// Upstreams as known.
    #[must_use]
    pub fn fleet(&self) -> &UpstreamFleet {
        &self.fleet
    }

    /// Peers as known.
    #[must_use]
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// There are so many daemons that zones exchange digests.
    #[must_use]
    pub fn uses_zone_digests(&self) -> bool {
        self.contacts.uses_zone_digests()
    }

    /// Requests that wait or run.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Requests that wait for a place.
    #[must_use]
    pub fn waiting_requests(&self) -> usize {
        self.queues.values().map(WaitQueue::len).sum()
    }

    /// A roll-out is under way, or its end is not in the store yet.
    #[must_use]
    pub fn has_active_rollouts(&self) -> bool {
        self.rollouts.is_active()
    }

    fn trial(&self) -> CanaryOptions {
        CanaryOptions {
            share: self.options.bounds.max_canary_fraction,
        }
    }

    fn tick(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        self.note_readiness(now, effects);
        self.peers.refresh(now);
        self.refresh_entry(now, effects);
        self.refill_limits(now);
        self.reads.expire(now);
        self.expire_waiting(now, effects);
        self.watch_silence(now, effects);
        self.pump_all(now, effects);
        self.fleet.remove_ended(now);
        self.quarantine.evict_expired(now);
        self.write_quarantine(now, effects);
        self.apply_withdrawals(now, effects);
        let leads = self.leads(now);
        for write in self.rollouts.advance(now, leads) {
            let line = LogLine::new(LogLevel::Info, "rollout-step")
                .with("service", &write.service)
                .with("to", &write.target_version)
                .with("state", write.phase);
            effects.push(GatewayEffect::Log(line));
            effects.push(GatewayEffect::WriteRollout(write));
        }
    }
}
