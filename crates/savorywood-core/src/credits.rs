//! Credits: division of the slots of contended upstreams between daemons.
//!
//! An upstream without queued work causes no messages. When a queue forms, the daemon reports its
//! demand to the upstream's arbiter, which is the first candidate in the upstream's zone by
//! rendezvous hash. The arbiter surveys the other daemons that may use the upstream, and grants
//! slots for a short term, highest tier first over all daemons. `docs/design/credits.md` explains
//! the design and the alternatives.

pub mod allocate;
mod arbiter;
mod floors;
mod holder;
mod options;
mod rounds;
mod shed;

pub use options::CreditOptions;
pub use shed::ShedAdvice;

use crate::{
    effect::EffectQueue,
    event::{DutyKind, TimerKey},
    rendezvous,
    scheduler::SlotGrant,
    view::{ConfigView, MemberRecord, MemberView},
};
use arbiter::ArbiterRecord;
use floors::FloorUpstreamCache;
use holder::UpstreamHolding;
use savorywood_protocol::{
    CoreTime, HostName, MonotonicTime, RegionName, ServiceName, TierRank, UpstreamName, ZoneName,
    peer::{CreditMessage, credits::TierDemand, membership::MemberState},
};
use shed::ShedRequest;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Interval between the duty's regular ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

const TICK_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Credits,
    number: 0,
};

/// Fires shortly after an urgent event, so that related changes share one message.
const WAKEUP_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Credits,
    number: 1,
};

/// How long urgent changes are collected before they are sent.
const COALESCE_DELAY: Duration = Duration::from_millis(5);

/// Demand of this daemon on one upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LocalDemand {
    /// Slots that this daemon's own concurrency limit allows.
    pub limit: u32,
    /// Slots in use by this daemon.
    pub in_use: u32,
    /// Slots in use or requested, by tier, highest tier first.
    pub tiers: Vec<TierDemand>,
    /// Whether queued work could be dispatched to this upstream.
    pub queued: bool,
}

/// State of other duties that the credit duty reads in a step.
#[derive(Debug, Clone, Copy)]
pub struct CreditView<'a> {
    /// Configuration in force.
    pub config: &'a ConfigView,
    /// Cluster members.
    pub members: &'a MemberView,
    /// This daemon's demand on each upstream that it uses or requests.
    pub demands: &'a BTreeMap<UpstreamName, LocalDemand>,
}

/// Input events of the credit duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CreditEvent {
    /// The daemon starts.
    Started,
    /// One of the timers of this duty fired.
    TimerFired {
        /// Timer number, as in its `TimerKey`.
        number: u64,
    },
    /// Work started to queue for a slot; the affected upstreams are marked in the demands.
    QueueFormed,
    /// A message from another daemon arrived.
    Peer {
        /// Sender of the message.
        from: HostName,
        /// Content of the message.
        message: CreditMessage,
    },
    /// The daemon has nothing left to dispatch: it releases all slots.
    ReleaseAll,
}

/// Counters exported as metrics, since the daemon started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CreditCounters {
    /// Shed decisions made from the local queues because no arbiter responded.
    pub local_sheds: u64,
    /// Demand messages sent.
    pub demands: u64,
    /// Grant messages sent.
    pub grants: u64,
    /// Messages dropped because their sequence number was not newer than the last one received.
    pub stale_messages: u64,
}

/// State of the credit duty.
#[derive(Debug)]
pub struct CreditState {
    options: CreditOptions,
    holdings: BTreeMap<UpstreamName, UpstreamHolding>,
    arbitrated: BTreeMap<UpstreamName, ArbiterRecord>,
    shed_requests: BTreeMap<ServiceName, ShedRequest>,
    peer_sequences: BTreeMap<HostName, PeerSequences>,
    sequence: u64,
    demand_rounds: RoundClock,
    grant_rounds: RoundClock,
    wakeup_at: Option<MonotonicTime>,
    next_shed_request: MonotonicTime,
    floor_cache: FloorUpstreamCache,
    grants: BTreeMap<UpstreamName, SlotGrant>,
    floors: BTreeMap<ServiceName, TierRank>,
    counters: CreditCounters,
    local_shed_logged_at: Option<MonotonicTime>,
}

