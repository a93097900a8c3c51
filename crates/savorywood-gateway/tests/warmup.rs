//! Cold upstreams: what they get within a second from all daemons together.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/field.rs"]
mod field;
#[path = "common/scene.rs"]
mod scene;

use callers::{CallerGroup, SeededDraws};
use field::{DAEMONS, DaemonField, zone};
use quickcheck::{TestResult, quickcheck};
use savorywood_gateway::{
    AttemptOutcome, GatewayEvent, ResponseMetadata, UpstreamEntry, UpstreamLabel, WarmupSpec,
    WarmupTolerance,
};
use savorywood_protocol::MonotonicTime;
use scene::{GatewayScene, arrival, config, upstream};
use std::{sync::Arc, time::Duration};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(40);
const SPEC: WarmupSpec = WarmupSpec {
    duration: Duration::from_secs(3),
    per_second: 6.6,
};
const TOLERANCE: WarmupTolerance = WarmupTolerance {
    overage: 1.5,
    slack: 5.0,
};
/// Requests within a second that are allowed.
const ALLOWED: usize = 14;
/// Time between two starts of the cold upstream.
const LIFE: Duration = Duration::from_secs(4);

/// Daemons with requests for one upstream that starts again and again.
struct ColdStart {
    field: DaemonField,
    callers: CallerGroup,
    sent_at: Vec<MonotonicTime>,
    born: u64,
    born_at: MonotonicTime,
    draws: SeededDraws,
}

fn cold_entry(born: u64) -> UpstreamEntry {
    UpstreamEntry {
        name: UpstreamLabel::from("cold"),
        zone: zone(0),
        cold_for: SPEC.duration,
        incarnation: born,
        ..upstream(200, 40)
    }
}

impl ColdStart {
    fn new(daemons: usize, seed: u64) -> Self {
        let field = DaemonField::new(daemons);
        let mut play = Self {
            callers: CallerGroup::new(0, SECOND),
            sent_at: Vec::new(),
            born: 1,
            born_at: field.now,
            draws: SeededDraws(seed),
            field,
        };
        for number in 0..daemons {
            play.declare(number);
        }
        play.start_upstream();
        play
    }

    /// A daemon knows how upstreams start, and the cold one alone.
    fn declare(&mut self, number: usize) {
        let mut declared = config(7, None);
        for service in declared.services.values_mut() {
            service.warmup = Some(SPEC);
        }
        let daemon = &mut self.field.daemons[number];
        daemon.now = self.field.now;
        let mut bounds = field::daemon_options(number, 1).bounds;
        bounds.warmup_tolerance = Some(TOLERANCE);
        daemon.step(GatewayEvent::BoundsRead(bounds));
        daemon.step(GatewayEvent::ConfigRead(Arc::new(declared)));
        let entry = cold_entry(self.born);
        daemon.step(GatewayEvent::UpstreamsRead(vec![entry]));
    }

    fn start_upstream(&mut self) {
        self.born += 1;
        self.born_at = self.field.now;
        for daemon in &mut self.field.daemons {
            daemon.now = self.field.now;
            daemon.step(GatewayEvent::UpstreamWritten(cold_entry(self.born)));
        }
    }

    /// Every daemon has a request for the upstream in each step.
    fn advance(&mut self, time: Duration) {
        let end = self.field.now + time;
        while self.field.now < end {
            self.field.advance(STEP, &mut self.callers);
            if self.field.now.since(self.born_at) >= LIFE {
                self.start_upstream();
            }
            for number in 0..self.field.daemons.len() {
                if !self.field.down.contains(&number) {
                    self.ask(number);
                }
            }
        }
    }

    fn ask(&mut self, number: usize) {
        let is_cold = self.field.now.since(self.born_at) < SPEC.duration;
        let daemon = &mut self.field.daemons[number];
        daemon.now = self.field.now;
        let request = daemon.arrive(arrival("/safe/1"));
        if daemon.orders(request).is_empty() {
            daemon.step(GatewayEvent::CallerDisconnected(request));
            return;
        }
        if is_cold {
            self.sent_at.push(self.field.now);
        }
        daemon.deliver(request);
    }

