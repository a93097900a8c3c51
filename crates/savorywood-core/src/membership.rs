//! Who is alive: heartbeats between daemons in the SWIM manner.
//!
//! Each daemon probes one other a period, first directly and then through a few others, and
//! suspects one that no way reaches. A suspected member has time to refute. News travels with
//! probes and answers; news that can't wait (a member leaves, a configuration is new) is passed
//! on at once by everyone who learns it. `docs/design/membership.md` has the reasons and what
//! else was weighed.

mod budget;
mod failure_detection;
mod health;
mod incoming;
mod options;
mod outgoing;
mod periodic;
mod probe;
mod rumor;
mod table;

pub use budget::{BudgetClass, CONTROL_BYTES_PER_SECOND, PeerBudget};
pub use health::LocalHealth;
pub use options::MembershipOptions;
pub use rumor::RumorClass;
pub use table::supersedes;

use crate::{
    effect::EffectQueue,
    event::{DutyKind, HostEntry, TimerKey},
    view::MemberView,
};
use periodic::ProbeOrder;
use probe::ProbeTracker;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rumor::RumorQueue;
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostIncarnation, HostName, MonotonicTime, RegionName,
    peer::{
        MembershipMessage,
        membership::{MemberState, MemberUpdate},
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use table::{MemberTable, UpdateSource};

/// Time between two looks at what is due.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The duty's only timer.
const TICK_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Membership,
    number: 0,
};

/// What happens to the membership duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The daemon begins.
    Started,
    /// Its timer fired.
    TimerFired,
    /// A message of another daemon came.
    Peer {
        /// Who sent it.
        from: HostName,
        /// What it says.
        message: MembershipMessage,
    },
    /// The host list was read.
    HostsListed(Vec<HostEntry>),
    /// A configuration is in force here.
    RevisionInForce(ConfigRevision),
    /// The daemon begins its planned stop.
    Leaving,
    /// The daemon is about to exit.
    Exiting,
}

/// What a step changed that other duties must know.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MembershipChange {
    /// The member view is another one.
    pub view_changed: bool,
    /// A configuration newer than any before is in force somewhere.
    pub newer_revision: Option<ConfigRevision>,
    /// Others know a life of this host that is not older than ours: the clock went back between
    /// two starts. The daemon goes on under this life; datagrams must be sealed with it.
    pub new_incarnation: Option<HostIncarnation>,
}

/// State of the membership duty.
#[derive(Debug)]
pub struct MembershipState {
    options: MembershipOptions,
    rng: ChaCha8Rng,
    table: MemberTable,
    rumors: RumorQueue,
    probes: ProbeTracker,
    order: ProbeOrder,
    health: LocalHealth,
    seeds: BTreeMap<HostName, HostEntry>,
    unreachable: BTreeSet<RegionName>,
    region_last_seen: BTreeMap<RegionName, MonotonicTime>,
    newest_revision: ConfigRevision,
    pull: PullProgress,
    joined: bool,
    next_part: u8,
    urgent_members: BTreeSet<HostName>,
    revision_unannounced: bool,
    clock: MembershipClock,
    change: MembershipChange,
}

/// When each recurring thing is due.
#[derive(Debug, Default)]
struct MembershipClock {
    last_tick: MonotonicTime,
    next_probe: MonotonicTime,
    next_bridge: MonotonicTime,
    next_reconnect: MonotonicTime,
    next_pull: MonotonicTime,
    last_received: MonotonicTime,
}

/// How much of the member table has still to be read from others: at the start, after a pause
/// and when a region comes back.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct PullProgress {
    parts_read: u8,
    repeats: u8,
    region: Option<RegionName>,
}