/// Due times of one kind of round.
#[derive(Debug, Clone, Copy, Default)]
struct RoundClock {
    regular_at: MonotonicTime,
    urgent_at: MonotonicTime,
}

impl RoundClock {
    fn after_round(now: MonotonicTime, bytes: usize, options: &CreditOptions) -> Self {
        let time = options.send_duration(bytes);
        Self {
            regular_at: now + options.round_interval.max(time),
            urgent_at: now + options.urgent_round_interval.max(time),
        }
    }
}

/// Highest sequence numbers received from a peer, by message kind.
#[derive(Debug, Clone, Copy, Default)]
struct PeerSequences {
    demand: u64,
    grant: u64,
}

impl CreditState {
    /// Creates the state of a daemon without grants.
    #[must_use]
    pub fn new(options: CreditOptions) -> Self {
        Self {
            options,
            holdings: BTreeMap::new(),
            arbitrated: BTreeMap::new(),
            shed_requests: BTreeMap::new(),
            peer_sequences: BTreeMap::new(),
            sequence: 0,
            demand_rounds: RoundClock::default(),
            grant_rounds: RoundClock::default(),
            wakeup_at: None,
            next_shed_request: MonotonicTime::default(),
            floor_cache: FloorUpstreamCache::default(),
            grants: BTreeMap::new(),
            floors: BTreeMap::new(),
            counters: CreditCounters::default(),
            local_shed_logged_at: None,
        }
    }

    /// Slots granted on contended upstreams. An upstream without an entry is not contended.
    #[must_use]
    pub fn grants(&self) -> &BTreeMap<UpstreamName, SlotGrant> {
        &self.grants
    }

    /// Lowest tier that each service admits. A service without an entry admits all tiers.
    #[must_use]
    pub fn floors(&self) -> &BTreeMap<ServiceName, TierRank> {
        &self.floors
    }

    /// Counters since the daemon started.
    #[must_use]
    pub fn counters(&self) -> CreditCounters {
        self.counters
    }

    /// Handles one event; returns whether grants or floors changed.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: CreditEvent,
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) -> bool {
        // Sequence numbers start at the wall-clock time, so that they exceed those of the daemon's
        // previous incarnation, which peers still track.
        self.sequence = self.sequence.max(now.wall.0);
        let now = now.monotonic;
        match event {
            CreditEvent::Started => effects.set_timer(TICK_TIMER, now + TICK_INTERVAL),
            CreditEvent::TimerFired { number } => {
                if number == TICK_TIMER.number {
                    effects.set_timer(TICK_TIMER, now + TICK_INTERVAL);
                } else {
                    self.wakeup_at = None;
                }
                self.tick(now, view, effects);
            }
            CreditEvent::QueueFormed => {
                self.mark_queued(now, view);
                self.expedite_round(now, effects);
            }
            CreditEvent::Peer { from, message } => self.receive(now, &from, message, view, effects),
            CreditEvent::ReleaseAll => self.release_all(view, effects),
        }
        self.publish(now, view)
    }

    /// Marks an upstream as contended for at least `time`.
    fn mark_contended(&mut self, now: MonotonicTime, upstream: &UpstreamName, time: Duration) {
        let until = now + time;
        let held = self.holdings.entry(upstream.clone());
        let held = held.or_insert_with(|| UpstreamHolding::new(now, until));
        held.contended_until = held.contended_until.max(until);
    }

    /// Schedules the next demand round as early as the rate limits allow.
    fn expedite_round(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        let at = self.demand_rounds.urgent_at.max(now + COALESCE_DELAY);
        self.demand_rounds.regular_at = self.demand_rounds.regular_at.min(at);
        self.schedule_wakeup(now, at, effects);
    }

    /// Schedules a check of due rounds before the next tick.
    fn schedule_wakeup(
        &mut self,
        now: MonotonicTime,
        at: MonotonicTime,
        effects: &mut EffectQueue,
    ) {
        if at < now + TICK_INTERVAL && self.wakeup_at.is_none_or(|soon| at < soon) {
            self.wakeup_at = Some(at);
            effects.set_timer(WAKEUP_TIMER, at);
        }
    }

    fn publish(&mut self, now: MonotonicTime, view: CreditView<'_>) -> bool {
        let mut grants = BTreeMap::new();
        for (upstream, held) in &self.holdings {
            if let Some(seats) = held.usable(now, || fallback_share(upstream, view)) {
                grants.insert(upstream.clone(), SlotGrant { slots: seats });
            }
        }
        let floors = self.service_floors(now, view);
        let changed = grants != self.grants || floors != self.floors;
        self.grants = grants;
        self.floors = floors;
        changed
    }
}

