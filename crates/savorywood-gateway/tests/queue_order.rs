//! Order of waiting requests within a rank.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, config, options, upstream};
use savorywood_gateway::{
    AttemptOutcome, GatewayEvent, LocalRequest, OverloadOptions, RefusalReason, ResponseMetadata,
};
use std::{sync::Arc, time::Duration};

/// Returns a gateway with the deadline queue and two upstreams of one slot.
fn deadline_queue() -> GatewayHarness {
    let mut options = options("host-a");
    options.overload = OverloadOptions {
        deadline_queue: true,
        ..OverloadOptions::default()
    };
    let mut harness = GatewayHarness::unconfigured(options);
    harness.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
    let entries = (1..=2).map(|number| upstream(number, 1)).collect();
    harness.step(GatewayEvent::UpstreamsRead(entries));
    harness.confirm();
    harness
}

/// Serves requests of 400 ms one after the other, so that a turnover of two slots is observed.
fn serve_for(harness: &mut GatewayHarness, rounds: u32) {
    for _ in 0..rounds {
        let requests: Vec<LocalRequest> =
            (0..2).map(|_| harness.arrive(arrival("/safe/1"))).collect();
        for _ in 0..20 {
            harness.advance(Duration::from_millis(20));
        }
        harness.confirm();
        for request in requests {
            harness.deliver(request);
        }
    }
}

/// Lets forty requests of 400 ms wait for two slots, and returns one that must be complete within a
/// second.
fn arrive_behind_others(harness: &mut GatewayHarness) -> LocalRequest {
    for _ in 0..40 {
        harness.arrive(arrival("/urgent/1"));
    }
    let mut hurried = arrival("/safe/1");
    hurried.deadline = Some(Duration::from_secs(1));
    let request = harness.arrive(hurried);
    harness.advance(Duration::from_millis(10));
    request
}

/// Guards against a caller that learns only at its deadline that it waited in vain: it could have
/// gone elsewhere.
#[test]
fn a_request_behind_too_much_work_is_refused_at_once() {
    let mut harness = deadline_queue();
    serve_for(&mut harness, 6);
    let request = arrive_behind_others(&mut harness);
    assert_eq!(harness.refusal(request), Some(RefusalReason::Overloaded));
    assert_eq!(harness.gateway.queue_counters().refused_for_deadline, 1);
}

/// A daemon has just started and has observed no turnover of slots. Guards against refusals by a
/// guess.
#[test]
fn nothing_is_refused_early_without_an_observed_turnover() {
    let mut harness = deadline_queue();
    let request = arrive_behind_others(&mut harness);
    assert_eq!(harness.refusal(request), None);
}

/// Guards against a wrong estimate that refuses requests which an idle upstream could serve: the
/// slots become free for another reason than the observed turnover.
#[test]
fn nothing_is_refused_early_while_a_slot_is_free() {
    let mut harness = deadline_queue();
    serve_for(&mut harness, 6);
    let entries = (1..=60).map(|number| upstream(number, 1)).collect();
    harness.step(GatewayEvent::UpstreamsRead(entries));
    let request = arrive_behind_others(&mut harness);
    assert_eq!(harness.refusal(request), None);
    assert_eq!(harness.orders(request).len(), 1);
}

/// An upstream turns a request away that still can be in time. Guards against ordering it behind
/// the requests that arrived after it: its caller would wait a second time.
#[test]
fn a_requeued_request_goes_ahead_of_requests_not_yet_attempted() {
    let mut harness = GatewayHarness::ready(2);
    let turned_away = harness.arrive(arrival("/safe/1"));
    let running = harness.arrive(arrival("/safe/2"));
    let next = harness.arrive(arrival("/safe/3"));
    let waiting = harness.arrive(arrival("/safe/4"));
    harness.end(
        turned_away,
        AttemptOutcome::NotRun {
            misdirected: false,
            metadata: ResponseMetadata::default(),
        },
    );
    assert_eq!(harness.orders(next).len(), 1);
    harness.advance(Duration::from_millis(20));
    harness.deliver(running);
    assert_eq!(harness.orders(turned_away).len(), 2);
    assert!(harness.orders(waiting).is_empty());
}
