//! A cluster with upstreams that announce a rate limit for the sum of all daemons.
#![allow(dead_code, reason = "each test file uses a part of the environment")]

use crate::{
    callers::SeededRandom,
    cluster::{DaemonCluster, zone},
    harness::{arrival, upstream},
};
use savorywood_gateway::{
    AttemptOutcome, DispatchOrder, GatewayEffect, GatewayEvent, LocalRequest, RateLimit,
    RefusalReason, ResponseMetadata, UpstreamEntry, UpstreamLabel,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(50);
/// Steps between two gossip rounds.
const STEPS_PER_ROUND: u64 = 5;
/// Window over which dispatches to an upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the announcement of a limit, or the restart of a daemon, from which the limit is
/// checked.
const PROPAGATION_BOUND: Duration = Duration::from_secs(3);
/// Time after a daemon first receives a limit from which its dispatches are checked.
const REACTION_BOUND: Duration = Duration::from_millis(500);
/// Slots of each upstream.
const SLOTS: u32 = 4;

/// A request that runs at an upstream.
struct RunningRequest {
    daemon: usize,
    request: LocalRequest,
    upstream: UpstreamLabel,
    ends_at: MonotonicTime,
}

/// A request that was dispatched to an upstream.
struct DispatchRecord {
    daemon: usize,
    upstream: UpstreamLabel,
    at: MonotonicTime,
}

/// The limit that an upstream announces, and since when.
#[derive(Clone, Copy)]
struct AnnouncedLimit {
    limit: RateLimit,
    since: MonotonicTime,
}

/// Counts of requests by result.
#[derive(Debug, Clone, Copy, Default)]
pub struct LimitTally {
    pub arrived: usize,
    pub served: usize,
    pub refused: usize,
}

/// Daemons, upstreams with limits and a record of all dispatches.
pub struct LimitEnvironment {
    pub cluster: DaemonCluster,
    pub random: SeededRandom,
    /// Requests that arrive per step over all daemons.
    pub arrivals: usize,
    pub tally: LimitTally,
    entries: Vec<UpstreamEntry>,
    limits: BTreeMap<UpstreamLabel, AnnouncedLimit>,
    running: Vec<RunningRequest>,
    dispatches: Vec<DispatchRecord>,
    /// When a daemon first received a limit in a response, by daemon and upstream.
    first_seen: BTreeMap<(usize, UpstreamLabel), MonotonicTime>,
    /// When daemons restarted or thawed: their dispatches are not checked for `PROPAGATION_BOUND`.
    restarted_at: BTreeMap<usize, MonotonicTime>,
    steps: u64,
    /// Requests so far; each gets a path of its own.
    arrivals_so_far: u64,
}

impl LimitEnvironment {
    pub fn new(daemons: usize, upstreams: u16, seed: u64) -> Self {
        let numbers = 1..=upstreams;
        let entries = numbers.map(|number| UpstreamEntry {
            zone: zone(usize::from(number)),
            ..upstream(number, SLOTS)
        });
        let mut environment = Self {
            cluster: DaemonCluster::new(daemons),
            random: SeededRandom(seed),
            arrivals: 2,
            tally: LimitTally::default(),
            entries: entries.collect(),
            limits: BTreeMap::new(),
            running: Vec::new(),
            dispatches: Vec::new(),
            first_seen: BTreeMap::new(),
            restarted_at: BTreeMap::new(),
            steps: 0,
            arrivals_so_far: 0,
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

    pub fn upstream(&self, number: usize) -> UpstreamLabel {
        self.entries[number].name.clone()
    }

    /// Sets the limit that an upstream announces from now on; `None` lifts it.
    pub fn set_limit(&mut self, number: usize, per_second: Option<f64>) {
        let upstream = self.upstream(number);
        match per_second.and_then(RateLimit::from_per_second) {
            Some(limit) => {
                let since = self.cluster.now;
                self.limits
                    .insert(upstream, AnnouncedLimit { limit, since });
            }
            None => {
                self.limits.remove(&upstream);
                self.first_seen
                    .retain(|(_, limited), _| *limited != upstream);
            }
        }
    }

    /// Kills a daemon and restarts it at once.
    pub fn restart(&mut self, daemon: usize) {
        self.running.retain(|running| running.daemon != daemon);
        self.first_seen
            .retain(|(observer, _), _| *observer != daemon);
        self.cluster.down.insert(daemon);
        self.cluster.restart_down();
        self.restarted_at.insert(daemon, self.cluster.now);
        self.read_upstreams(daemon);
    }

    /// Freezes the process of a daemon.
    pub fn freeze(&mut self, daemon: usize) {
        self.cluster.frozen.insert(daemon, Vec::new());
    }

    /// Resumes a frozen daemon.
    pub fn thaw(&mut self, daemon: usize) {
        self.cluster.thaw(daemon);
        self.restarted_at.insert(daemon, self.cluster.now);
    }

    fn is_frozen(&self, daemon: usize) -> bool {
        self.cluster.frozen.contains_key(&daemon)
    }

    pub fn advance(&mut self, time: Duration) {
        let end = self.cluster.now + time;
        while self.cluster.now < end {
            self.advance_step();
        }
    }

    fn advance_step(&mut self) {
        self.cluster.now = self.cluster.now + STEP;
        self.steps += 1;
        for daemon in 0..self.cluster.daemons.len() {
            if self.is_frozen(daemon) {
                continue;
            }
            self.cluster.daemons[daemon].now = self.cluster.now;
            self.cluster.daemons[daemon].confirm();
            self.step(daemon, GatewayEvent::Tick);
        }
        if self.steps.is_multiple_of(STEPS_PER_ROUND) {
            self.cluster.exchange_gossip();
        }
        for _ in 0..self.arrivals {
            let daemon = self.random.below(self.cluster.daemons.len());
            if !self.is_frozen(daemon) {
                self.arrive(daemon);
            }
        }
        self.complete_due();
    }

    fn arrive(&mut self, daemon: usize) {
        self.arrivals_so_far += 1;
        self.tally.arrived += 1;
        let arrival = Box::new(arrival(&format!("/safe/{}", self.arrivals_so_far)));
        let request = self.cluster.daemons[daemon].next_request();
        self.step(daemon, GatewayEvent::Arrived { request, arrival });
    }

    /// Completes the requests whose run time is over; the response carries the upstream's limit.
    fn complete_due(&mut self) {
        let now = self.cluster.now;
        let frozen = &self.cluster.frozen;
        let is_due = |running: &mut RunningRequest| {
            running.ends_at <= now && !frozen.contains_key(&running.daemon)
        };
        let due: Vec<_> = self.running.extract_if(.., is_due).collect();
        for running in due {
            let rate_limit = self
                .limits
                .get(&running.upstream)
                .map(|announced| announced.limit);
            if rate_limit.is_some() {
                let key = (running.daemon, running.upstream.clone());
                self.first_seen.entry(key).or_insert(now);
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
        let harness = &mut self.cluster.daemons[daemon];
        harness.now = self.cluster.now;
        harness.step(event);
        for effect in std::mem::take(&mut harness.effects) {
            match effect {
                GatewayEffect::Dispatch(order) => self.on_dispatch(daemon, &order),
                GatewayEffect::Refuse { reason, .. } => {
                    assert!(reason != RefusalReason::Quarantined);
                    self.tally.refused += 1;
                }
                _ => {}
            }
        }
    }

    fn on_dispatch(&mut self, daemon: usize, order: &DispatchOrder) {
        let time = 150 + self.random.below(300) as u64;
        self.dispatches.push(DispatchRecord {
            daemon,
            upstream: order.upstream.clone(),
            at: self.cluster.now,
        });
        self.running.push(RunningRequest {
            daemon,
            request: order.request,
            upstream: order.upstream.clone(),
            ends_at: self.cluster.now + Duration::from_millis(time),
        });
    }

    /// Returns the dispatches to an upstream within `span` before now.
    pub fn dispatched_in_last(&self, number: usize, span: Duration) -> usize {
        let upstream = self.upstream(number);
        let dispatches = self.dispatches.iter();
        let recent = dispatches.filter(|dispatch| {
            dispatch.upstream == upstream && self.cluster.now.since(dispatch.at) < span
        });
        recent.count()
    }

    /// Returns whether the daemon had time to learn of the limit before it dispatched.
    fn must_keep_limit(&self, dispatch: &DispatchRecord) -> bool {
        let key = (dispatch.daemon, dispatch.upstream.clone());
        let first_seen_at = self.first_seen.get(&key);
        let restarted_at = self.restarted_at.get(&dispatch.daemon);
        let is_new = restarted_at.is_some_and(|at| dispatch.at.since(*at) < PROPAGATION_BOUND);
        !is_new && first_seen_at.is_some_and(|at| *at + REACTION_BOUND <= dispatch.at)
    }

    /// Returns the most dispatches above the allowed number in any window; negative if all are
    /// below it.
    pub fn max_excess(&self) -> f64 {
        let mut most = f64::NEG_INFINITY;
        for (upstream, announced) in &self.limits {
            let allowed = 1.5 * announced.limit.per_second() * WINDOW.as_secs_f64() + 5.0;
            let dispatches = self.dispatches.iter();
            let times: Vec<MonotonicTime> = dispatches
                .filter(|dispatch| dispatch.upstream == *upstream && self.must_keep_limit(dispatch))
                .map(|dispatch| dispatch.at)
                .collect();
            let enforced = times
                .iter()
                .filter(|at| **at >= announced.since + PROPAGATION_BOUND);
            for end in enforced {
                let within = times
                    .iter()
                    .filter(|at| **at <= *end && end.since(**at) < WINDOW);
                most = most.max(within.count() as f64 - allowed);
            }
        }
        most
    }

    pub fn assert_limits_kept(&self, what: &str) {
        let excess = self.max_excess();
        assert!(excess <= 0.0, "{excess} dispatches above the limit: {what}");
    }
}
