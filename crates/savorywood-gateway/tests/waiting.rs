//! Who waits, who goes first, and where work goes.

#[path = "common/scene.rs"]
mod scene;

use savorywood_gateway::{
    AttemptOutcome, CallerLocation, DaemonRole, GatewayEvent, HostResources, PeerPhase,
    PeerSummary, RefusalReason, RoutingPolicy, SlotUse, name_digest,
};
use scene::{GatewayScene, arrival, config, options, upstream};
use std::{collections::BTreeSet, sync::Arc, time::Duration};

fn peer(sequence: u64, slots: Vec<SlotUse>) -> Box<PeerSummary> {
    Box::new(PeerSummary {
        host: "host-b".to_owned(),
        incarnation: 1,
        uptime_ms: 60_000,
        sequence,
        zone: "zone-b".to_owned(),
        peer_address: "10.0.0.2:7600".parse().expect("an address"),
        caller_address: "10.0.0.2:80".parse().expect("an address"),
        phase: PeerPhase::Ready,
        config_version: 1,
        slots,
        ejected_upstreams: Vec::new(),
        usage: Vec::new(),
        tallies: Vec::new(),
        role: DaemonRole::default(),
        capacity: HostResources::default(),
        load: HostResources::default(),
        peak: HostResources::default(),
        sent_at: savorywood_protocol::MonotonicTime(0),
        attestation: None,
        echoes: Vec::new(),
    })
}

/// Engines know no priorities: what waits in them is served in the order of arrival. So it waits
/// here, and the urgent request that came last gets the first place that is free.
#[test]
fn the_most_urgent_request_gets_the_next_place() {
    let mut scene = GatewayScene::ready(1);
    let running = scene.arrive(arrival("/safe/1"));
    let usual = scene.arrive(arrival("/safe/2"));
    let urgent = scene.arrive(arrival("/urgent/3"));
    assert!(scene.orders(usual).is_empty() && scene.orders(urgent).is_empty());
    scene.deliver(running);
    assert_eq!(scene.orders(urgent).len(), 1);
    assert!(scene.orders(usual).is_empty());
}

/// Two daemons send to the same upstream. What the other one has there counts here as well;
/// counted alone, both would fill it twice and its answers would be late.
#[test]
fn places_that_a_peer_has_taken_are_not_free() {
    let mut scene = GatewayScene::ready(1);
    let slot = SlotUse {
        upstream: name_digest("upstream-1"),
        running: 1,
        unread_prompt_tokens: 0,
    };
    scene.step(GatewayEvent::SummaryReceived(peer(1, vec![slot])));
    let request = scene.arrive(arrival("/safe/1"));
    assert!(scene.orders(request).is_empty());
    scene.step(GatewayEvent::SummaryReceived(peer(2, Vec::new())));
    assert_eq!(scene.orders(request).len(), 1);
}

/// A daemon died with requests at an upstream. The places that it reported must come free by
/// themselves: nobody will say that they are.
#[test]
fn places_of_a_peer_that_fell_silent_come_free() {
    let mut scene = GatewayScene::ready(1);
    let slot = SlotUse {
        upstream: name_digest("upstream-1"),
        running: 1,
        unread_prompt_tokens: 0,
    };
    scene.step(GatewayEvent::SummaryReceived(peer(1, vec![slot])));
    let request = scene.arrive(arrival("/safe/1"));
    scene.advance(Duration::from_millis(1_400));
    assert_eq!(scene.orders(request).len(), 1);
}

#[test]
fn a_request_that_waits_too_long_is_refused_before_its_deadline() {
    let mut scene = GatewayScene::ready(1);
    scene.arrive(arrival("/safe/1"));
    scene.arrive(arrival("/safe/2"));
    let third = scene.arrive(arrival("/safe/3"));
    for _ in 0..85 {
        scene.advance(Duration::from_millis(100));
    }
    assert_eq!(scene.refusal(third), Some(RefusalReason::ExpiredUnsent));
}

