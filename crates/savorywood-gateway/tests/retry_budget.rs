//! The retry budget of a service, summed over all daemons.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/cluster.rs"]
mod cluster;
#[path = "common/harness.rs"]
mod harness;
#[path = "common/retries.rs"]
mod retries;

use retries::RetryEnvironment;
use savorywood_gateway::RetryBudgetOptions;
use std::time::Duration;

const DAEMONS: usize = 8;

/// Advances by a random time of up to `most`.
fn pause(environment: &mut RetryEnvironment, most: Duration) {
    let steps = environment.random.below(40) as u32;
    environment.advance(most * steps / 40);
}

/// Guards against retry budgets that are spent anew by each successor of a killed daemon.
#[test]
fn daemons_that_restart_keep_the_retry_budget() {
    for seed in 1..=20 {
        let mut environment = RetryEnvironment::new(DAEMONS, seed);
        environment.advance(Duration::from_secs(12));
        environment.rejected_percent = 90;
        for _ in 0..6 {
            pause(&mut environment, Duration::from_secs(4));
            let count = 1 + environment.random.below(DAEMONS);
            environment.restart(0..count);
        }
        environment.advance(Duration::from_secs(12));
        let excess = environment.max_excess(RetryBudgetOptions::default());
        assert!(
            excess <= 0.0,
            "{excess} repeats above the budget, seed {seed}"
        );
    }
}

/// Guards against retry budgets that grow when daemons lose sight of each other.
#[test]
fn partitioned_daemons_keep_the_retry_budget() {
    for seed in 1..=10 {
        let mut environment = RetryEnvironment::new(DAEMONS, seed);
        environment.advance(Duration::from_secs(12));
        environment.rejected_percent = 90;
        for _ in 0..3 {
            let count = 1 + environment.random.below(DAEMONS);
            environment.cluster.cut_off = (0..count).collect();
            pause(&mut environment, Duration::from_secs(8));
            let count = environment.random.below(DAEMONS);
            environment.restart(0..count);
            pause(&mut environment, Duration::from_secs(8));
            environment.cluster.cut_off.clear();
        }
        let excess = environment.max_excess(RetryBudgetOptions::default());
        assert!(
            excess <= 0.0,
            "{excess} repeats above the budget, seed {seed}"
        );
    }
}

/// Guards against a budget that is kept by refusing retries that it allows: upstreams that reject one
/// attempt in ten leave no request without its retry.
#[test]
fn occasional_rejections_are_retried() {
    let mut environment = RetryEnvironment::new(DAEMONS, 1);
    environment.advance(Duration::from_secs(12));
    environment.rejected_percent = 10;
    let before = environment.repeats();
    environment.advance(Duration::from_secs(20));
    let repeats = environment.repeats() - before;
    let requests = 20 * 20 * environment.arrivals;
    let rejected = requests as f64 * 0.1;
    assert!(repeats as f64 >= rejected * 0.95, "{repeats} of {rejected}");
}
