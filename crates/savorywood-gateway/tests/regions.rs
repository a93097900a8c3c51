//! Home regions of routes and teams, in a deployment of two regions.

#[path = "common/scene.rs"]
mod scene;

use savorywood_gateway::{
    CallerLocation, DeclaredConfig, GatewayEvent, PeerContact, RefusalReason, RegionLabel,
    RegionMap, RetrySafety, TeamLabel, TeamSpec, UpstreamEntry, ZoneLabel,
};
use scene::{GatewayScene, arrival, config, options, route, upstream};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

fn regions() -> RegionMap {
    let zones = [
        ("zone-a", "north"),
        ("zone-b", "north"),
        ("zone-c", "south"),
    ];
    let regions = zones.map(|(zone, region)| (ZoneLabel::from(zone), RegionLabel::from(region)));
    RegionMap::new(BTreeMap::from(regions))
}

fn homes(regions: &[&str]) -> Vec<RegionLabel> {
    regions
        .iter()
        .map(|region| RegionLabel::from(*region))
        .collect()
}

/// Routes `/north/` and `/south/` with homes, and a team with the key `southern` whose home is the
/// south.
fn declared() -> DeclaredConfig {
    let mut config = config(1, None);
    for name in ["north", "south"] {
        let mut route = route(&format!("/{name}/"), RetrySafety::Idempotent, 1);
        route.home_regions = homes(&[name]);
        route.host = format!("{name}.example");
        config.add_route(route);
    }
    let team = TeamSpec {
        name: TeamLabel::from("southern"),
        priority: None,
        limit: None,
        home_regions: homes(&["south"]),
    };
    config.add_team(team, vec!["southern".to_owned()]);
    config
}

/// A daemon in the north; one upstream in each of three zones, with many slots.
fn two_regions(zones: &[&str]) -> GatewayScene {
    let mut options = options("host-a");
    options.regions = regions();
    let mut scene = GatewayScene::empty(options);
    scene.step(GatewayEvent::ConfigRead(Arc::new(declared())));
    let entries = zones.iter().zip(1..).map(|(zone, number)| UpstreamEntry {
        zone: ZoneLabel::from(*zone),
        ..upstream(number, 100)
    });
    scene.step(GatewayEvent::UpstreamsRead(entries.collect()));
    scene.confirm();
    scene
}

/// Zone of the upstream that gets a request; `None` where it is refused.
fn zone_of(scene: &mut GatewayScene, region: &str, key: &str) -> Option<String> {
    let mut asked = arrival(&format!("/{region}/1"));
    asked.host = format!("{region}.example");
    asked.api_key = Some(key.to_owned());
    let request = scene.arrive(asked);
    let sent_to = scene.orders(request).first()?.upstream.clone();
    let state = scene.gateway.fleet().get(&sent_to);
    let zone = state.map(|state| state.entry.zone.as_str().to_owned());
    scene.deliver(request);
    zone
}

/// Guards against a request that leaves the regions that its route may use.
#[test]
fn requests_reach_upstreams_of_their_home_region_alone() {
    let mut scene = two_regions(&["zone-a", "zone-b", "zone-c"]);
    for _ in 0..30 {
        assert_eq!(
            zone_of(&mut scene, "south", "key").as_deref(),
            Some("zone-c")
        );
        let north = zone_of(&mut scene, "north", "key");
        assert_ne!(north.as_deref(), Some("zone-c"));
    }
}

/// Guards against a team's data in a region that only its route allows.
#[test]
fn homes_of_route_and_team_both_bind() {
    let mut scene = two_regions(&["zone-a", "zone-b", "zone-c"]);
    let south = zone_of(&mut scene, "south", "southern");
    assert_eq!(south.as_deref(), Some("zone-c"));
    assert_eq!(zone_of(&mut scene, "north", "southern"), None);
}

/// Guards against a request that leaves its region when the region has nothing left, or waits
/// there for ever.
#[test]
fn without_an_upstream_at_home_a_request_is_refused() {
    let mut scene = two_regions(&["zone-a", "zone-b", "nowhere"]);
    let mut asked = arrival("/south/1");
    asked.host = "south.example".to_owned();
    let request = scene.arrive(asked);
    scene.advance(SECOND / 2);
    assert_eq!(scene.refusal(request), Some(RefusalReason::NoUpstream));
    assert!(scene.orders(request).is_empty());
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// Guards against callers that the directory sends through a region that is neither theirs nor a
/// home of what they call.
#[test]
fn the_directory_names_hosts_of_the_callers_region_then_of_the_homes() {
    let mut scene = two_regions(&["zone-a", "zone-b", "zone-c"]);
    let mut south = options("host-c");
    south.zone = ZoneLabel::from("zone-c");
    south.peer_address = address("10.0.0.3:7600");
    south.caller_address = address("10.0.0.3:80");
    south.regions = regions();
    let mut peer = GatewayScene::empty(south);
    peer.step(GatewayEvent::ConfigRead(Arc::new(declared())));
    peer.step(GatewayEvent::UpstreamsRead(vec![upstream(1, 1)]));
    peer.confirm();
    let contacts = vec![PeerContact {
        address: address("10.0.0.3:7600"),
        zone: Some(ZoneLabel::from("zone-c")),
    }];
    scene.step(GatewayEvent::ContactsRead(contacts));
    let summary = peer.gateway.summary(peer.now);
    scene.step(GatewayEvent::SummaryReceived(Box::new(summary)));
    scene.step(GatewayEvent::Tick);
    let named = |region: &'static str, host: &'static str| {
        let caller = CallerLocation {
            zone: Some("elsewhere"),
            region: Some(region),
            host: Some(host),
        };
        scene.gateway.caller_addresses(scene.now, caller, 64)
    };
    let north = address("10.0.0.1:80");
    let south = address("10.0.0.3:80");
    assert_eq!(named("north", "south.example"), [north]);
    assert_eq!(named("south", "north.example"), [south]);
    assert_eq!(named("far", "south.example"), [south]);
    assert_eq!(named("far", "north.example"), [north]);
    assert_eq!(named("far", "api.example").len(), 2);
}
