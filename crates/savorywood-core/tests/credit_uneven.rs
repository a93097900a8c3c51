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
fn the_lowest_tier_anywhere_yields_first() {
    let mut fleet = two_daemons(1);
    let (top, low) = (host_name(0), host_name(1));
    fleet.run(Duration::from_secs(20), |fleet| {
        if fleet.chance(0.15) {
            fleet.arrive(&host_name(0), TOP);
        }
        if fleet.chance(0.15) {
            fleet.arrive(&host_name(1), LOW);
        }
    });
    assert_eq!(fleet.inversions, Vec::<String>::new());
    let (top, low) = (fleet.tally(&top, 0), fleet.tally(&low, 3));
    assert!(top.done >= 360, "{top:?} of 400 that the upstream can do");
    assert_eq!(top.shed_alone + top.late, 0, "{top:?}");
    assert!(top.shed > 0 && low.floored > 0, "{top:?} {low:?}");
}

/// The highest tier alone fits the upstream. None of it may be shed because the lowest tier is
/// asked for at another daemon.
#[test]
fn a_top_tier_that_fits_is_never_shed() {
    let mut fleet = two_daemons(2);
    fleet.run(Duration::from_secs(20), |fleet| {
        if fleet.chance(0.07) {
            fleet.arrive(&host_name(0), TOP);
        }
        if fleet.chance(0.2) {
            fleet.arrive(&host_name(1), LOW);
        }
    });
    let top = fleet.tally(&host_name(0), 0);
    assert_eq!(
        top.shed + top.shed_alone + top.late + top.floored,
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
            if fleet.chance(0.04) {
                fleet.arrive(&host_name(usize::from(rank)), TierRank(rank));
            }
        }
    });
    assert_eq!(fleet.inversions, Vec::<String>::new());
    let lost: Vec<_> = (0..4)
        .map(|rank| {
            let tally = fleet.total(rank);
            tally.arrived - tally.done
        })
        .collect();
    assert!(lost[0] <= 10 && lost[1] <= 10, "{lost:?}");
    assert!(lost[3] > 100 && lost[3] > lost[2], "{lost:?}");
}

/// Nobody queues. The daemons must not say a word about the upstream, or at the planned size
/// they would speak of nothing else.
#[test]
fn what_is_not_contended_costs_no_bytes() {
    let mut fleet = CreditFleet::new(4, 8, 4, 2, 8);
    fleet.run(Duration::from_secs(5), |fleet| {
        for number in 0..8 {
            if fleet.chance(0.005) {
                fleet.arrive(&host_name(number), TOP);
            }
        }
    });
    assert_eq!(fleet.sent_bytes(), 0);
    assert!(fleet.total(0).done > 15);
}

/// A rush is over. The upstream must stop being spoken of, and each daemon be free to use its
/// own limit again.
#[test]
fn contention_ends_with_the_rush() {
    let mut fleet = two_daemons(5);
    fleet.run(Duration::from_secs(5), |fleet| {
        if fleet.chance(0.2) {
            fleet.arrive(&host_name(0), TOP);
        }
        if fleet.chance(0.05) {
            fleet.arrive(&host_name(1), LOW);
        }
    });
    assert!(!fleet.granted("runner-000").is_empty());
    let idle = |fleet: &mut CreditFleet| {
        if fleet.chance(0.02) {
            fleet.arrive(&host_name(0), TOP);
        }
    };
    fleet.run(Duration::from_secs(20), idle);
    assert_eq!(fleet.granted("runner-000").len(), 0);
    let before = fleet.sent_bytes();
    fleet.run(Duration::from_secs(5), idle);
    assert_eq!(fleet.sent_bytes(), before);
}

/// The arbiter dies in the middle of a rush. Until the others notice, their grants lapse and
/// they use a standing share, so the upstream is not overrun; then the next by hash takes over.
#[test]
fn a_dead_arbiter_is_followed_by_the_next() {
    let rush = |fleet: &mut CreditFleet| {
        for number in 0..4 {
            if fleet.chance(0.05) {
                fleet.arrive(&host_name(number), TOP);
            }
        }
    };
    for victim in 0..4 {
        let mut fleet = CreditFleet::new(6, 4, 1, 1, 5);
        fleet.run(Duration::from_secs(4), rush);
        fleet.kill(&host_name(victim));
        fleet.peak.clear();
        let before = fleet.total(0).done;
        fleet.run(Duration::from_secs(7), rush);
        let meanwhile = fleet.total(0).done - before;
        assert!(
            meanwhile > 75,
            "victim {victim}: {meanwhile} of 140 jobs were done"
        );
        fleet.mark(&host_name(victim), MemberState::Dead);
        fleet.run(Duration::from_secs(2), rush);
        let before = fleet.total(0).done;
        fleet.run(Duration::from_secs(5), rush);
        let after = fleet.total(0).done - before;
        assert!(after > 85, "victim {victim}: {after} of 100 jobs were done");
        let peak = fleet.peak.values().max().copied().unwrap_or_default();
        assert!(peak <= 12, "victim {victim}: {peak} at once on 8 seats");
    }
}

/// Every arbiter is cut off from everybody. A daemon that must shed does so by its own queues
/// after a short time, and counts it; callers must not wait for an answer that never comes.
#[test]
fn without_an_arbiter_a_daemon_judges_alone() {
    let mut fleet = two_daemons(7);
    fleet.faults.loss = 1.0;
    fleet.run(Duration::from_secs(10), |fleet| {
        for number in 0..2 {
            if fleet.chance(0.15) {
                fleet.arrive(&host_name(number), TOP);
            }
        }
    });
    let alone: u64 = fleet
        .daemons
        .values()
        .map(|d| d.credits.counters().local_sheds)
        .sum();
    assert!(alone > 0);
    let total = fleet.total(0);
    assert!(total.done > 150, "{total:?}");
}

/// Datagrams are lost, doubled and come out of order during a rush. Seats may stand idle for a
/// while, but the upstream must never get more than the daemons' own limits allow, the highest
/// tier must get the larger part, and no old grant may undo a newer one.
#[test]
fn a_bad_network_costs_capacity_only() {
    fn holds(seed: u64, loss: u8, jitter: u8) -> bool {
        let mut fleet = two_daemons(seed);
        fleet.faults = FleetFaults {
            loss: f64::from(loss % 30) / 100.0,
            duplicates: 0.1,
            jitter_ms: u64::from(jitter),
        };
        fleet.run(Duration::from_secs(10), |fleet| {
            if fleet.chance(0.12) {
                fleet.arrive(&host_name(0), TOP);
            }
            if fleet.chance(0.12) {
                fleet.arrive(&host_name(1), LOW);
            }
        });
        let top = fleet.tally(&host_name(0), 0);
        let low = fleet.tally(&host_name(1), 3);
        let peak = fleet.peak.values().max().copied().unwrap_or_default();
        peak <= 16 && top.done > 120 && top.done > 2 * low.done
    }
    let rounds = std::env::var("SAVORYWOOD_ROUNDS").ok();
    let rounds = rounds.and_then(|text| text.parse().ok()).unwrap_or(12);
    QuickCheck::new()
        .tests(rounds)
        .max_tests(rounds)
        .quickcheck(holds as fn(u64, u8, u8) -> bool);
}
