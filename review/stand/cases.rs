//! The cases.

mod crashing_part;
mod drill;
mod late_copy;
mod rolling_stop;
mod slow_reader;

use crate::{
    fronts::Deployment,
    http::wait_until,
    record::Record,
    runner::Runner,
    store::Store,
};
use std::{path::Path, time::Duration};

/// Key of the clients.
pub const KEY: &str = "good-key";

/// Runs a case. Returns what broke the rule.
pub fn run(case: &str, trouble: bool, folder: &Path) -> Result<Vec<String>, String> {
    let record = Record::new();
    let verdict = match case {
        "late-copy" => late_copy::run(trouble, &record),
        "rolling-stop" => rolling_stop::run(trouble, &record),
        "leaver" => drill::leaver(trouble, &record),
        "revoked-key" => drill::revoked_key(trouble, &record),
        "slow-reader" => slow_reader::run(trouble, &record),
        "crashing-part" => crashing_part::run(trouble, &record),
        _ => Err(format!("no case is named {case}")),
    };
    if let Ok(broken) = &verdict {
        for line in broken {
            record.add(format!("BROKEN: {line}"));
        }
    }
    let written = record.write(&folder.join("record.txt"));
    written.map_err(|error| error.to_string())?;
    verdict
}

/// Returns a configuration with a route of each kind, as the operator writes it.
pub fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let route = |name: &str, kind: &str, service: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"api.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"service\":\"{service}\",\"public\":false,{more}}}"
        )
    };
    let plain = "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2";
    let patient = "\"timeout_ms\":12000,\"target_latency_ms\":300,\"priority\":2";
    let stream = "\"timeout_ms\":12000,\"target_latency_ms\":1000,\"target_gap_ms\":800,\"priority\":0";
    let routes = [
        route("once", "unsafe", "franchise-api", &format!("{plain},\"max_attempts\":1")),
        route("read", "safe", "franchise-api", &format!("{plain},\"max_attempts\":2")),
        route("slow", "unsafe", "franchise-api", &format!("{patient},\"max_attempts\":1")),
        route("prompt", "safe", "tecmodel", &format!("{stream},\"max_attempts\":2,\"session_affinity\":true")),
        route("brief", "streaming", "tecmodel", &format!("{stream},\"max_attempts\":1")),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"franchise-api\",\
         \"health_path\":\"/health\",\"max_connections\":100}},{{\"name\":\"tecmodel\",\
         \"health_path\":\"/health\",\"max_connections\":360}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[{}],\"priority\":1}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

/// Starts a store with a configuration and the runners' entries, and the daemons.
pub fn start(runners: &[Runner], fronts: usize) -> Result<(Store, Deployment), String> {
    let store = Store::start();
    store.put("op", "config", &config(3, &[KEY, "other-key"]));
    for runner in runners {
        runner.register(&store, "ready");
    }
    let deployment = Deployment::start(&store, fronts)?;
    Ok((store, deployment))
}

/// Waits until all daemons have read the entry of a runner.
pub fn await_runner(deployment: &Deployment, id: &str) -> Result<(), String> {
    let text = format!("upstream={id} ");
    let all_know = || deployment.fronts.iter().all(|front| front.output().contains(&text));
    if wait_until(Duration::from_secs(5), all_know) {
        Ok(())
    } else {
        Err(format!("{id} is not known to all daemons"))
    }
}
