//! Daemons under more load than their upstreams have slots for, where upstreams fail when all daemons
//! together make them turn too many requests away. Used with `callers`, `cluster` and `harness`.
#![allow(dead_code, reason = "each test file uses a part of the environment")]

use crate::{
    callers::SeededRandom,
    cluster::{DaemonCluster, zone},
    harness::{arrival, upstream},
};
use savorywood_gateway::{
    AttemptOutcome, DispatchOrder, GatewayEffect, GatewayEvent, LocalRequest, RateLimit,
    ResponseMetadata, UpstreamAnnouncement, UpstreamEntry, UpstreamLabel,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, ops::Range, time::Duration};

const STEP: Duration = Duration::from_millis(50);
/// Slots of each upstream.
pub const SLOTS: u32 = 4;
/// Time from the announcement until the upstream may fail.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which an upstream that failed is down.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
const RUN_TIME: Duration = Duration::from_secs(20);

/// The owner that relays a request, and its number there.
#[derive(Debug, Clone, Copy)]
struct RelayedBy {
    owner: usize,
    number: u64,
}

struct RunningRequest {
    /// The daemon that waits for the response; absent after it was killed.
    daemon: Option<usize>,
    relay: Option<RelayedBy>,
    request: LocalRequest,
    upstream: UpstreamLabel,
    ends_at: MonotonicTime,
}

/// A request that an upstream turned away.
struct Rejection {
    at: MonotonicTime,
    /// The daemon that sent it had been running for `CONTACT_TIME`.
    in_touch: bool,
}

/// Daemons under more load than their upstreams have slots for.
pub struct RejectionEnvironment {
    pub cluster: DaemonCluster,
    pub random: SeededRandom,
    running: Vec<RunningRequest>,
    rejections: BTreeMap<UpstreamLabel, Vec<Rejection>>,
    /// Upstreams that failed, with the time at which they run again.
    failed_until: BTreeMap<UpstreamLabel, MonotonicTime>,
    /// Time of the last start of each daemon that was restarted.
    restarted_at: BTreeMap<usize, MonotonicTime>,
    entries: Vec<UpstreamEntry>,
    /// Rejections in a second beyond which an upstream fails.
    pub max_rejections: usize,
    /// Requests that an upstream runs at once; it turns away what comes beyond them.
    pub room: usize,
    /// Milliseconds that a request takes.
    pub work_ms: Range<u64>,
    /// Upstreams go on with the requests of daemons that were killed.
    pub keeps_orphans: bool,
    started_at: MonotonicTime,
    pub arrivals: u64,
    pub served: usize,
    /// Requests served by each daemon.
    pub served_by: Vec<usize>,
    pub relayed: usize,
    pub falls: usize,
}

impl RejectionEnvironment {
    pub fn new(daemons: usize, upstreams: u16, seed: u64) -> Self {
        let entries = (1..=upstreams).map(|number| UpstreamEntry {
            zone: zone(usize::from(number)),
            ..upstream(number, SLOTS)
        });
        let entries: Vec<UpstreamEntry> = entries.collect();
        let cluster = DaemonCluster::new(daemons);
        let mut environment = Self {
            started_at: cluster.now,
            cluster,
            random: SeededRandom(seed),
            running: Vec::new(),
            rejections: BTreeMap::new(),
            failed_until: BTreeMap::new(),
            restarted_at: BTreeMap::new(),
            entries,
            max_rejections: 3,
            room: SLOTS as usize,
            work_ms: 150..450,
            keeps_orphans: false,
            arrivals: 0,
            served: 0,
            served_by: vec![0; daemons],
            relayed: 0,
            falls: 0,
        };
        for daemon in 0..daemons {
            environment.read_upstreams(daemon);
        }
        environment
    }

    fn read_upstreams(&mut self, daemon: usize) {
        let entries = self.entries.clone();
        self.step(daemon, GatewayEvent::UpstreamsRead(entries));
    }

    /// Ends the requests that a daemon relays.
    fn break_relayed_by(&mut self, owner: usize) {
        let is_relayed =
            |running: &mut RunningRequest| running.relay.is_some_and(|relay| relay.owner == owner);
        let broken: Vec<_> = self.running.extract_if(.., is_relayed).collect();
        for running in broken {
            let Some(daemon) = running.daemon else {
                continue;
            };
            let request = running.request;
            let outcome = AttemptOutcome::Broken { stalled: false };
            self.step(daemon, GatewayEvent::AttemptEnded { request, outcome });
        }
    }

