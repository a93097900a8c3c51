//! Daemons whose upstreams crash under one request that comes again and again.
#![allow(dead_code, reason = "each test file uses a part of the field")]

use crate::{
    field::DaemonField,
    scene::{arrival, upstream},
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

/// Time within which daemons in touch must know of a crash.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Retries that may reach upstreams after that.
pub const MOST_RETRIES: usize = 3;
/// Time after which a crashed upstream has a successor.
const RETURN_TIME: Duration = Duration::from_secs(3);
/// Time between two rounds of gossip.
pub const ROUND: Duration = Duration::from_millis(250);
/// Slots of a successor.
const SLOTS: u32 = 1_000;
pub const CRASHING_PATH: &str = "/stream/crashing";

/// What a request does to the upstream that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    Crashing,
    Sound,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    Served,
    Refused(RefusalReason),
}

/// A request of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestName {
    pub daemon: usize,
    pub request: LocalRequest,
}

/// A sound request at an upstream.
#[derive(Debug, Clone)]
struct RunningRequest {
    name: RequestName,
    upstream: UpstreamLabel,
}

/// An upstream that will have a successor.
#[derive(Debug, Clone)]
struct CrashedUpstream {
    upstream: UpstreamLabel,
    at: MonotonicTime,
}

/// Daemons, their upstreams, and what became of requests.
pub struct CrashField {
    pub field: DaemonField,
    alive: BTreeSet<UpstreamLabel>,
    next_upstream: u16,
    crashed: Vec<CrashedUpstream>,
    running: Vec<RunningRequest>,
    kinds: BTreeMap<RequestName, RequestKind>,
    pub ends: BTreeMap<RequestName, RequestEnd>,
    /// When upstreams crashed under the crashing request.
    pub crashes: Vec<MonotonicTime>,
    /// Arrivals of the crashing request at upstreams.
    pub sends: Vec<MonotonicTime>,
    sent: BTreeMap<RequestName, usize>,
    /// Rows of the store, and how often they were written.
    pub rows: BTreeMap<RequestFingerprint, Vec<StoredCrash>>,
    pub writes: usize,
    /// The store takes writes.
    pub store_works: bool,
}

impl CrashField {
    pub fn new(daemons: usize) -> Self {
        let numbers = 1..=8;
        Self {
            field: DaemonField::new(daemons),
            alive: numbers.map(|number| upstream(number, SLOTS).name).collect(),
            next_upstream: 9,
            crashed: Vec::new(),
            running: Vec::new(),
            kinds: BTreeMap::new(),
            ends: BTreeMap::new(),
            crashes: Vec::new(),
            sends: Vec::new(),
            sent: BTreeMap::new(),
            rows: BTreeMap::new(),
            writes: 0,
            store_works: true,
        }
    }

    /// The crashing request comes to a daemon once more.
    pub fn send_crashing(&mut self, daemon: usize) -> RequestName {
        self.send(daemon, RequestKind::Crashing, arrival(CRASHING_PATH))
    }

    /// A request that harms nobody comes to a daemon.
    pub fn send_sound(&mut self, daemon: usize, path: &str) -> RequestName {
        self.send(daemon, RequestKind::Sound, arrival(path))
    }

    pub fn send(
        &mut self,
        daemon: usize,
        kind: RequestKind,
        arrival: RequestArrival,
    ) -> RequestName {
        let scene = &mut self.field.daemons[daemon];
        scene.now = self.field.now;
        scene.confirm();
        scene.effects.clear();
        let request = scene.next_request();
        let name = RequestName { daemon, request };
        self.kinds.insert(name, kind);
        let arrival = Box::new(arrival);
        self.step(daemon, GatewayEvent::Arrived { request, arrival });
        name
    }

    /// One event, and all that its effects lead to.
    fn step(&mut self, daemon: usize, event: GatewayEvent) {
        let scene = &mut self.field.daemons[daemon];
        scene.now = self.field.now;
        scene.step(event);
        for effect in std::mem::take(&mut scene.effects) {
            match effect {
                GatewayEffect::Dispatch(order) => self.dispatched(daemon, &order),
                GatewayEffect::Refuse {
                    request, reason, ..
                } => {
                    let name = RequestName { daemon, request };
                    self.ends.insert(name, RequestEnd::Refused(reason));
                }
                GatewayEffect::WriteQuarantine(write) => self.write_row(daemon, write),
                _ => {}
            }
        }
    }

