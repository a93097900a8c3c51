//! Slot reservations under load: rejections by engines, and requests in time.

#[path = "common/harness.rs"]
mod harness;
#[path = "common/load.rs"]
mod load;

use load::{
    LoadEnvironment,
    calls::CallKind,
    slots::{CutOff, SlotConditions},
};
use savorywood_gateway::{OverloadOptions, ReservationPolicy};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

const SLOTS: u32 = 4;
/// Requests that an engine queues before it rejects more.
const MAX_QUEUE: usize = 2;
/// Time in which daemons learn of each other before requests arrive.
const WARM_UP: Duration = Duration::from_secs(2);

fn kind(path: &'static str, rank: u32, per_second: f64, prompt: f64, events: f64) -> CallKind {
    CallKind {
        path,
        rank,
        per_second,
        resumable: true,
        prompt: (prompt * 0.6, 1.0, 53_200.0),
        tokens: (events * 4.0 * 0.6, 1.0, 1_200.0),
        objective: Duration::from_millis([1_200, 1_000, 800][rank as usize]),
        gap_objective: Duration::from_millis(800),
        caller_idle_timeout: Duration::from_secs(6),
        deadline: Duration::from_secs([12, 6, 15][rank as usize]),
    }
}

/// Size of a simulated deployment. `load` is relative to what all slots can serve.
#[derive(Debug, Clone, Copy)]
struct Scale {
    daemons: usize,
    engines: usize,
    load: f64,
}

/// Requests per second and engine that all slots can serve, as measured: at this rate, nine tenths
/// of the slots are in use at a load of 0.9.
const CAPACITY_PER_ENGINE: f64 = 3.2;

fn environment(scale: Scale, conditions: SlotConditions) -> LoadEnvironment {
    let per_second = scale.load * CAPACITY_PER_ENGINE * scale.engines as f64;
    let kinds = vec![
        kind("/plan/", 0, per_second * 0.3, 3_780.0, 30.0),
        kind("/chat/", 1, per_second * 0.37, 2_950.0, 13.0),
        kind("/digest/", 2, per_second * 0.33, 1_170.0, 43.0),
    ];
    // Speeds that differ up to 4.4 times around a step of 4.63 ms at the fastest.
    let slowdown = (0..scale.engines).map(|number| 1.65 * 4.4_f64.powf((number % 10) as f64 / 9.0));
    let slowdown: Vec<f64> = slowdown.collect();
    let mut environment =
        LoadEnvironment::with_conditions(scale.daemons, &slowdown, SLOTS, kinds, conditions);
    for engine in &mut environment.engines {
        engine.max_queue = Some(MAX_QUEUE);
    }
    environment
}

/// Figures of one run.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    /// Rejections by engines per 100 requests.
    rejections: f64,
    /// Fraction of dispatches that found no free slot.
    to_full: f64,
    /// Fractions in time by rank.
    in_time: [f64; 3],
    /// Responses, in time or late, per request.
    served: f64,
    /// Mean fraction of slots in use.
    used: f64,
}

fn run(scale: Scale, conditions: SlotConditions, time: Duration) -> Outcome {
    let mut environment = environment(scale, conditions);
    environment.advance(WARM_UP, false);
    let end = environment.now + time;
    let mut samples = Vec::new();
    while environment.now < end {
        environment.advance(Duration::from_millis(100), true);
        let running = environment
            .engines
            .iter()
            .map(|engine| engine.reported_load().running);
        let running: u32 = running.sum();
        samples.push(f64::from(running) / (scale.engines as f64 * f64::from(SLOTS)));
    }
    environment.advance(Duration::from_secs(14), false);
    let requests: u32 = environment.tallies.iter().map(|tally| tally.requests).sum();
    let served: u32 = environment
        .tallies
        .iter()
        .map(|tally| tally.in_time + tally.late)
        .sum();
    let in_time = |number: usize| {
        let tally = &environment.tallies[number];
        tally.fraction(tally.in_time)
    };
    let half = samples.split_off(samples.len() / 2);
    Outcome {
        rejections: 100.0 * f64::from(environment.conditions.rejected) / f64::from(requests),
        to_full: f64::from(environment.dispatched_to_full) / f64::from(environment.dispatched),
        in_time: [in_time(0), in_time(1), in_time(2)],
        served: f64::from(served) / f64::from(requests),
        used: half.iter().sum::<f64>() / half.len() as f64,
    }
}

fn conditions(enabled: bool, seed: u64) -> SlotConditions {
    SlotConditions {
        seed,
        overload: OverloadOptions {
            slot_reservations: enabled,
            ..OverloadOptions::default()
        },
        reports_load: true,
        ..SlotConditions::default()
    }
}

