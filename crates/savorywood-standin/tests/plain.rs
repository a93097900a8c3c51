//! The plain service stand-in over HTTP: echoes, counts and faults.

use async_io::block_on;
use savorywood_standin::{PlainFaults, PlainOptions, PlainServer};
use savorywood_testing::{TestCall, background_executor};
use std::time::{Duration, Instant};

fn start(faults: PlainFaults) -> PlainServer {
    let options = PlainOptions {
        faults,
        ..PlainOptions::default()
    };
    block_on(PlainServer::start(&background_executor(), options)).expect("a plain service")
}

fn charge(plain: &PlainServer, key: &str) -> TestCall {
    let call = TestCall::post(plain.address(), "/charge", "{\"euro\":3}");
    call.header("Idempotency-Key", key)
        .header("Content-Type", "application/json")
}

#[test]
fn a_call_is_echoed_and_counted_by_its_key() {
    let plain = start(PlainFaults::default());
    let first = charge(&plain, "k1").send().expect("an answer");
    assert_eq!(first.text(), "{\"euro\":3}");
    assert_eq!(first.header("content-type"), Some("application/json"));
    let second = charge(&plain, "k1").send().expect("an answer");
    assert_eq!(second.header("x-standin-run-count"), Some("2"));
    let other = charge(&plain, "k2").send().expect("an answer");
    assert_eq!(other.header("x-standin-run-count"), Some("1"));
    let get = TestCall::get(plain.address(), "/story?id=1").send();
    assert_eq!(get.expect("an answer").text(), "GET /story?id=1\n");
    assert_eq!(plain.runs().total, 4);
}

/// The service does the work, and its answer gets lost: the caller can't know.
#[test]
fn a_dropped_answer_leaves_a_run_behind() {
    let plain = start(PlainFaults {
        drop_answers: 1,
        ..PlainFaults::default()
    });
    assert!(charge(&plain, "k").send().is_err());
    assert_eq!(plain.runs().total, 1);
    assert!(charge(&plain, "k").send().is_ok());
}

#[test]
fn faults_strike_only_their_route() {
    let plain = start(PlainFaults {
        fail_per_mille: 1_000,
        latency_ms: 100,
        only_route: Some("/charge".to_owned()),
        ..PlainFaults::default()
    });
    let begin = Instant::now();
    assert_eq!(charge(&plain, "k").send().expect("an answer").status(), 500);
    assert!(begin.elapsed() >= Duration::from_millis(100));
    let other = TestCall::get(plain.address(), "/story").send();
    assert_eq!(other.expect("an answer").status(), 200);
}

#[test]
fn a_cut_echo_can_be_told_from_a_whole_one() {
    let plain = start(PlainFaults {
        close_after_bytes: Some(4),
        ..PlainFaults::default()
    });
    let part = charge(&plain, "k")
        .open()
        .expect("a head")
        .read_until_break();
    assert_eq!(part.bytes, b"{\"eu");
    assert!(part.end.is_err());
}
