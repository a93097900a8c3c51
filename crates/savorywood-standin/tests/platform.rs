//! The platform stand-in over HTTP: its faults, its lag and its rates.

use async_io::block_on;
use savorywood_protocol::table::{RowWrite, TableCommit, TableRequest, TableResponse};
use savorywood_standin::{OutageKind, PlatformFaults, PlatformOptions, PlatformServer};
use savorywood_testing::{TestCall, TestReply, background_executor, wait_until};
use serde_json::json;
use std::{
    io,
    time::{Duration, Instant},
};

const LIMIT: Duration = Duration::from_secs(5);

fn start(faults: PlatformFaults) -> PlatformServer {
    let options = PlatformOptions {
        faults,
        ..PlatformOptions::default()
    };
    block_on(PlatformServer::start(&background_executor(), options)).expect("a platform")
}

fn commit(platform: &PlatformServer, key: &str) -> io::Result<TestReply> {
    let request = TableRequest::Commit(TableCommit {
        conditions: Vec::new(),
        writes: vec![RowWrite {
            key: key.to_owned(),
            value: Some("{}".to_owned()),
        }],
    });
    let body = serde_json::to_vec(&request).expect("JSON");
    TestCall::post(platform.address(), "/v1/table", body).send()
}

fn holds(platform: &PlatformServer, key: &str) -> bool {
    let keys = vec![key.to_owned()];
    match platform.execute(&TableRequest::Get { keys }) {
        TableResponse::Rows { rows, .. } => !rows.is_empty(),
        other => panic!("no rows: {other:?}"),
    }
}

/// The answer to a commit is lost after it took effect: the connection just closes.
#[test]
fn a_lost_answer_hides_a_commit_that_took_effect() {
    let platform = start(PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    });
    assert!(commit(&platform, "t/1").is_err());
    assert!(holds(&platform, "t/1"));
    let next = commit(&platform, "t/2").expect("an answer");
    assert_eq!(next.json(), json!({"committed": {"revision": 2}}));
}

#[test]
fn nothing_takes_effect_during_an_outage_of_any_kind() {
    let platform = start(PlatformFaults::default());
    let set = |outage| {
        platform.set_faults(PlatformFaults {
            outage,
            ..PlatformFaults::default()
        });
    };
    set(OutageKind::Refuse);
    assert_eq!(commit(&platform, "t/1").expect("an answer").status(), 503);
    set(OutageKind::Close);
    assert!(commit(&platform, "t/1").is_err());
    set(OutageKind::Hang);
    let call = TestCall::get(platform.address(), "/v1/hosts").timeout(Duration::from_millis(200));
    assert!(call.send().is_err());
    set(OutageKind::None);
    assert!(!holds(&platform, "t/1"));
    assert_eq!(commit(&platform, "t/1").expect("an answer").status(), 200);
}

#[test]
fn more_writes_than_the_rate_allows_are_refused() {
    let platform = start(PlatformFaults {
        writes_per_second: Some(10),
        ..PlatformFaults::default()
    });
    let statuses = (0..20).map(|n| commit(&platform, &format!("t/{n}")));
    let statuses = statuses.map(|reply| reply.expect("an answer").status());
    let refused = statuses.filter(|status| *status == 429).count();
    assert!(refused > 10, "refused={refused}");
    let taken = (0..20)
        .filter(|n| holds(&platform, &format!("t/{n}")))
        .count();
    assert_eq!(taken + refused, 20, "a refused write took no effect");
}

#[test]
fn the_host_list_lags() {
    let platform = start(PlatformFaults {
        hosts_lag_ms: 1_000,
        ..PlatformFaults::default()
    });
    let host = json!({
        "host": "h1", "peer_address": "127.0.0.1:1", "caller_address": "127.0.0.1:2",
        "zone": "a", "region": "r",
    });
    let put = TestCall::put(platform.address(), "/v1/hosts/h1", host.to_string());
    assert_eq!(put.send().expect("an answer").status(), 204);
    let list = || {
        let get = TestCall::get(platform.address(), "/v1/hosts");
        get.send().expect("a list").json()
    };
    assert_eq!(list(), json!([]));
    wait_until("the host on the list", LIMIT, || list()[0]["host"] == "h1");
    assert_eq!(list()[0]["leaving"], false);
}

#[test]
fn objects_are_kept_listed_and_deleted() {
    let platform = start(PlatformFaults::default());
    let call = |method: &str, target: &str| {
        let call = TestCall::new(platform.address(), method, target);
        call.body("content").send().expect("an answer")
    };
    assert_eq!(call("PUT", "/v1/objects/a/1").status(), 204);
    assert_eq!(call("PUT", "/v1/objects/b/1").status(), 204);
    assert_eq!(call("GET", "/v1/objects/a/1").text(), "content");
    let list = call("GET", "/v1/objects?prefix=a/").json();
    assert_eq!(list, json!([{"key": "a/1", "bytes": 7}]));
    assert_eq!(call("DELETE", "/v1/objects/a/1").status(), 204);
    assert_eq!(call("GET", "/v1/objects/a/1").status(), 404);
}

#[test]
fn all_readers_share_the_rate_of_the_weight_store() {
    let platform = start(PlatformFaults {
        weight_bytes_per_second: Some(400_000),
        ..PlatformFaults::default()
    });
    let address = platform.address();
    let put = TestCall::put(address, "/v1/weights/w?bytes=100000", "");
    assert_eq!(put.send().expect("an answer").status(), 204);
    let begin = Instant::now();
    let readers = [(); 2].map(|()| {
        std::thread::spawn(move || {
            let get = TestCall::get(address, "/v1/weights/w");
            get.send().expect("weights").body.len()
        })
    });
    for reader in readers {
        assert_eq!(reader.join().expect("a reader"), 100_000);
    }
    let elapsed = begin.elapsed();
    assert!(elapsed >= Duration::from_millis(450), "{elapsed:?}");
}