    fn kill(&mut self, number: usize) {
        self.field.down.insert(number);
    }

    fn restart_killed(&mut self) {
        let killed: Vec<usize> = self.field.down.iter().copied().collect();
        self.field.start_again();
        for number in killed {
            self.declare(number);
        }
    }

    fn most_in_a_second(&self) -> usize {
        let counts = self.sent_at.iter().enumerate().map(|(index, from)| {
            let later = self.sent_at[index..].iter();
            later.take_while(|at| at.since(*from) < SECOND).count()
        });
        counts.max().unwrap_or_default()
    }

    fn assert_bound_kept(&self, what: &str) {
        let most = self.most_in_a_second();
        assert!(most <= ALLOWED, "{most} within a second: {what}");
    }
}

/// Guards against an empty upstream that every daemon takes for the best at the same moment.
#[test]
fn all_daemons_together_keep_to_the_bound_of_a_cold_upstream() {
    for daemons in [8, DAEMONS] {
        let mut play = ColdStart::new(daemons, 1);
        play.advance(12 * SECOND);
        play.assert_bound_kept(&format!("{daemons} daemons"));
        let cold_s = SPEC.duration.as_secs_f64() * 3.0;
        let least = SPEC.per_second * cold_s * 0.7;
        let sent = play.sent_at.len() as f64;
        assert!(sent >= least, "{sent} of {least} at {daemons} daemons");
    }
}

/// Guards against daemons that restart, or take over from killed ones, and send the bound anew.
#[test]
fn the_bound_holds_while_daemons_are_killed_and_start_again() {
    for seed in 1..=12 {
        let mut play = ColdStart::new(24, seed);
        for _ in 0..12 {
            for _ in 0..3 {
                let number = play.draws.below(24);
                play.kill(number);
            }
            let pause = 200 + play.draws.below(900) as u64;
            play.advance(Duration::from_millis(pause));
            play.restart_killed();
            let pause = 100 + play.draws.below(1_500) as u64;
            play.advance(Duration::from_millis(pause));
        }
        play.assert_bound_kept(&format!("seed {seed}"));
    }
}

/// Guards against daemons that are cut off from each other and each hold the lease.
#[test]
fn daemons_that_are_cut_off_send_nothing_to_cold_upstreams() {
    for seed in 1..=8 {
        let mut play = ColdStart::new(24, seed);
        for _ in 0..6 {
            for _ in 0..8 {
                let number = play.draws.below(24);
                play.field.cut_off.insert(number);
            }
            play.advance(3 * SECOND);
            play.field.cut_off.clear();
            play.advance(2 * SECOND);
        }
        play.assert_bound_kept(&format!("seed {seed}"));
    }
}

/// Guards against the head of a long stream that makes its upstream cold once more at its end.
#[test]
fn the_end_of_a_stream_says_nothing_new_of_how_long_its_upstream_is_cold() {
    let mut scene = GatewayScene::ready(1);
    let metadata = ResponseMetadata {
        cold_for: Some(SPEC.duration),
        ..ResponseMetadata::default()
    };
    let request = scene.arrive(arrival("/stream/1"));
    scene.step(GatewayEvent::ResponseStarted { request, metadata });
    let is_cold = |scene: &GatewayScene| {
        let mut states = scene.gateway.fleet().iter();
        states.any(|state| state.is_cold(scene.now))
    };
    assert!(is_cold(&scene));
    scene.advance(SPEC.duration);
    assert!(!is_cold(&scene));
    scene.end(
        request,
        AttemptOutcome::Delivered {
            metadata,
            events: 3,
        },
    );
    assert!(!is_cold(&scene));
}

quickcheck! {
    /// Guards against a bound that two holders at a moment exceed.
    fn two_holders_keep_the_bound(rate: u8, overage: u8, slack: u8) -> TestResult {
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
