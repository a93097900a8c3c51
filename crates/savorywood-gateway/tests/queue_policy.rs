//! Rules of the deadline queue as pure functions: order, early refusal and reservation.

use quickcheck::quickcheck;
use savorywood_gateway::{
    LateWorkRule, LocalRequest, OrderedRequest, QueuePosition, QueueStage, QueuedRequest, RankRate,
    RefusalCause, RequestRank, UrgentRank, UrgentReservation, WaitingWork, WorkRates,
    early_refusals, expected_wait, order_requests,
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

const NOW: MonotonicTime = MonotonicTime(100_000_000);

fn rank(route: u32) -> RequestRank {
    RequestRank { team: 0, route }
}

fn after(millis: u64) -> MonotonicTime {
    NOW + Duration::from_millis(millis)
}

/// Returns a request in time that can start for ten seconds.
fn queued(request: u64, route: u32) -> QueuedRequest {
    QueuedRequest {
        position: QueuePosition {
            rank: rank(route),
            stage: QueueStage::New,
            unattempted: true,
            start_by: after(500),
            request: LocalRequest(request),
        },
        latest_start: after(10_000),
    }
}

/// Returns a request that missed its objective.
fn late(request: u64, route: u32) -> QueuedRequest {
    let mut late = queued(request, route);
    late.position.start_by = MonotonicTime(NOW.0 - 1);
    late
}

fn numbers(ordered: &[OrderedRequest]) -> Vec<u64> {
    ordered
        .iter()
        .map(|request| request.position.request.0)
        .collect()
}

fn order(requests: Vec<QueuedRequest>, rule: LateWorkRule) -> Vec<u64> {
    numbers(&order_requests(NOW, requests, rule, false))
}

/// Guards against a late response that takes the slot of one in time, while its deadline allows it to
/// wait: both would be late.
#[test]
fn late_requests_are_held_back_while_their_deadline_allows() {
    let requests = vec![late(1, 0), queued(2, 1), queued(3, 0)];
    assert_eq!(order(requests.clone(), LateWorkRule::HeldBack), [3, 2, 1]);
    assert_eq!(order(requests, LateWorkRule::BehindRank), [3, 1, 2]);
}

/// Guards against a late request of an urgent rank that is shed at its deadline after less urgent
/// work went ahead of it.
#[test]
fn a_late_request_near_its_deadline_returns_to_its_rank() {
    let mut due = late(1, 0);
    due.latest_start = after(900);
    let requests = vec![due, queued(2, 1), queued(3, 0)];
    assert_eq!(order(requests.clone(), LateWorkRule::HeldBack), [3, 1, 2]);
    assert_eq!(order(requests, LateWorkRule::BehindAll), [3, 2, 1]);
}

/// Guards against late requests that never get a slot while requests in time keep arriving.
#[test]
fn one_late_request_goes_ahead_while_late_work_is_below_its_share() {
    let requests = vec![late(1, 0), late(2, 0), queued(3, 1), queued(4, 0)];
    let ordered = order_requests(NOW, requests, LateWorkRule::HeldBack, true);
    assert_eq!(numbers(&ordered), [4, 1, 3, 2]);
}

/// Guards against a second wait of a request that an upstream turned away, and against one that is
/// late going ahead of requests in time.
#[test]
fn attempted_requests_are_first_among_those_in_time() {
    let mut attempted = queued(2, 0);
    attempted.position.unattempted = false;
    attempted.position.start_by = after(900);
    let mut late_attempted = late(3, 0);
    late_attempted.position.unattempted = false;
    let requests = vec![queued(1, 0), attempted, late_attempted];
    assert_eq!(order(requests, LateWorkRule::BehindRank), [2, 1, 3]);
}

/// Guards against a cut stream: one that has begun is behind no new request of its rank.
#[test]
fn streams_that_have_begun_are_first_in_their_rank() {
    let mut resumed = late(2, 0);
    resumed.position.stage = QueueStage::Resumed;
    let requests = vec![queued(1, 0), resumed, queued(3, 1)];
    assert_eq!(order(requests, LateWorkRule::HeldBack), [2, 1, 3]);
}

quickcheck! {
    /// Requests that are not held back are in order of rank, whatever else waits.
    fn requests_are_ordered_by_rank(requests: Vec<(u8, bool, bool)>) -> bool {
        let requests = requests.iter().zip(1..).map(|((route, is_late, due), number)| {
            let route = u32::from(*route % 3);
            let mut request = if *is_late { late(number, route) } else { queued(number, route) };
            if *due {
                request.latest_start = NOW;
            }
            request
        });
        let ordered = order_requests(NOW, requests, LateWorkRule::HeldBack, true);
        let served = ordered.iter().filter(|request| !request.held_back);
        served.is_sorted_by_key(|request| request.position.rank)
    }
}

fn waiting(request: u64, route: u32, deadline_ms: u64) -> WaitingWork {
    WaitingWork {
        request: LocalRequest(request),
        rank: rank(route),
        late: false,
        refusable: true,
        slot_time: Duration::from_secs(1),
        first_event: Duration::from_millis(100),
        complete_by: after(deadline_ms),
        first_event_by: after(deadline_ms),
    }
}

/// Returns rates of two slots, without arrivals.
fn rates() -> WorkRates {
    WorkRates {
        turnover: 2.0,
        ranks: vec![RankRate {
            rank: rank(0),
            arriving: 0.0,
            dispatched: 2.0,
        }],
    }
}

fn refused(work: &[WaitingWork], rates: &WorkRates) -> Vec<u64> {
    let refusals = early_refusals(NOW, work, rates);
    refusals.iter().map(|refusal| refusal.request.0).collect()
}

/// Guards against a caller that learns at its deadline that it waited in vain. Twenty seconds of work
/// at two slots take ten.
#[test]
fn a_request_that_cannot_be_complete_is_refused_early() {
    let mut work: Vec<WaitingWork> = (1..=20).map(|number| waiting(number, 0, 60_000)).collect();
    work.push(waiting(21, 1, 5_000));
    work.push(waiting(22, 1, 30_000));
    let refusals = early_refusals(NOW, &work, &rates());
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].request, LocalRequest(21));
    assert_eq!(refusals[0].cause, RefusalCause::Deadline);
    assert_eq!(refusals[0].wait, Duration::from_secs(10));
}

