//! Admission: readiness, routes, keys and team limits.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, REVOCATION_BOUND, arrival, config, options, route};
use savorywood_gateway::{GatewayEvent, RefusalReason, RequestArrival, RetrySafety, TeamLimit};
use std::{sync::Arc, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against refusing requests as "no such route" before the first configuration is read:
/// callers would give up for good. After "not ready" they retry or use another daemon.
#[test]
fn an_unconfigured_daemon_refuses_as_not_ready() {
    let mut harness = GatewayHarness::unconfigured(options("host-a"));
    let request = harness.arrive(arrival("/safe/1"));
    assert_eq!(harness.refusal(request), Some(RefusalReason::NotReady));
    assert!(!harness.gateway.is_ready(harness.now));
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
fn a_current_daemon_refuses_unknown_routes_and_keys() {
    let mut harness = GatewayHarness::ready(1);
    let request = harness.arrive(arrival("/nowhere/"));
    assert_eq!(harness.refusal(request), Some(RefusalReason::NoRoute));
    let unknown_caller = RequestArrival {
        api_key: Some("stranger".to_owned()),
        ..arrival("/safe/1")
    };
    let request = harness.arrive(unknown_caller.clone());
    assert_eq!(harness.refusal(request), Some(RefusalReason::UnknownKey));
    let open = RequestArrival {
        path: "/open/1".to_owned(),
        ..unknown_caller
    };
    let request = harness.arrive(open);
    assert_eq!(harness.refusal(request), None);
}

/// Guards against keys that work on after they were revoked while the store is unreachable. The
/// daemon can't learn of the revocation, so it must refuse keys by itself within the bound.
#[test]
fn unconfirmed_keys_are_refused_within_the_revocation_bound() {
    let mut harness = GatewayHarness::ready(1);
    let mut served_until = Duration::ZERO;
    for _ in 0..100 {
        harness.advance(Duration::from_millis(100));
        let request = harness.arrive(arrival("/safe/1"));
        match harness.refusal(request) {
            None => {
                served_until = harness.gateway.status(harness.now).time_since_confirmed;
                harness.deliver(request);
            }
            Some(reason) => assert_eq!(reason, RefusalReason::NotReady),
        }
    }
    assert!(
        served_until < REVOCATION_BOUND,
        "served until {served_until:?}"
    );
    assert!(
        served_until > REVOCATION_BOUND / 2,
        "refused from {served_until:?}"
    );
    harness.confirm();
    let request = harness.arrive(arrival("/safe/1"));
    assert_eq!(harness.refusal(request), None);
}

/// Public routes need no key, so an outage of the store must not stop them.
#[test]
fn public_routes_are_served_without_the_store() {
    let mut harness = GatewayHarness::ready(1);
    harness.advance(60 * SECOND);
    let open = RequestArrival {
        api_key: None,
        ..arrival("/open/1")
    };
    let request = harness.arrive(open);
    assert_eq!(harness.refusal(request), None);
}

/// Guards against a delayed response of the store that puts a replaced version into force again,
/// with its routes and keys.
#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut harness = GatewayHarness::ready(1);
    let mut newer = savorywood_gateway::DeclaredConfig::new(9);
    newer.add_route(route("/new/", RetrySafety::Idempotent, 1));
    harness.step(GatewayEvent::ConfigRead(Arc::new(newer)));
    harness.step(GatewayEvent::ConfigRead(Arc::new(config(8, None))));
    let request = harness.arrive(arrival("/safe/1"));
    assert_eq!(harness.refusal(request), Some(RefusalReason::NoRoute));
    assert_eq!(harness.gateway.status(harness.now).config_version, 9);
}

#[test]
fn a_team_over_its_limit_is_refused_until_its_bucket_refills() {
    let limit = TeamLimit {
        per_second: 2_000.0,
        burst: 2_000.0,
        in_tokens: true,
        default_tokens: 100,
    };
    let mut harness = GatewayHarness::ready(4);
    harness.step(GatewayEvent::ConfigRead(Arc::new(config(2, Some(limit)))));
    let requests: Vec<_> = (0..5).map(|_| harness.arrive(arrival("/safe/1"))).collect();
    let refused = requests
        .iter()
        .filter(|request| harness.refusal(**request) == Some(RefusalReason::OverLimit));
    assert_eq!(refused.count(), 3);
    harness.advance(3 * SECOND);
    let request = harness.arrive(arrival("/safe/1"));
    assert_eq!(harness.refusal(request), None);
}

/// An operator shortens the revocation bound while a daemon can't reach the store: requests that
/// only the longer bound allowed are refused from then on.
#[test]
fn changed_bounds_take_effect_at_once() {
    let mut harness = GatewayHarness::ready(1);
    harness.advance(2 * SECOND);
    let request = harness.arrive(arrival("/safe/1"));
    assert_eq!(harness.refusal(request), None);
    let mut bounds = options("host-a").bounds;
    bounds.revocation_delay = Some(2 * SECOND);
    harness.step(GatewayEvent::BoundsRead(bounds));
    let request = harness.arrive(arrival("/safe/1"));
    assert_eq!(harness.refusal(request), Some(RefusalReason::NotReady));
}
