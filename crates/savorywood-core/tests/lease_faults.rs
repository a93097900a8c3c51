//! Failures of leases, brought about with several reducers on clocks of their own.

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

/// In the order of real time a fencing number never goes back, and belongs to one node.
fn check_exclusive_holders(cluster: &LeaseCluster) -> Result<(), String> {
    for pair in cluster.actions.windows(2) {
        let [before, after] = pair else { continue };
        let same_number = before.fencing == after.fencing;
        let is_transfer = after.fencing > before.fencing;
        if !(is_transfer || (same_number && before.node == after.node)) {
            return Err(format!("{before:?} was followed by {after:?}"));
        }
    }
    match cluster.breaches.first() {
        Some(breach) => Err(breach.clone()),
        None => Ok(()),
    }
}

/// Three daemons want one lease. Their clocks run up to a tenth apart from real time, they are
/// frozen for long at any moment, and the table loses answers, delays them or lets writes land
/// seconds late. Were two to act at once, an engine would get two contradicting orders, or a move
/// would be called done and taken back. And when the faults end, one of them must hold it soon, or
/// a move would stand still past its deadline.
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

/// The holder is frozen, as by a stopped virtual machine, for longer than the term. Another daemon
/// takes over. When the first one goes on it must notice before it does anything, or both would
/// drive the same move.
#[test]
fn a_paused_holder_detects_the_expiry_before_it_acts() {
    let mut cluster = LeaseCluster::new(&[1_000, 1_000], 3);
    cluster.run(20 * SECOND);
    let first = cluster.holders();
    assert_eq!(first.len(), 1);
    cluster.pause(first[0], 40 * SECOND);
    cluster.run(39 * SECOND);
    let second = cluster.actions.last().expect("somebody acts").node;
    assert_ne!(second, first[0]);
    cluster.run(10 * SECOND);
    assert_eq!(cluster.holders(), [second]);
    check_exclusive_holders(&cluster).expect("one holder at a time");
}

/// A daemon is stopped as planned. Its lease must not hold up work for a whole term.
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

/// The table is down for longer than the term. Nobody can renew, so nobody may act: the work under
/// the lease waits. It goes on when the table is back.
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
