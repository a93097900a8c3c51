//! A roll-out to a bad version whose answers begin eight times as late, on a route whose callers leave
//! before that.

use crate::{
    Run,
    kit::{Deployment, Store, sleep_ms, unable},
    parts::{Call, Directory, End, Load, Pace, Runner, configuration, start_fronts, stop_completed},
};
use std::time::{Duration, Instant};

/// An objective of 600 ms and pauses of 300 ms: callers leave after 2.4 s without data.
const CALL: Call = Call {
    method: "POST",
    path: "/query/",
    stream: true,
    deadline_ms: 10_000,
    patience_ms: 2_400,
};
const OLD: Pace = Pace {
    first_ms: 350,
    gap_ms: 30,
    events: 8,
    limit: None,
    fails: None,
};
const BAD: Pace = Pace {
    first_ms: 8 * 350,
    gap_ms: 8 * 30,
    events: 8,
    limit: None,
    fails: None,
};
/// Bounds of the deployment.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const DURATION: Duration = Duration::from_secs(12);

pub fn run(run: &Run) -> bool {
    let record = &run.record;
    let store = Store::start(record);
    let route = "{\"name\":\"r-query\",\"host\":\"shop.example\",\"prefix\":\"/query/\",\"kind\":\"streaming\",\
        \"timeout_ms\":10000,\"target_latency_ms\":600,\"priority\":1,\"service\":\"pool\",\"max_attempts\":1,\
        \"public\":false,\"session_affinity\":true,\"stream_resumption\":false,\"target_gap_ms\":300}";
    store.put("op", "config", &configuration(7, &[route], &["pool"]));
    let start = |name: &str, version: &str, pace: Pace| -> Vec<Runner> {
        (0..6)
            .map(|number| Runner::start(record, &format!("i-{name}-{number}"), "pool", version, 12, pace))
            .collect()
    };
    let old = start("old", "v1", OLD);
    for runner in &old {
        runner.register(&store);
    }
    let deployment = Deployment::new(&store);
    let fronts = start_fronts(&deployment, 3);
    let directory = Directory::follow(record, &fronts);
    let until = Instant::now() + Duration::from_secs(26);
    let load = Load::start(record, &directory, CALL, "query", 45.0, until);
    sleep_ms(4_000);
    // In the quiet run the new version is as good as the old one.
    let new = start("new", "v2", if run.trouble { BAD } else { OLD });
    for runner in &new {
        runner.register(&store);
    }
    sleep_ms(1_000);
    record.line("operator: orders the roll-out of pool to v2 within 12 s");
    let ordered = Instant::now();
    store.put(
        "op",
        "rollout/pool",
        "{\"service\":\"pool\",\"to\":\"v2\",\"duration_s\":12}",
    );
    let mut completed = None;
    while Instant::now() < until {
        if stop_completed(record, &store, "pool", &old) {
            completed.get_or_insert_with(Instant::now);
        }
        sleep_ms(20);
    }
    let sent = load.finish();
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
    let after: Vec<_> = sent
        .iter()
        .filter(|sent| completed.is_some_and(|at| sent.at > at))
        .collect();
    let served = after.iter().filter(|sent| sent.end == End::Served).count();
    record.line(&format!(
        "sent after `completed`: {}, of these served: {served}",
        after.len()
    ));
    record.line(&format!("status: {:?}", store.row("status", "rollout/pool")));
    // The bound holds for bad versions only. A good one is to be completed.
    if !run.trouble && completed.is_none() {
        unable("the roll-out of the good version was not completed");
    }
    run.trouble && new_runs as f64 > allowed
}
