//! Calls that may not be repeated, under a store that loses answers and daemons that die.

#[path = "claim/cluster.rs"]
#[allow(dead_code)]
mod cluster;

use cluster::{ClaimCluster, ClaimFaults};
use quickcheck::QuickCheck;

fn rounds() -> u64 {
    let rounds = std::env::var("SAVORYWOOD_ROUNDS").ok();
    rounds.and_then(|text| text.parse().ok()).unwrap_or(300)
}

/// A caller sends the same charge to several daemons at once and again after each failure, while
/// daemons die between any two steps, the store is away, and its answers are lost before, after
/// or long before the write takes effect. However it goes, the charge must be made at most once,
/// and whoever is told that it was not run must not find it on the bill.
#[test]
fn a_charge_runs_at_most_once() {
    fn holds(seed: u64) -> bool {
        let mut cluster = ClaimCluster::new(seed, ClaimFaults::all());
        cluster.run(400);
        cluster.check_invariants();
        true
    }
    QuickCheck::new()
        .tests(rounds())
        .max_tests(rounds())
        .quickcheck(holds as fn(u64) -> bool);
}

/// The store answers and nobody dies: then each charge must also be made, and a repeat must get
/// the answer of the first. Refusing everything would be safe and of no use.
#[test]
fn with_a_healthy_store_every_charge_runs() {
    fn holds(seed: u64) -> bool {
        let mut cluster = ClaimCluster::new(seed, ClaimFaults::none());
        cluster.run(400);
        cluster.run_until_idle();
        cluster.check_invariants();
        cluster.executed_keys() == cluster.requested_keys() && cluster.open_claims() == 0
    }
    QuickCheck::new()
        .tests(rounds() / 3)
        .max_tests(rounds() / 3)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Answers of the store are lost now and then, but no daemon dies. After it has recovered, no
/// claim may be left hanging in a daemon's memory.
#[test]
fn lost_responses_leave_no_claim_open() {
    fn holds(seed: u64) -> bool {
        let faults = ClaimFaults {
            crashes: 0.0,
            ..ClaimFaults::all()
        };
        let mut cluster = ClaimCluster::new(seed, faults);
        cluster.run(300);
        cluster.faults = ClaimFaults::none();
        cluster.run_until_idle();
        cluster.check_invariants();
        cluster.open_claims() == 0
    }
    QuickCheck::new()
        .tests(rounds() / 3)
        .max_tests(rounds() / 3)
        .quickcheck(holds as fn(u64) -> bool);
}
