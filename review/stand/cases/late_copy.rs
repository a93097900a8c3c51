//! Late copies of answers, while a burst fills the runners.

use super::{KEY, await_runner, start};
use crate::{
    client::{Call, Outcome, call_once},
    http::sleep_ms,
    record::Record,
    runner::{Runner, Work},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Requests a second, over all daemons: well below what the runners can take.
const PER_SECOND: u64 = 200;
const LENGTH: Duration = Duration::from_secs(108);
/// While they are spoiled, both runners shed so many percent of their requests, and of the answers
/// of the first, one in so many is followed by a late copy.
const SHED_PERCENT: u64 = 45;
const LATE_COPY_EACH: u64 = 20;
/// The runners shed and spoil for `SPOILED` of each `ROUND`.
const ROUND: Duration = Duration::from_secs(9);
const SPOILED: Duration = Duration::from_millis(3_000);

pub fn run(trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let work = Work {
        work_ms: 30,
        shed_percent: SHED_PERCENT,
        ..Work::default()
    };
    let shed_only = std::env::var("TROUBLE").is_ok_and(|text| text == "shed");
    let spoiling = Work {
        late_copy_each: if shed_only { 0 } else { LATE_COPY_EACH },
        ..work.clone()
    };
    let runners = [
        Runner::start("i-1", spoiling, record),
        Runner::start("i-2", work, record),
    ];
    let (_store, deployment) = start(&runners, 6)?;
    for runner in &runners {
        await_runner(&deployment, &runner.id)?;
    }
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let began = Instant::now();
    thread::scope(|scope| {
        for number in 0_u64.. {
            let due = Duration::from_micros(number * 1_000_000 / PER_SECOND);
            if due >= LENGTH {
                break;
            }
            thread::sleep(due.saturating_sub(began.elapsed()));
            let in_round = due.as_millis() % ROUND.as_millis();
            let begins = ROUND.as_millis() - SPOILED.as_millis();
            for runner in &runners {
                runner.spoil(trouble && in_round >= begins);
            }
            let front = &deployment.fronts[number as usize % deployment.fronts.len()];
            let outcomes = Arc::clone(&outcomes);
            scope.spawn(move || {
                let call = Call {
                    method: "POST",
                    path: "/once/activate",
                    key: KEY,
                    deadline_ms: 1_500,
                    lines: "",
                    body: "activate",
                };
                let outcome = call_once(front.callers, &call, &front.name, record);
                outcomes.lock().unwrap().push(outcome);
            });
        }
    });
    sleep_ms(1_500);
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in runners.iter().flat_map(Runner::runs) {
        runs.entry(run.id).or_default().push(run.runner);
    }
    let mut broken = Vec::new();
    for (id, runners) in &runs {
        if runners.len() > 1 {
            broken.push(format!("TWICE: {id} ran at {}", runners.join(", ")));
        }
    }
    let outcomes = outcomes.lock().unwrap();
    for outcome in outcomes.iter() {
        let promises = matches!(outcome.status(), 408 | 421 | 429 | 503);
        if promises && runs.contains_key(&outcome.id) {
            broken.push(format!("REFUSED: {} got {} and ran", outcome.id, outcome.status()));
        }
    }
    let served = outcomes.iter().filter(|outcome| outcome.status() == 200).count();
    println!("{} sent, {served} served, {} ran", outcomes.len(), runs.len());
    Ok(broken)
}