impl MembershipState {
    /// A daemon that knows only itself.
    #[must_use]
    pub fn new(options: MembershipOptions) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            table: MemberTable::default(),
            rumors: RumorQueue::default(),
            probes: ProbeTracker::default(),
            order: ProbeOrder::default(),
            health: LocalHealth::default(),
            seeds: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            region_last_seen: BTreeMap::new(),
            newest_revision: ConfigRevision::default(),
            pull: PullProgress::default(),
            joined: false,
            next_part: 0,
            urgent_members: BTreeSet::new(),
            revision_unannounced: false,
            clock: MembershipClock::default(),
            change: MembershipChange::default(),
            options,
        }
    }

    /// Members, this daemon included.
    #[must_use]
    pub fn view(&self) -> &MemberView {
        self.table.view()
    }

    /// Own life, with which datagrams are sealed.
    #[must_use]
    pub fn incarnation(&self) -> HostIncarnation {
        self.options.incarnation
    }

    /// Newest configuration revision known to be in force anywhere.
    #[must_use]
    pub fn newest_revision(&self) -> ConfigRevision {
        self.newest_revision
    }

    /// Regions that this daemon, as a bridge, has not heard from for a while. Their members are
    /// kept as they were.
    #[must_use]
    pub fn unreachable_regions(&self) -> &BTreeSet<RegionName> {
        &self.unreachable
    }

    /// Whether this daemon has read the whole member table from others once.
    #[must_use]
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: MembershipEvent,
        effects: &mut EffectQueue,
    ) -> MembershipChange {
        let now = now.monotonic;
        match event {
            MembershipEvent::Started => self.start(now, effects),
            MembershipEvent::TimerFired => self.tick(now, effects),
            MembershipEvent::Peer { from, message } => self.receive(now, &from, message, effects),
            MembershipEvent::HostsListed(hosts) => self.update_host_list(now, hosts, effects),
            MembershipEvent::RevisionInForce(revision) => {
                self.revision_in_force(now, revision, effects);
            }
            MembershipEvent::Leaving => self.announce(now, MemberState::Leaving, effects),
            MembershipEvent::Exiting => self.announce(now, MemberState::Dead, effects),
        }
        std::mem::take(&mut self.change)
    }

    fn start(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        self.clock = MembershipClock {
            last_tick: now,
            next_probe: now + self.options.probe_interval,
            next_bridge: now,
            next_reconnect: now + self.options.reconnect_interval,
            next_pull: now,
            last_received: now,
        };
        let update = self.own_update(MemberState::Alive, 0);
        self.merge_update(now, &update, UpdateSource::Member, effects);
        effects.set_timer(TICK_TIMER, now + TICK_INTERVAL);
    }

    fn own_update(&self, state: MemberState, refutation: u32) -> MemberUpdate {
        MemberUpdate {
            host: self.options.host.clone(),
            incarnation: self.options.incarnation,
            refutation,
            state,
            config_revision: self.own_revision(),
            place: Some(self.options.place.clone()),
        }
    }

    fn own_revision(&self) -> ConfigRevision {
        let own = self.table.get(&self.options.host);
        own.map(|entry| entry.update.config_revision)
            .unwrap_or_default()
    }

    fn own_refutation(&self) -> u32 {
        let own = self.table.get(&self.options.host);
        own.map_or(0, |entry| entry.update.refutation)
    }

    /// Tells of our own state. It spreads at once: until the others know that we leave, callers
    /// are sent here.
    fn announce(&mut self, now: MonotonicTime, state: MemberState, effects: &mut EffectQueue) {
        let update = self.own_update(state, self.own_refutation());
        self.merge_update(now, &update, UpdateSource::Member, effects);
        self.send_urgent(effects);
    }

    fn revision_in_force(
        &mut self,
        now: MonotonicTime,
        revision: ConfigRevision,
        effects: &mut EffectQueue,
    ) {
        let own = self.table.get(&self.options.host);
        let Some(update) = own.map(|entry| MemberUpdate {
            config_revision: revision,
            ..entry.update.clone()
        }) else {
            return;
        };
        self.merge_update(now, &update, UpdateSource::Member, effects);
        self.send_urgent(effects);
    }

    /// Takes in the host list: a seed at the start, later a hint about hosts not yet known.
    /// Hosts that it leaves out stay members, for it lags and may be empty.
    fn update_host_list(
        &mut self,
        now: MonotonicTime,
        hosts: Vec<HostEntry>,
        effects: &mut EffectQueue,
    ) {
        if hosts.is_empty() {
            return;
        }
        let leaving = hosts.iter().filter(|entry| entry.leaving);
        let leaving = leaving.map(|entry| entry.host.clone()).collect();
        self.change.view_changed |= self.table.set_listed_leaving(leaving);
        let own = &self.options.host;
        let others = hosts.into_iter().filter(|entry| entry.host != *own);
        self.seeds = others.map(|entry| (entry.host.clone(), entry)).collect();
        self.contact_listed(now, effects);
        self.pull(now, effects);
    }
}
