//! Many runs side by side.

use crate::{
    deployment::DeploymentKind, policy::PolicyKind, scenario::RunScenario, tally::RunTally,
    world::RunWorld,
};
use savorywood_protocol::NameError;
use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

/// One run to do.
#[derive(Debug, Clone, Copy)]
pub struct RunPlan {
    /// Where.
    pub deployment: DeploymentKind,
    /// Under what.
    pub scenario: RunScenario,
    /// By which policy.
    pub policy: PolicyKind,
}

/// A run that was done.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// What was run.
    pub plan: RunPlan,
    /// What came out.
    pub tally: RunTally,
}

impl RunPlan {
    /// Does the run.
    ///
    /// # Errors
    ///
    /// When a name of the deployment is not one.
    pub fn run(self) -> Result<RunResult, NameError> {
        let shape = self.deployment.shape();
        let world = RunWorld::new(&shape, self.scenario, self.policy)?;
        Ok(RunResult {
            plan: self,
            tally: world.run(),
        })
    }
}

/// Does all runs on a few threads; results are in the order of the plans.
///
/// # Errors
///
/// When a name of a deployment is not one.
pub fn run_all(plans: &[RunPlan], threads: usize) -> Result<Vec<RunResult>, NameError> {
    let next = AtomicUsize::new(0);
    let results: Vec<Mutex<Option<Result<RunResult, NameError>>>> =
        plans.iter().map(|_| Mutex::new(None)).collect();
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                while let Some(plan) = plans.get(next.load(Ordering::Relaxed)) {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let plan = plans.get(index).unwrap_or(plan);
                    if let Some(slot) = results.get(index) {
                        let result = plan.run();
                        *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(result);
                    }
                }
            });
        }
    });
    let done = results.into_iter();
    done.filter_map(|slot| slot.into_inner().unwrap_or_else(PoisonError::into_inner))
        .collect()
}