/// Slots that a daemon may use after its grant expired: an equal share of its own limit.
fn fallback_share(upstream: &UpstreamName, view: CreditView<'_>) -> u32 {
    let demand = view.demands.get(upstream);
    let limit = demand.map_or(0, |demand| demand.limit);
    let peers = arbiter_candidates(upstream, view).count().max(1);
    let share = limit.div_ceil(u32::try_from(peers).unwrap_or(u32::MAX));
    share.max(1)
}

/// Members that may arbitrate an upstream: those of its zone, else those of its region, else all.
/// Members near the upstream are its main users, and fewer participating daemons send fewer
/// messages.
fn arbiter_candidates<'a>(
    upstream: &UpstreamName,
    view: CreditView<'a>,
) -> impl Iterator<Item = &'a HostName> {
    let zone = view.config.upstreams.get(upstream).map(|spec| &spec.zone);
    let live = |member: &&MemberRecord| member.state == MemberState::Alive;
    let mut members = view.members.members.values().filter(live);
    let scope = match zone {
        Some(zone) if members.any(|member| member.zone == *zone) => {
            ArbiterScope::Zone(zone.clone())
        }
        Some(zone) => region_scope(zone, view),
        None => ArbiterScope::All,
    };
    let members = view.members.members.iter();
    let live = members.filter(|(_, member)| member.state == MemberState::Alive);
    live.filter(move |(_, member)| scope.covers(member))
        .map(|(host, _)| host)
}

enum ArbiterScope {
    Zone(ZoneName),
    Region(RegionName),
    All,
}

impl ArbiterScope {
    fn covers(&self, member: &MemberRecord) -> bool {
        match self {
            Self::Zone(zone) => member.zone == *zone,
            Self::Region(region) => member.region == *region,
            Self::All => true,
        }
    }
}

/// Scope for a zone without live members; its region is taken from its former members.
fn region_scope(zone: &ZoneName, view: CreditView<'_>) -> ArbiterScope {
    let mut members = view.members.members.values();
    let known = members.find(|member| member.zone == *zone);
    let region = known.map(|member| member.region.clone());
    let has_live_members = |region: &RegionName| {
        let mut members = view.members.members.values();
        members.any(|m| m.state == MemberState::Alive && m.region == *region)
    };
    match region.filter(has_live_members) {
        Some(region) => ArbiterScope::Region(region),
        None => ArbiterScope::All,
    }
}

/// Returns the arbiter of an upstream; `None` if there are no live members.
fn arbiter_of<'a>(upstream: &UpstreamName, view: CreditView<'a>) -> Option<&'a HostName> {
    let subject = rendezvous::hash_parts(&["arbiter", upstream.as_str()]);
    arbiter_candidates(upstream, view).max_by_key(|host| rendezvous::score(subject, host.as_str()))
}

/// Daemons that may use an upstream without having reported demand: the arbiter candidates, or with
/// `wide` all daemons of the arbiter's region that are not dead.
fn possible_users<'a>(
    upstream: &UpstreamName,
    wide: bool,
    view: CreditView<'a>,
) -> BTreeSet<&'a HostName> {
    if !wide {
        return arbiter_candidates(upstream, view).collect();
    }
    let arbiter = arbiter_of(upstream, view);
    let member = arbiter.and_then(|host| view.members.members.get(host));
    let region = member.map(|member| &member.region);
    let serving =
        view.members.members.iter().filter(|(_, member)| {
            member.state != MemberState::Dead && Some(&member.region) == region
        });
    serving.map(|(host, _)| host).collect()
}
