//! Uneven queues over daemons that share an upstream, and what the network does to credits.

#[path = "credit/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use fleet::{CreditFleet, FleetFaults, host_name};
use quickcheck::QuickCheck;
use savorywood_protocol::{TierRank, peer::membership::MemberState};
use std::time::Duration;

const TOP: TierRank = TierRank(0);
const LOW: TierRank = TierRank(3);

/// One upstream of eight seats, of which 20 jobs a second can be had, and two daemons.
fn two_daemons(seed: u64) -> CreditFleet {
    CreditFleet::new(seed, 2, 1, 1, 8)
}

/// All callers of the highest tier are sent to one daemon, and all of the lowest to another,
/// each with more work than the upstream can do. Were each to look at its own queues only, the
/// first would shed storm briefings while the second goes on with notes.
#[test]
fn the_lowest_tier_is_shed_first_across_daemons() {
    let mut fleet = two_daemons(1);
    let (top, low) = (host_name(0), host_name(1));
    fleet.run(Duration::from_secs(20), |fleet| {
        if fleet.random_chance(0.15) {
            fleet.submit_job(&host_name(0), TOP);
        }
        if fleet.random_chance(0.15) {
            fleet.submit_job(&host_name(1), LOW);
        }
    });
    assert_eq!(fleet.priority_inversions, Vec::<String>::new());
    let (top, low) = (fleet.tally(&top, 0), fleet.tally(&low, 3));
    assert!(top.done >= 360, "{top:?} of 400 that the upstream can do");
    assert_eq!(top.shed_locally + top.expired, 0, "{top:?}");
    assert!(top.shed > 0 && low.below_floor > 0, "{top:?} {low:?}");
}

/// The highest tier alone fits the upstream. None of it may be shed because the lowest tier is
/// asked for at another daemon.
#[test]
fn a_top_tier_that_fits_is_never_shed() {
    let mut fleet = two_daemons(2);
    fleet.run(Duration::from_secs(20), |fleet| {
        if fleet.random_chance(0.07) {
            fleet.submit_job(&host_name(0), TOP);
        }
        if fleet.random_chance(0.2) {
            fleet.submit_job(&host_name(1), LOW);
        }
    });
    let top = fleet.tally(&host_name(0), 0);
    assert_eq!(
        top.shed + top.shed_locally + top.expired + top.below_floor,
        0,
        "{top:?}"
    );
    let low = fleet.tally(&host_name(1), 3);
    assert!(low.done > 50, "the rest of the seats stood idle: {low:?}");
}

/// Four tiers wait at different daemons. They must go from the bottom, one after the other: a
/// floor that rose all at once would shed the second tier when the fourth was enough.
#[test]
fn the_floor_rises_from_the_bottom() {
    let mut fleet = CreditFleet::new(3, 4, 1, 1, 5);
    fleet.run(Duration::from_secs(20), |fleet| {
        for rank in 0..4_u8 {
            if fleet.random_chance(0.04) {
                fleet.submit_job(&host_name(usize::from(rank)), TierRank(rank));
            }
        }
    });
    assert_eq!(fleet.priority_inversions, Vec::<String>::new());
    let not_done: Vec<_> = (0..4)
        .map(|rank| {
            let tally = fleet.total(rank);
            tally.arrived - tally.done
        })
        .collect();
    assert!(not_done[0] <= 10 && not_done[1] <= 10, "{not_done:?}");
    assert!(
        not_done[3] > 100 && not_done[3] > not_done[2],
        "{not_done:?}"
    );
}

/// Nobody queues. The daemons must not say a word about the upstream, or at the planned size
/// they would speak of nothing else.
#[test]
fn what_is_not_contended_costs_no_bytes() {
    let mut fleet = CreditFleet::new(4, 8, 4, 2, 8);
    fleet.run(Duration::from_secs(5), |fleet| {
        for number in 0..8 {
            if fleet.random_chance(0.005) {
                fleet.submit_job(&host_name(number), TOP);
            }
        }
    });
    assert_eq!(fleet.sent_bytes(), 0);
    assert!(fleet.total(0).done > 15);
}

