//! Streams of upstreams that send nothing for a second or so and then continue.

#[path = "common/harness.rs"]
mod harness;
#[path = "common/load.rs"]
mod load;

use harness::{GatewayHarness, arrival};
use load::{LoadEnvironment, calls::CallKind};
use savorywood_gateway::{
    AttemptOutcome, GatewayEffect, GatewayEvent, LocalRequest, ResponseMetadata, StreamInterruption,
};
use std::time::Duration;

const DAEMONS: usize = 8;
const SLOTS: u32 = 4;
/// Requests that an upstream queues beyond its slots before it turns others away.
const MAX_QUEUE: usize = 2;
/// Time for which an upstream sends nothing.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Time between the beginnings of two silences.
const SILENCE_INTERVAL: Duration = Duration::from_millis(700);

/// Streams that can be resumed at another upstream.
fn briefs(per_second: f64) -> CallKind {
    CallKind {
        path: "/brief/",
        rank: 0,
        per_second,
        resumable: true,
        prompt: (2_500.0, 0.5, 12_000.0),
        tokens: (200.0, 0.5, 1_500.0),
        objective: Duration::from_secs(1),
        gap_objective: Duration::from_millis(800),
        caller_idle_timeout: Duration::from_millis(6_400),
        deadline: Duration::from_secs(8),
    }
}

/// Less urgent streams of the same service.
fn notes(per_second: f64) -> CallKind {
    CallKind {
        path: "/note/",
        rank: 1,
        prompt: (900.0, 0.5, 4_000.0),
        ..briefs(per_second)
    }
}

/// Runs daemons whose upstreams are silent in turn.
fn run_with_silences(upstreams: usize, kinds: Vec<CallKind>) -> LoadEnvironment {
    let mut environment = LoadEnvironment::new(DAEMONS, &vec![1.0; upstreams], SLOTS, kinds);
    for engine in &mut environment.engines {
        engine.max_queue = Some(MAX_QUEUE);
    }
    for number in 0..30 {
        environment.advance(SILENCE_INTERVAL, true);
        let until = environment.now + SILENCE;
        environment.engines[number % upstreams].silent_until = Some(until);
    }
    environment.run(Duration::from_secs(2));
    environment
}

/// Guards against streams that are cut because their upstream was silent for a moment.
#[test]
fn no_stream_is_cut_because_its_upstream_was_silent() {
    for load in [20.0, 30.0, 40.0, 60.0, 90.0] {
        let environment = run_with_silences(6, vec![briefs(load * 0.4), notes(load * 0.6)]);
        let cut: Vec<u32> = environment
            .tallies
            .iter()
            .map(|tally| tally.cut_early)
            .collect();
        assert_eq!(cut, [0, 0], "{load} requests a second");
    }
}

/// Returns a gateway with a stream whose silent attempt it has just cancelled.
fn abandoned_stream() -> (GatewayHarness, LocalRequest) {
    let mut harness = GatewayHarness::ready(2);
    let request = harness.arrive(arrival("/stream/1"));
    let metadata = ResponseMetadata::default();
    harness.step(GatewayEvent::ResponseStarted { request, metadata });
    for _ in 0..200 {
        harness.advance(Duration::from_millis(10));
        if was_abandoned(&harness) {
            let interruption = StreamInterruption {
                events: 1,
                stalled: true,
            };
            harness.end(request, AttemptOutcome::StreamBroken(interruption));
            return (harness, request);
        }
    }
    panic!("the attempt was not cancelled");
}

fn was_abandoned(harness: &GatewayHarness) -> bool {
    let mut effects = harness.effects.iter();
    effects.any(|effect| matches!(effect, GatewayEffect::AbandonAttempt { .. }))
}

fn is_cut(harness: &GatewayHarness) -> bool {
    let mut effects = harness.effects.iter();
    effects.any(|effect| matches!(effect, GatewayEffect::AbortResponse { .. }))
}

/// Guards against a stream that is cut because the next upstreams turn it away.
#[test]
fn a_stream_that_was_taken_from_a_silent_upstream_outlasts_rejections() {
    let (mut harness, request) = abandoned_stream();
    let mut rejections = 0;
    for _ in 0..200 {
        if harness.orders(request).len() > 1 + rejections {
            rejections += 1;
            let outcome = AttemptOutcome::NotRun {
                misdirected: false,
                metadata: ResponseMetadata::default(),
            };
            harness.end(request, outcome);
        }
        harness.advance(Duration::from_millis(10));
    }
    assert!(rejections > 0);
    assert!(!is_cut(&harness), "after {rejections} rejections");
}

/// Guards against a slot that stays held for a stream whose upstream continues.
#[test]
fn a_slot_is_released_when_the_silent_upstream_continues() {
    let mut harness = GatewayHarness::ready(2);
    let request = harness.arrive(arrival("/stream/1"));
    let metadata = ResponseMetadata::default();
    harness.step(GatewayEvent::ResponseStarted { request, metadata });
    while !was_abandoned(&harness) {
        harness.advance(Duration::from_millis(10));
    }
    assert!(harness.gateway.is_attempt_abandoned(request));
    let in_use = |harness: &GatewayHarness| {
        let states = harness.gateway.fleet().iter();
        states.map(|state| state.running).sum::<u32>()
    };
    assert_eq!(in_use(&harness), 2);
    harness.step(GatewayEvent::ResponseProgressed { request, events: 1 });
    assert!(!harness.gateway.is_attempt_abandoned(request));
    assert_eq!(in_use(&harness), 1);
    harness.deliver(request);
    assert_eq!(in_use(&harness), 0);
}
