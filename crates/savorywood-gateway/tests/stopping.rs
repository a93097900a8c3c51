//! Requests of a daemon that stops.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, peer_summary};
use quickcheck::{TestResult, quickcheck};
use savorywood_gateway::{
    AttemptOutcome, GatewayEffect, GatewayEvent, LocalRequest, RefusalReason, RequestArrival,
    ResponseMetadata, StopSchedule,
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(8);
/// Events of a stream, and the time between two of them.
const EVENTS: u32 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(300);
const STREAM_TIME: Duration = Duration::from_secs(6);
const TICK: Duration = Duration::from_millis(10);

fn pass(harness: &mut GatewayHarness, time: Duration) {
    let until = harness.now + time;
    while harness.now < until {
        harness.confirm();
        harness.advance(TICK);
    }
}

fn stream(deadline: Duration) -> RequestArrival {
    RequestArrival {
        deadline: Some(deadline),
        ..arrival("/stream/1")
    }
}

/// Serves a stream that takes `STREAM_TIME`.
fn serve_stream(harness: &mut GatewayHarness, request: LocalRequest) {
    let metadata = ResponseMetadata::default();
    harness.step(GatewayEvent::ResponseStarted { request, metadata });
    for _ in 1..EVENTS {
        pass(harness, EVENT_INTERVAL);
        let events = 1;
        harness.step(GatewayEvent::ResponseProgressed { request, events });
    }
    harness.end(
        request,
        AttemptOutcome::Delivered {
            metadata,
            events: EVENTS,
        },
    );
}

/// Returns a daemon that knows how long streams take, and was ordered to stop.
fn stopping_harness() -> GatewayHarness {
    let mut harness = GatewayHarness::ready(8);
    for _ in 0..5 {
        let request = harness.arrive(stream(Duration::from_secs(12)));
        serve_stream(&mut harness, request);
    }
    harness.step(GatewayEvent::StopRequested { grace: GRACE });
    harness
}

/// Guards against streams that are admitted late in a stop and cut at its end.
#[test]
fn a_stream_that_would_be_cut_by_the_exit_is_refused() {
    let mut harness = stopping_harness();
    let schedule = harness.gateway.stop_schedule().expect("a schedule");
    let mut admitted = 0;
    while harness.now < schedule.arrivals_until() {
        let request = harness.arrive(stream(Duration::from_secs(12)));
        match harness.refusal(request) {
            None => {
                admitted += 1;
                assert!(harness.now + STREAM_TIME <= schedule.exits_at());
                harness.step(GatewayEvent::CallerDisconnected(request));
            }
            Some(reason) => assert_eq!(reason, RefusalReason::Stopping),
        }
        pass(&mut harness, Duration::from_millis(100));
    }
    assert!(admitted > 0, "all streams were refused");
}

/// Guards against refusing what surely ends before the exit, when no other daemon may be ready.
#[test]
fn requests_that_end_by_their_deadline_are_admitted_until_callers_know_of_the_stop() {
    let mut harness = stopping_harness();
    let schedule = harness.gateway.stop_schedule().expect("a schedule");
    while harness.now < schedule.arrivals_until() {
        for path in ["/stream/1", "/once/1"] {
            let request = harness.arrive(RequestArrival {
                deadline: Some(Duration::from_secs(3)),
                ..arrival(path)
            });
            assert_eq!(harness.refusal(request), None, "{path}");
            harness.step(GatewayEvent::CallerDisconnected(request));
        }
        pass(&mut harness, Duration::from_millis(100));
    }
    let request = harness.arrive(stream(Duration::from_secs(3)));
    assert_eq!(harness.refusal(request), Some(RefusalReason::Stopping));
}

/// Guards against an optimistic estimate that admits a stream late, whose cut nothing can hide.
#[test]
fn a_late_stream_must_end_by_its_deadline() {
    let mut harness = GatewayHarness::ready(8);
    harness.step(GatewayEvent::StopRequested { grace: GRACE });
    pass(&mut harness, Duration::from_millis(3_000));
    let request = harness.arrive(stream(Duration::from_secs(12)));
    assert_eq!(harness.refusal(request), Some(RefusalReason::Stopping));
    let request = harness.arrive(RequestArrival {
        deadline: Some(Duration::from_secs(12)),
        ..arrival("/once/1")
    });
    assert_eq!(harness.refusal(request), None);
}

/// Guards against a retry that is sent in the last moment of a stop and cut by the exit.
#[test]
fn a_retry_that_would_be_cut_by_the_exit_is_not_sent() {
    let mut harness = stopping_harness();
    let request = harness.arrive(stream(Duration::from_secs(12)));
    assert_eq!(harness.orders(request).len(), 1);
    pass(&mut harness, Duration::from_secs(2));
    harness.end(
        request,
        AttemptOutcome::NotRun {
            misdirected: false,
            metadata: ResponseMetadata::default(),
        },
    );
    pass(&mut harness, Duration::from_millis(100));
    assert_eq!(harness.orders(request).len(), 1);
    assert_eq!(harness.refusal(request), Some(RefusalReason::Stopping));
}

/// Guards against a cut by a response that is longer than expected, where another daemon would have
/// taken the request.
#[test]
fn streams_are_refused_earlier_while_another_daemon_is_ready() {
    let mut alone = stopping_harness();
    let mut accompanied = stopping_harness();
    accompanied.step(GatewayEvent::SummaryReceived(Box::new(peer_summary(
        2, "zone-a", 1,
    ))));
    let request = alone.arrive(stream(Duration::from_secs(12)));
    assert_eq!(alone.refusal(request), None);
    let request = accompanied.arrive(stream(Duration::from_secs(12)));
    assert_eq!(accompanied.refusal(request), Some(RefusalReason::Stopping));
}

/// Guards against a second signal that moves the end of a stop beyond the kill.
#[test]
fn a_second_order_to_stop_changes_nothing() {
    let mut harness = stopping_harness();
    let schedule = harness.gateway.stop_schedule();
    pass(&mut harness, Duration::from_secs(1));
    harness.step(GatewayEvent::StopRequested { grace: GRACE });
    assert_eq!(harness.gateway.stop_schedule(), schedule);
}

/// Guards against requests that are still open at the exit and get no response.
#[test]
fn all_open_requests_get_a_final_response_before_the_exit() {
    let mut harness = GatewayHarness::ready(1);
    let running = harness.arrive(arrival("/once/1"));
    let waiting = harness.arrive(arrival("/once/2"));
    assert_eq!(harness.orders(waiting).len(), 0);
    harness.step(GatewayEvent::StopRequested { grace: GRACE });
    harness.step(GatewayEvent::StopForced);
    assert_eq!(harness.refusal(waiting), Some(RefusalReason::Stopping));
    let expired = GatewayEffect::ExpireAttempt { request: running };
    assert!(harness.effects.contains(&expired));
    harness.end(running, AttemptOutcome::Expired);
    let refusal = harness.refusal(running);
    assert_eq!(refusal, Some(RefusalReason::ExpiredUnknown));
    assert_eq!(harness.gateway.open_requests(), 0);
}

quickcheck! {
    /// Guards against a stop that is forced before the last sixth of the time until the kill, or that
    /// leaves no time to write answers.
    fn schedules_are_in_order_for_all_times_until_the_kill(grace_ms: u32) -> TestResult {
        if grace_ms < 100 {
            return TestResult::discard();
        }
        let grace = Duration::from_millis(grace_ms.into());
        let now = MonotonicTime(5_000_000);
        let schedule = StopSchedule::new(now, grace);
        let answers = schedule.answers_at().since(now);
        let exit = schedule.exits_at().since(now);
        let is_ordered = schedule.arrivals_until() <= schedule.answers_at()
            && answers < exit
            && exit < grace;
        TestResult::from_bool(is_ordered && answers * 6 >= grace * 5)
    }
}
