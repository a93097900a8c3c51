//! A cluster whose upstreams crash whenever they run one particular request.
#![allow(dead_code, reason = "each test file uses a part of the environment")]

use crate::{
    cluster::DaemonCluster,
    harness::{arrival, upstream},
};
use savorywood_gateway::{
    AttemptOutcome, DispatchOrder, GatewayEffect, GatewayEvent, LocalRequest, QuarantineRow,
    QuarantineWrite, RefusalReason, RequestArrival, RequestFingerprint, ResponseMetadata,
    StoredCrash, UpstreamEntry, UpstreamLabel,
};
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time within which connected daemons must have received a crash record.
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(3);
/// Most dispatches of the crashing request after `PROPAGATION_BOUND` has passed since the third
/// crash.
pub const MAX_LATE_DISPATCHES: usize = 3;
/// Time after which a crashed upstream is replaced.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(3);
/// Time between two gossip rounds.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Slots of each upstream.
const SLOTS: u32 = 1_000;
/// Path of the request that crashes upstreams.
pub const CRASHING_PATH: &str = "/stream/crashing";

/// What a request does to the upstream that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    Crashing,
    Harmless,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    Served,
    Refused(RefusalReason),
}

/// A request, with the daemon that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId {
    pub daemon: usize,
    pub request: LocalRequest,
}

/// A harmless request that runs at an upstream.
#[derive(Debug, Clone)]
struct RunningRequest {
    id: RequestId,
    upstream: UpstreamLabel,
}

/// An upstream that is due to be replaced.
#[derive(Debug, Clone)]
struct CrashedUpstream {
    upstream: UpstreamLabel,
    at: MonotonicTime,
}

/// Daemons, their upstreams and the results of requests.
pub struct CrashEnvironment {
    pub cluster: DaemonCluster,
    live_upstreams: BTreeSet<UpstreamLabel>,
    /// Number of the next replacement.
    next_upstream: u16,
    crashed: Vec<CrashedUpstream>,
    running: Vec<RunningRequest>,
    kinds: BTreeMap<RequestId, RequestKind>,
    pub ends: BTreeMap<RequestId, RequestEnd>,
    /// Times at which upstreams crashed under the crashing request.
    pub crashes: Vec<MonotonicTime>,
    /// Times at which the crashing request was dispatched.
    pub dispatches: Vec<MonotonicTime>,
    /// Dispatches of each crashing request.
    dispatch_counts: BTreeMap<RequestId, usize>,
    /// Quarantine rows of the store.
    pub rows: BTreeMap<RequestFingerprint, Vec<StoredCrash>>,
    /// Writes of quarantine rows so far, removals and failed ones included.
    pub writes: usize,
    /// Whether writes to the store succeed.
    pub store_accepts_writes: bool,
}

impl CrashEnvironment {
    pub fn new(daemons: usize) -> Self {
        let numbers = 1..=8;
        Self {
            cluster: DaemonCluster::new(daemons),
            live_upstreams: numbers.map(|number| upstream(number, SLOTS).name).collect(),
            next_upstream: 9,
            crashed: Vec::new(),
            running: Vec::new(),
            kinds: BTreeMap::new(),
            ends: BTreeMap::new(),
            crashes: Vec::new(),
            dispatches: Vec::new(),
            dispatch_counts: BTreeMap::new(),
            rows: BTreeMap::new(),
            writes: 0,
            store_accepts_writes: true,
        }
    }

    /// Sends the crashing request to a daemon.
    pub fn send_crashing(&mut self, daemon: usize) -> RequestId {
        self.send(daemon, RequestKind::Crashing, arrival(CRASHING_PATH))
    }

    /// Sends a harmless request to a daemon.
    pub fn send_harmless(&mut self, daemon: usize, path: &str) -> RequestId {
        self.send(daemon, RequestKind::Harmless, arrival(path))
    }

    pub fn send(&mut self, daemon: usize, kind: RequestKind, arrival: RequestArrival) -> RequestId {
        let harness = &mut self.cluster.daemons[daemon];
        harness.now = self.cluster.now;
        harness.confirm();
        harness.effects.clear();
        let request = harness.next_request();
        let id = RequestId { daemon, request };
        self.kinds.insert(id, kind);
        let arrival = Box::new(arrival);
        self.step(daemon, GatewayEvent::Arrived { request, arrival });
        id
    }

    /// Handles an event and all events that its effects lead to.
    fn step(&mut self, daemon: usize, event: GatewayEvent) {
        let harness = &mut self.cluster.daemons[daemon];
        harness.now = self.cluster.now;
        harness.step(event);
        for effect in std::mem::take(&mut harness.effects) {
            match effect {
                GatewayEffect::Dispatch(order) => self.on_dispatch(daemon, &order),
                GatewayEffect::Refuse {
                    request, reason, ..
                } => {
                    let id = RequestId { daemon, request };
                    self.ends.insert(id, RequestEnd::Refused(reason));
                }
                GatewayEffect::WriteQuarantine(write) => self.write_row(daemon, write),
                _ => {}
            }
        }
    }

    fn write_row(&mut self, daemon: usize, write: QuarantineWrite) {
        self.writes += 1;
        let accepted = self.store_accepts_writes;
        if accepted {
            match write.crashes.clone() {
                Some(crashes) => self.rows.insert(write.fingerprint, crashes),
                None => self.rows.remove(&write.fingerprint),
            };
        }
        self.step(
            daemon,
            GatewayEvent::QuarantineWriteFinished {
                write,
                accepted,
                era: 0,
            },
        );
    }

