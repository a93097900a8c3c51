//! Order of waiting requests within a rank.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival};
use savorywood_gateway::{AttemptOutcome, ResponseMetadata};
use std::time::Duration;

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
