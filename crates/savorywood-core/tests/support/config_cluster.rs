//! Several configuration reducers in one thread around one fake table, with faults.

use crate::fake_table::FakeTable;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_core::{
    ConfigSnapshot, DaemonEffect, EffectQueue, MemberRecord, MemberView, OperatorCallId,
    OperatorReply, OperatorRequest,
    config::{ConfigEvent, ConfigOptions, ConfigState},
};
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostIncarnation, HostName, MonotonicTime, WallTime,
    peer::{PeerMessage, membership::MemberState},
    resource::{
        ClaimRetention, ResourceDocument, ResourceSpec, ServiceObjectives, ServiceProtocol,
        ServiceSpec,
    },
    table::{TableAnswer, TableRequest},
};
use std::{collections::BTreeMap, time::Duration};

/// Deadlines of written services begin above this, since a deadline of zero is refused.
const FIRST_DEADLINE_MS: u32 = 60_000;

/// Chances of faults, in percent of table calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultChances {
    /// The answer is lost after the call took effect.
    pub lost_after: u32,
    /// The call is lost before it took effect.
    pub lost_before: u32,
    /// The caller is told that the answer was lost, and the call takes effect later.
    pub lands_late: u32,
    /// The call is refused.
    pub unavailable: u32,
    /// A peer message is dropped.
    pub drop: u32,
}

enum Pending {
    Node(usize, ConfigEvent),
    Land(TableRequest),
    Execute(usize, u64, TableRequest),
}

/// An operator's call and what it was told.
#[derive(Debug)]
pub struct OperatorRecord {
    /// Mark that the written service carries: tells each change from all others.
    pub mark: u32,
    /// Answer; `None` while there is none.
    pub reply: Option<OperatorReply>,
}

/// The reducers, the table and what is on its way between them.
pub struct ConfigCluster {
    /// The table.
    pub table: FakeTable,
    /// The reducers.
    pub nodes: Vec<ConfigState>,
    /// Chances of faults.
    pub chances: FaultChances,
    /// The table refuses everything.
    pub outage: bool,
    /// Nodes that neither peers nor the table reach.
    pub cut_off: Vec<usize>,
    /// Calls of operators by number.
    pub operators: BTreeMap<u64, OperatorRecord>,
    /// Breaches reported by any node.
    pub breaches: Vec<String>,
    /// Calls that reached the table.
    pub table_calls: usize,
    lives: Vec<u64>,
    revisions: Vec<ConfigRevision>,
    agenda: BTreeMap<(u64, u64), Pending>,
    timers: BTreeMap<(usize, u64), u64>,
    now: u64,
    serial: u64,
    rng: ChaCha8Rng,
}

const START_WALL_MS: u64 = 1_800_000_000_000;

