//! Simulates several lease reducers over one in-memory table, each on a clock that runs at its own
//! rate.

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
    table::{TableRequest, TableResponse},
};
use std::{collections::BTreeMap, time::Duration};

/// An event that is scheduled for a later time.
enum Pending {
    /// An event for a node.
    NodeEvent(usize, LeaseEvent),
    /// A table call whose response was reported as lost already.
    LateWrite(TableRequest),
    /// A table call of a node, with its number.
    TableCall(usize, u64, TableRequest),
}

/// An action taken while holding the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseAction {
    /// Node that acted.
    pub node: usize,
    /// Fencing number of the grant that it held.
    pub fencing: u64,
}

/// The reducers, their clocks, their table and the scheduled events.
pub struct LeaseCluster {
    /// Actions under the lease, in the order of real time.
    pub actions: Vec<LeaseAction>,
    /// Details of invariant breaches reported by any node.
    pub breaches: Vec<String>,
    /// Percentage of table calls that fail, and of responses that are delayed by up to 4 s.
    pub fault_percent: u32,
    nodes: Vec<LeaseState>,
    /// Rate of each node's clock, in thousandths of real time.
    clock_rates: Vec<u64>,
    /// Real time in microseconds until which each node is paused.
    paused_until: Vec<u64>,
    table: FakeTable,
    /// Pending events by real time in microseconds and by order of scheduling.
    scheduled: BTreeMap<(u64, u64), Pending>,
    /// Time in microseconds at which each node's timer fires, by the node's own clock.
    timers: BTreeMap<usize, u64>,
    members: MemberView,
    /// Real time in microseconds.
    now: u64,
    last_sequence: u64,
    rng: ChaCha8Rng,
}

impl LeaseCluster {
    /// Creates a cluster whose nodes all request the lease. `clock_rates` are in thousandths of
    /// real time.
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
            let event = LeaseEvent::DemandChanged {
                name: LeaseName::Moves,
                needed: true,
            };
            cluster.schedule(0, Pending::NodeEvent(node, event));
        }
        cluster
    }

    /// Pauses a node: until the duration has passed it handles no event and fires no timer.
    pub fn pause(&mut self, node: usize, duration: Duration) {
        self.paused_until[node] = self.now + duration.as_micros() as u64;
    }

    /// Returns the nodes that may act under the lease now, by their own clocks.
    pub fn holders(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|node| {
            self.nodes[*node]
                .grant(self.clock(*node), LeaseName::Moves)
                .is_some()
        })
        .collect()
    }

    /// Starts a planned stop of a node's daemon.
    pub fn leave(&mut self, node: usize) {
        self.step(node, LeaseEvent::Leaving);
    }

    /// Runs for a duration of real time in steps of 20 ms. Every holder acts in every step.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration.as_micros() as u64;
        while self.now < end {
            self.now += 20_000;
            // Holders act before timers and events are handled, since a resumed node may be in the
            // middle of an action and has not yet handled an event that shows how late it is.
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
                    TableResponse::Lost
                }
                1 => TableResponse::Lost,
                2 => {
                    let extra_delay = self.rng.random_range(0..8_000_000);
                    self.schedule(extra_delay, Pending::LateWrite(request));
                    TableResponse::Lost
                }
                _ => TableResponse::Unavailable,
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
                DaemonEffect::InvariantViolated(breach) => self.breaches.push(breach.detail),
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