    /// Kills a daemon; upstreams drop its requests, or go on with them.
    pub fn kill(&mut self, daemon: usize) {
        self.break_relayed_by(daemon);
        if self.keeps_orphans {
            let of_daemon = |running: &&mut RunningRequest| running.daemon == Some(daemon);
            for running in self.running.iter_mut().filter(of_daemon) {
                running.daemon = None;
            }
        }
        self.running
            .retain(|running| running.daemon != Some(daemon));
        self.cluster.down.insert(daemon);
    }

    /// Starts the daemons that are down.
    pub fn restart_down(&mut self) {
        let down = self.cluster.down.clone();
        self.cluster.restart_down();
        for daemon in down {
            self.restarted_at.insert(daemon, self.cluster.now);
            self.read_upstreams(daemon);
        }
    }

    pub fn run(&mut self, arrivals_per_step: u64) {
        self.advance(RUN_TIME, arrivals_per_step);
    }

    pub fn advance(&mut self, time: Duration, arrivals_per_step: u64) {
        let end = self.cluster.now + time;
        while self.cluster.now < end {
            self.cluster.now = self.cluster.now + STEP;
            for daemon in 0..self.cluster.daemons.len() {
                if self.cluster.down.contains(&daemon) {
                    continue;
                }
                self.cluster.daemons[daemon].now = self.cluster.now;
                self.cluster.daemons[daemon].confirm();
                self.step(daemon, GatewayEvent::Tick);
            }
            self.cluster.exchange_gossip();
            for _ in 0..arrivals_per_step {
                self.arrive();
            }
            self.complete_due();
        }
    }

    fn arrive(&mut self) {
        // Callers use the addresses of the directory.
        let daemons = 0..self.cluster.daemons.len();
        let is_member = |daemon: &usize| {
            let gateway = &self.cluster.daemons[*daemon].gateway;
            gateway.is_entry_member() && !self.cluster.down.contains(daemon)
        };
        let members: Vec<usize> = daemons.filter(is_member).collect();
        let daemon = members[self.random.below(members.len())];
        self.arrivals += 1;
        let arrival = Box::new(arrival(&format!("/safe/{}", self.arrivals)));
        let request = self.cluster.daemons[daemon].next_request();
        self.step(daemon, GatewayEvent::Arrived { request, arrival });
    }

    fn complete_due(&mut self) {
        let now = self.cluster.now;
        let due: Vec<_> = self
            .running
            .extract_if(.., |running| running.ends_at <= now)
            .collect();
        for running in due {
            let Some(daemon) = running.daemon else {
                continue;
            };
            self.served += 1;
            self.served_by[daemon] += 1;
            self.decide_relay(running.relay, &running.upstream, false);
            self.end_relay(running.relay, &running.upstream, true);
            self.announce(daemon, &running.upstream, false);
            let outcome = AttemptOutcome::Delivered {
                metadata: ResponseMetadata::default(),
                events: 0,
            };
            let request = running.request;
            self.step(daemon, GatewayEvent::AttemptEnded { request, outcome });
        }
    }

    fn announce(&mut self, daemon: usize, upstream: &UpstreamLabel, turned_away: bool) {
        let announcement = UpstreamAnnouncement {
            max_rejections: RateLimit::from_per_second(self.max_rejections as f64),
            turned_away,
            ..UpstreamAnnouncement::default()
        };
        let event = GatewayEvent::UpstreamAnnounced {
            upstream: upstream.clone(),
            request_id: String::new(),
            announcement,
        };
        self.step(daemon, event);
    }

    fn step(&mut self, daemon: usize, event: GatewayEvent) {
        let harness = &mut self.cluster.daemons[daemon];
        harness.now = self.cluster.now;
        harness.step(event);
        for effect in std::mem::take(&mut harness.effects) {
            if let GatewayEffect::Dispatch(order) = effect {
                self.send(daemon, &order);
            }
        }
    }

    /// Sends a request to its upstream, or to the owners that may relay it.
    fn send(&mut self, daemon: usize, order: &DispatchOrder) {
        let request = order.request;
        if order.relays.is_empty() {
            return self.receive(daemon, request, &order.upstream, None);
        }
        for address in &order.relays {
            let owner = self.cluster.addresses[address];
            if self.cluster.is_isolated(daemon) || self.cluster.is_isolated(owner) {
                continue;
            }
            let now = self.cluster.now;
            let gateway = &mut self.cluster.daemons[owner].gateway;
            if gateway.admit_relay(now, &order.upstream, 0).is_err() {
                continue;
            }
            let number = gateway.begin_relay(now, &order.upstream);
            let relay = Some(RelayedBy { owner, number });
            self.relayed += 1;
            return self.receive(daemon, request, &order.upstream, relay);
        }
        let outcome = AttemptOutcome::NotRelayed;
        self.step(daemon, GatewayEvent::AttemptEnded { request, outcome });
    }

