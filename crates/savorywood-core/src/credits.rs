//! Credits: how the daemons share the seats of contended upstreams.
//!
//! While nobody queues for an upstream, nobody speaks of it. When a queue forms, its daemon tells
//! the upstream's arbiter, which is the first of the upstream's zone by rendezvous hash; the
//! arbiter asks who else uses the upstream, and grants seats for a short term, highest tier
//! first over all daemons. `docs/design/credits.md` has the reasons and what else was weighed.

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
use floors::FloorNames;
use holder::HeldUpstream;
use savorywood_protocol::{
    CoreTime, HostName, MonotonicTime, RegionName, ServiceName, TierRank, UpstreamName, ZoneName,
    peer::{CreditMessage, credits::TierDemand, membership::MemberState},
};
use shed::ShedAsk;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time between two looks at what is due.
pub const TICK: Duration = Duration::from_millis(100);

const TICK_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Credits,
    number: 0,
};

/// Fires shortly after something urgent, so that what comes with it goes into one message.
const SOON_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Credits,
    number: 1,
};

/// Time for which urgent things are gathered.
const SOON: Duration = Duration::from_millis(5);

/// This daemon's demand on one upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LocalDemand {
    /// Seats that the own limit would allow.
    pub limit: u32,
    /// Seats in use.
    pub in_use: u32,
    /// Seats in use and wanted by tier, highest first.
    pub tiers: Vec<TierDemand>,
    /// Whether work waits that could go there.
    pub queued: bool,
}

/// What the credit duty reads of other duties in a step.
#[derive(Debug, Clone, Copy)]
pub struct CreditView<'a> {
    /// Configuration in force.
    pub config: &'a ConfigView,
    /// Daemons known.
    pub members: &'a MemberView,
    /// Own demand on the upstreams that are in use or wanted.
    pub demands: &'a BTreeMap<UpstreamName, LocalDemand>,
}

/// What happens to the credit duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CreditEvent {
    /// The daemon begins.
    Started,
    /// One of its timers fired.
    TimerFired {
        /// Number of the timer.
        number: u64,
    },
    /// Work began to wait for a seat of these upstreams.
    QueueFormed,
    /// A message of another daemon came.
    Peer {
        /// Who sent it.
        from: HostName,
        /// What it says.
        message: CreditMessage,
    },
    /// The daemon has nothing left to send: it gives all seats back.
    HandBack,
}

/// Counters for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CreditCounters {
    /// Sheds that were judged by the own queues, since no arbiter answered.
    pub sheds_alone: u64,
    /// Demands sent.
    pub demands: u64,
    /// Grants sent.
    pub grants: u64,
    /// Messages dropped as older than one that came before.
    pub outdated: u64,
}

/// State of the credit duty.
#[derive(Debug)]
pub struct CreditState {
    options: CreditOptions,
    held: BTreeMap<UpstreamName, HeldUpstream>,
    desk: BTreeMap<UpstreamName, ArbiterRecord>,
    asks: BTreeMap<ServiceName, ShedAsk>,
    heard: BTreeMap<HostName, PeerSequences>,
    sequence: u64,
    demand_rounds: RoundClock,
    grant_rounds: RoundClock,
    soon_at: Option<MonotonicTime>,
    next_ask: MonotonicTime,
    floor_names: FloorNames,
    grants: BTreeMap<UpstreamName, SlotGrant>,
    floors: BTreeMap<ServiceName, TierRank>,
    counters: CreditCounters,
    alone_logged: Option<MonotonicTime>,
}

/// When rounds of one kind are due.
#[derive(Debug, Clone, Copy, Default)]
struct RoundClock {
    regular_at: MonotonicTime,
    urgent_at: MonotonicTime,
}

impl RoundClock {
    fn after_round(now: MonotonicTime, bytes: usize, options: &CreditOptions) -> Self {
        let time = options.time_of(bytes);
        Self {
            regular_at: now + options.round.max(time),
            urgent_at: now + options.urgent_round.max(time),
        }
    }
}

/// Newest sequence numbers that a peer has used.
#[derive(Debug, Clone, Copy, Default)]
struct PeerSequences {
    demand: u64,
    grant: u64,
}

impl CreditState {
    /// A daemon that holds nothing.
    #[must_use]
    pub fn new(options: CreditOptions) -> Self {
        Self {
            options,
            held: BTreeMap::new(),
            desk: BTreeMap::new(),
            asks: BTreeMap::new(),
            heard: BTreeMap::new(),
            sequence: 0,
            demand_rounds: RoundClock::default(),
            grant_rounds: RoundClock::default(),
            soon_at: None,
            next_ask: MonotonicTime::default(),
            floor_names: FloorNames::default(),
            grants: BTreeMap::new(),
            floors: BTreeMap::new(),
            counters: CreditCounters::default(),
            alone_logged: None,
        }
    }

    /// Seats granted on contended upstreams; an absent upstream is not contended.
    #[must_use]
    pub fn grants(&self) -> &BTreeMap<UpstreamName, SlotGrant> {
        &self.grants
    }

