//! Figures of moves: how many requests meet a bad version of each kind, and how many good versions
//! are done in time.
//!
//! `cargo run --release -p savorywood-core --example move_figures -- [RUNS] [FIRST SEED]`

#[path = "../tests/support/fake_table.rs"]
mod fake_table;
#[path = "../tests/support/move_lab.rs"]
mod move_lab;

use move_lab::{FaultOnset, LabPlan, LabResult, MoveLab};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_protocol::resource::MoveState;

/// One kind of version.
struct VersionKind {
    name: &'static str,
    plan: fn(&mut ChaCha8Rng) -> LabPlan,
}

fn failing(onset: FaultOnset) -> LabPlan {
    LabPlan {
        onset,
        failure_rate: 0.5,
        ..LabPlan::default()
    }
}

fn slow(onset: FaultOnset) -> LabPlan {
    LabPlan {
        onset,
        slowdown: 1.6,
        ..LabPlan::default()
    }
}

/// A time at which a version turns bad: anywhere before the soak ends in the plan.
fn later(rng: &mut ChaCha8Rng) -> FaultOnset {
    FaultOnset::After(rng.random_range(30.0..480.0))
}

/// A share under which a version turns bad: that of any later stage.
fn load(rng: &mut ChaCha8Rng) -> FaultOnset {
    FaultOnset::UnderLoad([50, 200, 600, 1_000][rng.random_range(0..4)])
}

const KINDS: [VersionKind; 11] = [
    VersionKind {
        name: "fails at once",
        plan: |_| failing(FaultOnset::AtOnce),
    },
    VersionKind {
        name: "fails later",
        plan: |rng| failing(later(rng)),
    },
    VersionKind {
        name: "fails under load",
        plan: |rng| failing(load(rng)),
    },
    VersionKind {
        name: "fails on one route",
        plan: |_| failing(FaultOnset::OneRoute),
    },
    VersionKind {
        name: "slow at once",
        plan: |_| slow(FaultOnset::AtOnce),
    },
    VersionKind {
        name: "slow later",
        plan: |rng| slow(later(rng)),
    },
    VersionKind {
        name: "slow under load",
        plan: |rng| slow(load(rng)),
    },
    VersionKind {
        name: "slow on one route",
        plan: |_| slow(FaultOnset::OneRoute),
    },
    VersionKind {
        name: "fails 1 in 20",
        plan: |_| LabPlan {
            onset: FaultOnset::AtOnce,
            failure_rate: 0.05,
            ..LabPlan::default()
        },
    },
    VersionKind {
        name: "good, hot afternoon",
        plan: |_| LabPlan::default(),
    },
    VersionKind {
        name: "good, 10 requests/s",
        plan: |_| LabPlan {
            rate: 10.0,
            ..LabPlan::default()
        },
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
    fn add(&mut self, result: &LabResult) {
        let percent = |count: u32| 100.0 * f64::from(count) / f64::from(result.requests);
        self.runs += 1;
        self.taken_back += u32::from(result.state == Some(MoveState::TakenBack));
        self.completed += u32::from(result.state == Some(MoveState::Completed));
        self.met_bad.push(percent(result.met_bad));
        self.met_new.push(percent(result.met_new));
        self.found_after.extend(result.found_after);
        self.spread.push(result.spread);
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
            let plan = (kind.plan)(&mut rng);
            let mut lab = MoveLab::new(plan, seed);
            lab.run_until(plan.deadline);
            summary.add(&lab.result);
            if plan.onset == FaultOnset::Never && lab.state(0) != MoveState::Completed {
                let reason = lab.reason(0);
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
