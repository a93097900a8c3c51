//! Queueing by priority, and selection of upstreams.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, config, options, peer_summary, upstream};
use savorywood_gateway::{
    AttemptOutcome, CallerLocation, GatewayEvent, PeerSummary, RefusalReason, RoutingPolicy,
    SlotUse, name_digest,
};
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// Returns a summary of another daemon with its slots in use.
fn peer(sequence: u64, slots: Vec<SlotUse>) -> Box<PeerSummary> {
    Box::new(PeerSummary {
        slots,
        ..peer_summary(2, "zone-b", sequence)
    })
}

/// Engines have no priorities and serve their queues in order of arrival. So requests are queued in
/// the daemon, and the most urgent one gets the next free slot even if it arrived last.
#[test]
fn the_most_urgent_request_gets_the_next_free_slot() {
    let mut harness = GatewayHarness::ready(1);
    let running = harness.arrive(arrival("/safe/1"));
    let normal = harness.arrive(arrival("/safe/2"));
    let urgent = harness.arrive(arrival("/urgent/3"));
    assert!(harness.orders(normal).is_empty() && harness.orders(urgent).is_empty());
    harness.deliver(running);
    assert_eq!(harness.orders(urgent).len(), 1);
    assert!(harness.orders(normal).is_empty());
}

/// Guards against two daemons that each fill the same upstream: slots that a peer reports as in use
/// must count too, or responses would be late.
#[test]
fn slots_in_use_by_a_peer_are_not_free() {
    let mut harness = GatewayHarness::ready(1);
    let slot = SlotUse {
        upstream: name_digest("upstream-1"),
        running: 1,
        unread_prompt_tokens: 0,
    };
    harness.step(GatewayEvent::SummaryReceived(peer(1, vec![slot])));
    let request = harness.arrive(arrival("/safe/1"));
    assert!(harness.orders(request).is_empty());
    harness.step(GatewayEvent::SummaryReceived(peer(2, Vec::new())));
    assert_eq!(harness.orders(request).len(), 1);
}

/// A daemon ended with requests at an upstream. The slots that it reported must be freed after a
/// while, as no further message will free them.
#[test]
fn slots_of_a_stale_peer_are_freed() {
    let mut harness = GatewayHarness::ready(1);
    let slot = SlotUse {
        upstream: name_digest("upstream-1"),
        running: 1,
        unread_prompt_tokens: 0,
    };
    harness.step(GatewayEvent::SummaryReceived(peer(1, vec![slot])));
    let request = harness.arrive(arrival("/safe/1"));
    harness.advance(Duration::from_millis(1_400));
    assert_eq!(harness.orders(request).len(), 1);
}

#[test]
fn a_request_queued_too_long_expires_unsent() {
    let mut harness = GatewayHarness::ready(1);
    harness.arrive(arrival("/safe/1"));
    harness.arrive(arrival("/safe/2"));
    let third = harness.arrive(arrival("/safe/3"));
    for _ in 0..85 {
        harness.advance(Duration::from_millis(100));
    }
    assert_eq!(harness.refusal(third), Some(RefusalReason::ExpiredUnsent));
}

/// An upstream breaks every connection while its registration looks healthy. It must be ejected
/// after a few requests; the other upstream serves meanwhile.
#[test]
fn an_upstream_that_keeps_failing_is_ejected() {
    let mut harness = GatewayHarness::ready(2);
    let mut dispatched_to_failing = 0;
    for _ in 0..40 {
        harness.confirm();
        let request = harness.arrive(arrival("/safe/1"));
        loop {
            let orders = harness.orders(request);
            let Some(order) = orders.last().copied() else {
                break;
            };
            if order.upstream.as_str() == "upstream-1" {
                dispatched_to_failing += 1;
                let attempts = orders.len();
                harness.end(request, AttemptOutcome::Broken { stalled: false });
                if harness.orders(request).len() == attempts {
                    break;
                }
            } else {
                harness.deliver(request);
                break;
            }
        }
        harness.advance(Duration::from_millis(50));
    }
    assert!(
        (1..=6).contains(&dispatched_to_failing),
        "{dispatched_to_failing} requests"
    );
}