    /// Lowest tier that a service admits; absent when all are.
    #[must_use]
    pub fn floors(&self) -> &BTreeMap<ServiceName, TierRank> {
        &self.floors
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> CreditCounters {
        self.counters
    }

    /// Handles one event; says whether grants or floors changed.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: CreditEvent,
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) -> bool {
        // Larger than in an earlier life of this daemon, whose numbers others remember.
        self.sequence = self.sequence.max(now.wall.0);
        let now = now.monotonic;
        match event {
            CreditEvent::Started => effects.set_timer(TICK_TIMER, now + TICK),
            CreditEvent::TimerFired { number } => {
                if number == TICK_TIMER.number {
                    effects.set_timer(TICK_TIMER, now + TICK);
                } else {
                    self.soon_at = None;
                }
                self.tick(now, view, effects);
            }
            CreditEvent::QueueFormed => {
                self.note_queues(now, view);
                self.pull_round_forward(now, effects);
            }
            CreditEvent::Peer { from, message } => self.receive(now, &from, message, view, effects),
            CreditEvent::HandBack => self.hand_back(view, effects),
        }
        self.publish(now, view)
    }

    /// Takes an upstream for contended for a while.
    fn mark_contended(&mut self, now: MonotonicTime, upstream: &UpstreamName, time: Duration) {
        let until = now + time;
        let held = self.held.entry(upstream.clone());
        let held = held.or_insert_with(|| HeldUpstream::new(now, until));
        held.contended_until = held.contended_until.max(until);
    }

    /// Makes the next round of demands due as soon as the limits allow.
    fn pull_round_forward(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        let at = self.demand_rounds.urgent_at.max(now + SOON);
        self.demand_rounds.regular_at = self.demand_rounds.regular_at.min(at);
        self.look_again(now, at, effects);
    }

    /// Looks at what is due before the next tick.
    fn look_again(&mut self, now: MonotonicTime, at: MonotonicTime, effects: &mut EffectQueue) {
        if at < now + TICK && self.soon_at.is_none_or(|soon| at < soon) {
            self.soon_at = Some(at);
            effects.set_timer(SOON_TIMER, at);
        }
    }

    fn publish(&mut self, now: MonotonicTime, view: CreditView<'_>) -> bool {
        let mut grants = BTreeMap::new();
        for (upstream, held) in &self.held {
            if let Some(seats) = held.usable(now, || standing_share(upstream, view)) {
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

/// Seats that a daemon may use without a grant: its part of what it could use alone.
fn standing_share(upstream: &UpstreamName, view: CreditView<'_>) -> u32 {
    let demand = view.demands.get(upstream);
    let limit = demand.map_or(0, |demand| demand.limit);
    let peers = arbiters(upstream, view).count().max(1);
    let share = limit.div_ceil(u32::try_from(peers).unwrap_or(u32::MAX));
    share.max(1)
}

/// Members that may arbitrate an upstream: those of its zone; of its region, or all, when its
/// zone has none. Members near the upstream are the ones that use it most, and the fewer daemons
/// speak with one another, the fewer messages there are.
fn arbiters<'a>(
    upstream: &UpstreamName,
    view: CreditView<'a>,
) -> impl Iterator<Item = &'a HostName> {
    let zone = view.config.upstreams.get(upstream).map(|spec| &spec.zone);
    let alive = |member: &&MemberRecord| member.state == MemberState::Alive;
    let mut members = view.members.members.values().filter(alive);
    let scope = match zone {
        Some(zone) if members.any(|member| member.zone == *zone) => {
            ArbiterScope::Zone(zone.clone())
        }
        Some(zone) => region_scope(zone, view),
        None => ArbiterScope::All,
    };
    let members = view.members.members.iter();
    let alive = members.filter(|(_, member)| member.state == MemberState::Alive);
    alive
        .filter(move |(_, member)| scope.covers(member))
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

/// The region of a zone without live members, known from those that were there.
fn region_scope(zone: &ZoneName, view: CreditView<'_>) -> ArbiterScope {
    let mut members = view.members.members.values();
    let known = members.find(|member| member.zone == *zone);
    let region = known.map(|member| member.region.clone());
    let alive_there = |region: &RegionName| {
        let mut members = view.members.members.values();
        members.any(|m| m.state == MemberState::Alive && m.region == *region)
    };
    match region.filter(alive_there) {
        Some(region) => ArbiterScope::Region(region),
        None => ArbiterScope::All,
    }
}

/// The arbiter of an upstream.
fn arbiter_of<'a>(upstream: &UpstreamName, view: CreditView<'a>) -> Option<&'a HostName> {
    let thing = rendezvous::hash_parts(&["arbiter", upstream.as_str()]);
    arbiters(upstream, view).max_by_key(|host| rendezvous::score(thing, host.as_str()))
}

/// Daemons that may use an upstream without having said so: those of its arbiter's zone, or of
/// the arbiter's whole region.
fn possible_users<'a>(
    upstream: &UpstreamName,
    wide: bool,
    view: CreditView<'a>,
) -> BTreeSet<&'a HostName> {
    if !wide {
        return arbiters(upstream, view).collect();
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
