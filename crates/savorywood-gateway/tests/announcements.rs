//! What upstreams announce of themselves in the heads of their responses.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, config, options, upstream};
use savorywood_gateway::{
    AttemptOutcome, GatewayEffect, GatewayEvent, RateLimit, RefusalReason, RelayRefusal,
    ReportScope, ResponseMetadata, UpstreamAnnouncement, UpstreamLabel,
};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

fn announce(harness: &mut GatewayHarness, number: u16, announcement: UpstreamAnnouncement) {
    harness.step(GatewayEvent::UpstreamAnnounced {
        upstream: upstream(number, 1).name,
        request_id: "request".to_owned(),
        announcement,
    });
}

fn leaving() -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        leaving: true,
        ..UpstreamAnnouncement::default()
    }
}

/// Sends a request and returns the upstream that it is dispatched to.
fn dispatched_to(harness: &mut GatewayHarness, path: &str) -> Option<UpstreamLabel> {
    let request = harness.arrive(arrival(path));
    let order = harness
        .orders(request)
        .last()
        .map(|order| order.upstream.clone());
    harness.deliver(request);
    order
}

/// Checks that two requests at the same time go to two upstreams.
fn assert_uses_both_upstreams(harness: &mut GatewayHarness) {
    let requests = ["/safe/a", "/safe/b"].map(|path| harness.arrive(arrival(path)));
    let names = requests.map(|request| harness.orders(request)[0].upstream.clone());
    assert_ne!(names[0], names[1]);
}

/// Guards against requests to a leaving upstream whose registration is read again unchanged, or
/// comes back with the store.
#[test]
fn an_announced_end_outlasts_reads_of_the_registration() {
    let mut harness = GatewayHarness::ready(2);
    announce(&mut harness, 1, leaving());
    harness.step(GatewayEvent::StoreFailed);
    harness.step(GatewayEvent::UpstreamWritten(upstream(1, 1)));
    harness.step(GatewayEvent::UpstreamsRead(vec![
        upstream(1, 1),
        upstream(2, 1),
    ]));
    harness.step(GatewayEvent::UpstreamRemoved(upstream(1, 1).name));
    harness.advance(Duration::from_millis(100));
    harness.step(GatewayEvent::UpstreamWritten(upstream(1, 1)));
    for number in 0..5 {
        let upstream_name = dispatched_to(&mut harness, &format!("/safe/{number}"));
        assert_eq!(upstream_name, Some(upstream(2, 1).name));
    }
}

/// Guards against a new incarnation that gets no requests because the one before it left.
#[test]
fn an_announced_end_is_that_of_the_incarnation() {
    let mut harness = GatewayHarness::ready(1);
    announce(&mut harness, 1, leaving());
    let mut restarted = upstream(1, 1);
    restarted.incarnation += 1;
    harness.step(GatewayEvent::UpstreamWritten(restarted));
    let name = dispatched_to(&mut harness, "/safe/1");
    assert_eq!(name, Some(upstream(1, 1).name));
}

/// Guards against second tries at a leaving upstream, own ones or those of peers.
#[test]
fn retries_and_relays_avoid_a_leaving_upstream() {
    let mut harness = GatewayHarness::ready(2);
    let request = harness.arrive(arrival("/safe/1"));
    let first = harness.orders(request)[0].upstream.clone();
    let other = if first == upstream(1, 1).name { 2 } else { 1 };
    announce(&mut harness, other, leaving());
    harness.end(request, AttemptOutcome::Broken { stalled: false });
    assert_eq!(harness.orders(request).len(), 1);
    let relayed = harness
        .gateway
        .admit_relay(harness.now, &upstream(other, 1).name, 0);
    assert_eq!(relayed, Err(RelayRefusal::NoUpstream));
}

/// Guards against callers that wait for upstreams which all leave.
#[test]
fn requests_are_refused_soon_when_all_upstreams_leave() {
    let mut harness = GatewayHarness::ready(2);
    announce(&mut harness, 1, leaving());
    announce(&mut harness, 2, leaving());
    let request = harness.arrive(arrival("/once/1"));
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.refusal(request), Some(RefusalReason::NoUpstream));
    let metadata = ResponseMetadata::default();
    harness.end(
        request,
        AttemptOutcome::NotRun {
            misdirected: false,
            metadata,
        },
    );
    assert_eq!(harness.orders(request).len(), 0);
}

