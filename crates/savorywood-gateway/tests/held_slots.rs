//! Slots that are held for the next attempt of a stream.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, upstream};
use savorywood_gateway::{
    AttemptOutcome, GatewayEffect, GatewayEvent, LocalRequest, ResponseMetadata,
    StreamInterruption, UpstreamEntry,
};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);

fn broken_stream(stalled: bool) -> AttemptOutcome {
    AttemptOutcome::StreamBroken(StreamInterruption { events: 1, stalled })
}

/// Returns a gateway with a cancelled attempt of a stream at `upstream-1`, for which a slot of
/// `upstream-2` is held.
fn cancelled() -> (GatewayHarness, LocalRequest) {
    let mut harness = GatewayHarness::ready(1);
    let request = harness.arrive(arrival("/stream/1"));
    let metadata = ResponseMetadata::default();
    harness.step(GatewayEvent::ResponseStarted { request, metadata });
    harness.step(GatewayEvent::UpstreamWritten(upstream(2, 1)));
    for _ in 0..600 {
        harness.advance(STEP);
        let mut effects = harness.effects.iter();
        if effects.any(|effect| matches!(effect, GatewayEffect::AbandonAttempt { .. })) {
            return (harness, request);
        }
    }
    panic!("the attempt was not cancelled");
}

/// Guards against slots that stay held when a request with a held slot ends.
#[test]
fn no_slot_stays_held_after_the_end_of_a_request() {
    let metadata = ResponseMetadata::default();
    let outcomes = [
        AttemptOutcome::Delivered {
            metadata,
            events: 1,
        },
        AttemptOutcome::CallerDisconnected,
        AttemptOutcome::Expired,
        AttemptOutcome::NotSent,
        AttemptOutcome::NotRelayed,
        AttemptOutcome::Failed { metadata },
        AttemptOutcome::NotRun {
            misdirected: false,
            metadata,
        },
        broken_stream(true),
        broken_stream(false),
    ];
    for outcome in outcomes {
        for change in 0..4 {
            let (mut harness, request) = cancelled();
            let second = upstream(2, 1);
            match change {
                1 => harness.step(GatewayEvent::UpstreamRemoved(second.name)),
                2 => harness.step(GatewayEvent::UpstreamWritten(UpstreamEntry {
                    incarnation: 2,
                    ..second
                })),
                3 => harness.step(GatewayEvent::UpstreamsRead(Vec::new())),
                _ => {}
            }
            harness.advance(STEP);
            harness.end(request, outcome.clone());
            harness.step(GatewayEvent::CallerDisconnected(request));
            assert_eq!(harness.gateway.open_requests(), 0);
            let running: u32 = harness
                .gateway
                .fleet()
                .iter()
                .map(|state| state.running)
                .sum();
            assert_eq!(running, 0, "{outcome:?} after change {change}");
        }
    }
}
