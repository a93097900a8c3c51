//! Decisions of slot reservations on given states: shares, lost members, reported load.

use savorywood_gateway::{
    HoldCause, LoadRecord, MemberHistory, PaceReport, ReportedLoad, ReservationPolicy, ServiceUse,
    SlotReservation, SlotUsage, rank_claim,
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime(1_000_000);
const SLOTS: u32 = 4;

fn at(millis: u64) -> MonotonicTime {
    START + Duration::from_millis(millis)
}

fn history(members: std::ops::Range<u64>) -> MemberHistory {
    let mut history = MemberHistory::default();
    history.update(START, members.collect(), |_| false);
    history
}

/// Returns the reservation of a member for upstream 7, at which `free` slots have been free since
/// the start.
fn reservation(own: u64, members: &MemberHistory, free: u32) -> SlotReservation {
    let mut reservation = SlotReservation {
        claim: rank_claim(own, 7, SLOTS, members),
        ..SlotReservation::default()
    };
    reservation.vacancies.update(START, free);
    reservation
}

fn check(
    reservation: &SlotReservation,
    now: MonotonicTime,
    own: u32,
    all: u32,
) -> Result<(), HoldCause> {
    let usage = SlotUsage {
        slots: SLOTS,
        own,
        all,
    };
    let service = ServiceUse {
        own: 12,
        slots: 360,
        group_slots: 360,
    };
    reservation.check(now, usage, service, ReservationPolicy::default())
}

/// Guards against a slot that is owned twice or by nobody, with fewer and with more members than
/// slots.
#[test]
fn the_slots_of_an_upstream_are_owned_exactly_once() {
    for count in [1, 3, 4, 30, 1_000] {
        let members = history(0..count);
        for upstream in 0..20 {
            let owned = (0..count).filter_map(|own| rank_claim(own, upstream, SLOTS, &members));
            assert_eq!(
                owned.map(|claim| claim.owned).sum::<u32>(),
                SLOTS,
                "{count}"
            );
        }
    }
}

/// Guards against two halves of a partition that both use all slots of an upstream.
#[test]
fn the_parts_of_a_partition_share_the_slots() {
    let mut larger = history(0..30);
    let mut smaller = history(0..30);
    larger.update(at(1_300), (10..30).collect(), |_| false);
    smaller.update(at(1_300), (0..10).collect(), |_| false);
    for upstream in 0..50 {
        let one = rank_claim(29, upstream, SLOTS, &larger).expect("a member");
        let other = rank_claim(0, upstream, SLOTS, &smaller).expect("a member");
        assert_eq!(one.group_slots + other.group_slots, SLOTS);
    }
    // An isolated daemon keeps the slots that it owns.
    let mut alone = history(0..30);
    alone.update(at(1_300), vec![3], |_| false);
    for upstream in 0..50 {
        let claim = rank_claim(3, upstream, SLOTS, &alone).expect("a member");
        assert_eq!(claim.group_slots, claim.owned);
    }
}

/// Guards against the slots of a crashed daemon that nobody uses any more, and against those of
/// partitioned daemons that others take while these still use them.
#[test]
fn the_slots_of_lost_members_return_after_a_known_time() {
    let mut members = history(0..30);
    members.update(at(0), (1..30).collect(), |_| false);
    assert_eq!(members.lost_count(), 1);
    members.update(at(2_000), (1..30).collect(), |_| false);
    assert_eq!(members.lost_count(), 0, "one daemon that crashed");
    members.update(at(3_000), (11..30).collect(), |_| false);
    members.update(at(16_000), (11..30).collect(), |_| false);
    assert_eq!(members.lost_count(), 10, "a partition of 13 s");
    members.update(at(18_000), (11..30).collect(), |_| false);
    assert_eq!(members.lost_count(), 0);
}

/// Guards against slots kept for a daemon that has left the entry set and reports its own use.
#[test]
fn members_that_leave_the_entry_set_are_not_lost() {
    let mut members = history(0..30);
    members.update(at(100), (5..30).collect(), |member| member < 5);
    assert_eq!(members.lost_count(), 0);
}

/// Guards against several daemons that take the last free slot at the same time, and against a slot
/// that stays free because its owner does not need it.
#[test]
fn a_free_slot_is_open_to_more_daemons_the_longer_it_is_free() {
    let members = history(0..30);
    let allowed = |millis: u64| {
        let reservations = (0..30).map(|own| reservation(own, &members, 1));
        reservations
            .filter(|reservation| check(reservation, at(millis), 1, 3).is_ok())
            .count()
    };
    assert_eq!(allowed(0), 1);
    assert_eq!(allowed(450), 4);
    assert_eq!(allowed(1_000), 30);
}

/// Guards against requests that an upstream rejects because daemons that nobody knows use its slots,
/// against counting daemons twice once their reports arrive, and against a report that holds slots
/// back for good.
#[test]
fn the_load_that_an_upstream_reports_counts_for_a_while() {
    let members = history(0..1);
    let mut reservation = reservation(0, &members, 3);
    let load = ReportedLoad {
        running: 4,
        waiting: 1,
        slots: SLOTS,
        pace: PaceReport::Absent,
    };
    reservation.report.record(START, load, 1, SLOTS);
    assert_eq!(
        check(&reservation, at(100), 1, 1),
        Err(HoldCause::Unaccounted)
    );
    assert_eq!(reservation.report.unaccounted(at(100), 4), 0);
    assert_eq!(check(&reservation, at(5_000), 1, 1), Ok(()));
}

/// Guards against a false report that makes an upstream appear full.
#[test]
fn an_impossible_load_is_ignored() {
    let mut report = LoadRecord::default();
    let load = ReportedLoad {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: SLOTS,
        pace: PaceReport::Absent,
    };
    report.record(START, load, 0, SLOTS);
    assert_eq!(report.unaccounted(START, 0), 0);
}

/// Guards against a daemon that has just started and takes slots whose use it has not learned yet.
#[test]
fn a_daemon_without_a_claim_takes_one_slot_and_not_the_last() {
    let reservation = SlotReservation::default();
    assert_eq!(check(&reservation, START, 0, 2), Ok(()));
    assert_eq!(
        check(&reservation, START, 0, 3),
        Err(HoldCause::MembersUnknown)
    );
    assert_eq!(
        check(&reservation, START, 1, 1),
        Err(HoldCause::MembersUnknown)
    );
}

/// Guards against a partitioned daemon that can't serve a service with fewer slots than daemons at
/// all, as it owns none of them, and against one that takes more than a single slot there.
#[test]
fn a_partitioned_daemon_without_slots_keeps_one() {
    let mut members = history(0..33);
    members.update(at(1_300), vec![3], |_| false);
    let owns_nothing = |key: &u64| {
        rank_claim(3, *key, SLOTS, &members).is_some_and(|claim| claim.group_slots == 0)
    };
    let key = (0..50).find(owns_nothing).expect("an upstream of others");
    let reservation = SlotReservation {
        claim: rank_claim(3, key, SLOTS, &members),
        ..SlotReservation::default()
    };
    let check = |own: u32| {
        let usage = SlotUsage {
            slots: SLOTS,
            own,
            all: own,
        };
        let service = ServiceUse {
            own,
            slots: 3 * SLOTS,
            group_slots: 0,
        };
        reservation.check(at(1_400), usage, service, ReservationPolicy::default())
    };
    assert_eq!(check(0), Ok(()));
    assert_eq!(check(1), Err(HoldCause::LostMembers));
}
