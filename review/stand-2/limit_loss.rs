//! Half of the machines are lost while the runners of a service name a rate that is well above what is asked.

use crate::{
    Run,
    kit::{Deployment, Store, sleep_ms},
    parts::{Call, Directory, Load, Pace, Runner, configuration, is_starved, start_fronts},
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
    let start = |service: &str, limit: Option<&'static str>| -> Vec<Runner> {
        let pace = Pace {
            first_ms: 60,
            gap_ms: 0,
            events: 0,
            limit,
            fails: None,
        };
        (0..4)
            .map(|number| Runner::start(record, &format!("i-{service}-{number}"), service, "v1", 6, pace))
            .collect()
    };
    // Four runners that take 20 requests a second each: 80 in all, of which 20 are asked for.
    let runners = [start("desk", Some("20.0")), start("tiles", None)].concat();
    for runner in &runners {
        runner.register(&store);
    }
    let deployment = Deployment::new(&store);
    let mut fronts = start_fronts(&deployment, 4);
    let directory = Directory::follow(record, &fronts);
    let lost = fronts.split_off(2);
    let until = Instant::now() + Duration::from_secs(62);
    let load = Load::start(record, &directory, CALL, "act", 20.0, until);
    let others = Load::start(record, &directory, OTHER, "tile", 40.0, until);
    sleep_ms(3_000);
    if run.trouble {
        record.line("disruption: two of the four machines are lost");
        drop(lost);
    }
    let (sent, others) = (load.finish(), others.finish());
    is_starved(record, ("desk", &sent), ("tiles", &others))
}