    /// Restarts all daemons at once; with `reads_rows` they read the quarantine rows of the store.
    pub fn restart_all(&mut self, reads_rows: bool) {
        self.cluster.restart_all();
        let rows = self
            .rows
            .iter()
            .map(|(fingerprint, crashes)| QuarantineRow {
                fingerprint: *fingerprint,
                crashes: crashes.clone(),
            });
        let rows: Vec<QuarantineRow> = rows.collect();
        for daemon in 0..self.cluster.daemons.len() {
            let live_upstreams = self.live_upstreams.iter();
            let entries = live_upstreams.map(|name| UpstreamEntry {
                name: name.clone(),
                ..upstream(1, SLOTS)
            });
            self.step(daemon, GatewayEvent::UpstreamsRead(entries.collect()));
            if reads_rows {
                self.step(daemon, GatewayEvent::QuarantineRead(rows.clone()));
            }
        }
    }

    fn end_attempt(&mut self, id: RequestId, outcome: AttemptOutcome) {
        let request = id.request;
        self.step(id.daemon, GatewayEvent::AttemptEnded { request, outcome });
    }

    fn on_dispatch(&mut self, daemon: usize, order: &DispatchOrder) {
        let id = RequestId {
            daemon,
            request: order.request,
        };
        let upstream = order.upstream.clone();
        if !self.live_upstreams.contains(&upstream) {
            return self.end_attempt(id, AttemptOutcome::NotSent);
        }
        match self.kinds[&id] {
            RequestKind::Harmless => self.running.push(RunningRequest { id, upstream }),
            RequestKind::Crashing => {
                self.dispatches.push(self.cluster.now);
                *self.dispatch_counts.entry(id).or_default() += 1;
                self.crashes.push(self.cluster.now);
                self.crash(&upstream);
                self.end_attempt(id, AttemptOutcome::Broken { stalled: false });
            }
        }
    }

    /// Returns the upstream at which a request runs.
    pub fn upstream_of(&self, id: RequestId) -> Option<UpstreamLabel> {
        let mut running = self.running.iter();
        let found = running.find(|running| running.id == id);
        found.map(|running| running.upstream.clone())
    }

    /// Crashes an upstream, which breaks all requests that run there.
    pub fn crash(&mut self, upstream: &UpstreamLabel) {
        self.live_upstreams.remove(upstream);
        self.crashed.push(CrashedUpstream {
            upstream: upstream.clone(),
            at: self.cluster.now,
        });
        let runs_there = |running: &RunningRequest| running.upstream == *upstream;
        let broken: Vec<_> = self
            .running
            .extract_if(.., |there| runs_there(there))
            .collect();
        for running in broken {
            self.end_attempt(running.id, AttemptOutcome::Broken { stalled: false });
        }
    }

    /// Returns whether a daemon refuses a path as quarantined.
    pub fn is_quarantined(&mut self, daemon: usize, path: &str) -> bool {
        let id = self.send_harmless(daemon, path);
        self.deliver(id);
        let refused = RequestEnd::Refused(RefusalReason::Quarantined);
        self.ends.get(&id) == Some(&refused)
    }

    /// Returns how often a crashing request was dispatched.
    pub fn dispatch_count(&self, id: RequestId) -> usize {
        self.dispatch_counts.get(&id).copied().unwrap_or_default()
    }

    /// Returns the upstreams that are live.
    pub fn upstreams(&self) -> Vec<UpstreamLabel> {
        self.live_upstreams.iter().cloned().collect()
    }

    /// Completes all harmless requests that run.
    pub fn deliver_all(&mut self) {
        for running in std::mem::take(&mut self.running) {
            let metadata = ResponseMetadata::default();
            self.ends.insert(running.id, RequestEnd::Served);
            self.end_attempt(
                running.id,
                AttemptOutcome::Delivered {
                    metadata,
                    events: 1,
                },
            );
        }
    }

    /// Completes one harmless request.
    pub fn deliver(&mut self, id: RequestId) {
        let has_id = |running: &mut RunningRequest| running.id == id;
        if self.running.extract_if(.., has_id).count() > 0 {
            let metadata = ResponseMetadata::default();
            self.ends.insert(id, RequestEnd::Served);
            self.end_attempt(
                id,
                AttemptOutcome::Delivered {
                    metadata,
                    events: 1,
                },
            );
        }
    }

    /// Runs one gossip round and replaces crashed upstreams that are due.
    pub fn advance_round(&mut self) {
        self.cluster.gossip_round(GOSSIP_INTERVAL);
        for daemon in 0..self.cluster.daemons.len() {
            self.step(daemon, GatewayEvent::Tick);
        }
        let now = self.cluster.now;
        let is_due = |crashed: &CrashedUpstream| now.since(crashed.at) >= REPLACEMENT_DELAY;
        let due: Vec<_> = self
            .crashed
            .extract_if(.., |crashed| is_due(crashed))
            .collect();
        for crashed in due {
            let entry = upstream(self.next_upstream, SLOTS);
            self.next_upstream += 1;
            self.live_upstreams.insert(entry.name.clone());
            for daemon in 0..self.cluster.daemons.len() {
                let removed = GatewayEvent::UpstreamRemoved(crashed.upstream.clone());
                self.step(daemon, removed);
                self.step(daemon, GatewayEvent::UpstreamWritten(entry.clone()));
            }
        }
    }

    pub fn advance_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.advance_round();
        }
    }

    /// Sends the crashing request once per round, each time to another daemon.
    pub fn repeat_crashing(&mut self, rounds: usize) {
        let daemons = self.cluster.daemons.len();
        for round in 0..rounds {
            self.send_crashing(round * 5 % daemons);
            self.advance_round();
        }
    }

    /// Returns the dispatches later than `PROPAGATION_BOUND` after the third crash.
    pub fn late_dispatches(&self) -> usize {
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        let late = self
            .dispatches
            .iter()
            .filter(|at| **at > *third + PROPAGATION_BOUND);
        late.count()
    }
}
