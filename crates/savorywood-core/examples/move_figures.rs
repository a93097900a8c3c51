//! Figures of moves: how many requests meet a bad version of each kind, and how many good versions
//! are done in time.
//!
//! `cargo run --release -p savorywood-core --example move_figures -- [RUNS] [FIRST SEED]`

#[path = "../tests/support/fake_table.rs"]
mod fake_table;
#[path = "../tests/support/move_simulation.rs"]
mod move_simulation;

use move_simulation::{FaultOnset, MoveScenario, MoveSimulation, SimulationResult};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_protocol::resource::MoveState;

/// One kind of version.
struct VersionKind {
    name: &'static str,
    scenario: fn(&mut ChaCha8Rng) -> MoveScenario,
}

fn failing(onset: FaultOnset) -> MoveScenario {
    MoveScenario {
        onset,
        failure_rate: 0.5,
        ..MoveScenario::default()
    }
}

fn slow(onset: FaultOnset) -> MoveScenario {
    MoveScenario {
        onset,
        slowdown: 1.6,
        ..MoveScenario::default()
    }
}

/// Each engine of both versions stops about once in five minutes.
fn stalling(onset: FaultOnset) -> MoveScenario {
    MoveScenario {
        stalls_per_minute: 0.2,
        ..slow(onset)
    }
}

/// An engine with all the traffic of its version takes twice as long as one with none.
fn slowed_by_load(onset: FaultOnset) -> MoveScenario {
    MoveScenario {
        load_slowdown: 1.0,
        ..slow(onset)
    }
}

/// A time at which a version turns bad: anywhere before the soak ends in the scenario.
fn later(rng: &mut ChaCha8Rng) -> FaultOnset {
    FaultOnset::After(rng.random_range(30.0..480.0))
}

/// A share under which a version turns bad: that of any later stage.
fn load(rng: &mut ChaCha8Rng) -> FaultOnset {
    FaultOnset::UnderLoad([50, 200, 600, 1_000][rng.random_range(0..4)])
}

const KINDS: [VersionKind; 16] = [
    VersionKind {
        name: "fails at once",
        scenario: |_| failing(FaultOnset::Immediate),
    },
    VersionKind {
        name: "fails later",
        scenario: |rng| failing(later(rng)),
    },
    VersionKind {
        name: "fails under load",
        scenario: |rng| failing(load(rng)),
    },
    VersionKind {
        name: "fails on one route",
        scenario: |_| failing(FaultOnset::OneRoute),
    },
    VersionKind {
        name: "slow at once",
        scenario: |_| slow(FaultOnset::Immediate),
    },
    VersionKind {
        name: "slow later",
        scenario: |rng| slow(later(rng)),
    },
    VersionKind {
        name: "slow under load",
        scenario: |rng| slow(load(rng)),
    },
    VersionKind {
        name: "slow on one route",
        scenario: |_| slow(FaultOnset::OneRoute),
    },
    VersionKind {
        name: "fails 1 in 20",
        scenario: |_| MoveScenario {
            onset: FaultOnset::Immediate,
            failure_rate: 0.05,
            ..MoveScenario::default()
        },
    },
    VersionKind {
        name: "good, hot afternoon",
        scenario: |_| MoveScenario::default(),
    },
    VersionKind {
        name: "good, 10 requests/s",
        scenario: |_| MoveScenario {
            request_rate: 10.0,
            ..MoveScenario::default()
        },
    },
    VersionKind {
        name: "good, twice as slow under load",
        scenario: |_| slowed_by_load(FaultOnset::Never),
    },
    VersionKind {
        name: "slow at once, twice as slow under load",
        scenario: |_| slowed_by_load(FaultOnset::Immediate),
    },
    VersionKind {
        name: "good, 4 times as slow under load",
        scenario: |_| MoveScenario {
            load_slowdown: 3.0,
            ..MoveScenario::default()
        },
    },
    VersionKind {
        name: "good, engines stall",
        scenario: |_| stalling(FaultOnset::Never),
    },
    VersionKind {
        name: "slow at once, engines stall",
        scenario: |_| stalling(FaultOnset::Immediate),
    },
];

/// Results of all runs of one kind.
#[derive(Default)]
struct KindSummary {
    runs: u32,
    taken_back: u32,
    completed: u32,
    met_bad: Vec<f64>,
    met_new: Vec<f64>,
    found_after: Vec<f64>,
    spread: Vec<f64>,
    breaches: u32,
}

impl KindSummary {
    fn add(&mut self, result: &SimulationResult) {
        let percent = |count: u32| 100.0 * f64::from(count) / f64::from(result.requests);
        self.runs += 1;
        self.taken_back += u32::from(result.state == Some(MoveState::TakenBack));
        self.completed += u32::from(result.state == Some(MoveState::Completed));
        self.met_bad.push(percent(result.bad_requests));
        self.met_new.push(percent(result.new_requests));
        self.found_after.extend(result.detected_after_seconds);
        self.spread.push(result.stop_spread_seconds);
        self.breaches += result.breaches;
    }

    fn print(&mut self, name: &str) {
        let share = |count: u32| 100.0 * f64::from(count) / f64::from(self.runs);
        println!(
            "| {name} | {} | {:.1} | {:.1} | {} | {} | {} | {} | {} |",
            self.runs,
            share(self.taken_back),
            share(self.completed),
            mean_and_most(&self.met_bad),
            mean_and_most(&self.met_new),
            mean_and_most(&self.found_after),
            mean_and_most(&self.spread),
            self.breaches,
        );
    }
}

fn mean_and_most(values: &[f64]) -> String {
    if values.is_empty() {
        return "-".into();
    }
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let most = values.iter().copied().fold(f64::MIN, f64::max);
    format!("{mean:.2} / {most:.2}")
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default| {
        arguments
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let runs: u64 = number(100);
    let first_seed: u64 = number(1);
    println!("runs={runs} first_seed={first_seed}");
    println!(
        "| version | runs | taken back % | completed % | met it while bad % mean / most | met it at all % mean / most | found after s mean / most | last request after the stop s mean / most | breaches |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut unfinished = Vec::new();
    for kind in &KINDS {
        let mut summary = KindSummary::default();
        for seed in first_seed..first_seed + runs {
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
            let scenario = (kind.scenario)(&mut rng);
            let mut simulation = MoveSimulation::new(scenario, seed);
            simulation.run_until(scenario.deadline_seconds);
            summary.add(&simulation.result);
            if scenario.onset == FaultOnset::Never && simulation.state(0) != MoveState::Completed {
                let reason = simulation.reason(0);
                unfinished.push(format!("{}, seed {seed}: {reason}", kind.name));
            }
        }
        summary.print(kind.name);
    }
    println!("\nGood versions that were not completed:");
    for line in unfinished {
        println!("- {line}");
    }
}