    fn write_row(&mut self, daemon: usize, write: QuarantineWrite) {
        self.writes += 1;
        let accepted = self.store_works;
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

    /// All daemons start again at once; `reads`: they read what the store keeps.
    pub fn restart_all(&mut self, reads: bool) {
        self.field.restart_all();
        let rows = self
            .rows
            .iter()
            .map(|(fingerprint, crashes)| QuarantineRow {
                fingerprint: *fingerprint,
                crashes: crashes.clone(),
            });
        let rows: Vec<QuarantineRow> = rows.collect();
        for daemon in 0..self.field.daemons.len() {
            let alive = self.alive.iter();
            let entries = alive.map(|name| UpstreamEntry {
                name: name.clone(),
                ..upstream(1, SLOTS)
            });
            self.step(daemon, GatewayEvent::UpstreamsRead(entries.collect()));
            if reads {
                self.step(daemon, GatewayEvent::QuarantineRead(rows.clone()));
            }
        }
    }

    fn end(&mut self, name: RequestName, outcome: AttemptOutcome) {
        let request = name.request;
        self.step(name.daemon, GatewayEvent::AttemptEnded { request, outcome });
    }

    fn dispatched(&mut self, daemon: usize, order: &DispatchOrder) {
        let name = RequestName {
            daemon,
            request: order.request,
        };
        let upstream = order.upstream.clone();
        if !self.alive.contains(&upstream) {
            return self.end(name, AttemptOutcome::NotSent);
        }
        match self.kinds[&name] {
            RequestKind::Sound => self.running.push(RunningRequest { name, upstream }),
            RequestKind::Crashing => {
                self.sends.push(self.field.now);
                *self.sent.entry(name).or_default() += 1;
                self.crashes.push(self.field.now);
                self.crash(&upstream);
                self.end(name, AttemptOutcome::Broken { stalled: false });
            }
        }
    }

    /// Upstreams at which a request runs.
    pub fn upstream_of(&self, name: RequestName) -> Option<UpstreamLabel> {
        let mut running = self.running.iter();
        let found = running.find(|running| running.name == name);
        found.map(|running| running.upstream.clone())
    }

    /// An upstream ends, and all that runs there breaks.
    pub fn crash(&mut self, upstream: &UpstreamLabel) {
        self.alive.remove(upstream);
        self.crashed.push(CrashedUpstream {
            upstream: upstream.clone(),
            at: self.field.now,
        });
        let is_there = |running: &RunningRequest| running.upstream == *upstream;
        let broken: Vec<_> = self
            .running
            .extract_if(.., |there| is_there(there))
            .collect();
        for running in broken {
            self.end(running.name, AttemptOutcome::Broken { stalled: false });
        }
    }

    /// A daemon refuses a path as in quarantine.
    pub fn refuses(&mut self, daemon: usize, path: &str) -> bool {
        let name = self.send_sound(daemon, path);
        self.deliver(name);
        let refused = RequestEnd::Refused(RefusalReason::Quarantined);
        self.ends.get(&name) == Some(&refused)
    }

    /// Times that a crashing request reached an upstream.
    pub fn sends_of(&self, name: RequestName) -> usize {
        self.sent.get(&name).copied().unwrap_or_default()
    }

    /// Upstreams that run.
    pub fn upstreams(&self) -> Vec<UpstreamLabel> {
        self.alive.iter().cloned().collect()
    }

    /// All sound requests that run are answered.
    pub fn deliver_all(&mut self) {
        for running in std::mem::take(&mut self.running) {
            let metadata = ResponseMetadata::default();
            self.ends.insert(running.name, RequestEnd::Served);
            self.end(
                running.name,
                AttemptOutcome::Delivered {
                    metadata,
                    events: 1,
                },
            );
        }
    }

    /// One sound request is answered.
    pub fn deliver(&mut self, name: RequestName) {
        let is_it = |running: &mut RunningRequest| running.name == name;
        if self.running.extract_if(.., is_it).count() > 0 {
            let metadata = ResponseMetadata::default();
            self.ends.insert(name, RequestEnd::Served);
            self.end(
                name,
                AttemptOutcome::Delivered {
                    metadata,
                    events: 1,
                },
            );
        }
    }

    /// A round of gossip; crashed upstreams are replaced in time.
    pub fn pass_round(&mut self) {
        self.field.pass(ROUND);
        for daemon in 0..self.field.daemons.len() {
            self.step(daemon, GatewayEvent::Tick);
        }
        let now = self.field.now;
        let is_due = |crashed: &CrashedUpstream| now.since(crashed.at) >= RETURN_TIME;
        let due: Vec<_> = self
            .crashed
            .extract_if(.., |crashed| is_due(crashed))
            .collect();
        for crashed in due {
            let entry = upstream(self.next_upstream, SLOTS);
            self.next_upstream += 1;
            self.alive.insert(entry.name.clone());
            for daemon in 0..self.field.daemons.len() {
                let removed = GatewayEvent::UpstreamRemoved(crashed.upstream.clone());
                self.step(daemon, removed);
                self.step(daemon, GatewayEvent::UpstreamWritten(entry.clone()));
            }
        }
    }

    pub fn pass_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.pass_round();
        }
    }

    /// The crashing request comes once a round, each time to another daemon.
    pub fn repeat_crashing(&mut self, rounds: usize) {
        let daemons = self.field.daemons.len();
        for round in 0..rounds {
            self.send_crashing(round * 5 % daemons);
            self.pass_round();
        }
    }

    /// Arrivals at upstreams later than the bound after the third crash.
    pub fn late_sends(&self) -> usize {
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        let late = self.sends.iter().filter(|at| **at > *third + CONTACT);
        late.count()
    }
}