/// All upstreams fail at once, so the cause is probably elsewhere. Were all of them ejected, every
/// request would be refused even after the cause is removed.
#[test]
fn upstreams_are_never_all_ejected() {
    let mut harness = GatewayHarness::ready(2);
    for _ in 0..10 {
        harness.confirm();
        let request = harness.arrive(arrival("/safe/1"));
        while harness.refusal(request).is_none() && !harness.orders(request).is_empty() {
            let attempts = harness.orders(request).len();
            harness.end(request, AttemptOutcome::Broken { stalled: false });
            if harness.orders(request).len() == attempts {
                break;
            }
        }
        harness.advance(Duration::from_millis(20));
    }
    harness.confirm();
    let request = harness.arrive(arrival("/safe/1"));
    assert_eq!(harness.orders(request).len(), 1);
}

/// The store is unavailable and registrations expire though their owners are live. Guards against a
/// service without any upstream: the registrations stay in use for the time that owners need to
/// renew them.
#[test]
fn registrations_that_expire_in_a_store_outage_are_kept_for_a_grace_period() {
    let mut harness = GatewayHarness::ready(1);
    harness.step(GatewayEvent::StoreFailed);
    harness.step(GatewayEvent::UpstreamsRead(Vec::new()));
    let request = harness.arrive(arrival("/safe/1"));
    assert_eq!(harness.orders(request).len(), 1);
    harness.deliver(request);
    harness.advance(Duration::from_secs(2));
    harness.confirm();
    let request = harness.arrive(arrival("/safe/1"));
    assert!(harness.orders(request).is_empty());
}

/// Requests that are dispatched to an upstream after it started draining would be broken off.
#[test]
fn a_draining_upstream_gets_no_new_requests() {
    let mut harness = GatewayHarness::ready(2);
    let mut draining_upstream = upstream(1, 1);
    draining_upstream.draining = true;
    harness.step(GatewayEvent::UpstreamWritten(draining_upstream));
    for _ in 0..5 {
        let request = harness.arrive(arrival("/safe/1"));
        assert_eq!(harness.orders(request)[0].upstream.as_str(), "upstream-2");
        harness.deliver(request);
    }
}

/// A stopping daemon must not be listed in any directory, its own included.
#[test]
fn a_stopping_daemon_is_not_in_the_directory() {
    let mut harness = GatewayHarness::ready(1);
    harness.step(GatewayEvent::SummaryReceived(peer(1, Vec::new())));
    assert_eq!(
        harness
            .gateway
            .caller_addresses(harness.now, CallerLocation::default(), 64)
            .len(),
        2
    );
    let grace = Duration::from_secs(8);
    harness.step(GatewayEvent::StopRequested { grace });
    let addresses =
        harness
            .gateway
            .caller_addresses(harness.now, CallerLocation::in_zone("zone-a"), 64);
    assert_eq!(addresses, vec!["10.0.0.2:80".parse().expect("an address")]);
    assert!(!harness.gateway.is_ready(harness.now));
}

/// An upstream that broke every connection recovers while the others have free slots for
/// everything. Guards against ejecting it for good: it gets a probe request now and then, and its
/// full share again once it responds.
#[test]
fn a_recovered_upstream_gets_requests_again() {
    let mut harness = GatewayHarness::ready(2);
    let mut requests_after_recovery = 0;
    for number in 0..600 {
        harness.confirm();
        let request = harness.arrive(arrival("/safe/1"));
        let order = harness.orders(request)[0].clone();
        if order.upstream.as_str() == "upstream-1" && number < 200 {
            harness.end(request, AttemptOutcome::Broken { stalled: true });
        }
        harness.advance(Duration::from_millis(20));
        requests_after_recovery +=
            u32::from(order.upstream.as_str() == "upstream-1" && number >= 300);
        harness.deliver(request);
        harness.advance(Duration::from_millis(30));
    }
    assert!(
        requests_after_recovery >= 50,
        "{requests_after_recovery} of 300 requests"
    );
}

