//! Upstreams that leave.

use savorywood_testing::{
    ClusterPlan, StandinProcess, TestCall, TestCluster, has_end_mark, wait_until,
};
use serde_json::json;
use std::{thread, time::Duration};

const LIMIT: Duration = Duration::from_secs(5);

/// An upstream that leaves gets nothing new after this time.
const LEAVE_TIME: Duration = Duration::from_secs(3);

/// Requests after the upstream has left.
const REQUESTS: usize = 10;

/// An operator takes an engine out while it streams. Its stream ends whole, and after a few
/// seconds no daemon sends it anything new.
#[test]
fn a_draining_engine_ends_its_streams_and_gets_nothing_new() {
    let leaving = StandinProcess::engine(&["--decode", "50"]);
    let staying = StandinProcess::engine(&["--decode", "500"]);
    let cluster = TestCluster::start(&ClusterPlan::default());
    cluster.declare(&[leaving.address()], &[]);
    let call = cluster.chat(0, "long", 200);
    let caller = thread::spawn(move || call.send());
    wait_until("a running request", LIMIT, || leaving.runs().total() == 1);

    cluster.declare_engine("engine-1", staying.address());
    let spec = cluster.get(0, "upstream", "engine-0").json()["spec"].clone();
    let mut spec = spec;
    spec["draining"] = json!(true);
    cluster.apply("upstream", "engine-0", &spec);
    thread::sleep(LEAVE_TIME);
    let before = leaving.runs().total();
    for number in 0..REQUESTS {
        let call = cluster.chat(number % 2, &format!("text {number}"), 5);
        let answer = call.send().expect("an answer");
        assert!(has_end_mark(&answer.body), "{}", answer.text());
    }
    assert_eq!(leaving.runs().total(), before);
    let long = caller.join().expect("a caller").expect("a whole answer");
    assert!(has_end_mark(&long.body), "{}", long.text());
}

/// The platform says that an engine's host will be taken away, and nobody tells the daemons but
/// its list. An engine that went on getting work would lose its streams with the host.
#[test]
fn an_engine_on_a_leaving_host_gets_nothing_new() {
    let leaving = StandinProcess::engine(&["--decode", "500"]);
    let staying = StandinProcess::engine(&["--decode", "500"]);
    let cluster = TestCluster::start(&ClusterPlan::default());
    cluster.declare(&[staying.address()], &[]);
    cluster.declare_engine("engine-1", leaving.address());
    let mut spec = cluster.get(0, "upstream", "engine-1").json()["spec"].clone();
    spec["host"] = json!("room-host-1");
    let revision = cluster.apply("upstream", "engine-1", &spec);
    cluster.wait_in_force(revision);
    let entry = json!({
        "host": "room-host-1",
        "peer_address": leaving.address(),
        "caller_address": leaving.address(),
        "zone": "zone-a",
        "region": "region-1",
        "leaving": true,
    });
    let listed = TestCall::put(
        cluster.platform.address(),
        "/v1/hosts/room-host-1",
        entry.to_string(),
    );
    assert!(listed.send().expect("the list answers").status() < 300);
    thread::sleep(LEAVE_TIME);
    let before = leaving.runs().total();
    for number in 0..REQUESTS {
        let call = cluster.chat(number % 2, &format!("text {number}"), 5);
        let answer = call.send().expect("an answer");
        assert!(has_end_mark(&answer.body), "{}", answer.text());
    }
    assert_eq!(leaving.runs().total(), before);
}