impl ConfigCluster {
    /// So many nodes that have all begun.
    pub fn new(nodes: usize, seed: u64, chances: FaultChances) -> Self {
        let mut cluster = Self {
            table: FakeTable::default(),
            nodes: Vec::new(),
            chances,
            outage: false,
            cut_off: Vec::new(),
            operators: BTreeMap::new(),
            breaches: Vec::new(),
            table_calls: 0,
            lives: vec![0; nodes],
            revisions: vec![ConfigRevision::default(); nodes],
            agenda: BTreeMap::new(),
            timers: BTreeMap::new(),
            now: 1,
            serial: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for node in 0..nodes {
            let options = cluster.options(node);
            cluster.nodes.push(ConfigState::new(options));
            cluster.later(0, Pending::Node(node, ConfigEvent::Started));
        }
        cluster
    }

    fn options(&mut self, node: usize) -> ConfigOptions {
        ConfigOptions::new(host(node), self.rng.random())
    }

    /// Replaces a node by a new life that knows nothing.
    pub fn restart(&mut self, node: usize) {
        self.lives[node] += 1;
        self.agenda.retain(|_, pending| match pending {
            Pending::Node(to, _) => *to != node,
            Pending::Execute(from, ..) => *from != node,
            Pending::Land(_) => true,
        });
        self.timers.retain(|(of, _), _| *of != node);
        let options = self.options(node);
        self.nodes[node] = ConfigState::new(options);
        self.revisions[node] = ConfigRevision::default();
        self.later(0, Pending::Node(node, ConfigEvent::Started));
    }

    /// The time on all clocks.
    pub fn now(&self) -> CoreTime {
        CoreTime {
            monotonic: MonotonicTime(self.now),
            wall: WallTime(START_WALL_MS + self.now / 1_000),
        }
    }

    /// An operator writes a service through a node.
    pub fn write_service(
        &mut self,
        node: usize,
        service: &str,
        expected: Option<ConfigRevision>,
    ) -> u64 {
        let number = self.operators.len() as u64;
        let mark = number as u32 + 1;
        let document = service_document(service, mark);
        let request = OperatorRequest::Apply { document, expected };
        let event = ConfigEvent::Operator {
            call: OperatorCallId(number),
            request: Box::new(request),
        };
        let reply = None;
        self.operators
            .insert(number, OperatorRecord { mark, reply });
        self.later(0, Pending::Node(node, event));
        number
    }

    /// Runs until a duration has passed.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration.as_micros() as u64;
        loop {
            let timer = self.timers.iter().map(|(key, at)| (*at, *key)).min();
            let next = self.agenda.keys().next().copied();
            let at = [timer.map(|(at, _)| at), next.map(|(at, _)| at)];
            match at.into_iter().flatten().min() {
                Some(at) if at <= end => self.now = self.now.max(at),
                _ => break,
            }
            match (timer, next) {
                (Some((at, key)), _) if at <= self.now => {
                    self.timers.remove(&key);
                    let (node, number) = key;
                    self.step(node, ConfigEvent::TimerFired { number });
                }
                (_, Some(key)) => {
                    if let Some(pending) = self.agenda.remove(&key) {
                        self.happen(pending);
                    }
                }
                _ => break,
            }
        }
        self.now = end;
        for node in 0..self.nodes.len() {
            self.step(node, ConfigEvent::MembersChanged);
        }
    }

    /// A peer's snapshot comes in, however old.
    pub fn deliver_snapshot(&mut self, node: usize, from: usize, snapshot: Option<ConfigSnapshot>) {
        let from = host(from);
        let snapshot = snapshot.map(Box::new);
        self.step(node, ConfigEvent::SnapshotFetched { from, snapshot });
    }

    /// Revisions in force, by node.
    pub fn in_force(&self) -> Vec<ConfigRevision> {
        self.nodes.iter().map(|node| node.view().revision).collect()
    }

    /// Marks of all changes that took effect, in order.
    pub fn committed_marks(&self) -> Vec<u32> {
        let commits = self.table.history.iter();
        let values = commits.flat_map(|commit| commit.writes.iter());
        let rows = values.filter(|write| write.key.starts_with("config/service/"));
        let texts = rows.filter_map(|write| write.value.as_deref());
        let marks = texts.filter_map(|text| {
            let value: serde_json::Value = serde_json::from_str(text).ok()?;
            value["document"]["spec"]["objectives"]["deadline_ms"].as_u64()
        });
        marks.map(|mark| mark as u32 - FIRST_DEADLINE_MS).collect()
    }

    /// Members as a node sees them: those that it is cut off from are dead.
    pub fn members_of(&self, node: usize) -> MemberView {
        let mut view = MemberView::default();
        for (other, revision) in self.revisions.iter().enumerate() {
            let reached =
                other == node || self.cut_off.contains(&other) == self.cut_off.contains(&node);
            let state = if reached {
                MemberState::Alive
            } else {
                MemberState::Dead
            };
            view.members
                .insert(host(other), record(self.lives[other], state, *revision));
        }
        view
    }

    fn later(&mut self, delay: u64, pending: Pending) {
        self.serial += 1;
        self.agenda.insert((self.now + delay, self.serial), pending);
    }

    fn happen(&mut self, pending: Pending) {
        match pending {
            Pending::Node(node, event) => self.step(node, event),
            Pending::Land(request) => {
                self.table.execute(&request);
            }
            Pending::Execute(node, number, request) => self.execute(node, number, request),
        }
    }

