//! Daemons with work for upstreams of which some name a rate that they take from all daemons.
#![allow(dead_code, reason = "each test file uses a part of the field")]

use crate::{
    callers::SeededDraws,
    field::{DaemonField, zone},
    scene::{arrival, upstream},
};
use savorywood_gateway::{
    AttemptOutcome, DispatchOrder, GatewayEffect, GatewayEvent, LocalRequest, RateLimit,
    RefusalReason, ResponseMetadata, UpstreamEntry, UpstreamLabel,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

const STEP: Duration = Duration::from_millis(50);
const STEPS_A_ROUND: u64 = 5;
/// Span over which arrivals at an upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first such answer from which the bound holds.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after its first such answer from which a daemon is bound.
const KNOWN_TIME: Duration = Duration::from_millis(500);
const SLOTS: u32 = 4;

/// A request at an upstream.
struct RunningRequest {
    daemon: usize,
    request: LocalRequest,
    upstream: UpstreamLabel,
    ends_at: MonotonicTime,
}

/// A request that reached an upstream.
struct SentRequest {
    daemon: usize,
    upstream: UpstreamLabel,
    at: MonotonicTime,
}

/// Limit of an upstream in force.
#[derive(Clone, Copy)]
struct NamedLimit {
    limit: RateLimit,
    since: MonotonicTime,
}

/// What became of requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct LimitTally {
    pub arrived: usize,
    pub served: usize,
    pub refused: usize,
}

/// Daemons, upstreams with limits, and what was sent where.
pub struct LimitField {
    pub field: DaemonField,
    pub draws: SeededDraws,
    /// Requests that come in a step to all daemons together.
    pub arrivals: usize,
    pub tally: LimitTally,
    entries: Vec<UpstreamEntry>,
    limits: BTreeMap<UpstreamLabel, NamedLimit>,
    running: Vec<RunningRequest>,
    sent: Vec<SentRequest>,
    /// First answer with a limit that a daemon passed on, of each upstream.
    known: BTreeMap<(usize, UpstreamLabel), MonotonicTime>,
    /// Daemons that started or went on lately are not bound.
    started: BTreeMap<usize, MonotonicTime>,
    steps: u64,
    next: u64,
}

impl LimitField {
    pub fn new(daemons: usize, upstreams: u16, seed: u64) -> Self {
        let numbers = 1..=upstreams;
        let entries = numbers.map(|number| UpstreamEntry {
            zone: zone(usize::from(number)),
            ..upstream(number, SLOTS)
        });
        let mut field = Self {
            field: DaemonField::new(daemons),
            draws: SeededDraws(seed),
            arrivals: 2,
            tally: LimitTally::default(),
            entries: entries.collect(),
            limits: BTreeMap::new(),
            running: Vec::new(),
            sent: Vec::new(),
            known: BTreeMap::new(),
            started: BTreeMap::new(),
            steps: 0,
            next: 0,
        };
        for daemon in 0..daemons {
            field.read_upstreams(daemon);
        }
        field
    }

    fn read_upstreams(&mut self, daemon: usize) {
        let entries = self.entries.clone();
        self.step(daemon, GatewayEvent::UpstreamsRead(entries));
    }

    pub fn upstream(&self, number: usize) -> UpstreamLabel {
        self.entries[number].name.clone()
    }

    /// An upstream names a limit from now on, or none any more.
    pub fn set_limit(&mut self, number: usize, per_second: Option<f64>) {
        let upstream = self.upstream(number);
        match per_second.and_then(RateLimit::from_per_second) {
            Some(limit) => {
                let since = self.field.now;
                self.limits.insert(upstream, NamedLimit { limit, since });
            }
            None => {
                self.limits.remove(&upstream);
                self.known.retain(|(_, known), _| *known != upstream);
            }
        }
    }

    /// A daemon is killed and starts again at once.
    pub fn restart(&mut self, daemon: usize) {
        self.running.retain(|running| running.daemon != daemon);
        self.known.retain(|(known, _), _| *known != daemon);
        self.field.down.insert(daemon);
        self.field.start_again();
        self.started.insert(daemon, self.field.now);
        self.read_upstreams(daemon);
    }

    /// A daemon stands still from now on.
    pub fn freeze(&mut self, daemon: usize) {
        self.field.frozen.insert(daemon, Vec::new());
    }

    /// A daemon that stood still goes on.
    pub fn thaw(&mut self, daemon: usize) {
        self.field.thaw(daemon);
        self.started.insert(daemon, self.field.now);
    }

    fn is_frozen(&self, daemon: usize) -> bool {
        self.field.frozen.contains_key(&daemon)
    }

    pub fn advance(&mut self, time: Duration) {
        let end = self.field.now + time;
        while self.field.now < end {
            self.advance_step();
        }
    }