/// Conditions that the ways weighed are compared under.
struct Scenario {
    name: &'static str,
    conditions: SlotConditions,
}

/// Prints the figures of the ways weighed, at full size. Runs only if `SLOT_RUNS` names the number of
/// seeds, as it takes minutes.
#[test]
fn compare_policies() {
    let Some(seeds) = std::env::var("SLOT_RUNS")
        .ok()
        .and_then(|runs| runs.parse().ok())
    else {
        return;
    };
    let time = Duration::from_secs(20);
    let chosen = std::env::var("SLOT_SCENARIOS").unwrap_or_default();
    let at = |seconds: u64| MonotonicTime(1_000_000) + WARM_UP + Duration::from_secs(seconds);
    let even = conditions(true, 42);
    let with_cut = |isolated: bool| SlotConditions {
        cut_off: Some(CutOff {
            from: at(4),
            until: at(16),
            daemons: 10,
            isolated,
        }),
        ..even.clone()
    };
    let uneven = SlotConditions {
        first_quarter: Some(0.7),
        ..even.clone()
    };
    let restarts = SlotConditions {
        restarts_at: (0..10)
            .map(|number| (at(2 + number as u64), number * 3))
            .collect(),
        ..even.clone()
    };
    let scenarios = [
        Scenario {
            name: "even",
            conditions: even.clone(),
        },
        Scenario {
            name: "uneven",
            conditions: uneven,
        },
        Scenario {
            name: "cut",
            conditions: with_cut(false),
        },
        Scenario {
            name: "isolated",
            conditions: with_cut(true),
        },
        Scenario {
            name: "restarts",
            conditions: restarts,
        },
    ];
    let policies = [
        ("off", None),
        ("reported", Some(ReservationPolicy::ReportedLoadOnly)),
        ("fixed", Some(ReservationPolicy::FixedShares)),
        ("margin1", Some(ReservationPolicy::Margin(1))),
        ("widening", Some(ReservationPolicy::Widening)),
    ];
    let only = std::env::var("SLOT_POLICIES").unwrap_or_default();
    let mut threads = Vec::new();
    for scenario in scenarios {
        let name = scenario.name;
        if !chosen.is_empty() && !chosen.split(',').any(|chosen| chosen == name) {
            continue;
        }
        for load in [0.9, 1.2] {
            for (policy_name, policy) in policies {
                if !only.is_empty() && !only.split(',').any(|only| only == policy_name) {
                    continue;
                }
                let runs = (0..seeds).map(|seed: u64| {
                    let mut conditions = scenario.conditions.clone();
                    conditions.seed += seed;
                    conditions.overload.slot_reservations = policy.is_some();
                    conditions.policy = policy.unwrap_or_default();
                    conditions
                });
                let runs: Vec<SlotConditions> = runs.collect();
                let scale = Scale {
                    daemons: 30,
                    engines: 90,
                    load,
                };
                let label = format!("{name:9} {load} {policy_name:9}");
                threads.push((label, scale, runs));
            }
        }
    }
    let next = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..5 {
            scope.spawn(|| {
                while let Some((label, scale, runs)) =
                    threads.get(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
                {
                    let outcomes: Vec<Outcome> =
                        runs.iter().map(|conditions| run(*scale, conditions.clone(), time)).collect();
                    let mean = |value: &dyn Fn(&Outcome) -> f64| {
                        outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
                    };
                    println!(
                        "{label} rejected/100 {:6.2} to full {:.3} in time {:.3} {:.3} {:.3} served {:.3} used {:.3}",
                        mean(&|outcome| outcome.rejections),
                        mean(&|outcome| outcome.to_full),
                        mean(&|outcome| outcome.in_time[0]),
                        mean(&|outcome| outcome.in_time[1]),
                        mean(&|outcome| outcome.in_time[2]),
                        mean(&|outcome| outcome.served),
                        mean(&|outcome| outcome.used),
                    );
                }
            });
        }
    });
}

/// A third of the deployment with the most load: more than all slots can serve, at daemons that learn
/// of each other's slots late. Guards against daemons that take the same free slot, of which the
/// engine rejects one, and against a division of slots that leaves them idle.
#[test]
fn engines_seldom_reject_requests_under_overload() {
    let scale = Scale {
        daemons: 10,
        engines: 30,
        load: 1.2,
    };
    let time = Duration::from_secs(6);
    let off = run(scale, conditions(false, 42), time);
    let on = run(scale, conditions(true, 42), time);
    println!("off {off:?}\non {on:?}");
    assert!(off.rejections > 5.0, "the load shows no fault: {off:?}");
    assert!(on.rejections <= 1.0, "{on:?}");
    assert!(on.served >= off.served, "{on:?}, {off:?}");
}
