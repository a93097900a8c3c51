//! Evacuation of zones.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, config, options, upstream};
use savorywood_gateway::{
    EvacuationOrder, GatewayEvent, RefusalReason, StorePosition, UpstreamEntry, WarmupSpec,
    ZoneLabel,
};
use std::{sync::Arc, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

/// Returns an upstream of one slot.
fn in_zone(number: u16, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        zone: ZoneLabel::from(zone),
        ..upstream(number, 1)
    }
}

fn order(zone: &str, version: u64) -> EvacuationOrder {
    EvacuationOrder {
        zone: ZoneLabel::from(zone),
        position: StorePosition::new(1, version),
    }
}

/// Returns a daemon in `zone-a` with two upstreams in its own zone and two in `zone-b`, of one slot
/// each.
fn two_zones() -> GatewayHarness {
    let mut harness = GatewayHarness::unconfigured(options("host-a"));
    harness.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
    let entries = [
        in_zone(1, "zone-a"),
        in_zone(2, "zone-a"),
        in_zone(3, "zone-b"),
        in_zone(4, "zone-b"),
    ];
    harness.step(GatewayEvent::UpstreamsRead(entries.to_vec()));
    harness.confirm();
    harness
}

/// Sends four requests, as many as there are upstreams; returns the numbers of the upstreams used.
fn upstreams_used(harness: &mut GatewayHarness) -> Vec<u16> {
    let requests: Vec<_> = (0..4).map(|_| harness.arrive(arrival("/safe/1"))).collect();
    let mut numbers = Vec::new();
    for request in &requests {
        for sent in harness.orders(*request) {
            let name = sent.upstream.as_str().rsplit('-').next();
            numbers.push(name.and_then(|text| text.parse().ok()).expect("a number"));
        }
    }
    for request in requests {
        let is_sent = !harness.orders(request).is_empty();
        if is_sent {
            harness.deliver(request);
        } else {
            harness.step(GatewayEvent::CallerDisconnected(request));
        }
    }
    numbers.sort_unstable();
    numbers
}

/// Guards against requests that are dispatched to a zone under evacuation.
#[test]
fn a_zone_under_evacuation_gets_no_new_requests() {
    let mut harness = two_zones();
    assert_eq!(upstreams_used(&mut harness), [1, 2, 3, 4]);
    harness.step(GatewayEvent::EvacuationOrdered(order("zone-a", 5)));
    assert_eq!(upstreams_used(&mut harness), [3, 4]);
    harness.step(GatewayEvent::EvacuationWithdrawn(order("zone-a", 6)));
    assert_eq!(upstreams_used(&mut harness), [1, 2, 3, 4]);
}

/// Guards against requests that are broken off or lost when their zone is evacuated.
#[test]
fn running_requests_finish_and_queued_ones_go_to_other_zones() {
    let mut harness = two_zones();
    let running: Vec<_> = (0..4).map(|_| harness.arrive(arrival("/safe/1"))).collect();
    let waiting = harness.arrive(arrival("/safe/2"));
    harness.step(GatewayEvent::EvacuationOrdered(order("zone-a", 5)));
    let (leaving, staying): (Vec<_>, Vec<_>) = running.into_iter().partition(|request| {
        let upstream = harness.orders(*request)[0].upstream.as_str();
        ["upstream-1", "upstream-2"].contains(&upstream)
    });
    for request in leaving {
        harness.deliver(request);
        assert_eq!(harness.orders(request).len(), 1);
    }
    assert!(harness.orders(waiting).is_empty());
    harness.deliver(staying[0]);
    let moved_to = harness.orders(waiting)[0].upstream.as_str();
    assert!(["upstream-3", "upstream-4"].contains(&moved_to));
}

/// Guards against dispatching to an upstream that registers in a zone after the evacuation order.
#[test]
fn an_upstream_that_registers_in_an_evacuated_zone_gets_no_requests() {
    let mut harness = two_zones();
    harness.step(GatewayEvent::EvacuationOrdered(order("zone-a", 5)));
    harness.step(GatewayEvent::UpstreamWritten(in_zone(5, "zone-a")));
    assert_eq!(upstreams_used(&mut harness), [3, 4]);
}

/// Guards against an evacuation that a daemon misses, or keeps for ever, after a gap in the feed.
#[test]
fn a_full_read_adds_orders_and_ends_those_it_lacks() {
    let mut harness = two_zones();
    harness.step(GatewayEvent::EvacuationsRead {
        orders: vec![order("zone-b", 7)],
        revision: StorePosition::new(1, 9),
    });
    assert_eq!(upstreams_used(&mut harness), [1, 2]);
    harness.step(GatewayEvent::EvacuationsRead {
        orders: Vec::new(),
        revision: StorePosition::new(1, 12),
    });
    assert_eq!(upstreams_used(&mut harness), [1, 2, 3, 4]);
}

/// Guards against an old response of the store that undoes a newer order.
#[test]
fn an_older_read_changes_nothing() {
    let mut harness = two_zones();
    harness.step(GatewayEvent::EvacuationOrdered(order("zone-a", 20)));
    harness.step(GatewayEvent::EvacuationsRead {
        orders: Vec::new(),
        revision: StorePosition::new(1, 12),
    });
    harness.step(GatewayEvent::EvacuationWithdrawn(order("zone-a", 15)));
    assert_eq!(upstreams_used(&mut harness), [3, 4]);
}

/// Guards against requests that hang, or are dispatched, when every zone is evacuated. An order for
/// a zone that does not exist must have no effect.
#[test]
fn with_all_zones_evacuated_callers_are_refused_at_once() {
    let mut harness = two_zones();
    harness.step(GatewayEvent::EvacuationOrdered(order("nowhere", 4)));
    assert_eq!(upstreams_used(&mut harness), [1, 2, 3, 4]);
    for (zone, version) in [("zone-a", 5), ("zone-b", 6)] {
        harness.step(GatewayEvent::EvacuationOrdered(order(zone, version)));
    }
    let request = harness.arrive(arrival("/safe/1"));
    harness.advance(SECOND / 2);
    assert_eq!(harness.refusal(request), Some(RefusalReason::NoUpstream));
    assert!(harness.orders(request).is_empty());
    assert!(harness.gateway.is_ready(harness.now));
}

/// Guards against sending the full load at once to the cold upstreams of a zone that is taken back.
#[test]
fn upstreams_of_a_zone_taken_back_are_warmed_up() {
    let mut harness = two_zones();
    let mut config = config(2, None);
    for service in config.services.values_mut() {
        service.warmup = Some(WarmupSpec {
            duration: 3 * SECOND,
            per_second: 6.6,
        });
    }
    harness.step(GatewayEvent::ConfigRead(Arc::new(config)));
    harness.step(GatewayEvent::EvacuationOrdered(order("zone-a", 5)));
    harness.step(GatewayEvent::EvacuationWithdrawn(order("zone-a", 6)));
    let cold = harness.gateway.fleet().iter();
    let cold = cold.filter(|state| state.is_cold(harness.now));
    assert_eq!(cold.count(), 2);
    harness.now = harness.now + 3 * SECOND;
    let mut upstreams = harness.gateway.fleet().iter();
    assert!(!upstreams.any(|state| state.is_cold(harness.now)));
}
