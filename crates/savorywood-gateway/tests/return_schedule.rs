//! Return times of refused callers: reservations, and recognition of those that return.

use savorywood_gateway::{
    RequestRank, ReturnKey, ReturnPreference, ReturnQuery, ReturnSchedule, ReturningCallers,
    ServiceLabel, TeamLabel,
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

const NOW: MonotonicTime = MonotonicTime(10_000_000);

fn team() -> ReturnKey {
    ReturnKey::Team(TeamLabel::from("team"))
}

fn rank(route: u32) -> ReturnKey {
    ReturnKey::Service {
        service: ServiceLabel::from("engine"),
        rank: RequestRank { team: 0, route },
    }
}

fn query(amount: f64, per_second: f64) -> ReturnQuery {
    ReturnQuery {
        amount,
        per_second,
        earliest: Duration::ZERO,
        latest: Duration::from_secs(4),
        preference: ReturnPreference::Earliest,
        sample: 0.5,
    }
}

/// Guards against promises that exceed the capacity: callers refused together would all return at
/// once, and be refused again.
#[test]
fn promises_do_not_exceed_the_capacity_per_second() {
    for preference in [ReturnPreference::Earliest, ReturnPreference::Latest] {
        let mut schedule = ReturnSchedule::default();
        let mut amounts = [0.0; 5];
        let mut refused = 0;
        for number in 0..200 {
            // Sizes differ by a factor of 20.
            let amount = f64::from(1 + number * 7 % 20);
            let query = ReturnQuery {
                preference,
                ..query(amount, 100.0)
            };
            match schedule.reserve(NOW, &team(), &query) {
                Some(promise) => amounts[promise.delay.as_secs() as usize] += amount,
                None => refused += 1,
            }
        }
        assert!(refused > 0, "{amounts:?}");
        // A request in the last slice of a second may need a part of the next one.
        assert!(amounts.iter().all(|amount| *amount <= 135.0), "{amounts:?}");
        assert!(amounts.iter().sum::<f64>() <= 440.0, "{amounts:?}");
        assert!(amounts[..4].iter().sum::<f64>() >= 330.0, "{amounts:?}");
    }
}

/// Guards against urgent callers that wait until less urgent ones have returned, and against the
/// converse promise.
#[test]
fn more_urgent_ranks_are_not_behind_less_urgent_ones() {
    let mut schedule = ReturnSchedule::default();
    let mut reserve = |rank| schedule.reserve(NOW, &rank, &query(1.0, 10.0));
    for _ in 0..20 {
        assert!(reserve(rank(2)).is_some());
    }
    let urgent = reserve(rank(0)).expect("a time");
    assert!(urgent.delay < Duration::from_millis(100), "{urgent:?}");
    let last = reserve(rank(2)).expect("a time");
    assert!(last.delay >= Duration::from_secs(2), "{last:?}");
}

/// Guards against state that grows with the number of teams, or is kept after its time.
#[test]
fn state_is_bounded_and_expires() {
    let mut schedule = ReturnSchedule::default();
    for number in 0..30_000 {
        let key = ReturnKey::Team(TeamLabel::from(format!("team-{number}").as_str()));
        schedule.reserve(NOW, &key, &query(1.0, 10.0));
    }
    assert!(schedule.key_count() <= 24_000);
    schedule.expire(NOW + Duration::from_secs(7));
    assert_eq!(schedule.key_count(), 0);
}

/// Guards against new requests of a team that use the units promised to returning ones, and against
/// units that are held after the caller has returned.
#[test]
fn promised_units_are_held_until_they_are_claimed() {
    let mut schedule = ReturnSchedule::default();
    let promise = schedule.reserve(NOW, &team(), &query(50.0, 100.0));
    let due = NOW + promise.expect("a time").delay;
    assert!(schedule.held_amount(due, &team(), 100.0) >= 50.0);
    schedule.claim(due, &team(), 50.0);
    assert_eq!(schedule.held_amount(due, &team(), 100.0), 0.0);
}

/// Guards against new callers that are taken for returning ones where callers choose their
/// deadlines freely.
#[test]
fn returns_are_recognised_by_shorter_deadlines_only_if_these_are_usually_equal() {
    let mut callers = ReturningCallers::default();
    let mut freely = ReturningCallers::default();
    for number in 0..100 {
        callers.observe(NOW, "route", Duration::from_secs(6));
        freely.observe(NOW, "route", Duration::from_millis(2_000 + 40 * number));
    }
    let shorter = Duration::from_millis(4_800);
    let elapsed = callers.observe(NOW, "route", shorter);
    assert_eq!(elapsed, Some(Duration::from_millis(1_200)));
    assert_eq!(freely.observe(NOW, "route", shorter), None);
}
