//! A runner of the new version is lost during a roll-out, while all runners of the old one are sound.

use crate::{
    Run,
    kit::{Deployment, Store, sleep_ms},
    parts::{Call, Directory, Load, Pace, Runner, configuration, is_starved, start_fronts, stop_completed},
};
use std::time::{Duration, Instant};

const CALL: Call = Call {
    method: "POST",
    path: "/act/",
    stream: false,
    deadline_ms: 1_500,
    patience_ms: 1_500,
};
const OTHER: Call = Call {
    method: "GET",
    path: "/tile/",
    stream: false,
    deadline_ms: 1_500,
    patience_ms: 1_500,
};

pub fn run(run: &Run) -> bool {
    let record = &run.record;
    let store = Store::start(record);
    let routes = [
        "{\"name\":\"r-act\",\"host\":\"shop.example\",\"prefix\":\"/act/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\"public\":false}",
        "{\"name\":\"r-tile\",\"host\":\"shop.example\",\"prefix\":\"/tile/\",\"kind\":\"safe\",\"timeout_ms\":1500,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"tiles\",\"max_attempts\":2,\"public\":false}",
    ];
    store.put("op", "config", &configuration(7, &routes, &["desk", "tiles"]));
    let pace = Pace {
        first_ms: 60,
        gap_ms: 0,
        events: 0,
        limit: None,
        fails: None,
    };
    let old: Vec<Runner> = (0..6)
        .map(|number| Runner::start(record, &format!("i-old-{number}"), "desk", "v1", 6, pace))
        .collect();
    let tiles: Vec<Runner> = (0..2)
        .map(|number| Runner::start(record, &format!("i-tile-{number}"), "tiles", "v1", 6, pace))
        .collect();
    for runner in old.iter().chain(&tiles) {
        runner.register(&store);
    }
    let deployment = Deployment::new(&store);
    let fronts = start_fronts(&deployment, 3);
    let directory = Directory::follow(record, &fronts);

    let until = Instant::now() + Duration::from_secs(50);
    let load = Load::start(record, &directory, CALL, "act", 30.0, until);
    let others = Load::start(record, &directory, OTHER, "tile", 60.0, until);
    sleep_ms(500);
    let new = Runner::start(record, "i-new-0", "desk", "v2", 6, pace);
    new.register(&store);
    sleep_ms(500);
    record.line("operator: orders the roll-out of desk to v2 within 30 s");
    store.put(
        "op",
        "rollout/desk",
        "{\"service\":\"desk\",\"to\":\"v2\",\"duration_s\":30}",
    );
    sleep_ms(1_000);
    if run.trouble {
        record.line("disruption: the runner i-new-0 is lost for good");
        new.end();
    }
    // The entry of a lost runner expires after three heartbeat intervals of silence.
    sleep_ms(3_600);
    if run.trouble {
        store.remove("servers", "i-new-0");
        record.line("store: the entry of i-new-0 has expired");
    }
    while Instant::now() < until {
        stop_completed(record, &store, "desk", &old);
        sleep_ms(20);
    }
    let (sent, others) = (load.finish(), others.finish());
    record.line(&format!(
        "status of the roll-out: {:?}",
        store.row("status", "rollout/desk")
    ));
    is_starved(record, ("desk", &sent), ("tiles", &others))
}