/// Returns a summary of a daemon that has ejected some upstreams.
fn summary_with_ejections(host: &str, upstreams: &[&str]) -> Box<PeerSummary> {
    let mut summary = peer(1, Vec::new());
    summary.host = host.to_owned();
    summary.ejected_upstreams = upstreams.iter().map(|name| name_digest(name)).collect();
    summary
}

fn report_ejections(harness: &mut GatewayHarness, host: &str, upstreams: &[&str]) {
    harness.step(GatewayEvent::SummaryReceived(summary_with_ejections(
        host, upstreams,
    )));
}

/// Sends requests, each completed at once; returns the upstreams to which they were dispatched.
fn next_upstreams(harness: &mut GatewayHarness, count: usize) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..count {
        let request = harness.arrive(arrival("/safe/1"));
        names.push(harness.orders(request)[0].upstream.as_str().to_owned());
        harness.deliver(request);
        harness.advance(Duration::from_millis(5));
    }
    names
}

/// Guards against each daemon detecting a failed upstream by itself at the cost of a request or
/// two: reports of two peers are enough.
#[test]
fn an_upstream_ejected_by_two_peers_is_avoided() {
    let mut harness = GatewayHarness::ready(2);
    report_ejections(&mut harness, "host-b", &["upstream-1"]);
    report_ejections(&mut harness, "host-c", &["upstream-1"]);
    let names = next_upstreams(&mut harness, 6);
    assert!(names.iter().all(|name| name == "upstream-2"), "{names:?}");
}

/// Guards against one daemon that can't reach an upstream and makes all others avoid it.
#[test]
fn one_peer_alone_does_not_eject_an_upstream() {
    let mut harness = GatewayHarness::ready(1);
    report_ejections(&mut harness, "host-b", &["upstream-1"]);
    assert!(
        !harness
            .gateway
            .peers()
            .is_ejected_by_peers(&"upstream-1".into())
    );
}

/// Peers have ejected every upstream, so the cause is probably on their side: requests are served.
#[test]
fn upstreams_that_are_all_ejected_by_peers_still_serve() {
    let mut harness = GatewayHarness::ready(2);
    for host in ["host-b", "host-c", "host-d"] {
        report_ejections(&mut harness, host, &["upstream-1", "upstream-2"]);
    }
    assert_eq!(next_upstreams(&mut harness, 4).len(), 4);
}

/// The simple policies to which the default one is compared behave as their names state.
#[test]
fn baseline_policies_behave_as_named() {
    let chosen = |routing: RoutingPolicy| {
        let mut options = options("host-a");
        options.routing = routing;
        let mut harness = GatewayHarness::unconfigured(options);
        harness.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
        let entries = (1..=3).map(|number| upstream(number, 8)).collect();
        harness.step(GatewayEvent::UpstreamsRead(entries));
        harness.confirm();
        (0..6)
            .map(|_| {
                let request = harness.arrive(arrival("/safe/1"));
                harness.orders(request)[0].upstream.clone()
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

/// Guards against refusing a request because connections to several upstreams failed before one that
/// accepts them was tried.
#[test]
fn a_request_that_was_not_sent_has_not_used_its_attempts() {
    let mut harness = GatewayHarness::ready(8);
    let request = harness.arrive(arrival("/once/1"));
    for tried in 1..=7 {
        assert_eq!(harness.orders(request).len(), tried, "after {tried}");
        harness.end(request, AttemptOutcome::NotSent);
    }
    assert_eq!(harness.refusal(request), None);
    harness.deliver(request);
    assert_eq!(harness.orders(request).len(), 8);
}
