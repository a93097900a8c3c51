//! Simulates several configuration reducers over one in-memory table in one thread, with faults.

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
    table::{TableRequest, TableResponse},
};
use std::{collections::BTreeMap, time::Duration};

/// Added to the mark that a written service carries as its deadline, since a deadline of zero is
/// refused.
const FIRST_DEADLINE_MS: u32 = 60_000;

/// Percentages of faulty table calls and dropped peer messages, each from 0 to 100.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultRates {
    /// The table executes the call, but its response is lost.
    pub lost_responses: u32,
    /// The call is lost before the table executes it.
    pub lost_requests: u32,
    /// The response is reported as lost, and the table executes the call up to 3 s later.
    pub late_writes: u32,
    /// The table reports itself as unavailable.
    pub refused_calls: u32,
    /// Percentage of peer messages that are dropped.
    pub dropped_messages: u32,
}

/// An event that is scheduled for a later time.
enum Pending {
    /// An event for a node.
    NodeEvent(usize, ConfigEvent),
    /// A table call whose response was reported as lost already.
    LateWrite(TableRequest),
    /// A table call of a node, with its number.
    TableCall(usize, u64, TableRequest),
}

/// A call of an operator and the reply that it got.
#[derive(Debug)]
pub struct OperatorRecord {
    /// Unique number that the written service carries in its deadline.
    pub mark: u32,
    /// Reply; `None` until it arrives.
    pub reply: Option<OperatorReply>,
}

/// The reducers, their table, and the events scheduled between them.
pub struct ConfigCluster {
    /// Table that all nodes share.
    pub table: FakeTable,
    /// Reducers by node number.
    pub nodes: Vec<ConfigState>,
    /// Current rates of faults.
    pub fault_rates: FaultRates,
    /// Whether the table refuses every call.
    pub outage: bool,
    /// Nodes that reach neither the table nor the nodes outside this list.
    pub cut_off: Vec<usize>,
    /// Operator calls by call number.
    pub operators: BTreeMap<u64, OperatorRecord>,
    /// Details of invariant breaches reported by any node.
    pub breaches: Vec<String>,
    /// Number of table calls, including those refused during an outage.
    pub table_calls: usize,
    incarnations: Vec<u64>,
    revisions: Vec<ConfigRevision>,
    /// Pending events by time in microseconds and by order of scheduling.
    scheduled: BTreeMap<(u64, u64), Pending>,
    /// Times in microseconds at which timers fire, by node and timer number.
    timers: BTreeMap<(usize, u64), u64>,
    /// Simulated time in microseconds.
    now: u64,
    last_sequence: u64,
    rng: ChaCha8Rng,
}

const START_WALL_MS: u64 = 1_800_000_000_000;

impl ConfigCluster {
    /// Creates a cluster whose nodes all start at the current time.
    pub fn new(nodes: usize, seed: u64, fault_rates: FaultRates) -> Self {
        let mut cluster = Self {
            table: FakeTable::default(),
            nodes: Vec::new(),
            fault_rates,
            outage: false,
            cut_off: Vec::new(),
            operators: BTreeMap::new(),
            breaches: Vec::new(),
            table_calls: 0,
            incarnations: vec![0; nodes],
            revisions: vec![ConfigRevision::default(); nodes],
            scheduled: BTreeMap::new(),
            timers: BTreeMap::new(),
            now: 1,
            last_sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for node in 0..nodes {
            let options = cluster.options(node);
            cluster.nodes.push(ConfigState::new(options));
            cluster.schedule(0, Pending::NodeEvent(node, ConfigEvent::Started));
        }
        cluster
    }

    fn options(&mut self, node: usize) -> ConfigOptions {
        ConfigOptions::new(host(node), self.rng.random())
    }

    /// Replaces a node by a new incarnation with empty state, and discards its pending events,
    /// calls and timers.
    pub fn restart(&mut self, node: usize) {
        self.incarnations[node] += 1;
        self.scheduled.retain(|_, pending| match pending {
            Pending::NodeEvent(to, _) => *to != node,
            Pending::TableCall(from, ..) => *from != node,
            Pending::LateWrite(_) => true,
        });
        self.timers.retain(|(of, _), _| *of != node);
        let options = self.options(node);
        self.nodes[node] = ConfigState::new(options);
        self.revisions[node] = ConfigRevision::default();
        self.schedule(0, Pending::NodeEvent(node, ConfigEvent::Started));
    }

    /// Returns the time, which is the same on all nodes.
    pub fn now(&self) -> CoreTime {
        CoreTime {
            monotonic: MonotonicTime(self.now),
            wall: WallTime(START_WALL_MS + self.now / 1_000),
        }
    }

    /// Schedules an operator's write of a service through a node; returns the number of the call.
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
        self.schedule(0, Pending::NodeEvent(node, event));
        number
    }