    fn execute(&mut self, node: usize, number: u64, request: TableRequest) {
        self.table_calls += 1;
        let dice = self.rng.random_range(0..100);
        let delay = self.rng.random_range(500..20_000);
        let chances = self.chances;
        let after = chances.lost_after;
        let before = after + chances.lost_before;
        let late = before + chances.lands_late;
        let refused = late + chances.unavailable;
        let answer = if self.outage || self.cut_off.contains(&node) {
            TableAnswer::Unavailable
        } else if dice < after {
            self.table.execute(&request);
            TableAnswer::Lost
        } else if dice < before {
            TableAnswer::Lost
        } else if dice < late {
            let landing = self.rng.random_range(0..3_000_000);
            self.later(landing, Pending::Land(request));
            TableAnswer::Lost
        } else if dice < refused {
            TableAnswer::Unavailable
        } else {
            self.table.execute(&request)
        };
        self.later(
            delay,
            Pending::Node(node, ConfigEvent::Table { number, answer }),
        );
    }

    fn step(&mut self, node: usize, event: ConfigEvent) {
        let mut effects = EffectQueue::new();
        let members = self.members_of(node);
        let now = self.now();
        self.nodes[node].step(now, event, &members, &mut effects);
        self.revisions[node] = self.nodes[node].view().revision;
        let effects: Vec<_> = effects.drain().collect();
        for effect in effects {
            self.execute_effect(node, effect);
        }
    }

    fn execute_effect(&mut self, node: usize, effect: DaemonEffect) {
        let delay = self.rng.random_range(200..5_000);
        match effect {
            DaemonEffect::CallTable { call, request } => {
                self.later(delay, Pending::Execute(node, call.number, request));
            }
            DaemonEffect::SetTimer { key, at } => {
                self.timers.insert((node, key.number), at.0);
            }
            DaemonEffect::SendPeer { to, message, .. } => self.send(node, &to, message, delay),
            DaemonEffect::FetchSnapshot { from, .. } => {
                let source = number_of(&from);
                let reached = self.cut_off.contains(&source) == self.cut_off.contains(&node);
                let snapshot = self.nodes[source]
                    .snapshot()
                    .filter(|_| reached)
                    .map(Box::new);
                let event = ConfigEvent::SnapshotFetched { from, snapshot };
                self.later(delay, Pending::Node(node, event));
            }
            DaemonEffect::ReplyOperator { call, reply } => {
                let record = self.operators.get_mut(&call.0).expect("a known call");
                assert!(record.reply.is_none(), "an operator was answered twice");
                record.reply = Some(*reply);
            }
            DaemonEffect::InvariantViolated(breach) => self.breaches.push(breach.detail),
            _ => {}
        }
    }

    fn send(&mut self, node: usize, to: &HostName, message: PeerMessage, delay: u64) {
        let target = number_of(to);
        let reached = self.cut_off.contains(&target) == self.cut_off.contains(&node);
        let dropped = self.rng.random_range(0..100) < self.chances.drop;
        let PeerMessage::Config(message) = message else {
            return;
        };
        if reached && !dropped {
            let from = host(node);
            let event = ConfigEvent::Peer { from, message };
            self.later(delay, Pending::Node(target, event));
        }
    }
}

/// Name of a node's host.
pub fn host(node: usize) -> HostName {
    format!("host-{node}").parse().expect("a name")
}

fn number_of(host: &HostName) -> usize {
    let digits = host.as_str().trim_start_matches("host-");
    digits.parse().expect("a node's host")
}

fn record(life: u64, state: MemberState, config_revision: ConfigRevision) -> MemberRecord {
    MemberRecord {
        incarnation: HostIncarnation(life),
        state,
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        caller_address: "127.0.0.1:2".parse().expect("an address"),
        zone: "a".parse().expect("a name"),
        region: "r".parse().expect("a name"),
        config_revision,
    }
}

/// A service whose deadline carries `mark`. It names no other resource, so that nothing but the
/// race itself decides whether it is accepted.
pub fn service_document(name: &str, mark: u32) -> ResourceDocument {
    ResourceDocument {
        name: name.into(),
        spec: ResourceSpec::Service(ServiceSpec {
            protocol: ServiceProtocol::Plain,
            objectives: ServiceObjectives {
                deadline_ms: FIRST_DEADLINE_MS + mark,
                ..ServiceObjectives::default()
            },
            routes: Vec::new(),
            claims: ClaimRetention::default(),
            version: None,
        }),
        revision: None,
        status: None,
    }
}
