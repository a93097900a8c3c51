//! Placement by the memory of upstreams, and crashes of upstreams whose memory was exceeded.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, config, options, upstream};
use savorywood_gateway::{
    AttemptOutcome, ContentDigest, EngineSpec, GatewayEffect, GatewayEvent, LocalRequest,
    RefusalReason, RequestArrival, RequestSize, ServiceLabel, UpstreamLabel,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

const CAPACITY: u64 = 100_000;

/// Sets the memory of the upstreams; the version of the configuration rises with each call.
fn declare(harness: &mut GatewayHarness, version: u64, cache_tokens: u64) {
    let mut declared = config(version, None);
    let service = declared.services.get_mut(&ServiceLabel::from("engine"));
    service.expect("the service").engine = Some(EngineSpec {
        slots: 4,
        cache_tokens,
    });
    harness.step(GatewayEvent::ConfigRead(Arc::new(declared)));
    harness.confirm();
}

/// Returns a gateway with upstreams of four slots and `cache_tokens` of memory.
fn with_memory(upstreams: u16, cache_tokens: u64) -> GatewayHarness {
    let mut harness = GatewayHarness::unconfigured(options("host-a"));
    declare(&mut harness, 1, cache_tokens);
    let entries = (1..=upstreams).map(|number| upstream(number, 4)).collect();
    harness.step(GatewayEvent::UpstreamsRead(entries));
    harness
}

fn request(number: u64, prompt_tokens: u32, max_output_tokens: u32) -> RequestArrival {
    RequestArrival {
        content_digest: ContentDigest(number),
        prompt_parts: Vec::new(),
        size: Some(RequestSize {
            prompt_tokens,
            max_output_tokens,
        }),
        ..arrival("/safe/1")
    }
}

/// Returns the upstream of a request's last dispatch.
fn placed(harness: &GatewayHarness, request: LocalRequest) -> Option<UpstreamLabel> {
    let orders = harness.orders(request);
    orders.last().map(|order| order.upstream.clone())
}

/// Returns the tokens in progress by upstream.
fn tokens(
    harness: &GatewayHarness,
    requests: &[(LocalRequest, u64)],
) -> BTreeMap<UpstreamLabel, u64> {
    let mut sums = BTreeMap::new();
    for (request, tokens) in requests {
        if let Some(upstream) = placed(harness, *request) {
            *sums.entry(upstream).or_default() += tokens;
        }
    }
    sums
}

/// Guards against requests that together exceed the memory of an upstream, which crashes it although
/// it has free slots, and against requests that wait although they fit.
#[test]
fn requests_are_placed_within_the_memory() {
    let mut harness = with_memory(2, CAPACITY);
    let requests: Vec<_> = (0..6)
        .map(|number| (harness.arrive(request(number, 40_000, 1_000)), 41_000))
        .collect();
    let sums = tokens(&harness, &requests);
    assert!(sums.values().all(|sum| *sum == 82_000), "{sums:?}");
    assert_eq!(sums.len(), 2);
    let small = harness.arrive(request(7, 10_000, 1_000));
    assert!(
        placed(&harness, small).is_some(),
        "a request that fits waits"
    );
    harness.deliver(requests[0].0);
    let waiting: Vec<_> = requests[4..]
        .iter()
        .filter(|(request, _)| placed(&harness, *request).is_some())
        .collect();
    assert_eq!(
        waiting.len(),
        1,
        "the tokens of an ended request are not free"
    );
}

/// Guards against a request that exceeds the memory of every upstream and either crashes one after the
/// other or waits until its deadline.
#[test]
fn request_beyond_the_memory_is_refused() {
    let mut harness = with_memory(2, CAPACITY);
    let request = harness.arrive(request(1, 99_500, 1_000));
    harness.advance(Duration::from_millis(500));
    assert_eq!(harness.refusal(request), Some(RefusalReason::NoUpstream));
    assert!(placed(&harness, request).is_none());
}

/// Guards against a declared memory of zero, or none, that stops all requests.
#[test]
fn undeclared_memory_is_no_limit() {
    let mut harness = with_memory(1, 0);
    let request = harness.arrive(request(1, 500_000, 1_000));
    assert!(placed(&harness, request).is_some());
}

/// Lets a pair of requests crash three upstreams, one after the other. The memory is reduced after the
/// pair was placed.
fn crash_pairs(harness: &mut GatewayHarness, tokens: u32, reduced: u64) {
    for round in 0..3 {
        declare(harness, 2 + 2 * round, 1_000_000);
        let number = u16::try_from(round).expect("a small number") + 1;
        harness.step(GatewayEvent::UpstreamsRead(vec![upstream(number, 4)]));
        let pair = [1, 2].map(|number| harness.arrive(request(number, tokens, 0)));
        assert!(pair.iter().all(|one| placed(harness, *one).is_some()));
        declare(harness, 3 + 2 * round, reduced);
        for request in pair {
            harness.end(request, AttemptOutcome::Broken { stalled: false });
        }
        for request in pair {
            harness.step(GatewayEvent::CallerDisconnected(request));
        }
        harness.advance(Duration::from_secs(10));
        harness.confirm();
    }
}

/// Guards against the quarantine of requests that crash upstreams only together. The second attempt
/// that breaks finds fewer tokens than the first.
#[test]
fn crash_by_exceeded_memory_is_not_attributed_to_a_request() {
    let mut harness = with_memory(8, CAPACITY);
    crash_pairs(&mut harness, 60_000, CAPACITY);
    assert_eq!(harness.gateway.quarantined_requests(), 0);
    let line = harness.effects.iter().any(|effect| {
        matches!(effect, GatewayEffect::Log(line)
            if line.to_string().contains("event=upstream-memory-exceeded"))
    });
    assert!(line, "the crash is not logged");
}

/// Guards against a request that crashes upstreams and escapes the quarantine because the memory of
/// its upstreams is declared.
#[test]
fn crash_within_the_memory_is_attributed() {
    let mut harness = with_memory(8, CAPACITY);
    crash_pairs(&mut harness, 1_000, CAPACITY);
    assert!(harness.gateway.quarantined_requests() > 0);
}

/// Guards against the requests of a crash that come together again at the next upstream.
#[test]
fn requests_of_a_crash_are_not_sent_together_again() {
    let mut harness = with_memory(1, 1_000_000);
    let requests: Vec<_> = (0..4)
        .map(|number| (harness.arrive(request(number, 40_000, 1_000)), 41_000))
        .collect();
    assert_eq!(tokens(&harness, &requests).len(), 1);
    declare(&mut harness, 2, CAPACITY);
    let entries = (1..=3).map(|number| upstream(number, 4)).collect();
    harness.step(GatewayEvent::UpstreamsRead(entries));
    for (request, _) in &requests {
        harness.end(*request, AttemptOutcome::Broken { stalled: false });
    }
    let again: Vec<_> = requests
        .iter()
        .copied()
        .filter(|(request, _)| harness.orders(*request).len() > 1)
        .collect();
    assert!(again.len() >= 3, "the requests are not sent again");
    let sums = tokens(&harness, &again);
    assert!(sums.values().all(|sum| *sum <= CAPACITY), "{sums:?}");
}
