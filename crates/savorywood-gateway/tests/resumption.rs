//! Streams that have begun and are continued at another upstream.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, config, upstream};
use savorywood_gateway::{
    AttemptOutcome, ContentDigest, CrashGossip, CrashReport, GatewayEffect, GatewayEvent,
    LocalRequest, ReportedCrash, RequestArrival, RequestFingerprint, ResponseMetadata, ServiceSpec,
    StreamInterruption, TeamLabel, UpstreamEntry, WarmupSpec, name_digest,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

const STEP: Duration = Duration::from_millis(10);

/// Returns the outcome of an attempt that the upstream turned away.
fn rejected() -> AttemptOutcome {
    AttemptOutcome::NotRun {
        misdirected: false,
        metadata: ResponseMetadata::default(),
    }
}

/// Returns a stream of its own content.
fn stream(number: u64) -> RequestArrival {
    RequestArrival {
        content_digest: ContentDigest(number),
        ..arrival("/stream/1")
    }
}

fn broken_stream(stalled: bool) -> AttemptOutcome {
    AttemptOutcome::StreamBroken(StreamInterruption { events: 1, stalled })
}

fn start(harness: &mut GatewayHarness, request: LocalRequest) {
    let metadata = ResponseMetadata::default();
    harness.step(GatewayEvent::ResponseStarted { request, metadata });
}

fn with_upstreams(entries: Vec<UpstreamEntry>) -> GatewayHarness {
    let mut harness = GatewayHarness::ready(0);
    harness.step(GatewayEvent::UpstreamsRead(entries));
    harness
}

fn current_upstream(harness: &GatewayHarness, request: LocalRequest) -> String {
    let orders = harness.orders(request);
    let newest = orders.last().expect("a dispatch");
    newest.upstream.as_str().to_owned()
}

fn abandoned(harness: &GatewayHarness) -> Vec<LocalRequest> {
    let effects = harness.effects.iter();
    let abandoned = effects.filter_map(|effect| match effect {
        GatewayEffect::AbandonAttempt { request } => Some(*request),
        _ => None,
    });
    abandoned.collect()
}

fn is_cut(harness: &GatewayHarness) -> bool {
    let mut effects = harness.effects.iter();
    effects.any(|effect| matches!(effect, GatewayEffect::AbortResponse { .. }))
}

/// Ends each cancelled attempt and returns the number of those.
fn end_abandoned(harness: &mut GatewayHarness, ended: &mut usize) {
    let requests = abandoned(harness);
    for request in &requests[*ended..] {
        harness.end(*request, broken_stream(true));
    }
    *ended = requests.len();
}

/// Starts streams at the only upstream.
fn start_streams(harness: &mut GatewayHarness, count: u64) -> Vec<LocalRequest> {
    let requests: Vec<LocalRequest> = (1..=count)
        .map(|number| harness.arrive(stream(number)))
        .collect();
    for request in &requests {
        start(harness, *request);
    }
    requests
}

/// Guards against a stream that waits for a full upstream until its deadline while the one that it
/// left is idle.
#[test]
fn a_stream_returns_to_its_upstream_when_no_other_has_a_slot() {
    let mut harness = with_upstreams(vec![upstream(1, 1)]);
    let request = start_streams(&mut harness, 1)[0];
    harness.step(GatewayEvent::UpstreamWritten(upstream(2, 1)));
    let other = harness.arrive(stream(2));
    start(&mut harness, other);
    assert_eq!(current_upstream(&harness, other), "upstream-2");
    harness.end(request, broken_stream(false));
    for _ in 0..300 {
        harness.advance(STEP);
        harness.step(GatewayEvent::ResponseProgressed {
            request: other,
            events: 1,
        });
    }
    assert_eq!(harness.orders(request).len(), 2, "dispatches after 3 s");
}

/// Guards against streams that wait for a full upstream and keep new requests from idle ones.
#[test]
fn new_requests_pass_streams_that_find_no_slot() {
    let mut harness = with_upstreams(vec![upstream(1, 4)]);
    let requests = start_streams(&mut harness, 3);
    harness.step(GatewayEvent::UpstreamWritten(upstream(2, 1)));
    let other = loop {
        let other = harness.arrive(stream(50));
        if current_upstream(&harness, other) == "upstream-2" {
            break other;
        }
        harness.deliver(other);
    };
    start(&mut harness, other);
    for request in &requests {
        harness.end(*request, broken_stream(false));
    }
    for _ in 0..150 {
        harness.advance(STEP);
        harness.step(GatewayEvent::ResponseProgressed {
            request: other,
            events: 1,
        });
    }
    let new = harness.arrive(stream(60));
    for _ in 0..150 {
        harness.advance(STEP);
        harness.step(GatewayEvent::ResponseProgressed {
            request: other,
            events: 1,
        });
    }
    assert_eq!(harness.orders(new).len(), 1, "dispatches after 1.5 s");
}

/// Returns the streams that are at `upstream-2` after `upstream-1` sent nothing for 3 s.
fn moved_streams(harness: &mut GatewayHarness, requests: &[LocalRequest]) -> usize {
    let mut ended = 0;
    for _ in 0..300 {
        harness.advance(STEP);
        end_abandoned(harness, &mut ended);
    }
    let moved = requests
        .iter()
        .filter(|request| current_upstream(harness, **request) == "upstream-2");
    moved.count()
}

/// Guards against streams that all move to an upstream that is on probation.
#[test]
fn an_upstream_on_probation_gets_one_stream_of_a_silent_one() {
    let mut harness = with_upstreams(vec![upstream(1, 8)]);
    let requests = start_streams(&mut harness, 4);
    harness.step(GatewayEvent::UpstreamWritten(upstream(2, 8)));
    let mut failures = 0;
    while failures < 3 {
        let request = harness.arrive(arrival("/once/1"));
        if current_upstream(&harness, request) == "upstream-2" {
            failures += 1;
        }
        harness.end(request, AttemptOutcome::Broken { stalled: false });
    }
    for request in &requests {
        harness.step(GatewayEvent::ResponseProgressed {
            request: *request,
            events: 1,
        });
    }
    let moved = moved_streams(&mut harness, &requests);
    assert!(moved <= 1, "{moved} streams at an ejected upstream");
}

/// Guards against streams that all move to a cold upstream at once.
#[test]
fn a_cold_upstream_gets_the_streams_of_a_silent_one_at_its_rate() {
    let mut harness = GatewayHarness::ready(0);
    let mut declared = config(2, None);
    let warmup = WarmupSpec {
        duration: Duration::from_secs(10),
        per_second: 1.0,
    };
    for service in declared.services.values_mut() {
        *service = ServiceSpec {
            warmup: Some(warmup),
            ..service.clone()
        };
    }
    harness.step(GatewayEvent::ConfigRead(Arc::new(declared)));
    harness.step(GatewayEvent::UpstreamsRead(vec![upstream(1, 8)]));
    harness.confirm();
    for _ in 0..100 {
        harness.advance(STEP);
    }
    harness.confirm();
    let requests = start_streams(&mut harness, 5);
    let cold = UpstreamEntry {
        cold_for: Duration::from_secs(10),
        ..upstream(2, 8)
    };
    harness.step(GatewayEvent::UpstreamWritten(cold));
    let mut ended = 0;
    let mut dispatched_at = Vec::new();
    let mut seen: BTreeMap<LocalRequest, usize> = BTreeMap::new();
    for _ in 0..300 {
        harness.advance(STEP);
        end_abandoned(&mut harness, &mut ended);
        for request in &requests {
            let orders = harness.orders(*request).len();
            if seen.insert(*request, orders).unwrap_or(1) < orders
                && current_upstream(&harness, *request) == "upstream-2"
            {
                dispatched_at.push(harness.now);
            }
        }
    }
    assert!(!dispatched_at.is_empty(), "no stream moved");
    let too_close = dispatched_at
        .windows(2)
        .filter(|pair| pair[1].since(pair[0]) < Duration::from_millis(900));
    assert_eq!(too_close.count(), 0, "{dispatched_at:?}");
}

/// Guards against an attempt that is cancelled although the request can't be sent again.
#[test]
fn the_last_attempt_of_a_request_is_not_cancelled_for_its_silence() {
    let mut harness = GatewayHarness::ready(3);
    let request = harness.arrive(arrival("/safe/1"));
    for _ in 0..200 {
        if harness.orders(request).len() >= 4 {
            break;
        }
        harness.end(request, rejected());
        harness.advance(STEP);
    }
    assert_eq!(harness.orders(request).len(), 4);
    for _ in 0..300 {
        harness.advance(STEP);
    }
    assert_eq!(abandoned(&harness), []);
}

/// Guards against a stream that is cancelled for a silence and then cut because it is in quarantine.
#[test]
fn a_stream_in_quarantine_is_not_cancelled_for_its_silence() {
    let mut harness = with_upstreams(vec![upstream(1, 1)]);
    start_streams(&mut harness, 1);
    harness.step(GatewayEvent::UpstreamWritten(upstream(2, 1)));
    let team = TeamLabel::from("team");
    let fingerprint = RequestFingerprint::new(ContentDigest(1), Some(&team));
    let crashes = (1..=4)
        .map(|number| ReportedCrash {
            upstream: number,
            number: 1,
            age_ms: 100,
        })
        .collect();
    harness.step(GatewayEvent::CrashesReported(CrashGossip {
        zone: name_digest("zone-a"),
        reports: vec![CrashReport {
            fingerprint,
            crashes,
            served_ms: None,
        }],
    }));
    assert_eq!(harness.gateway.quarantined_requests(), 1);
    let mut ended = 0;
    for _ in 0..300 {
        harness.advance(STEP);
        end_abandoned(&mut harness, &mut ended);
    }
    assert!(!is_cut(&harness), "cut after {ended} cancelled attempts");
}

/// Returns a gateway with a cancelled attempt at `upstream-1`, for which a slot of `upstream-2` is
/// held.
fn cancelled(response_begun: bool) -> (GatewayHarness, LocalRequest) {
    let mut harness = with_upstreams(vec![upstream(1, 1)]);
    let request = harness.arrive(stream(1));
    if response_begun {
        start(&mut harness, request);
    }
    harness.step(GatewayEvent::UpstreamWritten(upstream(2, 1)));
    for _ in 0..600 {
        harness.advance(STEP);
        if !abandoned(&harness).is_empty() {
            return (harness, request);
        }
    }
    panic!("the attempt was not cancelled");
}

/// Guards against a slot that stays held after the cancelled attempt has sent its first event.
#[test]
fn the_held_slot_is_released_when_the_response_begins_after_all() {
    for response_begun in [false, true] {
        let (mut harness, request) = cancelled(response_begun);
        if response_begun {
            harness.step(GatewayEvent::ResponseProgressed { request, events: 1 });
        } else {
            start(&mut harness, request);
        }
        let running: u32 = harness
            .gateway
            .fleet()
            .iter()
            .map(|state| state.running)
            .sum();
        assert_eq!(running, 1, "begun before: {response_begun}");
    }
}
