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
    NodeEvent(usize, LeaseEvent),
    LateWrite(TableRequest),
    TableCall(usize, u64, TableRequest),
}

/// Something done under the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseAction {
    /// Who did it.
    pub node: usize,
    /// Under which fencing number.
    pub fencing: u64,
}

/// The reducers, their clocks, the table and what is on its way.
pub struct LeaseCluster {
    /// Everything that was done, in the order of real time.
    pub actions: Vec<LeaseAction>,
    /// Breaches reported by any node.
    pub breaches: Vec<String>,
    /// Faults of the table in percent of calls.
    pub fault_percent: u32,
    nodes: Vec<LeaseState>,
    /// Rate of each clock in thousandths.
    clock_rates: Vec<u64>,
    paused_until: Vec<u64>,
    table: FakeTable,
    scheduled: BTreeMap<(u64, u64), Pending>,
    timers: BTreeMap<usize, u64>,
    members: MemberView,
    now: u64,
    last_sequence: u64,
    rng: ChaCha8Rng,
}

impl LeaseCluster {
    /// So many nodes that all want the lease. Rates of clocks are in thousandths.
    pub fn new(clock_rates: &[u64], seed: u64) -> Self {
        let mut members = MemberView::default();
        let options = clock_rates.iter().enumerate().map(|(node, _)| {
            members.members.insert(host(node), member_record());
            LeaseOptions::new(host(node), HostIncarnation(1), seed ^ node as u64)
        });
        let nodes = options.map(LeaseState::new).collect();
        let mut cluster = Self {
            actions: Vec::new(),
            breaches: Vec::new(),
            fault_percent: 0,
            nodes,
            clock_rates: clock_rates.to_vec(),
            paused_until: vec![0; clock_rates.len()],
            table: FakeTable::default(),
            scheduled: BTreeMap::new(),
            timers: BTreeMap::new(),
            members,
            now: 1,
            last_sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for node in 0..clock_rates.len() {
            let event = LeaseEvent::Wanted {
                name: LeaseName::Moves,
                wanted: true,
            };
            cluster.schedule(0, Pending::NodeEvent(node, event));
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
                self.record_action(node);
            }
            self.run_scheduled();
            self.run_timers();
        }
    }

    fn run_scheduled(&mut self) {
        let future = self.scheduled.split_off(&(self.now, 0));
        let due = std::mem::replace(&mut self.scheduled, future);
        for pending in due.into_values() {
            match pending {
                Pending::NodeEvent(node, event) if self.is_paused(node) => {
                    let wait = self.paused_until[node] - self.now + 1;
                    self.schedule(wait, Pending::NodeEvent(node, event));
                }
                Pending::NodeEvent(node, event) => self.step(node, event),
                Pending::LateWrite(request) => {
                    self.table.execute(&request);
                }
                Pending::TableCall(node, number, request) => self.execute(node, number, request),
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

    fn record_action(&mut self, node: usize) {
        if self.is_paused(node) {
            return;
        }
        if let Some(grant) = self.nodes[node].grant(self.clock(node), LeaseName::Moves) {
            let fencing = grant.fencing.0;
            self.actions.push(LeaseAction { node, fencing });
        }
    }

    fn is_paused(&self, node: usize) -> bool {
        self.now < self.paused_until[node]
    }

    fn clock(&self, node: usize) -> CoreTime {
        let offset = 1_000_000_000 * (node as u64 + 1);
        CoreTime {
            monotonic: MonotonicTime(offset + self.now * self.clock_rates[node] / 1_000),
            wall: WallTime(0),
        }
    }

    fn schedule(&mut self, delay: u64, pending: Pending) {
        self.last_sequence += 1;
        self.scheduled
            .insert((self.now + delay, self.last_sequence), pending);
    }

    fn execute(&mut self, node: usize, number: u64, request: TableRequest) {
        let roll = self.rng.random_range(0..100);
        let answer = if roll >= self.fault_percent {
            self.table.execute(&request)
        } else {
            match roll % 4 {
                0 => {
                    self.table.execute(&request);
                    TableAnswer::Lost
                }
                1 => TableAnswer::Lost,
                2 => {
                    let extra_delay = self.rng.random_range(0..8_000_000);
                    self.schedule(extra_delay, Pending::LateWrite(request));
                    TableAnswer::Lost
                }
                _ => TableAnswer::Unavailable,
            }
        };
        let slow = self.rng.random_range(0..100) < self.fault_percent;
        let delay = self
            .rng
            .random_range(500..if slow { 4_000_000 } else { 20_000 });
        self.schedule(
            delay,
            Pending::NodeEvent(node, LeaseEvent::Table { number, answer }),
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
                    self.schedule(delay, Pending::TableCall(node, call.number, request));
                }
                DaemonEffect::SetTimer { at, .. } => {
                    self.timers.insert(node, at.0);
                }
                DaemonEffect::Breach(breach) => self.breaches.push(breach.detail),
                _ => {}
            }
        }
    }
}

fn host(node: usize) -> HostName {
    format!("host-{node}").parse().expect("a name")
}

fn member_record() -> MemberRecord {
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
