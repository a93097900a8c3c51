//! A roll-out to a version that fails on one route only, which has a small part of the requests.

use crate::{
    Run,
    kit::{Deployment, Store, sleep_ms, unable},
    parts::{Call, Directory, End, Load, Pace, Runner, configuration, start_fronts, stop_completed},
};
use std::time::{Duration, Instant};

const READ: Call = Call {
    method: "GET",
    path: "/read/",
    stream: false,
    deadline_ms: 1_500,
    patience_ms: 1_500,
};
const ORDER: Call = Call {
    method: "POST",
    path: "/order/",
    stream: false,
    deadline_ms: 1_500,
    patience_ms: 1_500,
};
const GOOD: Pace = Pace {
    first_ms: 60,
    gap_ms: 0,
    events: 0,
    limit: None,
    fails: None,
};
const BAD: Pace = Pace {
    fails: Some("/order/"),
    ..GOOD
};
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const DURATION: Duration = Duration::from_secs(12);

pub fn run(run: &Run) -> bool {
    let record = &run.record;
    let store = Store::start(record);
    let routes = [
        "{\"name\":\"r-read\",\"host\":\"shop.example\",\"prefix\":\"/read/\",\"kind\":\"safe\",\"timeout_ms\":1500,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2,\"public\":false}",
        "{\"name\":\"r-order\",\"host\":\"shop.example\",\"prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\"public\":false}",
    ];
    store.put("op", "config", &configuration(7, &routes, &["desk"]));
    let start = |name: &str, version: &str, pace: Pace| -> Vec<Runner> {
        (0..4)
            .map(|number| Runner::start(record, &format!("i-{name}-{number}"), "desk", version, 6, pace))
            .collect()
    };
    let old = start("old", "v1", GOOD);
    for runner in &old {
        runner.register(&store);
    }
    let deployment = Deployment::new(&store);
    let fronts = start_fronts(&deployment, 3);
    let directory = Directory::follow(record, &fronts);
    let until = Instant::now() + Duration::from_secs(24);
    let reads = Load::start(record, &directory, READ, "read", 48.0, until);
    let orders = Load::start(record, &directory, ORDER, "order", 1.0, until);
    sleep_ms(3_000);
    let new = start("new", "v2", if run.trouble { BAD } else { GOOD });
    for runner in &new {
        runner.register(&store);
    }
    sleep_ms(1_000);
    record.line("operator: orders the roll-out of desk to v2 within 12 s");
    let ordered = Instant::now();
    store.put(
        "op",
        "rollout/desk",
        "{\"service\":\"desk\",\"to\":\"v2\",\"duration_s\":12}",
    );
    let mut completed = None;
    while Instant::now() < until {
        if stop_completed(record, &store, "desk", &old) {
            completed.get_or_insert_with(Instant::now);
        }
        sleep_ms(20);
    }
    reads.finish();
    let orders = orders.finish();
    let deadline = ordered + DURATION;
    let count = |runners: &[Runner]| {
        let runs = runners.iter().flat_map(Runner::runs);
        runs.filter(|run| run.at >= ordered && run.at < deadline).count()
    };
    let (new_runs, old_runs) = (count(&new), count(&old));
    let allowed = EXPOSURE_SHARE * (new_runs + old_runs) as f64 + EXPOSURE_SLACK;
    record.line(&format!(
        "between order and deadline {new_runs} of {} requests ran at v2; a bad version may get {allowed:.0}",
        new_runs + old_runs
    ));
    let after: Vec<_> = orders
        .iter()
        .filter(|sent| completed.is_some_and(|at| sent.at > at))
        .collect();
    let served = after.iter().filter(|sent| sent.end == End::Served).count();
    record.line(&format!(
        "orders sent after `completed`: {}, of these served: {served}",
        after.len()
    ));
    record.line(&format!("status: {:?}", store.row("status", "rollout/desk")));
    if !run.trouble && completed.is_none() {
        unable("the roll-out of the good version was not completed");
    }
    run.trouble && new_runs as f64 > allowed
}
