//! A small comparison with a fixed seed, so that a change of the scheduler that breaks what the
//! tables show fails here first.

use savorywood_experiment::{
    deployment::DeploymentKind,
    policy::PolicyKind,
    run::{RunPlan, run_all},
    scenario::{RunScenario, TroubleKind},
};

const THREADS: usize = 3;

fn plan(policy: PolicyKind, load: f64, trouble: TroubleKind) -> RunPlan {
    RunPlan {
        deployment: DeploymentKind::Ionoveld,
        scenario: RunScenario {
            load,
            trouble,
            time: 180.0,
            seed: 1,
        },
        policy,
    }
}

/// At twice the capacity half of the work must go. If it were not the lowest tiers' work, storm
/// briefings would fail while archive jobs are served.
#[test]
fn overload_costs_the_lowest_tiers_and_never_the_highest() {
    let results = run_all(&[plan(PolicyKind::Ours, 2.0, TroubleKind::Steady)], THREADS).unwrap();
    let tally = &results[0].tally;
    let share = |rank: usize| {
        let tier = tally.tiers[rank];
        tier.in_time as f64 / tier.tasks as f64
    };
    assert!(share(0) > 0.95, "highest tier: {}", share(0));
    assert!(share(0) >= share(1) && share(1) >= share(2));
    assert_eq!(tally.order_breaches, 0);
    assert_eq!(tally.noticed_breaches, 0);
}

/// Without affinity, tiers and limits the same engines do far less useful work.
#[test]
fn scheduler_does_more_in_time_than_the_baselines() {
    let policies = [
        PolicyKind::Ours,
        PolicyKind::LeastOutstanding,
        PolicyKind::Fifo,
    ];
    let plans = policies.map(|policy| plan(policy, 1.3, TroubleKind::Steady));
    let results = run_all(&plans, THREADS).unwrap();
    let good = |index: usize| results[index].tally.goodput();
    assert!(good(0) > good(1) + 0.1, "{} and {}", good(0), good(1));
    assert!(good(0) > good(2) + 0.1, "{} and {}", good(0), good(2));
}

/// An engine accepts work and does nothing. Least-outstanding routing gives it its share until
/// its streams time out, and the callers of all of them lose their answers.
#[test]
fn stalled_engine_costs_little() {
    let policies = [PolicyKind::Ours, PolicyKind::Random];
    let plans = policies.map(|policy| plan(policy, 0.5, TroubleKind::StalledEngine));
    let results = run_all(&plans, THREADS).unwrap();
    let broken = |index: usize| -> u64 {
        let tiers = results[index].tally.tiers.iter();
        tiers.map(|tier| tier.broken + tier.late).sum()
    };
    assert!(broken(0) * 4 < broken(1), "{} and {}", broken(0), broken(1));
}

/// A table can't be checked by others if the same seed gives another one.
#[test]
fn same_seed_gives_the_same_run() {
    let plans = [plan(PolicyKind::Ours, 1.3, TroubleKind::HotAfternoon); 2];
    let results = run_all(&plans, THREADS).unwrap();
    assert_eq!(results[0].tally.good_tokens, results[1].tally.good_tokens);
    assert_eq!(results[0].tally.refusals, results[1].tally.refusals);
}