/// An upstream breaks every connection while its registration looks sound. It is left out after
/// a few requests and tried again later; the other one serves meanwhile.
#[test]
fn an_upstream_that_keeps_failing_is_left_out_for_a_while() {
    let mut scene = GatewayScene::ready(2);
    let mut sent_to_bad = 0;
    for _ in 0..40 {
        scene.confirm();
        let request = scene.arrive(arrival("/safe/1"));
        loop {
            let orders = scene.orders(request);
            let Some(order) = orders.last().copied() else {
                break;
            };
            if order.upstream.as_str() == "upstream-1" {
                sent_to_bad += 1;
                let sends = orders.len();
                scene.end(request, AttemptOutcome::Broken { stalled: false });
                if scene.orders(request).len() == sends {
                    break;
                }
            } else {
                scene.deliver(request);
                break;
            }
        }
        scene.advance(Duration::from_millis(50));
    }
    assert!((1..=6).contains(&sent_to_bad), "{sent_to_bad} requests");
}

/// All upstreams fail at once, so the fault is likely elsewhere. Were all of them left out, every
/// request would be refused, also once the fault is gone.
#[test]
fn upstreams_are_never_left_out_all_at_once() {
    let mut scene = GatewayScene::ready(2);
    for _ in 0..10 {
        scene.confirm();
        let request = scene.arrive(arrival("/safe/1"));
        while scene.refusal(request).is_none() && !scene.orders(request).is_empty() {
            let sends = scene.orders(request).len();
            scene.end(request, AttemptOutcome::Broken { stalled: false });
            if scene.orders(request).len() == sends {
                break;
            }
        }
        scene.advance(Duration::from_millis(20));
    }
    scene.confirm();
    let request = scene.arrive(arrival("/safe/1"));
    assert_eq!(scene.orders(request).len(), 1);
}

/// The store is out, and registrations expire though their owners live. They are used on for the
/// time in which they come back; a service without any upstream would refuse everything.
#[test]
fn registrations_that_expire_in_an_outage_are_kept_for_a_while() {
    let mut scene = GatewayScene::ready(1);
    scene.step(GatewayEvent::StoreFailed);
    scene.step(GatewayEvent::UpstreamsRead(Vec::new()));
    let request = scene.arrive(arrival("/safe/1"));
    assert_eq!(scene.orders(request).len(), 1);
    scene.deliver(request);
    scene.advance(Duration::from_secs(2));
    scene.confirm();
    let request = scene.arrive(arrival("/safe/1"));
    assert!(scene.orders(request).is_empty());
}

/// An upstream says that it leaves. Work that is sent there from now on is cut off.
#[test]
fn a_draining_upstream_gets_no_new_work() {
    let mut scene = GatewayScene::ready(2);
    let mut leaving = upstream(1, 1);
    leaving.draining = true;
    scene.step(GatewayEvent::UpstreamWritten(leaving));
    for _ in 0..5 {
        let request = scene.arrive(arrival("/safe/1"));
        assert_eq!(scene.orders(request)[0].upstream.as_str(), "upstream-2");
        scene.deliver(request);
    }
}

/// A daemon that is about to end is in no directory any more, its own included.
#[test]
fn a_stopping_daemon_is_in_no_directory() {
    let mut scene = GatewayScene::ready(1);
    scene.step(GatewayEvent::SummaryReceived(peer(1, Vec::new())));
    assert_eq!(
        scene
            .gateway
            .caller_addresses(scene.now, CallerLocation::default(), 64)
            .len(),
        2
    );
    let grace = Duration::from_secs(8);
    scene.step(GatewayEvent::StopRequested { grace });
    let addresses =
        scene
            .gateway
            .caller_addresses(scene.now, CallerLocation::in_zone("zone-a"), 64);
    assert_eq!(addresses, vec!["10.0.0.2:80".parse().expect("an address")]);
    assert!(!scene.gateway.is_ready(scene.now));
}

