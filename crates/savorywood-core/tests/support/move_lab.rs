//! One move of traffic over several reducers, with a seeded workload and versions of each kind.

use crate::fake_table::FakeTable;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_core::{
    ConfigView, DaemonEffect, EffectQueue, MemberRecord, MemberView,
    leases::LeaseGrant,
    moves::{MoveEvent, MoveOptions, MoveSample, MoveView, MovesState},
};
use savorywood_protocol::{
    ConfigRevision, CoreTime, FencingNumber, HostIncarnation, HostName, MonotonicTime, WallTime,
    peer::{PeerMessage, membership::MemberState},
    resource::{MoveState, ResourceDocument},
    table::{TableAnswer, TableRequest},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// When a version is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultOnset {
    /// Never.
    Never,
    /// From its first request.
    AtOnce,
    /// From so many seconds after the beginning.
    After(f64),
    /// While its share is at least so many thousandths.
    UnderLoad(u16),
    /// On the rarest of three routes, a tenth of the traffic.
    OneRoute,
}

/// What one run is about.
#[derive(Debug, Clone, Copy)]
pub struct LabPlan {
    /// When the new version is bad.
    pub onset: FaultOnset,
    /// Failure rate while it is bad.
    pub failure_rate: f64,
    /// Factor by which it is slower while it is bad.
    pub slowdown: f64,
    /// Whether the room grows hot: all engines slow down by up to 60%, unevenly, and there are
    /// seconds in which both versions fail.
    pub hot: bool,
    /// Requests a second.
    pub rate: f64,
    /// Requests a second from the twelfth second on, once the rate was measured.
    pub later_rate: Option<f64>,
    /// Seconds from the beginning to the deadline.
    pub deadline: f64,
    /// Seconds with all traffic on the new version before the move is done.
    pub soak_seconds: u32,
    /// Peer messages lost, in percent.
    pub drop: u32,
}

impl Default for LabPlan {
    fn default() -> Self {
        Self {
            onset: FaultOnset::Never,
            failure_rate: 0.004,
            slowdown: 1.0,
            hot: true,
            rate: 60.0,
            later_rate: None,
            deadline: 600.0,
            soak_seconds: 60,
            drop: 10,
        }
    }
}

/// What came out of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct LabResult {
    /// By the table, at the deadline.
    pub state: Option<MoveState>,
    /// Requests of the service up to the deadline.
    pub requests: u32,
    /// Requests that the new version got while it was bad.
    pub met_bad: u32,
    /// Requests that the new version got.
    pub met_new: u32,
    /// From when the version was bad to when the first daemon stopped it, in seconds.
    pub found_after: Option<f64>,
    /// From the first daemon's stop to the last request that any daemon gave the new version.
    pub spread: f64,
    /// Breaches of invariants.
    pub breaches: u32,
}

const NODES: usize = 7;
const ENGINES: usize = 6;
const STEP_MICROS: u64 = 10_000;
const START_MICROS: u64 = 1_000_000;
const START_WALL_MS: u64 = 1_800_000_000_000;

enum Pending {
    Node(usize, Box<MoveEvent>),
    Execute(usize, u64, TableRequest),
}

/// The reducers, the table and the engines.
pub struct MoveLab {
    /// Nodes that neither peers nor the table reach.
    pub cut_off: BTreeSet<usize>,
    /// The table refuses everything.
    pub outage: bool,
    /// Calls of the table whose answer is lost after they took effect, in percent.
    pub lost: u32,
    /// Node that holds the lease.
    pub holder: usize,
    /// What came out so far.
    pub result: LabResult,
    plan: LabPlan,
    nodes: Vec<MovesState>,
    config: ConfigView,
    members: MemberView,
    table: FakeTable,
    agenda: BTreeMap<(u64, u64), Pending>,
    timers: BTreeMap<(usize, u64), u64>,
    engine_noise: Vec<f64>,
    heat: f64,
    shared_trouble_until: u64,
    bad_since: Option<u64>,
    stopped_at: Option<u64>,
    now: u64,
    serial: u64,
    rng: ChaCha8Rng,
}

