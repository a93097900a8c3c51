//! Partition of a daemon from all upstreams, and relaying of requests through peers.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, config, options, peer_summary, upstream};
use savorywood_gateway::{
    AttemptOutcome, GatewayEffect, GatewayEvent, LocalRequest, PeerSummary, RateLimit,
    RefusalReason, RegionLabel, RegionMap, RelayRefusal, ResponseMetadata, ServiceLabel,
    UpstreamAnnouncement, UpstreamLabel, ZoneLabel,
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

fn peer_address(number: u8) -> SocketAddr {
    format!("10.0.0.{number}:7600").parse().expect("an address")
}

fn summary(number: u8, zone: &str, partitioned: bool) -> GatewayEvent {
    GatewayEvent::SummaryReceived(Box::new(PeerSummary {
        partitioned,
        ..peer_summary(number, zone, 1)
    }))
}

/// Returns the checks that were ordered so far, as numbers of targets.
fn checks(harness: &GatewayHarness) -> Vec<usize> {
    let effects = harness.effects.iter();
    let checks = effects.filter_map(|effect| match effect {
        GatewayEffect::CheckUpstreams(targets) => Some(targets.len()),
        _ => None,
    });
    checks.collect()
}

fn relays(harness: &GatewayHarness, request: LocalRequest) -> Vec<SocketAddr> {
    let orders = harness.orders(request);
    orders.last().expect("a dispatch").relays.clone()
}

/// Returns a daemon that has found that it reaches no upstream.
fn partitioned(upstreams: u16) -> GatewayHarness {
    let mut harness = GatewayHarness::ready(upstreams);
    harness.step(GatewayEvent::UpstreamsChecked { reached: 0 });
    assert!(harness.gateway.is_partitioned());
    harness
}

/// Guards against a partition that is assumed because a single upstream has failed.
#[test]
fn failures_of_one_upstream_start_no_check() {
    let mut harness = GatewayHarness::ready(4);
    for path in ["/once/1", "/once/2"] {
        let request = harness.arrive(arrival(path));
        harness.end(request, AttemptOutcome::Broken { stalled: false });
        let other = harness.orders(request)[0].upstream.clone();
        for name in (1..=4).map(|number| upstream(number, 1).name) {
            if name != other {
                harness.step(GatewayEvent::UpstreamRemoved(name));
            }
        }
    }
    harness.advance(Duration::from_millis(100));
    assert_eq!(checks(&harness), Vec::<usize>::new());
}

/// Guards against a daemon that takes the failure of one service for a partition.
#[test]
fn a_check_includes_upstreams_of_other_services() {
    let mut harness = GatewayHarness::ready(3);
    let mut other = upstream(9, 1);
    other.service = ServiceLabel::from("wire");
    let other_address = other.address;
    harness.step(GatewayEvent::UpstreamWritten(other));
    let request = harness.arrive(arrival("/safe/1"));
    harness.end(request, AttemptOutcome::NotSent);
    harness.end(request, AttemptOutcome::NotSent);
    let targets = harness.effects.iter().find_map(|effect| match effect {
        GatewayEffect::CheckUpstreams(targets) => Some(targets.clone()),
        _ => None,
    });
    let targets = targets.expect("a check");
    assert!(targets.contains(&other_address), "{targets:?}");
    harness.step(GatewayEvent::UpstreamsChecked { reached: 1 });
    assert!(!harness.gateway.is_partitioned());
}

/// Guards against connections that hang unnoticed until a deadline passes.
#[test]
fn a_silence_of_several_upstreams_is_checked() {
    let mut harness = GatewayHarness::ready(3);
    harness.arrive(arrival("/once/1"));
    harness.advance(Duration::from_millis(1_000));
    assert_eq!(checks(&harness), Vec::<usize>::new());
    harness.arrive(arrival("/once/2"));
    for _ in 0..30 {
        harness.advance(Duration::from_millis(50));
    }
    assert_eq!(checks(&harness).first(), Some(&3));
}

/// Guards against checks that are repeated while slow upstreams are merely silent.
#[test]
fn a_silence_is_checked_once_a_second() {
    let mut harness = GatewayHarness::ready(3);
    harness.arrive(arrival("/once/1"));
    harness.arrive(arrival("/once/2"));
    for _ in 0..50 {
        harness.advance(Duration::from_millis(50));
        harness.step(GatewayEvent::UpstreamsChecked { reached: 3 });
    }
    assert!(checks(&harness).len() <= 3, "{:?}", checks(&harness));
}

/// Guards against callers that are refused although a peer reaches the upstreams.
#[test]
fn requests_go_through_peers_during_a_partition_and_directly_after_it() {
    let mut harness = partitioned(4);
    harness.step(summary(2, "zone-a", false));
    harness.step(summary(3, "zone-a", true));
    let request = harness.arrive(arrival("/once/1"));
    assert_eq!(relays(&harness, request), [peer_address(2)]);
    harness.deliver(request);
    harness.step(GatewayEvent::UpstreamsChecked { reached: 1 });
    let request = harness.arrive(arrival("/once/2"));
    assert_eq!(relays(&harness, request), []);
}

/// Guards against a zone that is partitioned as a whole and finds no relay.
#[test]
fn other_zones_relay_for_a_partitioned_zone() {
    let mut harness = partitioned(2);
    harness.step(summary(2, "zone-a", true));
    harness.step(summary(3, "zone-b", false));
    harness.step(summary(4, "zone-c", false));
    let request = harness.arrive(arrival("/safe/1"));
    let mut relays = relays(&harness, request);
    relays.sort();
    assert_eq!(relays, [peer_address(3), peer_address(4)]);
}

/// Guards against a request that passes through a region which is not one of its home regions.
#[test]
fn relays_lie_in_the_region_of_the_upstream() {
    let mut options = options("host-a");
    let zones = [("zone-a", "east"), ("zone-b", "east"), ("zone-c", "west")];
    let regions = zones.map(|(zone, region)| (ZoneLabel::from(zone), RegionLabel::from(region)));
    options.regions = RegionMap::new(BTreeMap::from(regions));
    let mut harness = GatewayHarness::unconfigured(options);
    harness.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
    harness.step(GatewayEvent::UpstreamsRead(vec![upstream(1, 1)]));
    harness.confirm();
    harness.step(GatewayEvent::UpstreamsChecked { reached: 0 });
    harness.step(summary(2, "zone-c", false));
    harness.step(summary(3, "zone-b", false));
    let request = harness.arrive(arrival("/safe/1"));
    assert_eq!(relays(&harness, request), [peer_address(3)]);
}

/// Guards against a request that passes through another region because the owner of an upstream that can
/// bear few rejections is there.
#[test]
fn owners_in_another_region_relay_nothing() {
    let relayed = |zone: &'static str| {
        let mut options = options("host-a");
        let zones = [("zone-a", "east"), ("zone-b", "east"), ("zone-c", "west")];
        let regions =
            zones.map(|(zone, region)| (ZoneLabel::from(zone), RegionLabel::from(region)));
        options.regions = RegionMap::new(BTreeMap::from(regions));
        let mut harness = GatewayHarness::unconfigured(options);
        harness.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
        let upstreams = (1..=8).map(|number| upstream(number, 1)).collect();
        harness.step(GatewayEvent::UpstreamsRead(upstreams));
        for sequence in 1..=30 {
            let summary = peer_summary(2, zone, sequence);
            harness.step(GatewayEvent::SummaryReceived(Box::new(summary)));
            harness.advance(Duration::from_millis(100));
            harness.confirm();
        }
        let announcement = UpstreamAnnouncement {
            max_rejections: RateLimit::from_per_second(1.0),
            ..UpstreamAnnouncement::default()
        };
        harness.step(GatewayEvent::UpstreamAnnounced {
            upstream: upstream(1, 1).name,
            request_id: String::new(),
            announcement,
        });
        harness.advance(Duration::from_millis(100));
        let requests: Vec<_> = (0..8)
            .map(|number| harness.arrive(arrival(&format!("/safe/{number}"))))
            .collect();
        let orders = requests.iter().flat_map(|request| harness.orders(*request));
        let relayed = orders.filter(|order| !order.relays.is_empty());
        relayed.count()
    };
    assert!(relayed("zone-b") > 0);
    assert_eq!(relayed("zone-c"), 0);
}

