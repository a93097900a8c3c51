//! Deadline queue under the load of the two deployments of `docs/OVERLOAD.md`: results by rank.
//!
//! `SAVORYWOOD_OVERLOAD_SEEDS` (a number of seeds) runs and prints the comparison of policies, one line
//! for each run. `SAVORYWOOD_OVERLOAD_POLICY`, `SAVORYWOOD_OVERLOAD_LOADS` and
//! `SAVORYWOOD_OVERLOAD_DEPLOYMENTS` (lists) select a part, `SAVORYWOOD_OVERLOAD_SECONDS` sets the length
//! and `SAVORYWOOD_OVERLOAD_SCALE` multiplies daemons and engines.

#[path = "common/harness.rs"]
mod harness;
#[path = "common/load.rs"]
mod load;

use load::overload::{DEPLOYMENT_A, DEPLOYMENT_B, Deployment, OverloadRun};
use savorywood_gateway::{LateWorkRule, QueuePolicy, ReservationRule};
use std::{
    env,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};

const DAEMONS: usize = 6;
/// Threads of the comparison.
const THREADS: usize = 4;
/// Engines of normal speed.
const EQUAL: [f64; 8] = [1.0; 8];
/// Engines whose speeds differ by a factor of 4.4.
const UNEQUAL: [f64; 8] = [0.5, 0.6, 0.8, 1.0, 1.0, 1.3, 1.7, 2.2];

/// Returns the length of a run.
fn seconds() -> u64 {
    let seconds = env::var("SAVORYWOOD_OVERLOAD_SECONDS").unwrap_or("20".to_owned());
    seconds.parse().expect("a number of seconds")
}

fn run(deployment: Deployment, load: f64, policy: Option<QueuePolicy>) -> OverloadRun {
    OverloadRun {
        deployment,
        load,
        seed: 42,
        slowdown: EQUAL.to_vec(),
        daemons: DAEMONS,
        time: Duration::from_secs(seconds()),
        policy,
    }
}

/// Policies that were weighed.
fn policies() -> Vec<(&'static str, Option<QueuePolicy>)> {
    let chosen = QueuePolicy::default();
    let late = |late_work| {
        Some(QueuePolicy {
            late_work,
            ..chosen
        })
    };
    let reserving = |reservation| {
        Some(QueuePolicy {
            reservation,
            ..chosen
        })
    };
    vec![
        ("off", None),
        ("on", Some(chosen)),
        ("late behind rank", late(LateWorkRule::BehindRank)),
        ("late behind all", late(LateWorkRule::BehindAll)),
        ("reserve none", reserving(ReservationRule::Disabled)),
        (
            "reserve by upstream",
            reserving(ReservationRule::PerUpstream),
        ),
        (
            "reserve by demand",
            reserving(ReservationRule::PooledDemand),
        ),
        (
            "reserve by arrivals",
            reserving(ReservationRule::PooledArrivals),
        ),
        (
            "no early refusal",
            Some(QueuePolicy {
                refuses_early: false,
                ..chosen
            }),
        ),
    ]
}

/// The ranks of both deployments send 1.2 and 1.5 times the load that all slots serve. Guards against
/// slots that less urgent work holds when urgent requests arrive: while less urgent work is
/// dispatched, the most urgent rank waits at most a tenth of its objective at the median and half of
/// it at the 90th percentile. Also guards against refusing a more urgent rank more often.
#[test]
fn the_most_urgent_rank_does_not_wait_behind_less_urgent_work() {
    for (deployment, load, objective_ms) in [(DEPLOYMENT_A, 1.2, 1_200), (DEPLOYMENT_B, 1.5, 1_000)]
    {
        let run = OverloadRun {
            time: Duration::from_secs(10),
            ..run(deployment, load, Some(QueuePolicy::default()))
        };
        let result = run.run();
        let urgent = result.ranks[0];
        let objective = Duration::from_millis(objective_ms);
        assert!(urgent.wait_median <= objective / 10, "{result}");
        assert!(urgent.wait_90th <= objective / 2, "{result}");
        let refused = result.ranks.iter().map(|rank| rank.refused);
        assert!(refused.is_sorted(), "{result}");
    }
}

/// The same loads on engines of different speeds. Guards against large requests that are refused or
/// starved while smaller ones of their kind are served: the largest tenth is served at least 0.8 times
/// as often as the kind.
#[test]
fn the_largest_requests_are_served_nearly_as_often_as_others() {
    let mut runs = Vec::new();
    for (deployment, load) in [(DEPLOYMENT_A, 1.2), (DEPLOYMENT_B, 1.5)] {
        let run = OverloadRun {
            slowdown: UNEQUAL.to_vec(),
            time: Duration::from_secs(10),
            ..run(deployment, load, Some(QueuePolicy::default()))
        };
        runs.push(run.run());
    }
    for rank in 0..3 {
        let sum: f64 = runs.iter().map(|run| run.ranks[rank].largest).sum();
        let mean = sum / runs.len() as f64;
        assert!(mean >= 0.8, "rank {rank}: {mean:.3}");
    }
}

/// Prints results of all policies by deployment, load, engines and seed.
#[test]
fn policies_are_compared_on_request() {
    let Ok(seeds) = env::var("SAVORYWOOD_OVERLOAD_SEEDS") else {
        return;
    };
    let seeds: u64 = seeds.parse().expect("a number of seeds");
    let only = env::var("SAVORYWOOD_OVERLOAD_POLICY").ok();
    let loads = env::var("SAVORYWOOD_OVERLOAD_LOADS").unwrap_or("0.9,1.2,1.5".to_owned());
    let loads = loads.split(',').map(|load| load.parse().expect("a load"));
    let loads: Vec<f64> = loads.collect();
    let scale = env::var("SAVORYWOOD_OVERLOAD_SCALE").unwrap_or("1".to_owned());
    let scale: usize = scale.parse().expect("a factor");
    let mut runs = Vec::new();
    let names = env::var("SAVORYWOOD_OVERLOAD_DEPLOYMENTS").unwrap_or("A,B".to_owned());
    let deployments = [DEPLOYMENT_A, DEPLOYMENT_B];
    let deployments = deployments.into_iter();
    for deployment in deployments.filter(|deployment| names.contains(deployment.name)) {
        for &load in &loads {
            for (engines, slowdown) in [("equal", &EQUAL), ("unequal", &UNEQUAL)] {
                for (name, policy) in policies() {
                    if only
                        .as_ref()
                        .is_some_and(|only| !only.split(',').any(|only| only == name))
                    {
                        continue;
                    }
                    for seed in 1..=seeds {
                        let run = OverloadRun {
                            seed,
                            slowdown: slowdown.repeat(scale),
                            daemons: DAEMONS * scale,
                            ..run(deployment, load, policy)
                        };
                        runs.push((name, engines, run));
                    }
                }
            }
        }
    }
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((name, engines, run)) =
                    runs.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let result = run.run();
                    let deployment = run.deployment.name;
                    let (load, seed) = (run.load, run.seed);
                    println!("{deployment} {load:.1} {engines:8} {name:20} {seed} {result}");
                }
            });
        }
    });
}
