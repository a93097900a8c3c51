//! Checks credits when queues are uneven across the daemons that share an upstream, and when the
//! network is faulty.

#[path = "credit/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use fleet::{CreditFleet, FleetFaults, host_name};
use quickcheck::QuickCheck;
use savorywood_protocol::{TierRank, peer::membership::MemberState};
use std::time::Duration;

const TOP: TierRank = TierRank(0);
const LOW: TierRank = TierRank(3);

/// Creates two daemons that share one upstream. The upstream has eight slots and completes 20 jobs
/// per second.
fn two_daemons(seed: u64) -> CreditFleet {
    CreditFleet::new(seed, 2, 1, 1, 8)
}

/// One daemon gets all requests of the highest tier and another all of the lowest, each more than
/// the upstream can execute. If each daemon looked only at its own queues, the first would shed the
/// highest tier while the second went on with the lowest.
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
    assert!(
        top.done >= 360,
        "{top:?} of 400 jobs that the upstream can execute"
    );
    assert_eq!(top.shed_locally + top.expired, 0, "{top:?}");
    assert!(top.shed > 0 && low.below_floor > 0, "{top:?} {low:?}");
}

/// The highest tier alone fits the upstream. None of it may be shed because of lowest-tier demand
/// at another daemon.
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
    assert!(
        low.done > 50,
        "the lowest tier did not use the remaining slots: {low:?}"
    );
}

/// Four tiers wait at different daemons and must be shed one after the other from the lowest. A
/// floor that rose by several tiers at once would shed the second tier when shedding the fourth was
/// enough.
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

/// Without queues the daemons must send no credit messages: at the planned size, messages about
/// uncontended upstreams would take most of the traffic.
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

/// After a burst the credit messages about the upstream must stop, and each daemon may use its own
/// limit again.
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

/// The arbiter crashes during a burst. Until the others detect it, their grants expire and they use
/// standing shares, so the upstream is not overloaded; then the next daemon in hash order becomes
/// the arbiter.
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
            "victim {victim}: {done_during_failover} of 140 jobs were completed"
        );
        fleet.set_member_state(&host_name(victim), MemberState::Dead);
        fleet.run(Duration::from_secs(2), submit_burst);
        let before = fleet.total(0).done;
        fleet.run(Duration::from_secs(5), submit_burst);
        let after = fleet.total(0).done - before;
        assert!(
            after > 85,
            "victim {victim}: {after} of 100 jobs were completed"
        );
        let peak = fleet
            .peak_in_use
            .values()
            .max()
            .copied()
            .unwrap_or_default();
        assert!(
            peak <= 12,
            "victim {victim}: {peak} jobs at once on 8 slots"
        );
    }
}

/// All messages are lost. A daemon that must shed does so by its own queues after a short wait, and
/// counts it; requests must not wait for a response that never arrives.
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
        .map(|d| d.credits.counters().local_sheds)
        .sum();
    assert!(shed_locally > 0);
    let total = fleet.total(0);
    assert!(total.done > 150, "{total:?}");
}

/// Messages are lost, duplicated and reordered during a burst. Slots may stay idle for a while, but
/// the upstream must never get more than the daemons' own limits allow, the highest tier must get
/// the larger part, and no old grant may undo a newer one.
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