/// Guards against a relayed request that is relayed on, or that reaches an upstream which is leaving.
#[test]
fn a_daemon_relays_only_what_it_can_send_directly() {
    let mut harness = GatewayHarness::ready(2);
    let mut leaving = upstream(2, 1);
    leaving.draining = true;
    harness.step(GatewayEvent::UpstreamWritten(leaving));
    let admit = |harness: &GatewayHarness, name: &str, open| {
        let upstream = UpstreamLabel::from(name);
        harness.gateway.admit_relay(harness.now, &upstream, open)
    };
    assert_eq!(admit(&harness, "upstream-1", 0), Ok(upstream(1, 1).address));
    assert_eq!(
        admit(&harness, "upstream-1", 10_000),
        Err(RelayRefusal::Full)
    );
    assert_eq!(
        admit(&harness, "upstream-2", 0),
        Err(RelayRefusal::NoUpstream)
    );
    assert_eq!(admit(&harness, "unknown", 0), Err(RelayRefusal::NoUpstream));
    harness.step(GatewayEvent::UpstreamsChecked { reached: 0 });
    assert_eq!(
        admit(&harness, "upstream-1", 0),
        Err(RelayRefusal::Partitioned)
    );
    let grace = Duration::from_secs(5);
    harness.step(GatewayEvent::StopRequested { grace });
    assert_eq!(
        admit(&harness, "upstream-1", 0),
        Err(RelayRefusal::Stopping)
    );
}

