//! Warm-up: the bound on requests per second that a cold upstream gets from all daemons together.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/cluster.rs"]
mod cluster;
#[path = "common/harness.rs"]
mod harness;

use callers::{CallerGroup, SeededRandom};
use cluster::{DAEMONS, DaemonCluster, zone};
use harness::{GatewayHarness, arrival, config, upstream};
use quickcheck::{TestResult, quickcheck};
use savorywood_gateway::{
    AttemptOutcome, GatewayEvent, ResponseMetadata, UpstreamEntry, UpstreamLabel, WarmupSpec,
    WarmupTolerance,
};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

const SECOND: Duration = Duration::from_secs(1);
/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(40);
const SPEC: WarmupSpec = WarmupSpec {
    duration: Duration::from_secs(3),
    per_second: 6.6,
};
const TOLERANCE: WarmupTolerance = WarmupTolerance {
    overage: 1.5,
    slack: 5.0,
};
/// Most requests within any second: rate times overage, plus slack (6.6 * 1.5 + 5), rounded down.
const MAX_PER_SECOND: usize = 14;
/// Time between two starts of the cold upstream.
const RESTART_INTERVAL: Duration = Duration::from_secs(4);

/// Daemons that dispatch to one upstream, which restarts periodically.
struct ColdStartRun {
    cluster: DaemonCluster,
    callers: CallerGroup,
    /// Times of dispatches while the upstream was cold.
    dispatched_at: Vec<MonotonicTime>,
    incarnation: u64,
    started_at: MonotonicTime,
    random: SeededRandom,
}

/// Returns the registration of a start of the upstream.
fn cold_entry(incarnation: u64) -> UpstreamEntry {
    UpstreamEntry {
        name: UpstreamLabel::from("cold"),
        zone: zone(0),
        cold_for: SPEC.duration,
        incarnation,
        ..upstream(200, 40)
    }
}

impl ColdStartRun {
    fn new(daemons: usize, seed: u64) -> Self {
        let cluster = DaemonCluster::new(daemons);
        let mut run = Self {
            callers: CallerGroup::new(0, SECOND),
            dispatched_at: Vec::new(),
            incarnation: 1,
            started_at: cluster.now,
            random: SeededRandom(seed),
            cluster,
        };
        for number in 0..daemons {
            run.configure(number);
        }
        run.start_upstream();
        run
    }

    /// Gives a daemon the warm-up settings and the cold upstream as the only one.
    fn configure(&mut self, number: usize) {
        let mut declared = config(7, None);
        for service in declared.services.values_mut() {
            service.warmup = Some(SPEC);
        }
        let daemon = &mut self.cluster.daemons[number];
        daemon.now = self.cluster.now;
        let mut bounds = cluster::daemon_options(number, 1).bounds;
        bounds.warmup_tolerance = Some(TOLERANCE);
        daemon.step(GatewayEvent::BoundsRead(bounds));
        daemon.step(GatewayEvent::ConfigRead(Arc::new(declared)));
        let entry = cold_entry(self.incarnation);
        daemon.step(GatewayEvent::UpstreamsRead(vec![entry]));
    }

    /// Restarts the upstream under the same name.
    fn start_upstream(&mut self) {
        self.incarnation += 1;
        self.started_at = self.cluster.now;
        for daemon in &mut self.cluster.daemons {
            daemon.now = self.cluster.now;
            daemon.step(GatewayEvent::UpstreamWritten(cold_entry(self.incarnation)));
        }
    }

    /// Advances the clock; every daemon receives a request in each step.
    fn advance(&mut self, time: Duration) {
        let end = self.cluster.now + time;
        while self.cluster.now < end {
            self.cluster.advance(STEP, &mut self.callers);
            if self.cluster.now.since(self.started_at) >= RESTART_INTERVAL {
                self.start_upstream();
            }
            for number in 0..self.cluster.daemons.len() {
                if !self.cluster.down.contains(&number) {
                    self.send_request(number);
                }
            }
        }
    }

    fn send_request(&mut self, number: usize) {
        let is_cold = self.cluster.now.since(self.started_at) < SPEC.duration;
        let daemon = &mut self.cluster.daemons[number];
        daemon.now = self.cluster.now;
        let request = daemon.arrive(arrival("/safe/1"));
        if daemon.orders(request).is_empty() {
            daemon.step(GatewayEvent::CallerDisconnected(request));
            return;
        }
        if is_cold {
            self.dispatched_at.push(self.cluster.now);
        }
        daemon.deliver(request);
    }

    fn kill(&mut self, number: usize) {
        self.cluster.down.insert(number);
    }