impl MoveLab {
    /// A move that is about to begin.
    pub fn new(plan: LabPlan, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut members = MemberView::default();
        let options = (0..NODES).map(|node| {
            members.members.insert(host(node), record());
            MoveOptions {
                host: host(node),
                seed: seed.wrapping_mul(31) ^ node as u64,
            }
        });
        let nodes = options.map(MovesState::new).collect();
        let engine_noise = (0..2 * ENGINES).map(|_| 0.04 * normal(&mut rng)).collect();
        let mut lab = Self {
            cut_off: BTreeSet::new(),
            outage: false,
            lost: 0,
            holder: 0,
            result: LabResult::default(),
            plan,
            nodes,
            config: config(&plan),
            members,
            table: FakeTable::default(),
            agenda: BTreeMap::new(),
            timers: BTreeMap::new(),
            engine_noise,
            heat: 0.0,
            shared_trouble_until: 0,
            bad_since: None,
            stopped_at: None,
            now: START_MICROS,
            serial: 0,
            rng,
        };
        for node in 0..NODES {
            lab.step(node, MoveEvent::Started);
        }
        lab
    }

    /// Seconds since the beginning.
    pub fn elapsed(&self) -> f64 {
        (self.now - START_MICROS) as f64 / 1e6
    }

    /// Share of the new version at a node, in thousandths.
    pub fn share(&self, node: usize) -> u16 {
        let mut splits = self.nodes[node].splits().values();
        splits.next().map_or(0, |split| split.new_per_mille)
    }

    /// Where the move stands as a node tells operators.
    pub fn state(&self, node: usize) -> MoveState {
        let name = "m".parse().expect("a name");
        self.nodes[node].state_of(&name, &self.config)
    }

    /// Why the move stands where it stands, as a node tells operators.
    pub fn reason(&self, node: usize) -> String {
        let name = "m".parse().expect("a name");
        let conditions = self.nodes[node].conditions_of(&name, &self.config);
        let mut messages = conditions.into_iter().map(|condition| condition.message);
        messages.next().unwrap_or_default()
    }

    /// Runs until so many seconds after the beginning.
    pub fn run_until(&mut self, seconds: f64) {
        while self.elapsed() < seconds {
            self.now += STEP_MICROS;
            self.run_agenda();
            self.run_timers();
            self.weather();
            if self.now.is_multiple_of(100_000) {
                self.check_told();
            }
            let later = self.plan.later_rate.filter(|_| self.elapsed() >= 12.0);
            let mut due = later.unwrap_or(self.plan.rate) * STEP_MICROS as f64 / 1e6;
            while due > 0.0 {
                if self.rng.random_bool(due.min(1.0)) {
                    self.request();
                }
                due -= 1.0;
            }
        }
        self.result.state = Some(self.state(0));
    }

    /// Nobody is told that the move ended before the table says so.
    fn check_told(&mut self) {
        let keys = vec!["move/m".to_owned()];
        let answer = self.table.execute(&TableRequest::Get { keys });
        let TableAnswer::Rows { rows, .. } = answer else {
            return;
        };
        let text = rows.first().and_then(|row| row.value.as_deref());
        for node in 0..NODES {
            let state = self.state(node);
            let over = matches!(state, MoveState::Completed | MoveState::TakenBack);
            let said = text.is_some_and(|text| text.contains(&format!("\"{state}\"")));
            self.result.breaches += u32::from(over && !said);
        }
    }