/// Guards against peers that avoid sound upstreams because a partitioned daemon suspects them.
#[test]
fn a_partitioned_daemon_reports_no_suspicions() {
    let mut harness = GatewayHarness::ready(2);
    let request = harness.arrive(arrival("/safe/1"));
    harness.end(request, AttemptOutcome::Broken { stalled: true });
    let now = harness.now;
    assert_eq!(harness.gateway.summary(now).ejected_upstreams.len(), 1);
    harness.step(GatewayEvent::UpstreamsChecked { reached: 0 });
    let summary = harness.gateway.summary(now);
    assert!(summary.partitioned && summary.ejected_upstreams.is_empty());
}

/// Guards against a request that runs twice because its first connection hangs in a partition.
#[test]
fn a_request_that_may_not_be_repeated_is_not_relayed_after_a_direct_attempt() {
    let mut harness = GatewayHarness::ready(3);
    harness.step(summary(2, "zone-a", false));
    let once = harness.arrive(arrival("/once/1"));
    let safe = harness.arrive(arrival("/safe/2"));
    harness.advance(Duration::from_millis(20));
    harness.step(GatewayEvent::UpstreamsChecked { reached: 0 });
    for _ in 0..20 {
        harness.advance(Duration::from_millis(50));
    }
    let abandoned = harness.effects.iter().filter_map(|effect| match effect {
        GatewayEffect::AbandonAttempt { request } => Some(*request),
        _ => None,
    });
    assert_eq!(abandoned.collect::<Vec<_>>(), [safe]);
    harness.end(once, AttemptOutcome::Broken { stalled: false });
    assert_eq!(harness.orders(once).len(), 1);
    assert_eq!(
        harness.refusal(once),
        Some(RefusalReason::IncompleteResponse)
    );
}

/// Guards against an upstream that is suspected because no peer relayed a request to it.
#[test]
fn a_request_that_no_peer_relays_says_nothing_of_its_upstream() {
    let mut harness = partitioned(1);
    harness.step(summary(2, "zone-a", false));
    for number in 0..3 {
        let request = harness.arrive(arrival(&format!("/safe/{number}")));
        harness.end(request, AttemptOutcome::NotRelayed);
        harness.step(GatewayEvent::CallerDisconnected(request));
    }
    let request = harness.arrive(arrival("/safe/again"));
    assert_eq!(harness.orders(request).len(), 1);
    let metadata = ResponseMetadata::default();
    harness.end(
        request,
        AttemptOutcome::Delivered {
            metadata,
            events: 0,
        },
    );
    assert_eq!(harness.gateway.open_requests(), 0);
}
