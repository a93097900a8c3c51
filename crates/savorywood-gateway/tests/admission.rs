//! Who is let in.

#[path = "common/scene.rs"]
mod scene;

use savorywood_gateway::{GatewayEvent, RefusalReason, RequestArrival, RetrySafety, TeamLimit};
use scene::{GatewayScene, REVOCATION, arrival, config, options, route};
use std::{sync::Arc, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

/// A process that has just started knows no route. Answered "no such route", a caller would give up
/// for good; answered "not ready", it comes back or asks another daemon.
#[test]
fn a_daemon_that_knows_nothing_denies_nothing() {
    let mut scene = GatewayScene::empty(options("host-a"));
    let request = scene.arrive(arrival("/safe/1"));
    assert_eq!(scene.refusal(request), Some(RefusalReason::NotReady));
    assert!(!scene.gateway.is_ready(scene.now));
}

#[test]
fn the_longest_prefix_wins() {
    let mut config = config(1, None);
    config.add_route(route("/safe/deep/", RetrySafety::AtMostOnce, 3));
    let found = config
        .route("api.example", "/safe/deep/x")
        .expect("a route");
    assert_eq!(found.prefix, "/safe/deep/");
    let found = config
        .route("api.example", "/safe/deeper")
        .expect("a route");
    assert_eq!(found.prefix, "/safe/");
    assert!(config.route("api.example", "/safe").is_none());
    assert!(config.route("other.example", "/safe/x").is_none());
}

#[test]
fn unknown_routes_and_keys_are_denied_by_a_daemon_that_is_up_to_date() {
    let mut scene = GatewayScene::ready(1);
    let request = scene.arrive(arrival("/nowhere/"));
    assert_eq!(scene.refusal(request), Some(RefusalReason::NoRoute));
    let stranger = RequestArrival {
        api_key: Some("stranger".to_owned()),
        ..arrival("/safe/1")
    };
    let request = scene.arrive(stranger.clone());
    assert_eq!(scene.refusal(request), Some(RefusalReason::UnknownKey));
    let open = RequestArrival {
        path: "/open/1".to_owned(),
        ..stranger
    };
    let request = scene.arrive(open);
    assert_eq!(scene.refusal(request), None);
}

/// The store can't be reached, and an operator takes a key away meanwhile. The daemon can't learn
/// of it; without a bound of its own it would let the shut-out caller in for as long as the cut
/// lasts.
#[test]
fn keys_stop_working_before_the_bound_when_nothing_confirms_them() {
    let mut scene = GatewayScene::ready(1);
    let mut served_until = Duration::ZERO;
    for _ in 0..100 {
        scene.advance(Duration::from_millis(100));
        let request = scene.arrive(arrival("/safe/1"));
        match scene.refusal(request) {
            None => {
                served_until = scene.gateway.status(scene.now).time_since_confirmed;
                scene.deliver(request);
            }
            Some(reason) => assert_eq!(reason, RefusalReason::NotReady),
        }
    }
    assert!(served_until < REVOCATION, "served until {served_until:?}");
    assert!(
        served_until > REVOCATION / 2,
        "refused from {served_until:?}"
    );
    scene.confirm();
    let request = scene.arrive(arrival("/safe/1"));
    assert_eq!(scene.refusal(request), None);
}

/// A public route shows no key, so nothing can have been taken away.
#[test]
fn public_routes_go_on_without_the_store() {
    let mut scene = GatewayScene::ready(1);
    scene.advance(60 * SECOND);
    let open = RequestArrival {
        api_key: None,
        ..arrival("/open/1")
    };
    let request = scene.arrive(open);
    assert_eq!(scene.refusal(request), None);
}

/// An answer of the store that was held up brings a version that was replaced long ago. In force
/// again, its routes and keys would come back to life.
#[test]
fn an_older_configuration_never_comes_back() {
    let mut scene = GatewayScene::ready(1);
    let mut newer = savorywood_gateway::DeclaredConfig::new(9);
    newer.add_route(route("/new/", RetrySafety::Idempotent, 1));
    scene.step(GatewayEvent::ConfigRead(Arc::new(newer)));
    scene.step(GatewayEvent::ConfigRead(Arc::new(config(8, None))));
    let request = scene.arrive(arrival("/safe/1"));
    assert_eq!(scene.refusal(request), Some(RefusalReason::NoRoute));
    assert_eq!(scene.gateway.status(scene.now).config_version, 9);
}

#[test]
fn a_team_over_its_limit_gets_the_time_to_come_back() {
    let limit = TeamLimit {
        per_second: 2_000.0,
        burst: 2_000.0,
        in_tokens: true,
        default_tokens: 100,
    };
    let mut scene = GatewayScene::ready(4);
    scene.step(GatewayEvent::ConfigRead(Arc::new(config(2, Some(limit)))));
    let requests: Vec<_> = (0..5).map(|_| scene.arrive(arrival("/safe/1"))).collect();
    let refused = requests
        .iter()
        .filter(|request| scene.refusal(**request) == Some(RefusalReason::OverLimit));
    assert_eq!(refused.count(), 3);
    scene.advance(3 * SECOND);
    let request = scene.arrive(arrival("/safe/1"));
    assert_eq!(scene.refusal(request), None);
}

/// An operator shortens the bound of keys while a daemon is cut off. It holds from then on: what was
/// allowed by the longer one is refused.
#[test]
fn changed_bounds_hold_at_once() {
    let mut scene = GatewayScene::ready(1);
    scene.advance(2 * SECOND);
    let request = scene.arrive(arrival("/safe/1"));
    assert_eq!(scene.refusal(request), None);
    let mut bounds = options("host-a").bounds;
    bounds.revocation_delay = Some(2 * SECOND);
    scene.step(GatewayEvent::BoundsRead(bounds));
    let request = scene.arrive(arrival("/safe/1"));
    assert_eq!(scene.refusal(request), Some(RefusalReason::NotReady));
}