    fn weather(&mut self) {
        if !self.plan.hot {
            return;
        }
        let target = 0.47 * (self.elapsed() / self.plan.deadline).min(1.0);
        self.heat += (target - self.heat) * 0.002;
        if self.rng.random_bool(STEP_MICROS as f64 / 60e6) {
            self.heat = (self.heat + 0.1 * self.rng.random::<f64>()).min(0.6);
        }
        if self.rng.random_bool(STEP_MICROS as f64 / 200e6) {
            self.shared_trouble_until = self.now + 3_000_000;
        }
    }

    fn is_bad(&self, route: usize, share: u16) -> bool {
        match self.plan.onset {
            FaultOnset::Never => false,
            FaultOnset::AtOnce => true,
            FaultOnset::After(seconds) => self.elapsed() >= seconds,
            FaultOnset::UnderLoad(least) => share >= least,
            FaultOnset::OneRoute => route == 2,
        }
    }

    fn request(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let route = match self.rng.random_range(0..10) {
            0..6 => 0,
            6..9 => 1,
            _ => 2,
        };
        let share = self.share(node);
        let is_new = self.rng.random_range(0..1_000) < share;
        let bad = is_new && self.is_bad(route, share);
        self.result.requests += 1;
        self.result.met_new += u32::from(is_new);
        self.result.met_bad += u32::from(bad);
        if bad && self.bad_since.is_none() {
            self.bad_since = Some(self.now);
        }
        if let Some(stopped_at) = self.stopped_at.filter(|_| is_new) {
            self.result.spread = (self.now - stopped_at) as f64 / 1e6;
        }
        let sample = self.sample(route, is_new, bad);
        let length = -self.rng.random::<f64>().max(1e-9).ln();
        let delay = (1e6 * length) as u64;
        let event = Box::new(MoveEvent::Sampled(sample));
        self.later(delay, Pending::Node(node, event));
    }

    fn sample(&mut self, route: usize, is_new: bool, bad: bool) -> MoveSample {
        let trouble = self.now < self.shared_trouble_until;
        let plain = if trouble { 0.15 } else { 0.004 };
        let rate = if bad {
            self.plan.failure_rate.max(plain)
        } else {
            plain
        };
        let engine = self.rng.random_range(0..ENGINES) + if is_new { ENGINES } else { 0 };
        let slow = if bad { self.plan.slowdown.ln() } else { 0.0 };
        let of_route = [0.0, 0.3, -0.2][route];
        let noise = self.engine_noise[engine] + 0.25 * normal(&mut self.rng);
        let log = 30_000f64.ln() + of_route + self.heat + slow + noise;
        MoveSample {
            service: "map".parse().expect("a name"),
            route: format!("/route-{route}"),
            version: (if is_new { "v2" } else { "v1" }).parse().expect("a name"),
            failed: self.rng.random_bool(rate),
            micros: Some(log.exp() as u32),
        }
    }

    fn run_agenda(&mut self) {
        let later = self.agenda.split_off(&(self.now, 0));
        let due = std::mem::replace(&mut self.agenda, later);
        for pending in due.into_values() {
            match pending {
                Pending::Node(node, event) => self.step(node, *event),
                Pending::Execute(node, number, request) => {
                    let out = self.outage || self.cut_off.contains(&node);
                    let answer = if out {
                        TableAnswer::Unavailable
                    } else {
                        let answer = self.table.execute(&request);
                        let lost = self.lost > 0 && self.rng.random_range(0..100) < self.lost;
                        if lost { TableAnswer::Lost } else { answer }
                    };
                    let event = Box::new(MoveEvent::Table { number, answer });
                    self.later(4_000, Pending::Node(node, event));
                }
            }
        }
    }

    fn run_timers(&mut self) {
        let due = self.timers.iter().filter(|(_, at)| **at <= self.now);
        let due: Vec<_> = due.map(|(key, _)| *key).collect();
        for key in due {
            self.timers.remove(&key);
            let (node, number) = key;
            self.step(node, MoveEvent::TimerFired { number });
        }
    }

    fn later(&mut self, delay: u64, pending: Pending) {
        self.serial += 1;
        self.agenda.insert((self.now + delay, self.serial), pending);
    }

