//! At most one dispatch of a request, whatever upstreams and callers do.

use crate::fixture::{BenchRequest, SchedulerBench};
use savorywood_core::{DaemonEffect, FailureCause, UpstreamEvent, scheduler::SchedulerEvent};
use savorywood_protocol::{OutcomeKind, RefusalCode};
use std::time::Duration;

/// A connection can't be made, so no byte has left. Another upstream may be tried, and a late
/// event of the first attempt must not touch the second: the caller would lose its answer.
#[test]
fn unsent_request_goes_elsewhere_and_late_events_are_ignored() {
    let mut bench = SchedulerBench::new(2, 4);
    let request = bench.send(&BenchRequest::default());
    let first = bench.dispatches()[0].clone();
    bench.upstream(UpstreamEvent::NotSent {
        request,
        attempt: first.attempt,
    });
    let second = bench.dispatches()[1].clone();
    assert_ne!(first.upstream, second.upstream);
    assert_eq!(second.attempt, first.attempt.next());
    bench.upstream(UpstreamEvent::Failed {
        request,
        attempt: first.attempt,
        cause: FailureCause::Connection,
    });
    assert_eq!(bench.scheduler.open_requests(), 1);
    bench.finish(&second);
    assert_eq!(bench.scheduler.open_requests(), 0);
}

/// A stream breaks after bytes have left. Whether it ran is not known, so sending it again could
/// run it twice.
#[test]
fn broken_request_is_never_sent_again() {
    let mut bench = SchedulerBench::new(3, 4);
    let request = bench.send(&BenchRequest::default());
    let order = bench.dispatches()[0].clone();
    bench.upstream(UpstreamEvent::Failed {
        request,
        attempt: order.attempt,
        cause: FailureCause::Truncated,
    });
    bench.fire_timers(Duration::from_secs(5));
    assert_eq!(bench.dispatches().len(), 1);
    assert_eq!(bench.scheduler.open_requests(), 0);
    assert!(bench.refusals().is_empty());
}

/// All connections fail. Without a budget each request would be tried three times, and the load
/// that brought the upstreams down would triple.
#[test]
fn retries_are_bounded_when_nothing_can_be_reached() {
    let mut bench = SchedulerBench::new(8, 64);
    for _ in 0..400 {
        bench.send(&BenchRequest::default());
        while let Some(order) = open_order(&bench) {
            bench.upstream(UpstreamEvent::NotSent {
                request: order.request,
                attempt: order.attempt,
            });
        }
        bench.pass(Duration::from_millis(100));
    }
    let retries = bench.scheduler.counters().retries;
    assert!(retries <= 60, "{retries} retries");
    let refusals = bench.refusals();
    assert!(
        refusals
            .values()
            .all(|refusal| refusal.outcome == OutcomeKind::NotRun)
    );
}

fn open_order(bench: &SchedulerBench) -> Option<savorywood_core::DispatchCommand> {
    let orders = bench.dispatches();
    let last = orders.last()?.clone();
    let after = bench.effects.iter().rev().find_map(|effect| match effect {
        DaemonEffect::Dispatch(order) => Some(order.request == last.request),
        DaemonEffect::Refuse { request, .. } if *request == last.request => Some(false),
        _ => None,
    });
    (after == Some(true) && bench.scheduler.open_requests() > 0).then_some(last)
}

/// A caller leaves while its answer is being made. Unless the upstream is told, it goes on
/// generating for nobody.
#[test]
fn leaving_caller_cancels_upstream_work() {
    let mut bench = SchedulerBench::new(1, 1);
    let running = bench.send(&BenchRequest::default());
    let waiting = bench.send(&BenchRequest::default());
    let effects = bench.step(SchedulerEvent::CallerLeft { request: running });
    assert!(effects.iter().any(|effect| matches!(
        effect,
        DaemonEffect::CancelAttempt { request, .. } if *request == running
    )));
    assert_eq!(bench.dispatches()[1].request, waiting);
    assert_eq!(bench.scheduler.counters().prefill.cancelled, 100);
}

/// An upstream goes on past the deadline. The answer is of no use any more, and the seat is held
/// from those who wait.
#[test]
fn overdue_attempt_is_cancelled_and_its_caller_told() {
    let mut bench = SchedulerBench::new(1, 1);
    let request = bench.send(&BenchRequest {
        deadline: Duration::from_secs(10),
        ..BenchRequest::default()
    });
    bench.fire_timers(Duration::from_secs(11));
    let refusal = bench.refusals()[&request].clone();
    assert_eq!(refusal.code, RefusalCode::DeadlineExceeded);
    assert_eq!(refusal.outcome, OutcomeKind::Unknown);
    assert_eq!(bench.scheduler.open_requests(), 0);
    assert_eq!(bench.scheduler.counters().prefill.late, 100);
}