fn pause(seconds: f64) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        pause: Some(Duration::from_secs_f64(seconds)),
        ..UpstreamAnnouncement::default()
    }
}

/// Guards against requests during a pause, which a later and shorter one must not end, and against
/// an upstream that gets none after it.
#[test]
fn a_pause_lasts_until_the_latest_time_that_was_asked_for() {
    let mut harness = GatewayHarness::ready(2);
    announce(&mut harness, 1, pause(3.0));
    announce(&mut harness, 1, pause(0.5));
    harness.step(GatewayEvent::UpstreamWritten(upstream(1, 1)));
    harness.advance(Duration::from_millis(2_900));
    harness.confirm();
    for number in 0..5 {
        let name = dispatched_to(&mut harness, &format!("/safe/{number}"));
        assert_eq!(name, Some(upstream(2, 1).name));
    }
    let relayed = harness
        .gateway
        .admit_relay(harness.now, &upstream(1, 1).name, 0);
    assert_eq!(relayed, Err(RelayRefusal::Paused));
    harness.advance(Duration::from_millis(200));
    assert_uses_both_upstreams(&mut harness);
}

/// Guards against a pause of an earlier incarnation that a new one does not know of.
#[test]
fn a_pause_is_that_of_the_incarnation() {
    let mut harness = GatewayHarness::ready(1);
    announce(&mut harness, 1, pause(60.0));
    let mut restarted = upstream(1, 1);
    restarted.incarnation += 1;
    harness.step(GatewayEvent::UpstreamWritten(restarted));
    assert!(dispatched_to(&mut harness, "/safe/1").is_some());
}

/// Guards against requests that are refused although their upstreams are back in time.
#[test]
fn requests_wait_for_the_end_of_a_pause_of_all_upstreams() {
    let mut harness = GatewayHarness::ready(2);
    announce(&mut harness, 1, pause(1.0));
    announce(&mut harness, 2, pause(3.0));
    let request = harness.arrive(arrival("/once/1"));
    for _ in 0..9 {
        harness.advance(Duration::from_millis(100));
        assert!(harness.orders(request).is_empty() && harness.refusal(request).is_none());
    }
    harness.advance(Duration::from_millis(150));
    assert_eq!(harness.orders(request)[0].upstream, upstream(1, 1).name);
}

/// Guards against callers who are told to come back while all upstreams still pause.
#[test]
fn a_refusal_names_the_end_of_a_pause_of_all_upstreams() {
    let mut harness = GatewayHarness::ready(2);
    announce(&mut harness, 1, pause(20.0));
    announce(&mut harness, 2, pause(30.0));
    let request = harness.arrive(arrival("/once/1"));
    while harness.refusal(request).is_none() {
        harness.advance(Duration::from_millis(100));
        harness.confirm();
    }
    let left = Duration::from_secs(20) - harness.now.since(MonotonicTime(1_000_000));
    let delay = harness.effects.iter().find_map(|effect| match effect {
        GatewayEffect::Refuse { retry_after, .. } => *retry_after,
        _ => None,
    });
    assert!(delay.expect("a delay") >= left, "{delay:?}, {left:?} left");
}

fn rejection_limit(max_rejections: f64, turned_away: bool) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        max_rejections: RateLimit::from_per_second(max_rejections),
        turned_away,
        ..UpstreamAnnouncement::default()
    }
}

/// Returns a daemon that has run for so long that it knows the others, with an upstream of each size.
fn settled(slots: &[u32]) -> GatewayHarness {
    let mut harness = GatewayHarness::ready(1);
    for (number, slots) in (1..).zip(slots) {
        harness.step(GatewayEvent::UpstreamWritten(upstream(number, *slots)));
    }
    for _ in 0..30 {
        harness.advance(Duration::from_millis(100));
        harness.confirm();
    }
    harness
}

