//! A cluster whose upstreams reject requests, with restarts and partitions of daemons, and a record of
//! all requests and of the attempts beyond the first of each.
#![allow(dead_code, reason = "each test file uses a part of the environment")]

use crate::{
    callers::SeededRandom,
    cluster::{DaemonCluster, TeamLoad},
    harness::arrival,
};
use savorywood_gateway::{
    AttemptOutcome, GatewayEffect, GatewayEvent, LocalRequest, ResponseMetadata, RetryBudgetOptions,
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(50);
/// Steps between two gossip rounds.
const STEPS_PER_ROUND: u64 = 5;

/// An attempt that ends at the next step.
struct OpenAttempt {
    daemon: usize,
    request: LocalRequest,
}

/// Daemons, rejecting upstreams, and what reached them.
pub struct RetryEnvironment {
    pub cluster: DaemonCluster,
    pub random: SeededRandom,
    /// Requests that arrive per step over all daemons.
    pub arrivals: usize,
    /// Attempts of 100 that upstreams reject.
    pub rejected_percent: usize,
    attempts: Vec<OpenAttempt>,
    /// Times at which requests arrived.
    requests: Vec<MonotonicTime>,
    /// Times of the attempts beyond the first of a request.
    repeats: Vec<MonotonicTime>,
    steps: u64,
}

impl RetryEnvironment {
    pub fn new(daemons: usize, seed: u64) -> Self {
        Self {
            cluster: DaemonCluster::with_load(daemons, TeamLoad::unlimited(daemons)),
            random: SeededRandom(seed),
            arrivals: 10,
            rejected_percent: 0,
            attempts: Vec::new(),
            requests: Vec::new(),
            repeats: Vec::new(),
            steps: 0,
        }
    }

    /// Kills daemons and starts them at once.
    pub fn restart(&mut self, daemons: impl IntoIterator<Item = usize>) {
        self.cluster.down = daemons.into_iter().collect();
        let down = &self.cluster.down;
        self.attempts
            .retain(|attempt| !down.contains(&attempt.daemon));
        self.cluster.restart_down();
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
            self.cluster.daemons[daemon].now = self.cluster.now;
            self.cluster.daemons[daemon].confirm();
            self.step(daemon, GatewayEvent::Tick);
        }
        if self.steps.is_multiple_of(STEPS_PER_ROUND) {
            self.cluster.exchange_gossip();
        }
        for attempt in std::mem::take(&mut self.attempts) {
            self.end(attempt);
        }
        for _ in 0..self.arrivals {
            let daemon = self.random.below(self.cluster.daemons.len());
            self.arrive(daemon);
        }
    }

    fn arrive(&mut self, daemon: usize) {
        self.requests.push(self.cluster.now);
        let arrival = Box::new(arrival(&format!("/safe/{}", self.requests.len())));
        let request = self.cluster.daemons[daemon].next_request();
        self.step(daemon, GatewayEvent::Arrived { request, arrival });
    }

    fn end(&mut self, attempt: OpenAttempt) {
        let metadata = ResponseMetadata::default();
        let outcome = if self.random.below(100) < self.rejected_percent {
            AttemptOutcome::NotRun {
                misdirected: false,
                metadata,
            }
        } else {
            AttemptOutcome::Delivered {
                metadata,
                events: 0,
            }
        };
        let request = attempt.request;
        self.step(
            attempt.daemon,
            GatewayEvent::AttemptEnded { request, outcome },
        );
    }

    fn step(&mut self, daemon: usize, event: GatewayEvent) {
        let harness = &mut self.cluster.daemons[daemon];
        harness.now = self.cluster.now;
        harness.step(event);
        for effect in std::mem::take(&mut harness.effects) {
            if let GatewayEffect::Dispatch(order) = effect {
                if order.attempt > 1 {
                    self.repeats.push(self.cluster.now);
                }
                let request = order.request;
                self.attempts.push(OpenAttempt { daemon, request });
            }
        }
    }

    /// Returns the number of repeats so far.
    pub fn repeats(&self) -> usize {
        self.repeats.len()
    }

    /// Returns the most repeats above the budget in any window; negative if all are below it. The
    /// requests of a window are those of itself, of the one before it or of the one half a window
    /// before it, whichever are most.
    pub fn max_excess(&self, options: RetryBudgetOptions) -> f64 {
        let window = options.window;
        let count = |times: &[MonotonicTime], from: MonotonicTime| {
            let start = times.partition_point(|at| *at < from);
            let end = times.partition_point(|at| *at < from + window);
            end - start
        };
        let excesses = self.repeats.iter().map(|from| {
            let starts = [*from, *from - window / 2, *from - window];
            let requests = starts.map(|start| count(&self.requests, start));
            let requests = requests.into_iter().max().unwrap_or_default() as f64;
            count(&self.repeats, *from) as f64 - requests * options.ratio - options.slack
        });
        excesses.fold(f64::NEG_INFINITY, f64::max)
    }
}
