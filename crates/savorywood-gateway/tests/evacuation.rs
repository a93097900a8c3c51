//! Zones that operators evacuate.

#[path = "common/scene.rs"]
mod scene;

use savorywood_gateway::{
    EvacuationOrder, GatewayEvent, RefusalReason, StorePosition, UpstreamEntry, WarmupSpec,
    ZoneLabel,
};
use scene::{GatewayScene, arrival, config, options, upstream};
use std::{sync::Arc, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

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

/// Two upstreams in the own zone and two in another one, of one slot each.
fn two_zones() -> GatewayScene {
    let mut scene = GatewayScene::empty(options("host-a"));
    scene.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
    let entries = [
        in_zone(1, "zone-a"),
        in_zone(2, "zone-a"),
        in_zone(3, "zone-b"),
        in_zone(4, "zone-b"),
    ];
    scene.step(GatewayEvent::UpstreamsRead(entries.to_vec()));
    scene.confirm();
    scene
}

/// Numbers of the upstreams that get as many requests as there are upstreams.
fn used(scene: &mut GatewayScene) -> Vec<u16> {
    let requests: Vec<_> = (0..4).map(|_| scene.arrive(arrival("/safe/1"))).collect();
    let mut numbers = Vec::new();
    for request in &requests {
        for sent in scene.orders(*request) {
            let name = sent.upstream.as_str().rsplit('-').next();
            numbers.push(name.and_then(|text| text.parse().ok()).expect("a number"));
        }
    }
    for request in requests {
        let is_sent = !scene.orders(request).is_empty();
        if is_sent {
            scene.deliver(request);
        } else {
            scene.step(GatewayEvent::CallerDisconnected(request));
        }
    }
    numbers.sort_unstable();
    numbers
}

/// Guards against requests that reach a zone which operators are emptying.
#[test]
fn nothing_new_goes_to_a_zone_under_evacuation() {
    let mut scene = two_zones();
    assert_eq!(used(&mut scene), [1, 2, 3, 4]);
    scene.step(GatewayEvent::EvacuationOrdered(order("zone-a", 5)));
    assert_eq!(used(&mut scene), [3, 4]);
    scene.step(GatewayEvent::EvacuationWithdrawn(order("zone-a", 6)));
    assert_eq!(used(&mut scene), [1, 2, 3, 4]);
}

/// Guards against work that is cut off, or lost, when its zone is evacuated.
#[test]
fn work_that_runs_there_ends_there_and_work_that_waits_moves() {
    let mut scene = two_zones();
    let running: Vec<_> = (0..4).map(|_| scene.arrive(arrival("/safe/1"))).collect();
    let waiting = scene.arrive(arrival("/safe/2"));
    scene.step(GatewayEvent::EvacuationOrdered(order("zone-a", 5)));
    let (leaving, staying): (Vec<_>, Vec<_>) = running.into_iter().partition(|request| {
        let upstream = scene.orders(*request)[0].upstream.as_str();
        ["upstream-1", "upstream-2"].contains(&upstream)
    });
    for request in leaving {
        scene.deliver(request);
        assert_eq!(scene.orders(request).len(), 1);
    }
    assert!(scene.orders(waiting).is_empty());
    scene.deliver(staying[0]);
    let moved_to = scene.orders(waiting)[0].upstream.as_str();
    assert!(["upstream-3", "upstream-4"].contains(&moved_to));
}

/// Guards against an upstream that registers in an evacuated zone and gets work at once.
#[test]
fn an_upstream_that_joins_an_evacuated_zone_gets_nothing() {
    let mut scene = two_zones();
    scene.step(GatewayEvent::EvacuationOrdered(order("zone-a", 5)));
    scene.step(GatewayEvent::UpstreamWritten(in_zone(5, "zone-a")));
    assert_eq!(used(&mut scene), [3, 4]);
}

/// Guards against an evacuation that a daemon forgets, or holds for ever, after a gap in the feed.
#[test]
fn a_full_read_brings_orders_and_ends_those_it_lacks() {
    let mut scene = two_zones();
    scene.step(GatewayEvent::EvacuationsRead {
        orders: vec![order("zone-b", 7)],
        revision: StorePosition::new(1, 9),
    });
    assert_eq!(used(&mut scene), [1, 2]);
    scene.step(GatewayEvent::EvacuationsRead {
        orders: Vec::new(),
        revision: StorePosition::new(1, 12),
    });
    assert_eq!(used(&mut scene), [1, 2, 3, 4]);
}

/// Guards against an old answer that undoes a newer order.
#[test]
fn an_older_read_changes_nothing() {
    let mut scene = two_zones();
    scene.step(GatewayEvent::EvacuationOrdered(order("zone-a", 20)));
    scene.step(GatewayEvent::EvacuationsRead {
        orders: Vec::new(),
        revision: StorePosition::new(1, 12),
    });
    scene.step(GatewayEvent::EvacuationWithdrawn(order("zone-a", 15)));
    assert_eq!(used(&mut scene), [3, 4]);
}

/// Guards against requests that hang, or reach an upstream, when every zone is evacuated; an order
/// for a zone that nobody knows must harm nothing.
#[test]
fn with_all_zones_evacuated_callers_are_refused_at_once() {
    let mut scene = two_zones();
    scene.step(GatewayEvent::EvacuationOrdered(order("nowhere", 4)));
    assert_eq!(used(&mut scene), [1, 2, 3, 4]);
    for (zone, version) in [("zone-a", 5), ("zone-b", 6)] {
        scene.step(GatewayEvent::EvacuationOrdered(order(zone, version)));
    }
    let request = scene.arrive(arrival("/safe/1"));
    scene.advance(SECOND / 2);
    assert_eq!(scene.refusal(request), Some(RefusalReason::NoUpstream));
    assert!(scene.orders(request).is_empty());
    assert!(scene.gateway.is_ready(scene.now));
}

/// Guards against a zone of cold upstreams that is filled at full pace when it is taken back.
#[test]
fn a_zone_that_is_taken_back_starts_slowly() {
    let mut scene = two_zones();
    let mut config = config(2, None);
    for service in config.services.values_mut() {
        service.warmup = Some(WarmupSpec {
            duration: 3 * SECOND,
            per_second: 6.6,
        });
    }
    scene.step(GatewayEvent::ConfigRead(Arc::new(config)));
    scene.step(GatewayEvent::EvacuationOrdered(order("zone-a", 5)));
    scene.step(GatewayEvent::EvacuationWithdrawn(order("zone-a", 6)));
    let cold = scene.gateway.fleet().iter();
    let cold = cold.filter(|state| state.is_cold(scene.now));
    assert_eq!(cold.count(), 2);
    scene.now = scene.now + 3 * SECOND;
    let mut upstreams = scene.gateway.fleet().iter();
    assert!(!upstreams.any(|state| state.is_cold(scene.now)));
}