/// Guards against an upstream that fails because several requests that it has no room for are under way.
#[test]
fn an_upstream_that_can_bear_few_rejections_gets_no_more_than_it_may_reject() {
    let mut harness = settled(&[4]);
    announce(&mut harness, 1, rejection_limit(2.0, false));
    harness.advance(Duration::from_millis(100));
    let paths = ["/safe/1", "/safe/2", "/safe/3", "/safe/4", "/safe/5"];
    let requests = paths.map(|path| harness.arrive(arrival(path)));
    let sent = |harness: &GatewayHarness| requests.map(|request| harness.orders(request).len());
    assert_eq!(sent(&harness), [1, 1, 0, 0, 0]);
    harness.advance(Duration::from_millis(50));
    assert_eq!(sent(&harness), [1, 1, 0, 0, 0]);
    harness.advance(Duration::from_millis(50));
    assert_eq!(sent(&harness), [1, 1, 1, 1, 0]);
    harness.advance(Duration::from_millis(100));
    harness.deliver(requests[0]);
    assert_eq!(sent(&harness), [1, 1, 1, 1, 1]);
}

/// Guards against rejections by daemons that have just started and know neither the others nor what
/// their previous processes sent.
#[test]
fn an_upstream_that_can_bear_few_rejections_gets_nothing_of_a_daemon_without_peers() {
    let mut harness = GatewayHarness::ready(1);
    announce(&mut harness, 1, rejection_limit(2.0, false));
    let request = harness.arrive(arrival("/safe/1"));
    for _ in 0..18 {
        harness.advance(Duration::from_millis(100));
        harness.confirm();
        announce(&mut harness, 1, rejection_limit(2.0, false));
        assert!(harness.orders(request).is_empty());
    }
    let later = harness.arrive(arrival("/safe/2"));
    harness.advance(Duration::from_millis(600));
    let sent = [request, later].map(|request| harness.orders(request).len());
    assert_eq!(sent.iter().sum::<usize>(), 1);
}

/// Guards against an upstream that fails because a daemon tries it again after a rejection.
#[test]
fn an_upstream_that_can_bear_few_rejections_is_left_alone_after_one() {
    let mut harness = settled(&[1, 1]);
    announce(&mut harness, 1, rejection_limit(0.5, false));
    harness.advance(Duration::from_millis(100));
    let request = harness.arrive(arrival("/safe/0"));
    let rejecting = harness.orders(request)[0].upstream.clone();
    let outcome = AttemptOutcome::NotRun {
        misdirected: false,
        metadata: ResponseMetadata::default(),
    };
    harness.end(request, outcome);
    let again = &harness.orders(request)[1].upstream;
    assert_ne!(*again, rejecting);
    harness.deliver(request);
    for number in 1..=19 {
        harness.advance(Duration::from_millis(100));
        harness.confirm();
        announce(&mut harness, 1, rejection_limit(0.5, false));
        let name = dispatched_to(&mut harness, &format!("/safe/{number}"));
        assert_ne!(name, Some(rejecting.clone()), "request {number}");
    }
    harness.advance(Duration::from_secs(6));
    harness.confirm();
    assert_uses_both_upstreams(&mut harness);
}

/// Guards against peers that hear of a limit of rejections for a part of a large service only.
#[test]
fn a_limit_of_rejections_reaches_peers_for_any_number_of_upstreams() {
    const UPSTREAMS: u16 = 200;
    let [mut sender, mut receiver] = ["host-a", "host-b"].map(|host| {
        let mut harness = GatewayHarness::unconfigured(options(host));
        harness.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
        let entries = (1..=UPSTREAMS).map(|number| upstream(number, 2)).collect();
        harness.step(GatewayEvent::UpstreamsRead(entries));
        harness.confirm();
        harness
    });
    for number in 1..=UPSTREAMS {
        announce(&mut sender, number, rejection_limit(3.0, false));
    }
    let gossip = sender.gateway.limit_gossip(sender.now, ReportScope::Daemon);
    receiver.step(GatewayEvent::LimitsReported(gossip.expect("a report")));
    let paths = (0..2 * UPSTREAMS).map(|number| format!("/safe/{number}"));
    let requests: Vec<_> = paths.map(|path| receiver.arrive(arrival(&path))).collect();
    let sent = requests
        .iter()
        .filter(|request| !receiver.orders(**request).is_empty());
    // The receiver does not know who may send.
    assert_eq!(sent.count(), 0);
}
