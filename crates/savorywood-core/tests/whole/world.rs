//! Several whole daemons in one thread, and the order in which things happen to them.

use crate::{
    fake_table::FakeTable,
    ledger::{CallKind, CallLedger, CallRecord, CallStage, NodeLife, WorldRule},
    node::WorldNode,
    operators::OperatorLedger,
    resources::{ENGINES, PLAIN_UPSTREAMS},
    sabotage::WorldSabotage,
    schedule::{NODES, SCHEDULE_MICROS, WorldAction, WorldSchedule},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_core::{
    CallerEvent, DaemonEffect, DaemonEvent, EffectQueue, HostEntry, TableCallId, TimerKey,
};
use savorywood_protocol::{
    MonotonicTime, RefusalCode, RequestId, RequestRefusal, UpstreamName,
    peer::datagram::DatagramKey, table::TableRequest,
};
use std::collections::BTreeMap;

/// Time for the daemons to meet and for operators to declare everything, in microseconds.
pub const SETUP_MICROS: u64 = 6_000_000;
/// After this long without faults, what was accepted must be in force everywhere.
pub const IN_FORCE_MICROS: u64 = 4_000_000;
/// Time without faults in which all that is open must end: the longest deadline, a stalled
/// answer and some more.
const DRAIN_MICROS: u64 = 40_000_000;
/// Steps after which a run is taken to turn in circles.
const MAX_EVENTS: u64 = 2_000_000;

/// Something on its way.
#[derive(Debug)]
pub enum Pending {
    /// An event for one life of a daemon.
    Deliver { to: NodeLife, event: DaemonEvent },
    /// A timer of a daemon.
    Timer {
        to: NodeLife,
        key: TimerKey,
        at: MonotonicTime,
    },
    /// A call reaches the table.
    Table {
        from: NodeLife,
        call: TableCallId,
        request: TableRequest,
    },
    /// A write whose answer was given up long ago takes effect.
    Land(TableRequest),
    /// A sealed datagram reaches a host.
    Datagram { to: usize, bytes: Vec<u8> },
    /// The first byte of a request reaches an upstream.
    Run {
        request: RequestId,
        upstream: UpstreamName,
    },
    /// The shell hears from an upstream.
    Heard {
        to: NodeLife,
        event: savorywood_core::UpstreamEvent,
    },
    /// A daemon begins on a host.
    Begin { node: usize },
    /// The host list is read by a daemon.
    ReadHosts { to: NodeLife },
    /// The schedule goes on.
    Act(WorldAction),
    /// The rest of a stream came.
    Resumed { to: NodeLife, request: RequestId },
}

/// Until when faults last, in microseconds.
#[derive(Debug, Default)]
pub struct FaultWindows {
    pub outage: u64,
    pub lossy_table: u64,
    pub slow_table: u64,
    pub cut_table: [u64; NODES],
    pub lossy_network: u64,
    pub cuts: BTreeMap<(usize, usize), u64>,
    pub down: BTreeMap<UpstreamName, u64>,
    pub slow: BTreeMap<UpstreamName, u64>,
    pub wrong_hosts: u64,
}

/// What a run came to.
#[derive(Debug, Default, Clone)]
pub struct RunFigures {
    pub events: u64,
    pub faults: u64,
    pub calls: u64,
    pub runs: u64,
    pub whole_answers: u64,
    pub refusals: u64,
    pub accepted: u64,
    /// Longest time after which a daemon still used an upstream that was taken out.
    pub stalest: u64,
}

impl RunFigures {
    /// Adds the figures of another run.
    pub fn add(&mut self, other: &Self) {
        self.events += other.events;
        self.faults += other.faults;
        self.calls += other.calls;
        self.runs += other.runs;
        self.whole_answers += other.whole_answers;
        self.refusals += other.refusals;
        self.accepted += other.accepted;
        self.stalest = self.stalest.max(other.stalest);
    }
}

/// The daemons and everything around them.
pub struct World {
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub nodes: Vec<WorldNode>,
    pub table: FakeTable,
    pub ledger: CallLedger,
    pub operators: OperatorLedger,
    pub windows: FaultWindows,
    pub sabotage: Option<WorldSabotage>,
    pub key: DatagramKey,
    pub old_hosts: Vec<HostEntry>,
    pub figures: RunFigures,
    pub next_request: u128,
    agenda: BTreeMap<(u64, u64), Pending>,
    serial: u64,
}

impl World {
    /// Daemons that begin at once, with clocks that run up to 5 % apart.
    pub fn new(seed: u64, sabotage: Option<WorldSabotage>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..NODES)
            .map(|node| WorldNode::new(node, rng.random_range(975_000..1_025_000)))
            .collect();
        let mut world = Self {
            now: 1_000_000,
            rng,
            nodes,
            table: FakeTable::default(),
            ledger: CallLedger::default(),
            operators: OperatorLedger::default(),
            windows: FaultWindows::default(),
            sabotage,
            key: DatagramKey::derive(b"randomised runs"),
            old_hosts: Vec::new(),
            figures: RunFigures::default(),
            next_request: 0,
            agenda: BTreeMap::new(),
            serial: 0,
        };
        for node in 0..NODES {
            world.later(0, Pending::Begin { node });
        }
        world
    }

    /// Runs a schedule to its end and checks what must hold after it.
    pub fn run(schedule: &WorldSchedule, sabotage: Option<WorldSabotage>) -> Self {
        let mut world = Self::new(schedule.seed, sabotage);
        world.run_for(1);
        world.declare_all();
        world.run_for(SETUP_MICROS);
        for (at, action) in &schedule.actions {
            world.later(*at, Pending::Act(*action));
        }
        world.run_for(SCHEDULE_MICROS);
        let tail = world.heal();
        world.run_for(tail);
        let accepted = world.operators.newest_accepted;
        world.run_for(IN_FORCE_MICROS);
        world.check_in_force(accepted);
        world.run_for(DRAIN_MICROS);
        world.check_in_force(world.operators.newest_accepted);
        world.check_drained();
        world.check_operators();
        world.figures.calls = world.ledger.calls.len() as u64;
        world.figures.whole_answers = world.ledger.whole_answers;
        world.figures.refusals = world.ledger.refusals.values().sum();
        world
    }

    /// Lets something happen after a delay.
    pub fn later(&mut self, delay: u64, pending: Pending) {
        self.serial += 1;
        self.agenda.insert((self.now + delay, self.serial), pending);
    }

    /// Runs for so long.
    pub fn run_for(&mut self, micros: u64) {
        let end = self.now + micros;
        while let Some((key, pending)) = self.agenda.pop_first() {
            if key.0 > end {
                self.agenda.insert(key, pending);
                break;
            }
            self.now = key.0;
            self.figures.events += 1;
            assert!(self.figures.events < MAX_EVENTS, "the run turns in circles");
            self.happen(pending);
        }
        self.now = end;
    }

    fn happen(&mut self, pending: Pending) {
        match pending {
            Pending::Deliver { to, event } => {
                if let Some(event) = self.wait_for_pause(to, event) {
                    self.deliver(to, event);
                }
            }
            Pending::Timer { to, key, at } => self.fire(to, key, at),
            Pending::Table {
                from,
                call,
                request,
            } => self.table_call(from, call, request),
            Pending::Land(request) => {
                self.table.execute(&request);
            }
            Pending::Datagram { to, bytes } => self.receive(to, bytes),
            Pending::Run { request, upstream } => {
                self.figures.runs += 1;
                self.ledger.ran(request, &upstream);
            }
            Pending::Heard { to, event } => self.hear(to, event),
            Pending::Begin { node } => self.begin(node),
            Pending::ReadHosts { to } => self.read_hosts(to),
            Pending::Act(action) => self.act(action),
            Pending::Resumed { to, request } => {
                if self.is_alive(to) {
                    self.ledger.answer(request);
                    let event = DaemonEvent::Caller(CallerEvent::Disconnected { request });
                    self.later(0, Pending::Deliver { to, event });
                }
            }
        }
    }

    /// Whether this life goes on.
    pub fn is_alive(&self, at: NodeLife) -> bool {
        let node = &self.nodes[at.node];
        node.at == at && node.core.is_some()
    }

    /// A daemon that stands still gets everything once it goes on, in the same order.
    fn wait_for_pause(&mut self, to: NodeLife, event: DaemonEvent) -> Option<DaemonEvent> {
        let until = self.nodes[to.node].paused_until;
        if !self.is_alive(to) {
            return None;
        }
        if until > self.now {
            self.later(until - self.now, Pending::Deliver { to, event });
            return None;
        }
        Some(event)
    }

    fn fire(&mut self, to: NodeLife, key: TimerKey, at: MonotonicTime) {
        let node = &mut self.nodes[to.node];
        if node.at != to || node.timers.get(&key) != Some(&at) {
            return;
        }
        if node.paused_until > self.now {
            let delay = node.paused_until - self.now;
            return self.later(delay, Pending::Timer { to, key, at });
        }
        node.timers.remove(&key);
        self.step(to.node, DaemonEvent::TimerFired(key));
    }

    fn begin(&mut self, node: usize) {
        if self.nodes[node].core.is_some() {
            return;
        }
        let seed = self.rng.random();
        self.nodes[node].begin(self.now, seed);
        let to = self.nodes[node].at;
        self.step(node, DaemonEvent::Started);
        self.later(1_000, Pending::ReadHosts { to });
    }

    fn deliver(&mut self, to: NodeLife, event: DaemonEvent) {
        if let DaemonEvent::Caller(CallerEvent::Arrived(arrival)) = &event
            && let Some(call) = self.ledger.calls.get_mut(&arrival.request)
        {
            let again = call.stage != CallStage::Coming;
            if again && !matches!(call.stage, CallStage::Running(_)) {
                return;
            }
            if !again {
                call.stage = CallStage::Waiting;
            }
            let shed = self.sabotage == Some(WorldSabotage::ShedHighest) && call.tier == 0;
            if shed {
                let refusal = RequestRefusal::not_run(RefusalCode::Overloaded, "sabotage");
                return self.ledger.refuse(arrival.request, &refusal);
            }
        }
        if let DaemonEvent::Caller(CallerEvent::Resumed(arrival)) = &event
            && let Some(call) = self.ledger.calls.get_mut(&arrival.request)
        {
            call.stage = CallStage::Waiting;
        }
        self.step(to.node, event);
    }

    /// Steps a daemon and executes its effects in order.
    pub fn step(&mut self, node: usize, event: DaemonEvent) {
        let place = &mut self.nodes[node];
        let clocks = place.clocks(self.now);
        let Some(core) = &mut place.core else {
            return;
        };
        let mut effects = EffectQueue::new();
        core.step(clocks, event, &mut effects);
        let effects: Vec<_> = effects.drain().collect();
        self.check_revision(node);
        for effect in effects {
            self.execute(node, effect);
        }
    }

    pub(crate) fn execute(&mut self, node: usize, effect: DaemonEffect) {
        match effect {
            DaemonEffect::SetTimer { key, at } => self.set_timer(node, key, at),
            DaemonEffect::Dispatch(order) => self.dispatch(node, order),
            DaemonEffect::CancelAttempt { request, attempt } => self.cancel(node, request, attempt),
            DaemonEffect::Refuse { request, refusal } => self.ledger.refuse(request, &refusal),
            DaemonEffect::SendPeer {
                to,
                address,
                message,
            } => {
                self.send_peer(node, &to, address, message);
            }
            DaemonEffect::CallTable { call, request } => self.call_table(node, call, request),
            DaemonEffect::Resume(order) => self.resume_stream(node, &order),
            DaemonEffect::Replay { request, response } => self.replay(request, *response),
            DaemonEffect::FetchSnapshot { from, address } => {
                self.fetch_snapshot(node, from, address);
            }
            DaemonEffect::ReplyOperator { call, reply } => self.reply_operator(call, *reply),
            DaemonEffect::InvariantViolated(breach) => {
                let detail = format!("{}: {}", breach.name, breach.detail);
                self.ledger.breach(WorldRule::InProgram, detail);
            }
            DaemonEffect::Exit => self.exit(node),
            DaemonEffect::SendOrder { .. } | DaemonEffect::ConfigChanged | DaemonEffect::Log(_) => {
            }
        }
    }

    fn set_timer(&mut self, node: usize, key: TimerKey, at: MonotonicTime) {
        let place = &mut self.nodes[node];
        place.timers.insert(key, at);
        let to = place.at;
        let delay = place.world_time(at).saturating_sub(self.now).max(1);
        self.later(delay, Pending::Timer { to, key, at });
    }

    /// The process ends. Whoever still waits for an answer here is cut off.
    fn exit(&mut self, node: usize) {
        let at = self.nodes[node].at;
        let stays = self.sabotage == Some(WorldSabotage::NeverExit);
        if self.nodes[node].core.is_none() || stays {
            return;
        }
        // What was cancelled ends within a moment, and its caller was told. A call that may not
        // be repeated goes on: its outcome is still to be recorded.
        let mut running = self.nodes[node].running.keys().copied();
        let running = running.find(|request| {
            let call = self.ledger.calls.get(request);
            call.is_some_and(|call| !call.cancelled || call.kind == CallKind::Charge)
        });
        let open = self.ledger.open_at(at).next().map(|(id, _)| *id);
        if let Some(request) = open.or(running) {
            let call = self.ledger.calls.get(&request);
            let detail = format!("{at:?} ends with {request} open: {call:?}");
            self.ledger.breach(WorldRule::StopCutsNothing, detail);
        }
        self.nodes[node].end();
    }

    fn check_revision(&mut self, node: usize) {
        let clocks = self.nodes[node].clocks(self.now);
        let place = &mut self.nodes[node];
        let Some(core) = &place.core else {
            return;
        };
        let revision = core.config().revision;
        let serves = core.readiness(clocks).is_ok();
        let before = place.revision;
        let older = serves && revision < place.served && !place.has_served;
        if serves {
            place.served = place.served.max(revision);
            place.has_served = true;
        }
        place.revision = before.max(revision);
        let detail = format!("{:?} has {revision} after {before}", place.at);
        if revision < before {
            self.ledger.breach(WorldRule::ConfigNeverReverts, &detail);
        }
        if older {
            self.ledger.breach(WorldRule::RestartNeverReverts, detail);
        }
    }

    /// Requests that nobody answered although their daemon went on.
    fn check_drained(&mut self) {
        let open = self.ledger.calls.iter().filter(|(_, call)| call.is_open());
        let lost: Vec<_> = open
            .filter(|(_, call)| self.is_alive(call.at))
            .map(|(request, call)| format!("{request}: {call:?}"))
            .collect();
        for detail in lost {
            self.ledger.breach(WorldRule::NoneLost, detail);
        }
        let stopping = self.nodes.iter().filter(|node| node.stopping);
        let endless = stopping.filter(|node| node.core.is_some());
        let endless: Vec<_> = endless.map(|node| format!("{:?}", node.at)).collect();
        for detail in endless {
            self.ledger.breach(WorldRule::StopEnds, detail);
        }
    }

    /// Number of an upstream among all that take work.
    pub fn upstream_name(number: usize) -> UpstreamName {
        let names = ENGINES.iter().chain(&PLAIN_UPSTREAMS);
        let name = names.copied().nth(number).unwrap_or(ENGINES[0]);
        name.parse().unwrap()
    }

    /// One of the requests that fit, if there is one.
    pub fn pick_call(&mut self, fits: impl Fn(&CallRecord) -> bool) -> Option<RequestId> {
        let calls = self.ledger.calls.iter().filter(|(_, call)| fits(call));
        let ids: Vec<_> = calls.map(|(request, _)| *request).collect();
        let count = ids.len();
        (count > 0).then(|| ids[self.rng.random_range(0..count)])
    }
}
