//! Tiers, teams, floors and refusals.

use crate::fixture::{BenchRequest, SchedulerBench};
use savorywood_core::scheduler::SchedulerEvent;
use savorywood_protocol::{OutcomeKind, RefusalCode, TierRank};
use std::time::Duration;

/// A daemon whose queue is full of the lowest tier gets a storm briefing. If the newest arrival
/// were refused because the queue is full, the operator would see a briefing fail while notes
/// that can wait are served.
#[test]
fn full_queue_sheds_the_lowest_tier_first() {
    let mut bench = SchedulerBench::new(1, 1);
    let low = BenchRequest {
        rank: 3,
        deadline: Duration::from_secs(100_000),
        ..BenchRequest::default()
    };
    let mut sent = Vec::new();
    while bench.refusals().is_empty() && sent.len() < 5_000 {
        sent.push(bench.send(&low));
    }
    let before = bench.refusals().len();
    let high = bench.send(&BenchRequest {
        rank: 0,
        ..low.clone()
    });
    assert!(!bench.refusals().contains_key(&high));
    assert_eq!(bench.refusals().len(), before + 1);
    let first = bench.dispatches()[0].clone();
    bench.finish(&first);
    assert_eq!(bench.dispatches()[1].request, high);
    assert_eq!(bench.breaches(), []);
}

/// Work that can't be done in time is not held until its caller gives up: the caller would then
/// have no time left to go elsewhere. It is refused when that becomes certain, with a time to
/// come back.
#[test]
fn hopeless_request_is_refused_long_before_its_deadline() {
    let mut bench = SchedulerBench::new(1, 1);
    bench.teach(Duration::from_secs(8));
    bench.send(&BenchRequest::default());
    let waiting = bench.send(&BenchRequest {
        deadline: Duration::from_secs(30),
        ..BenchRequest::default()
    });
    bench.fire_timers(Duration::from_secs(25));
    let refusals = bench.refusals();
    let refusal = &refusals[&waiting];
    assert_eq!(refusal.outcome, OutcomeKind::NotRun);
    assert!(refusal.retry_after.is_some());
    assert_eq!(bench.scheduler.open_requests(), 1);
}

/// A daemon has just started and has seen no answer. If it refused on a guess, it would turn
/// away all short deadlines and never learn that they can be met.
#[test]
fn nothing_is_refused_on_a_guess() {
    let mut bench = SchedulerBench::new(1, 1);
    for millis in [200, 400, 800] {
        let request = bench.send(&BenchRequest {
            deadline: Duration::from_millis(millis),
            ..BenchRequest::default()
        });
        assert!(!bench.refusals().contains_key(&request));
        let order = bench.dispatches().pop().unwrap();
        assert_eq!(order.request, request);
        bench.finish(&order);
    }
}

/// One large team sends many requests before a small one sends its first. First come, first
/// served would make the small team wait for all of them.
#[test]
fn small_team_does_not_wait_for_all_of_a_large_one() {
    let mut bench = SchedulerBench::new(1, 1);
    let large = BenchRequest {
        team: "large",
        deadline: Duration::from_secs(3_600),
        ..BenchRequest::default()
    };
    for _ in 0..20 {
        bench.send(&large);
    }
    let small = bench.send(&BenchRequest {
        team: "small",
        ..large.clone()
    });
    for served in 0..3 {
        let order = bench.dispatches()[served].clone();
        bench.finish(&order);
    }
    let orders = bench.dispatches();
    assert!(orders.iter().any(|order| order.request == small));
}

/// The arbiters raise a floor because a higher tier is short of seats on another daemon. Lower
/// work that waits here must go first, or the higher tier would be shed there before it.
#[test]
fn floor_sheds_what_waits_below_it() {
    let mut bench = SchedulerBench::new(1, 1);
    let request = |rank| BenchRequest {
        rank,
        deadline: Duration::from_secs(3_600),
        ..BenchRequest::default()
    };
    bench.send(&request(0));
    let middle = bench.send(&request(1));
    let low = bench.send(&request(3));
    bench.floors.insert(bench.service(), TierRank(1));
    bench.step(SchedulerEvent::ViewChanged);
    assert_eq!(bench.refusals()[&low].code, RefusalCode::TierShed);
    assert!(!bench.refusals().contains_key(&middle));
    let later = bench.send(&request(2));
    assert_eq!(bench.refusals()[&later].code, RefusalCode::TierShed);
    assert_eq!(bench.breaches(), []);
}

/// Callers that are refused together and told the same time come back together and are refused
/// again, every time.
#[test]
fn refused_callers_are_told_different_times() {
    let mut bench = SchedulerBench::new(1, 1);
    bench.teach(Duration::from_secs(8));
    for _ in 0..200 {
        bench.send(&BenchRequest {
            deadline: Duration::from_secs(20),
            ..BenchRequest::default()
        });
    }
    let refusals = bench.refusals();
    let told: std::collections::BTreeSet<_> = refusals
        .values()
        .map(|refusal| refusal.retry_after)
        .collect();
    assert!(refusals.len() > 50, "{}", refusals.len());
    assert!(told.len() > refusals.len() / 2, "{}", told.len());
    assert!(
        refusals
            .values()
            .all(|refusal| refusal.outcome == OutcomeKind::NotRun)
    );
}