/// Guards against a caller that leaves without a response because its first event comes too late.
#[test]
fn a_request_whose_caller_would_leave_is_refused_early() {
    let mut work: Vec<WaitingWork> = (1..=20).map(|number| waiting(number, 0, 60_000)).collect();
    let mut impatient = waiting(21, 1, 60_000);
    impatient.first_event_by = after(2_000);
    work.push(impatient);
    let refusals = early_refusals(NOW, &work, &rates());
    assert_eq!(refusals[0].cause, RefusalCause::FirstEvent);
}

/// Guards against shedding a more urgent rank while a less urgent request goes on waiting.
#[test]
fn a_more_urgent_rank_is_not_refused_before_a_less_urgent_one() {
    let mut work: Vec<WaitingWork> = (1..=20).map(|number| waiting(number, 0, 60_000)).collect();
    work.push(waiting(21, 1, 5_000));
    work.push(waiting(22, 2, 60_000));
    assert_eq!(refused(&work, &rates()), Vec::<u64>::new());
    work[21].complete_by = after(5_000);
    assert_eq!(refused(&work, &rates()), [21, 22]);
}

/// Guards against refusing a request that an upstream may have executed.
#[test]
fn a_request_that_may_have_been_executed_is_not_refused_early() {
    let mut work: Vec<WaitingWork> = (1..=20).map(|number| waiting(number, 0, 60_000)).collect();
    let mut executed = waiting(21, 0, 5_000);
    executed.refusable = false;
    work.push(executed);
    assert_eq!(refused(&work, &rates()), Vec::<u64>::new());
}

/// Guards against a request that nothing is ahead of being refused by an estimate.
#[test]
fn a_request_without_work_ahead_is_not_refused() {
    assert_eq!(refused(&[waiting(1, 2, 100)], &rates()), Vec::<u64>::new());
}

/// More urgent arrivals take slots before the waiting request does; what its rank received in spite
/// of them is the least that counts.
#[test]
fn the_expected_wait_counts_more_urgent_arrivals() {
    let ahead = Duration::from_secs(2);
    let mut rates = rates();
    let idle = expected_wait(ahead, &rates, rank(1), false);
    rates.ranks[0].arriving = 1.5;
    let busy = expected_wait(ahead, &rates, rank(1), false);
    assert_eq!(idle, Some(Duration::from_secs(1)));
    assert!(busy > Some(Duration::from_millis(2_400)), "{busy:?}");
    let most_urgent = expected_wait(ahead, &rates, rank(0), false);
    assert_eq!(most_urgent, idle);
}

fn reservation(waiting: u32, arrivals_per_s: f64) -> UrgentReservation {
    UrgentReservation {
        waiting,
        ranks: vec![UrgentRank {
            arrivals_per_s,
            prompt_tokens: 1_000,
            objective_ms: 800.0,
        }],
    }
}

/// Guards against idle slots: with few urgent arrivals, or on upstreams that are too slow for them,
/// nothing is reserved, and never more than a third.
#[test]
fn slots_are_reserved_only_for_urgent_work_that_can_use_them() {
    let hold = Duration::from_secs(1);
    assert_eq!(reservation(0, 1.0).reserved_slots(hold, 36), 0);
    assert_eq!(reservation(0, 30.0).reserved_slots(hold, 36), 3);
    assert_eq!(reservation(2, 30.0).reserved_slots(hold, 36), 5);
    assert_eq!(reservation(50, 30.0).reserved_slots(hold, 36), 12);
    assert!(reservation(0, 30.0).can_use(|_| 700.0));
    assert!(!reservation(0, 30.0).can_use(|_| 900.0));
}

/// Guards against short requests that are refused although their slots would be free again before
/// urgent work needs them.
#[test]
fn short_work_leaves_fewer_slots_free() {
    let short = Duration::from_millis(20);
    assert_eq!(reservation(0, 30.0).reserved_slots(short, 36), 1);
}

/// Guards against large requests that are refused while smaller ones of their kind go on waiting.
#[test]
fn a_large_request_is_refused_no_earlier_than_its_kind() {
    let mut work: Vec<WaitingWork> = (1..=20).map(|number| waiting(number, 0, 60_000)).collect();
    work.extend((21..=29).map(|number| waiting(number, 1, 60_000)));
    let mut large = waiting(30, 1, 25_000);
    large.slot_time = Duration::from_secs(20);
    work.push(large);
    assert_eq!(refused(&work, &rates()), Vec::<u64>::new());
}