/// An upstream that broke every connection is mended while the others have room for everything.
/// It gets a request now and then, and once it answers it is one of them again; left out for good,
/// each fault would take an upstream away for ever.
#[test]
fn a_mended_upstream_gets_work_again() {
    let mut scene = GatewayScene::ready(2);
    let mut mended_runs = 0;
    for number in 0..600 {
        scene.confirm();
        let request = scene.arrive(arrival("/safe/1"));
        let order = scene.orders(request)[0].clone();
        if order.upstream.as_str() == "upstream-1" && number < 200 {
            scene.end(request, AttemptOutcome::Broken { stalled: true });
        }
        scene.advance(Duration::from_millis(20));
        mended_runs += u32::from(order.upstream.as_str() == "upstream-1" && number >= 300);
        scene.deliver(request);
        scene.advance(Duration::from_millis(30));
    }
    assert!(mended_runs >= 50, "{mended_runs} of 300 requests");
}

fn suspecting(host: &str, upstreams: &[&str]) -> Box<PeerSummary> {
    let mut summary = peer(1, Vec::new());
    summary.host = host.to_owned();
    summary.ejected_upstreams = upstreams.iter().map(|name| name_digest(name)).collect();
    summary
}

fn report_suspects(scene: &mut GatewayScene, host: &str, upstreams: &[&str]) {
    scene.step(GatewayEvent::SummaryReceived(suspecting(host, upstreams)));
}

/// Upstreams of the next requests, each served at once.
fn next_upstreams(scene: &mut GatewayScene, count: usize) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..count {
        let request = scene.arrive(arrival("/safe/1"));
        names.push(scene.orders(request)[0].upstream.as_str().to_owned());
        scene.deliver(request);
        scene.advance(Duration::from_millis(5));
    }
    names
}

/// An upstream went dark. Each of many daemons would find that out by itself, at the cost of a
/// request or two; those that learn it of two others spare themselves that.
#[test]
fn an_upstream_that_two_peers_left_out_is_held_back_from() {
    let mut scene = GatewayScene::ready(2);
    report_suspects(&mut scene, "host-b", &["upstream-1"]);
    report_suspects(&mut scene, "host-c", &["upstream-1"]);
    let names = next_upstreams(&mut scene, 6);
    assert!(names.iter().all(|name| name == "upstream-2"), "{names:?}");
}

/// A single daemon that lost its way to an upstream must not make it look ill to all.
#[test]
fn one_peer_alone_makes_no_upstream_look_ill() {
    let mut scene = GatewayScene::ready(1);
    report_suspects(&mut scene, "host-b", &["upstream-1"]);
    assert!(
        !scene
            .gateway
            .peers()
            .is_ejected_by_peers(&"upstream-1".into())
    );
}

/// Peers hold every upstream for ill. The fault is more likely on their way: requests are served.
#[test]
fn upstreams_that_all_look_ill_still_serve() {
    let mut scene = GatewayScene::ready(2);
    for host in ["host-b", "host-c", "host-d"] {
        report_suspects(&mut scene, host, &["upstream-1", "upstream-2"]);
    }
    assert_eq!(next_upstreams(&mut scene, 4).len(), 4);
}

/// The simple policies that ours is measured against do what their names say.
#[test]
fn baselines_choose_by_their_names() {
    let chosen = |routing: RoutingPolicy| {
        let mut options = options("host-a");
        options.routing = routing;
        let mut scene = GatewayScene::empty(options);
        scene.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
        let entries = (1..=3).map(|number| upstream(number, 8)).collect();
        scene.step(GatewayEvent::UpstreamsRead(entries));
        scene.confirm();
        (0..6)
            .map(|_| {
                let request = scene.arrive(arrival("/safe/1"));
                scene.orders(request)[0].upstream.clone()
            })
            .collect::<Vec<_>>()
    };
    let in_turn = chosen(RoutingPolicy::RoundRobin);
    assert_eq!(in_turn[..3], in_turn[3..]);
    for policy in [RoutingPolicy::RoundRobin, RoutingPolicy::LeastOutstanding] {
        let each: BTreeSet<_> = chosen(policy)[..3].iter().cloned().collect();
        assert_eq!(each.len(), 3, "{policy}");
    }
    assert_eq!(chosen(RoutingPolicy::Random).len(), 6);
}