    /// Tells the relay of a request, if there is one, what became of it.
    fn decide_relay(&mut self, relay: Option<RelayedBy>, upstream: &UpstreamLabel, rejected: bool) {
        if let Some(RelayedBy { owner, number }) = relay {
            self.announce(owner, upstream, rejected);
            let upstream = upstream.clone();
            let event = GatewayEvent::RelayDecided {
                upstream,
                request_id: String::new(),
                number,
                rejected,
            };
            self.step(owner, event);
        }
    }

    fn end_relay(&mut self, relay: Option<RelayedBy>, upstream: &UpstreamLabel, sent: bool) {
        if let Some(RelayedBy { owner, number }) = relay {
            let upstream = upstream.clone();
            let event = GatewayEvent::RelayEnded {
                upstream,
                number,
                sent,
            };
            self.step(owner, event);
        }
    }

    /// Runs a request at an upstream, or turns it away.
    fn receive(
        &mut self,
        daemon: usize,
        request: LocalRequest,
        upstream: &UpstreamLabel,
        relay: Option<RelayedBy>,
    ) {
        let failed_until = self.failed_until.get(upstream);
        if failed_until.is_some_and(|until| self.cluster.now < *until) {
            self.end_relay(relay, upstream, false);
            let outcome = AttemptOutcome::NotSent;
            self.step(daemon, GatewayEvent::AttemptEnded { request, outcome });
            return;
        }
        let at_upstream = self.running.iter();
        let busy = at_upstream
            .filter(|running| running.upstream == *upstream)
            .count();
        if busy >= self.room {
            self.reject(daemon, request, upstream, relay);
            return;
        }
        let spread = (self.work_ms.end - self.work_ms.start) as usize;
        let time = self.work_ms.start + self.random.below(spread) as u64;
        self.running.push(RunningRequest {
            daemon: Some(daemon),
            relay,
            request,
            upstream: upstream.clone(),
            ends_at: self.cluster.now + Duration::from_millis(time),
        });
    }

    fn reject(
        &mut self,
        daemon: usize,
        request: LocalRequest,
        upstream: &UpstreamLabel,
        relay: Option<RelayedBy>,
    ) {
        let sender = relay.map_or(daemon, |relay| relay.owner);
        let now = self.cluster.now;
        let restarted_at = self.restarted_at.get(&sender);
        let in_touch = restarted_at.is_none_or(|at| now.since(*at) >= CONTACT_TIME);
        let rejections = self.rejections.entry(upstream.clone()).or_default();
        rejections.push(Rejection { at: now, in_touch });
        rejections.retain(|rejection| now.since(rejection.at) < Duration::from_secs(1));
        if rejections.len() > self.max_rejections && now.since(self.started_at) > CONTACT_TIME {
            let by_known = rejections.iter().filter(|rejection| rejection.in_touch);
            self.falls += usize::from(by_known.count() * 2 > rejections.len());
            rejections.clear();
            self.fail(upstream);
        }
        self.decide_relay(relay, upstream, true);
        self.end_relay(relay, upstream, true);
        self.announce(daemon, upstream, true);
        let outcome = AttemptOutcome::NotRun {
            misdirected: false,
            metadata: ResponseMetadata::default(),
        };
        self.step(daemon, GatewayEvent::AttemptEnded { request, outcome });
    }
}

impl RejectionEnvironment {
    /// Ends an upstream with its requests; it runs again after `RECOVERY_TIME`.
    fn fail(&mut self, upstream: &UpstreamLabel) {
        let until = self.cluster.now + RECOVERY_TIME;
        self.failed_until.insert(upstream.clone(), until);
        let lost = self
            .running
            .extract_if(.., |running| running.upstream == *upstream);
        for running in lost.collect::<Vec<_>>() {
            let Some(daemon) = running.daemon else {
                continue;
            };
            self.end_relay(running.relay, upstream, true);
            let request = running.request;
            let outcome = AttemptOutcome::Broken { stalled: false };
            self.step(daemon, GatewayEvent::AttemptEnded { request, outcome });
        }
    }

    /// Returns how often upstreams may fall in a run.
    pub fn max_falls(&self) -> usize {
        2 + self.entries.len() / 10
    }

    pub fn assert_few_falls(&self, label: &str) {
        let max_falls = self.max_falls();
        println!(
            "{label}: {} falls, {} served of {}",
            self.falls, self.served, self.arrivals
        );
        assert!(self.falls <= max_falls, "{} falls, {label}", self.falls);
    }
}