    /// Runs for a duration of simulated time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration.as_micros() as u64;
        loop {
            let timer = self.timers.iter().map(|(key, at)| (*at, *key)).min();
            let next = self.scheduled.keys().next().copied();
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
                    if let Some(pending) = self.scheduled.remove(&key) {
                        self.process(pending);
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

    /// Delivers a peer's snapshot to a node at once, whatever its revision.
    pub fn deliver_snapshot(&mut self, node: usize, from: usize, snapshot: Option<ConfigSnapshot>) {
        let from = host(from);
        let snapshot = snapshot.map(Box::new);
        self.step(node, ConfigEvent::SnapshotFetched { from, snapshot });
    }

    /// Returns the revision in force at each node.
    pub fn in_force(&self) -> Vec<ConfigRevision> {
        self.nodes.iter().map(|node| node.view().revision).collect()
    }

    /// Returns the marks of all committed changes in commit order.
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

    /// Returns the members as a node sees them: the nodes that it can't reach are dead.
    pub fn members_of(&self, node: usize) -> MemberView {
        let mut view = MemberView::default();
        for (other, revision) in self.revisions.iter().enumerate() {
            let is_reachable =
                other == node || self.cut_off.contains(&other) == self.cut_off.contains(&node);
            let state = if is_reachable {
                MemberState::Alive
            } else {
                MemberState::Dead
            };
            view.members.insert(
                host(other),
                member_record(self.incarnations[other], state, *revision),
            );
        }
        view
    }

    fn schedule(&mut self, delay: u64, pending: Pending) {
        self.last_sequence += 1;
        self.scheduled
            .insert((self.now + delay, self.last_sequence), pending);
    }

    fn process(&mut self, pending: Pending) {
        match pending {
            Pending::NodeEvent(node, event) => self.step(node, event),
            Pending::LateWrite(request) => {
                self.table.execute(&request);
            }
            Pending::TableCall(node, number, request) => self.execute(node, number, request),
        }
    }

    fn execute(&mut self, node: usize, number: u64, request: TableRequest) {
        self.table_calls += 1;
        let roll = self.rng.random_range(0..100);
        let delay = self.rng.random_range(500..20_000);
        let fault_rates = self.fault_rates;
        let response_bound = fault_rates.lost_responses;
        let request_bound = response_bound + fault_rates.lost_requests;
        let late_bound = request_bound + fault_rates.late_writes;
        let refused_bound = late_bound + fault_rates.refused_calls;
        let answer = if self.outage || self.cut_off.contains(&node) {
            TableResponse::Unavailable
        } else if roll < response_bound {
            self.table.execute(&request);
            TableResponse::Lost
        } else if roll < request_bound {
            TableResponse::Lost
        } else if roll < late_bound {
            let extra_delay = self.rng.random_range(0..3_000_000);
            self.schedule(extra_delay, Pending::LateWrite(request));
            TableResponse::Lost
        } else if roll < refused_bound {
            TableResponse::Unavailable
        } else {
            self.table.execute(&request)
        };
        self.schedule(
            delay,
            Pending::NodeEvent(node, ConfigEvent::Table { number, answer }),
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
                self.schedule(delay, Pending::TableCall(node, call.number, request));
            }
            DaemonEffect::SetTimer { key, at } => {
                self.timers.insert((node, key.number), at.0);
            }
            DaemonEffect::SendPeer { to, message, .. } => self.send(node, &to, message, delay),
            DaemonEffect::FetchSnapshot { from, .. } => {
                let source = node_of(&from);
                let is_reachable = self.cut_off.contains(&source) == self.cut_off.contains(&node);
                let snapshot = self.nodes[source]
                    .snapshot()
                    .filter(|_| is_reachable)
                    .map(Box::new);
                let event = ConfigEvent::SnapshotFetched { from, snapshot };
                self.schedule(delay, Pending::NodeEvent(node, event));
            }
            DaemonEffect::ReplyOperator { call, reply } => {
                let operator = self.operators.get_mut(&call.0).expect("a known call");
                assert!(operator.reply.is_none(), "an operator call got two replies");
                operator.reply = Some(*reply);
            }
            DaemonEffect::InvariantViolated(breach) => self.breaches.push(breach.detail),
            _ => {}
        }
    }

    fn send(&mut self, node: usize, to: &HostName, message: PeerMessage, delay: u64) {
        let target = node_of(to);
        let is_reachable = self.cut_off.contains(&target) == self.cut_off.contains(&node);
        let is_dropped = self.rng.random_range(0..100) < self.fault_rates.dropped_messages;
        let PeerMessage::Config(message) = message else {
            return;
        };
        if is_reachable && !is_dropped {
            let from = host(node);
            let event = ConfigEvent::Peer { from, message };
            self.schedule(delay, Pending::NodeEvent(target, event));
        }
    }
}

/// Returns the host name of a node.
pub fn host(node: usize) -> HostName {
    format!("host-{node}").parse().expect("a name")
}

fn node_of(host: &HostName) -> usize {
    let digits = host.as_str().trim_start_matches("host-");
    digits.parse().expect("a node's host")
}

fn member_record(
    incarnation: u64,
    state: MemberState,
    config_revision: ConfigRevision,
) -> MemberRecord {
    MemberRecord {
        incarnation: HostIncarnation(incarnation),
        state,
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        caller_address: "127.0.0.1:2".parse().expect("an address"),
        zone: "a".parse().expect("a name"),
        region: "r".parse().expect("a name"),
        config_revision,
    }
}

/// Returns a service whose deadline carries `mark`. It refers to no other resource, so that only
/// the race decides whether it is accepted.
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
