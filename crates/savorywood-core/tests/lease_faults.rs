//! Checks leases under faults: several reducers share one in-memory table, each with a clock of its
//! own rate.

#[path = "support/fake_table.rs"]
mod fake_table;
#[path = "support/lease_cluster.rs"]
mod lease_cluster;

use lease_cluster::LeaseCluster;
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Checks that, in the order of real time, the fencing number never decreases and each number
/// belongs to one node, and that no node reported a breach.
fn check_exclusive_holders(cluster: &LeaseCluster) -> Result<(), String> {
    for pair in cluster.actions.windows(2) {
        let [before, after] = pair else { continue };
        let same_number = before.fencing == after.fencing;
        let is_transfer = after.fencing > before.fencing;
        if !(is_transfer || (same_number && before.node == after.node)) {
            return Err(format!("action {before:?} was followed by {after:?}"));
        }
    }
    match cluster.breaches.first() {
        Some(breach) => Err(breach.clone()),
        None => Ok(()),
    }
}

/// Three daemons compete for one lease. Their clocks run up to 10 % fast or slow, they are paused
/// at any moment, and the table loses responses, delays them or applies writes seconds late. Two
/// holders at once would send contradicting orders to an engine, or report a move as completed and
/// then roll it back. Once the faults end, exactly one daemon must hold the lease, or a move would
/// stall past its deadline.
fn contended_lease(seed: u64) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let clock_rates: Vec<_> = (0..3).map(|_| rng.random_range(900..1_100)).collect();
    let mut cluster = LeaseCluster::new(&clock_rates, seed);
    for _ in 0..12 {
        cluster.fault_percent = rng.random_range(0..60);
        if rng.random_range(0..2) == 0 {
            let pause = Duration::from_millis(rng.random_range(10..40_000));
            cluster.pause(rng.random_range(0..3), pause);
        }
        cluster.run(Duration::from_millis(rng.random_range(100..15_000)));
    }
    cluster.fault_percent = 0;
    cluster.run(100 * SECOND);
    check_exclusive_holders(&cluster)?;
    match cluster.holders().len() {
        1 => Ok(()),
        holders => Err(format!("{holders} holders at the end")),
    }
}

quickcheck! {
    fn a_contended_lease_has_one_holder(seed: u64) -> Result<(), String> {
        contended_lease(seed)
    }
}

/// The holder is paused for longer than the lease term, like a suspended virtual machine, and
/// another daemon takes over. When the first one resumes, it must detect the expiry before it acts,
/// or both would drive the same move.
#[test]
fn a_paused_holder_detects_the_expiry_before_it_acts() {
    let mut cluster = LeaseCluster::new(&[1_000, 1_000], 3);
    cluster.run(20 * SECOND);
    let first = cluster.holders();
    assert_eq!(first.len(), 1);
    cluster.pause(first[0], 40 * SECOND);
    cluster.run(39 * SECOND);
    let second = cluster
        .actions
        .last()
        .expect("an action under the lease")
        .node;
    assert_ne!(second, first[0]);
    cluster.run(10 * SECOND);
    assert_eq!(cluster.holders(), [second]);
    check_exclusive_holders(&cluster).expect("one holder at a time");
}

/// A daemon that is stopped as planned releases its lease, so that work under the lease does not
/// wait for the end of the term.
#[test]
fn a_leaving_holder_releases_the_lease_at_once() {
    let mut cluster = LeaseCluster::new(&[1_000, 1_000], 5);
    cluster.run(20 * SECOND);
    let first = cluster.holders()[0];
    cluster.leave(first);
    assert_eq!(cluster.holders(), Vec::<usize>::new());
    cluster.run(4 * SECOND);
    assert_eq!(cluster.holders(), [1 - first]);
    check_exclusive_holders(&cluster).expect("one holder at a time");
}

/// The table is unavailable for longer than the lease term. No daemon can renew the lease, so none
/// may act until the table is back.
#[test]
fn nobody_acts_while_the_table_is_down_for_long() {
    let mut cluster = LeaseCluster::new(&[1_000, 1_000, 1_000], 7);
    cluster.run(20 * SECOND);
    cluster.fault_percent = 100;
    cluster.run(200 * SECOND);
    cluster.fault_percent = 0;
    cluster.run(30 * SECOND);
    assert_eq!(cluster.holders().len(), 1);
    check_exclusive_holders(&cluster).expect("one holder at a time");
}
