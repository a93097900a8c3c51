//! An entry of another writer in the list of runners, with fields missing.

use crate::{
    Run,
    kit::{Deployment, Store, lock, sleep_ms},
    parts::{Call, Directory, End, Load, Pace, Runner, configuration, other_server, start_fronts},
};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

const CALL: Call = Call {
    method: "POST",
    path: "/act/",
    stream: false,
    deadline_ms: 1_500,
    patience_ms: 1_500,
};

pub fn run(run: &Run) -> bool {
    let record = &run.record;
    let store = Store::start(record);
    let route = "{\"name\":\"r-act\",\"host\":\"shop.example\",\"prefix\":\"/act/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\
        \"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\"public\":false}";
    store.put("op", "config", &configuration(7, &[route], &["desk"]));
    let pace = Pace {
        first_ms: 60,
        gap_ms: 0,
        events: 0,
        limit: None,
        fails: None,
    };
    let runners: Vec<Runner> = (0..4)
        .map(|number| Runner::start(record, &format!("i-desk-{number}"), "desk", "v1", 6, pace))
        .collect();
    for runner in &runners {
        runner.register(&store);
    }
    // An ordinary web server that is no runner: it knows none of the platform's headers.
    let ran = Arc::new(Mutex::new(Vec::new()));
    let (all, log) = (Arc::clone(&ran), record.clone());
    let other = other_server(move |mut connection| {
        while let Some(request) = connection.read_request() {
            log.line(&format!(
                "another server runs {} {} ({})",
                request.method,
                request.target,
                request.id()
            ));
            lock(&all).push(request.id().to_owned());
            if !connection.write("HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n{}") {
                return;
            }
        }
    });
    let deployment = Deployment::new(&store);
    let fronts = start_fronts(&deployment, 3);
    let directory = Directory::follow(record, &fronts);
    let load = Load::start(
        record,
        &directory,
        CALL,
        "act",
        30.0,
        Instant::now() + Duration::from_secs(12),
    );
    sleep_ms(3_000);
    if run.trouble {
        let entry = format!(
            "{{\"service\":\"desk\",\"address\":\"{other}\",\"zone\":\"zone-a\",\"slots\":6,\"state\":\"ready\"}}"
        );
        record.line(&format!(
            "disruption: another writer puts servers/probe-target = {entry}"
        ));
        store.put("servers", "probe-target", &entry);
    }
    let sent = load.finish();
    let ran = lock(&ran).clone();
    let lost = sent
        .iter()
        .filter(|sent| ran.contains(&sent.id) && sent.end != End::Served)
        .count();
    record.line(&format!(
        "{} requests sent; {} ran at a server that is no runner, {lost} of them had no success",
        sent.len(),
        ran.len()
    ));
    !ran.is_empty()
}
