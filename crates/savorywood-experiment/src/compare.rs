//! The `compare` command: all policies under all scenarios.

use crate::{
    deployment::DeploymentKind,
    policy::PolicyKind,
    report,
    run::{RunPlan, run_all},
    scenario::{RunScenario, TroubleKind},
};
use savorywood_protocol::NameError;
use strum::IntoEnumIterator;

/// Loads of the steady scenario, as shares of capacity.
const LOADS: [f64; 5] = [0.5, 0.8, 1.0, 1.3, 2.0];
/// Load under the hot afternoon.
const HOT_LOAD: f64 = 1.0;
/// Load under the stalled engine.
const STALL_LOAD: f64 = 0.8;

/// What to compare.
#[derive(Debug, Clone)]
pub struct CompareOptions {
    /// Seed of the workload.
    pub seed: u64,
    /// Seconds of arrivals.
    pub time: f64,
    /// Threads.
    pub threads: usize,
    /// Words of the policies wanted; empty for all.
    pub only: Vec<String>,
    /// Loads wanted; empty for all scenarios.
    pub loads: Vec<f64>,
}

/// Runs of a comparison.
#[must_use]
pub fn plans(options: &CompareOptions) -> Vec<RunPlan> {
    let mut scenarios: Vec<RunScenario> = LOADS
        .iter()
        .map(|load| scenario(options, *load, TroubleKind::Steady))
        .collect();
    scenarios.push(scenario(options, HOT_LOAD, TroubleKind::HotAfternoon));
    scenarios.push(scenario(options, STALL_LOAD, TroubleKind::StalledEngine));
    if !options.loads.is_empty() {
        let loads = options.loads.iter();
        scenarios = loads
            .map(|load| scenario(options, *load, TroubleKind::Steady))
            .collect();
    }
    let mut plans = Vec::new();
    for deployment in DeploymentKind::iter() {
        for scenario in &scenarios {
            for policy in PolicyKind::all()
                .into_iter()
                .filter(|policy| wanted(options, *policy))
            {
                plans.push(RunPlan {
                    deployment,
                    scenario: *scenario,
                    policy,
                });
            }
        }
    }
    plans
}

fn scenario(options: &CompareOptions, load: f64, trouble: TroubleKind) -> RunScenario {
    RunScenario {
        load,
        trouble,
        time: options.time,
        seed: options.seed,
    }
}

fn wanted(options: &CompareOptions, policy: PolicyKind) -> bool {
    let name = policy.to_string();
    options.only.is_empty() || options.only.iter().any(|only| name.contains(only.as_str()))
}

/// Runs a comparison and writes its tables.
///
/// # Errors
///
/// When a name of a deployment is not one.
pub fn compare(options: &CompareOptions) -> Result<String, NameError> {
    let results = run_all(&plans(options), options.threads)?;
    Ok(report::tables(&results))
}