    fn advance_step(&mut self) {
        self.field.now = self.field.now + STEP;
        self.steps += 1;
        for daemon in 0..self.field.daemons.len() {
            if self.is_frozen(daemon) {
                continue;
            }
            self.field.daemons[daemon].now = self.field.now;
            self.field.daemons[daemon].confirm();
            self.step(daemon, GatewayEvent::Tick);
        }
        if self.steps.is_multiple_of(STEPS_A_ROUND) {
            self.field.talk();
        }
        for _ in 0..self.arrivals {
            let daemon = self.draws.below(self.field.daemons.len());
            if !self.is_frozen(daemon) {
                self.arrive(daemon);
            }
        }
        self.answer_due();
    }

    fn arrive(&mut self, daemon: usize) {
        self.next += 1;
        self.tally.arrived += 1;
        let arrival = Box::new(arrival(&format!("/safe/{}", self.next)));
        let request = self.field.daemons[daemon].next_request();
        self.step(daemon, GatewayEvent::Arrived { request, arrival });
    }

    fn answer_due(&mut self) {
        let now = self.field.now;
        let frozen = &self.field.frozen;
        let is_due = |running: &mut RunningRequest| {
            running.ends_at <= now && !frozen.contains_key(&running.daemon)
        };
        let due: Vec<_> = self.running.extract_if(.., is_due).collect();
        for running in due {
            let rate_limit = self.limits.get(&running.upstream).map(|named| named.limit);
            if rate_limit.is_some() {
                let key = (running.daemon, running.upstream.clone());
                self.known.entry(key).or_insert(now);
            }
            let metadata = ResponseMetadata {
                rate_limit,
                ..ResponseMetadata::default()
            };
            self.tally.served += 1;
            let outcome = AttemptOutcome::Delivered {
                metadata,
                events: 0,
            };
            let request = running.request;
            self.step(
                running.daemon,
                GatewayEvent::AttemptEnded { request, outcome },
            );
        }
    }

    fn step(&mut self, daemon: usize, event: GatewayEvent) {
        let scene = &mut self.field.daemons[daemon];
        scene.now = self.field.now;
        scene.step(event);
        for effect in std::mem::take(&mut scene.effects) {
            match effect {
                GatewayEffect::Dispatch(order) => self.dispatched(daemon, &order),
                GatewayEffect::Refuse { reason, .. } => {
                    assert!(reason != RefusalReason::Quarantined);
                    self.tally.refused += 1;
                }
                _ => {}
            }
        }
    }

    fn dispatched(&mut self, daemon: usize, order: &DispatchOrder) {
        let time = 150 + self.draws.below(300) as u64;
        self.sent.push(SentRequest {
            daemon,
            upstream: order.upstream.clone(),
            at: self.field.now,
        });
        self.running.push(RunningRequest {
            daemon,
            request: order.request,
            upstream: order.upstream.clone(),
            ends_at: self.field.now + Duration::from_millis(time),
        });
    }

    /// Arrivals at an upstream within a span before now.
    pub fn sent_in_last(&self, number: usize, span: Duration) -> usize {
        let upstream = self.upstream(number);
        let sent = self.sent.iter();
        let late =
            sent.filter(|sent| sent.upstream == upstream && self.field.now.since(sent.at) < span);
        late.count()
    }

    fn is_bound(&self, sent: &SentRequest) -> bool {
        let key = (sent.daemon, sent.upstream.clone());
        let knows = self.known.get(&key);
        let started = self.started.get(&sent.daemon);
        let is_new = started.is_some_and(|at| sent.at.since(*at) < CONTACT);
        !is_new && knows.is_some_and(|at| *at + KNOWN_TIME <= sent.at)
    }

    /// Most requests beyond what is allowed in any window.
    pub fn most_beyond(&self) -> f64 {
        let mut most = f64::NEG_INFINITY;
        for (upstream, named) in &self.limits {
            let allowed = 1.5 * named.limit.per_second() * WINDOW.as_secs_f64() + 5.0;
            let sent = self.sent.iter();
            let times: Vec<MonotonicTime> = sent
                .filter(|sent| sent.upstream == *upstream && self.is_bound(sent))
                .map(|sent| sent.at)
                .collect();
            let late = times.iter().filter(|at| **at >= named.since + CONTACT);
            for end in late {
                let within = times
                    .iter()
                    .filter(|at| **at <= *end && end.since(**at) < WINDOW);
                most = most.max(within.count() as f64 - allowed);
            }
        }
        most
    }

    pub fn assert_limits_kept(&self, what: &str) {
        let beyond = self.most_beyond();
        assert!(beyond <= 0.0, "{beyond} beyond what is allowed: {what}");
    }
}
