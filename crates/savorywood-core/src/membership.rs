//! Membership: SWIM failure detection and gossip between daemons.
//!
//! Each daemon probes one other member per interval, first directly and then through a few relays,
//! and suspects a member that no path reaches. A suspected member has time to refute. Updates are
//! piggybacked on probes and their acknowledgements. Urgent updates (a member is leaving, a
//! configuration is new) are forwarded at once by every daemon that receives them.
//! `docs/design/membership.md` explains the design and the alternatives.

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

/// Interval between the duty's ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The only timer of this duty.
const TICK_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Membership,
    number: 0,
};

/// Input events of the membership duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The daemon starts.
    Started,
    /// The tick timer fired.
    TimerFired,
    /// A message from another daemon arrived.
    Peer {
        /// Sender of the message.
        from: HostName,
        /// Content of the message.
        message: MembershipMessage,
    },
    /// The host list was read.
    HostsListed(Vec<HostEntry>),
    /// A configuration revision took effect on this daemon.
    RevisionInForce(ConfigRevision),
    /// The daemon begins its planned stop.
    Leaving,
    /// The daemon is about to exit; it announces itself as dead.
    Exiting,
}

/// Changes made by a step that other duties act on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MembershipChange {
    /// The member view changed.
    pub view_changed: bool,
    /// Configuration revision in force on some member, if it is newer than any seen before.
    pub newer_revision: Option<ConfigRevision>,
    /// New incarnation of this daemon, if members had recorded one that is not older than its own
    /// because the clock went back between two starts. Datagrams must be sealed with it from now
    /// on.
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

/// Due times of recurring work, and times of the last tick and message.
#[derive(Debug, Default)]
struct MembershipClock {
    last_tick: MonotonicTime,
    next_probe: MonotonicTime,
    next_bridge: MonotonicTime,
    next_reconnect: MonotonicTime,
    next_pull: MonotonicTime,
    last_received: MonotonicTime,
}

/// Progress of reading the member table from others: after the start, after a pause and when a
/// region becomes reachable again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct PullProgress {
    parts_read: u8,
    repeats: u8,
    region: Option<RegionName>,
}

impl MembershipState {
    /// Creates the state of a daemon that has no other members yet.
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

    /// Member view, including this daemon.
    #[must_use]
    pub fn view(&self) -> &MemberView {
        self.table.view()
    }

    /// Incarnation of this daemon, with which its datagrams are sealed.
    #[must_use]
    pub fn incarnation(&self) -> HostIncarnation {
        self.options.incarnation
    }

    /// Newest configuration revision known to be in force on any member.
    #[must_use]
    pub fn newest_revision(&self) -> ConfigRevision {
        self.newest_revision
    }

    /// Regions that this daemon, as a bridge, has not received a message from within the region
    /// timeout. Their members keep their last state.
    #[must_use]
    pub fn unreachable_regions(&self) -> &BTreeSet<RegionName> {
        &self.unreachable
    }

    /// Whether this daemon has read the complete member table from others at least once.
    #[must_use]
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Handles one event and returns the resulting changes.
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
            location: Some(self.options.location.clone()),
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

    /// Announces this daemon's state at once: until the other members know that it is leaving,
    /// callers are still routed here.
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

    /// Applies the host list: seeds at the start, hints about unknown hosts later. Hosts missing
    /// from the list remain members, since the list lags and may be empty.
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
