//! Runs claims in random schedules with a table that loses responses and daemons that crash.

#[path = "claim/cluster.rs"]
#[allow(dead_code)]
mod cluster;

use cluster::{ClaimCluster, ClaimFaults};
use quickcheck::QuickCheck;

/// Returns the number of random schedules, from `SAVORYWOOD_ROUNDS` or 300.
fn rounds() -> u64 {
    let rounds = std::env::var("SAVORYWOOD_ROUNDS").ok();
    rounds.and_then(|text| text.parse().ok()).unwrap_or(300)
}

/// Callers send one charge to several daemons at once and retry after each failure, while daemons
/// crash between any two steps, the table is unavailable, and responses are lost before, after or
/// long before the write takes effect. Each charge must be executed at most once, and no request
/// reported as not run may have been executed.
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

/// Without faults every charge must be executed and every repeat must get the first response.
/// Guards against a state that is safe only because it refuses everything.
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

/// The table loses responses but no daemon crashes. Once the table has recovered, no claim may stay
/// open in a daemon's memory.
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