/// A rush is over. The upstream must stop being spoken of, and each daemon be free to use its
/// own limit again.
#[test]
fn contention_ends_with_the_burst() {
    let mut fleet = two_daemons(5);
    fleet.run(Duration::from_secs(5), |fleet| {
        if fleet.random_chance(0.2) {
            fleet.submit_job(&host_name(0), TOP);
        }
        if fleet.random_chance(0.05) {
            fleet.submit_job(&host_name(1), LOW);
        }
    });
    assert!(!fleet.grant_holders("runner-000").is_empty());
    let submit_few = |fleet: &mut CreditFleet| {
        if fleet.random_chance(0.02) {
            fleet.submit_job(&host_name(0), TOP);
        }
    };
    fleet.run(Duration::from_secs(20), submit_few);
    assert_eq!(fleet.grant_holders("runner-000").len(), 0);
    let before = fleet.sent_bytes();
    fleet.run(Duration::from_secs(5), submit_few);
    assert_eq!(fleet.sent_bytes(), before);
}

/// The arbiter dies in the middle of a rush. Until the others notice, their grants lapse and
/// they use a standing share, so the upstream is not overrun; then the next by hash takes over.
#[test]
fn a_crashed_arbiter_is_replaced() {
    let submit_burst = |fleet: &mut CreditFleet| {
        for number in 0..4 {
            if fleet.random_chance(0.05) {
                fleet.submit_job(&host_name(number), TOP);
            }
        }
    };
    for victim in 0..4 {
        let mut fleet = CreditFleet::new(6, 4, 1, 1, 5);
        fleet.run(Duration::from_secs(4), submit_burst);
        fleet.crash(&host_name(victim));
        fleet.peak_in_use.clear();
        let before = fleet.total(0).done;
        fleet.run(Duration::from_secs(7), submit_burst);
        let done_during_failover = fleet.total(0).done - before;
        assert!(
            done_during_failover > 75,
            "victim {victim}: {done_during_failover} of 140 jobs were done"
        );
        fleet.set_member_state(&host_name(victim), MemberState::Dead);
        fleet.run(Duration::from_secs(2), submit_burst);
        let before = fleet.total(0).done;
        fleet.run(Duration::from_secs(5), submit_burst);
        let after = fleet.total(0).done - before;
        assert!(after > 85, "victim {victim}: {after} of 100 jobs were done");
        let peak = fleet
            .peak_in_use
            .values()
            .max()
            .copied()
            .unwrap_or_default();
        assert!(peak <= 12, "victim {victim}: {peak} at once on 8 seats");
    }
}

/// Every arbiter is cut off from everybody. A daemon that must shed does so by its own queues
/// after a short time, and counts it; callers must not wait for an answer that never comes.
#[test]
fn without_an_arbiter_a_daemon_sheds_by_its_own_queues() {
    let mut fleet = two_daemons(7);
    fleet.faults.loss = 1.0;
    fleet.run(Duration::from_secs(10), |fleet| {
        for number in 0..2 {
            if fleet.random_chance(0.15) {
                fleet.submit_job(&host_name(number), TOP);
            }
        }
    });
    let shed_locally: u64 = fleet
        .daemons
        .values()
        .map(|d| d.credits.counters().sheds_alone)
        .sum();
    assert!(shed_locally > 0);
    let total = fleet.total(0);
    assert!(total.done > 150, "{total:?}");
}

/// Datagrams are lost, doubled and come out of order during a rush. Seats may stand idle for a
/// while, but the upstream must never get more than the daemons' own limits allow, the highest
/// tier must get the larger part, and no old grant may undo a newer one.
#[test]
fn a_faulty_network_costs_only_capacity() {
    fn holds(seed: u64, loss: u8, jitter: u8) -> bool {
        let mut fleet = two_daemons(seed);
        fleet.faults = FleetFaults {
            loss: f64::from(loss % 30) / 100.0,
            duplicates: 0.1,
            jitter_ms: u64::from(jitter),
        };
        fleet.run(Duration::from_secs(10), |fleet| {
            if fleet.random_chance(0.12) {
                fleet.submit_job(&host_name(0), TOP);
            }
            if fleet.random_chance(0.12) {
                fleet.submit_job(&host_name(1), LOW);
            }
        });
        let top = fleet.tally(&host_name(0), 0);
        let low = fleet.tally(&host_name(1), 3);
        let peak = fleet
            .peak_in_use
            .values()
            .max()
            .copied()
            .unwrap_or_default();
        peak <= 16 && top.done > 120 && top.done > 2 * low.done
    }
    let rounds = std::env::var("SAVORYWOOD_ROUNDS").ok();
    let rounds = rounds.and_then(|text| text.parse().ok()).unwrap_or(12);
    QuickCheck::new()
        .tests(rounds)
        .max_tests(rounds)
        .quickcheck(holds as fn(u64, u8, u8) -> bool);
}
