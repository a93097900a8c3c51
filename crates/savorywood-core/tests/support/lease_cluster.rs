//! Several lease reducers around one fake table, each on a clock that runs at its own rate.

use crate::fake_table::FakeTable;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_core::{
    DaemonEffect, EffectQueue, MemberRecord, MemberView,
    leases::{LeaseEvent, LeaseName, LeaseOptions, LeaseState},
};
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostIncarnation, HostName, MonotonicTime, WallTime,
    peer::membership::MemberState,
    table::{TableAnswer, TableRequest},
};
use std::{collections::BTreeMap, time::Duration};

enum Pending {
    Node(usize, LeaseEvent),
    Land(TableRequest),
    Execute(usize, u64, TableRequest),
}

/// Something done under the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseAct {
    /// Who did it.
    pub node: usize,
    /// Under which fencing number.
    pub fencing: u64,
}

/// The reducers, their clocks, the table and what is on its way.
pub struct LeaseCluster {
    /// Everything that was done, in the order of real time.
    pub acts: Vec<LeaseAct>,
    /// Breaches reported by any node.
    pub breaches: Vec<String>,
    /// Faults of the table in percent of calls.
    pub faults: u32,
    nodes: Vec<LeaseState>,
    /// Rate of each clock in thousandths.
    rates: Vec<u64>,
    paused_until: Vec<u64>,
    table: FakeTable,
    agenda: BTreeMap<(u64, u64), Pending>,
    timers: BTreeMap<usize, u64>,
    members: MemberView,
    now: u64,
    serial: u64,
    rng: ChaCha8Rng,
}

impl LeaseCluster {
    /// So many nodes that all want the lease. Rates of clocks are in thousandths.
    pub fn new(rates: &[u64], seed: u64) -> Self {
        let mut members = MemberView::default();
        let options = rates.iter().enumerate().map(|(node, _)| {
            members.members.insert(host(node), record());
            LeaseOptions::new(host(node), HostIncarnation(1), seed ^ node as u64)
        });
        let nodes = options.map(LeaseState::new).collect();
        let mut cluster = Self {
            acts: Vec::new(),
            breaches: Vec::new(),
            faults: 0,
            nodes,
            rates: rates.to_vec(),
            paused_until: vec![0; rates.len()],
            table: FakeTable::default(),
            agenda: BTreeMap::new(),
            timers: BTreeMap::new(),
            members,
            now: 1,
            serial: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for node in 0..rates.len() {
            let event = LeaseEvent::Wanted {
                name: LeaseName::Moves,
                wanted: true,
            };
            cluster.later(0, Pending::Node(node, event));
        }
        cluster
    }

    /// Freezes a node.
    pub fn pause(&mut self, node: usize, duration: Duration) {
        self.paused_until[node] = self.now + duration.as_micros() as u64;
    }

    /// Which node may act now.
    pub fn holders(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|node| {
            self.nodes[*node]
                .grant(self.clock(*node), LeaseName::Moves)
                .is_some()
        })
        .collect()
    }

    /// A node leaves on purpose.
    pub fn leave(&mut self, node: usize) {
        self.step(node, LeaseEvent::Leaving);
    }

    /// Runs for a duration of real time. Every holder acts all the time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration.as_micros() as u64;
        while self.now < end {
            self.now += 20_000;
            // A node that was frozen may be in the middle of acting when it goes on: before any
            // timer or answer has told it how late it is.
            for node in 0..self.nodes.len() {
                self.act(node);
            }
            self.run_agenda();
            self.run_timers();
        }
    }

    fn run_agenda(&mut self) {
        let later = self.agenda.split_off(&(self.now, 0));
        let due = std::mem::replace(&mut self.agenda, later);
        for pending in due.into_values() {
            match pending {
                Pending::Node(node, event) if self.is_paused(node) => {
                    let wait = self.paused_until[node] - self.now + 1;
                    self.later(wait, Pending::Node(node, event));
                }
                Pending::Node(node, event) => self.step(node, event),
                Pending::Land(request) => {
                    self.table.execute(&request);
                }
                Pending::Execute(node, number, request) => self.execute(node, number, request),
            }
        }
    }

    fn run_timers(&mut self) {
        for node in 0..self.nodes.len() {
            let at = self.timers.get(&node).copied();
            let due = at.is_some_and(|at| at <= self.clock(node).monotonic.0);
            if due && !self.is_paused(node) {
                self.timers.remove(&node);
                let number = LeaseName::Moves as u64;
                self.step(node, LeaseEvent::TimerFired { number });
            }
        }
    }

    fn act(&mut self, node: usize) {
        if self.is_paused(node) {
            return;
        }
        if let Some(grant) = self.nodes[node].grant(self.clock(node), LeaseName::Moves) {
            let fencing = grant.fencing.0;
            self.acts.push(LeaseAct { node, fencing });
        }
    }

    fn is_paused(&self, node: usize) -> bool {
        self.now < self.paused_until[node]
    }

    fn clock(&self, node: usize) -> CoreTime {
        let offset = 1_000_000_000 * (node as u64 + 1);
        CoreTime {
            monotonic: MonotonicTime(offset + self.now * self.rates[node] / 1_000),
            wall: WallTime(0),
        }
    }

    fn later(&mut self, delay: u64, pending: Pending) {
        self.serial += 1;
        self.agenda.insert((self.now + delay, self.serial), pending);
    }

    fn execute(&mut self, node: usize, number: u64, request: TableRequest) {
        let dice = self.rng.random_range(0..100);
        let answer = if dice >= self.faults {
            self.table.execute(&request)
        } else {
            match dice % 4 {
                0 => {
                    self.table.execute(&request);
                    TableAnswer::Lost
                }
                1 => TableAnswer::Lost,
                2 => {
                    let landing = self.rng.random_range(0..8_000_000);
                    self.later(landing, Pending::Land(request));
                    TableAnswer::Lost
                }
                _ => TableAnswer::Unavailable,
            }
        };
        let slow = self.rng.random_range(0..100) < self.faults;
        let delay = self
            .rng
            .random_range(500..if slow { 4_000_000 } else { 20_000 });
        self.later(
            delay,
            Pending::Node(node, LeaseEvent::Table { number, answer }),
        );
    }

    fn step(&mut self, node: usize, event: LeaseEvent) {
        let mut effects = EffectQueue::new();
        let now = self.clock(node);
        self.nodes[node].step(now, event, &self.members, &mut effects);
        let effects: Vec<_> = effects.drain().collect();
        for effect in effects {
            match effect {
                DaemonEffect::CallTable { call, request } => {
                    let delay = self.rng.random_range(500..20_000);
                    self.later(delay, Pending::Execute(node, call.number, request));
                }
                DaemonEffect::SetTimer { at, .. } => {
                    self.timers.insert(node, at.0);
                }
                DaemonEffect::InvariantViolated(breach) => self.breaches.push(breach.detail),
                _ => {}
            }
        }
    }
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
        config_revision: ConfigRevision(0),
    }
}