    fn restart_killed(&mut self) {
        let killed: Vec<usize> = self.cluster.down.iter().copied().collect();
        self.cluster.restart_down();
        for number in killed {
            self.configure(number);
        }
    }

    /// Returns the most requests dispatched to the cold upstream within any second.
    fn max_in_a_second(&self) -> usize {
        let counts = self.dispatched_at.iter().enumerate().map(|(index, from)| {
            let later = self.dispatched_at[index..].iter();
            later.take_while(|at| at.since(*from) < SECOND).count()
        });
        counts.max().unwrap_or_default()
    }

    fn assert_bound_kept(&self, what: &str) {
        let most = self.max_in_a_second();
        assert!(most <= MAX_PER_SECOND, "{most} within a second: {what}");
    }
}

/// Guards against all daemons selecting an empty upstream as the best one at the same moment.
#[test]
fn all_daemons_together_keep_the_bound_of_a_cold_upstream() {
    for daemons in [8, DAEMONS] {
        let mut run = ColdStartRun::new(daemons, 1);
        run.advance(12 * SECOND);
        run.assert_bound_kept(&format!("{daemons} daemons"));
        let cold_s = SPEC.duration.as_secs_f64() * 3.0;
        let least = SPEC.per_second * cold_s * 0.7;
        let sent = run.dispatched_at.len() as f64;
        assert!(sent >= least, "{sent} of {least} at {daemons} daemons");
    }
}

/// Guards against daemons that use the bound anew after a restart, or after they take over the
/// lease of a killed one.
#[test]
fn the_bound_holds_while_daemons_are_killed_and_start_again() {
    for seed in 1..=12 {
        let mut run = ColdStartRun::new(24, seed);
        for _ in 0..12 {
            for _ in 0..3 {
                let number = run.random.below(24);
                run.kill(number);
            }
            let pause = 200 + run.random.below(900) as u64;
            run.advance(Duration::from_millis(pause));
            run.restart_killed();
            let pause = 100 + run.random.below(1_500) as u64;
            run.advance(Duration::from_millis(pause));
        }
        run.assert_bound_kept(&format!("seed {seed}"));
    }
}

/// Guards against partitioned daemons that each take themselves for the lease holder.
#[test]
fn partitioned_daemons_keep_the_bound_of_a_cold_upstream() {
    for seed in 1..=8 {
        let mut run = ColdStartRun::new(24, seed);
        for _ in 0..6 {
            for _ in 0..8 {
                let number = run.random.below(24);
                run.cluster.cut_off.insert(number);
            }
            run.advance(3 * SECOND);
            run.cluster.cut_off.clear();
            run.advance(2 * SECOND);
        }
        run.assert_bound_kept(&format!("seed {seed}"));
    }
}

/// Guards against applying the metadata of a long stream's head again at its end: the upstream
/// would count as cold once more.
#[test]
fn the_end_of_a_stream_does_not_make_its_upstream_cold_again() {
    let mut harness = GatewayHarness::ready(1);
    let metadata = ResponseMetadata {
        cold_for: Some(SPEC.duration),
        ..ResponseMetadata::default()
    };
    let request = harness.arrive(arrival("/stream/1"));
    harness.step(GatewayEvent::ResponseStarted { request, metadata });
    let is_cold = |harness: &GatewayHarness| {
        let mut states = harness.gateway.fleet().iter();
        states.any(|state| state.is_cold(harness.now))
    };
    assert!(is_cold(&harness));
    harness.advance(SPEC.duration);
    assert!(!is_cold(&harness));
    harness.end(
        request,
        AttemptOutcome::Delivered {
            metadata,
            events: 3,
        },
    );
    assert!(!is_cold(&harness));
}

quickcheck! {
    /// Guards against exceeding the bound while two daemons hold the lease at the same time.
    fn two_lease_holders_keep_the_bound(rate: u8, overage: u8, slack: u8) -> TestResult {
        let per_second = f64::from(rate) / 4.0 + 0.5;
        let tolerance = WarmupTolerance {
            overage: 1.0 + f64::from(overage % 8) / 4.0,
            slack: f64::from(slack % 16),
        };
        let bound = per_second * tolerance.overage + tolerance.slack;
        if bound < 4.0 {
            return TestResult::discard();
        }
        let spec = WarmupSpec { duration: SPEC.duration, per_second };
        let interval = spec.interval(Some(tolerance)).as_secs_f64();
        let one_holder = (1.0 / interval + 1e-6).floor() + 1.0;
        TestResult::from_bool(2.0 * one_holder <= bound + 1e-6)
    }
}