    fn step(&mut self, node: usize, event: MoveEvent) {
        let now = CoreTime {
            monotonic: MonotonicTime(self.now),
            wall: WallTime(START_WALL_MS + (self.now - START_MICROS) / 1_000),
        };
        let holds = node == self.holder && !self.cut_off.contains(&node);
        let lease = holds.then_some(LeaseGrant {
            fencing: FencingNumber(1 + self.holder as u64),
            gained_at: MonotonicTime(0),
            acts_until: now.monotonic + Duration::from_secs(1),
        });
        let mut effects = EffectQueue::new();
        let view = MoveView {
            config: &self.config,
            members: &self.members,
            lease,
        };
        self.nodes[node].step(now, event, view, &mut effects);
        let effects: Vec<_> = effects.drain().collect();
        for effect in effects {
            self.execute(node, effect);
        }
    }

    fn execute(&mut self, node: usize, effect: DaemonEffect) {
        match effect {
            DaemonEffect::CallTable { call, request } => {
                self.later(4_000, Pending::Execute(node, call.number, request));
            }
            DaemonEffect::SetTimer { key, at } => {
                self.timers.insert((node, key.number), at.0);
            }
            DaemonEffect::SendPeer { to, message, .. } => self.send(node, &to, message),
            DaemonEffect::InvariantViolated(breach) => {
                eprintln!("breach: {breach:?}");
                self.result.breaches += 1;
            }
            DaemonEffect::Log(line)
                if line.event == "move-stopped" && self.stopped_at.is_none() =>
            {
                self.stopped_at = Some(self.now);
                let since = self.bad_since.map(|since| (self.now - since) as f64 / 1e6);
                self.result.found_after = since;
            }
            _ => {}
        }
    }

    fn send(&mut self, node: usize, to: &HostName, message: PeerMessage) {
        let target = (0..NODES).find(|target| host(*target) == *to);
        let target = target.expect("a node's host");
        let cut = self.cut_off.contains(&node) != self.cut_off.contains(&target);
        let lost = self.rng.random_range(0..100) < self.plan.drop;
        let PeerMessage::Moves(message) = message else {
            return;
        };
        if !cut && !lost {
            let from = host(node);
            let event = Box::new(MoveEvent::Peer { from, message });
            let delay = self.rng.random_range(500..5_000);
            self.later(delay, Pending::Node(target, event));
        }
    }
}

fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    sum - 6.0
}

fn host(node: usize) -> HostName {
    format!("host-{node}").parse().expect("a name")
}

fn record() -> MemberRecord {
    MemberRecord {
        incarnation: HostIncarnation(1),
        state: MemberState::Alive,
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        caller_address: "127.0.0.1:2".parse().expect("an address"),
        zone: "a".parse().expect("a name"),
        region: "r".parse().expect("a name"),
        config_revision: ConfigRevision(3),
    }
}

fn config(plan: &LabPlan) -> ConfigView {
    let soak = plan.soak_seconds;
    let finish_by = WallTime(START_WALL_MS + (plan.deadline * 1_000.0) as u64);
    let texts = [
        r#"{"kind":"service","name":"map","spec":{"protocol":"model"},"revision":1}"#.to_owned(),
        r#"{"kind":"upstream","name":"u2","revision":2,"spec":{"address":"127.0.0.1:9",
            "service":"map","version":"v2","zone":"a"}}"#
            .to_owned(),
        format!(
            r#"{{"kind":"move","name":"m","revision":3,"spec":{{"service":"map","from":"v1",
            "to":"v2","finish_by":"{finish_by}","soak_seconds":{soak}}}}}"#
        ),
    ];
    let mut view = ConfigView::default();
    for text in texts {
        let document: ResourceDocument = serde_json::from_str(&text).expect("a resource");
        view.insert(document).expect("a name");
    }
    view
}
