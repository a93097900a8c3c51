//! Connections to engines that break, and engines that die.

use savorywood_testing::{
    ClusterPlan, ProcessSignal, StandinProcess, TestCluster, has_end_mark, wait_until,
};
use serde_json::json;
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(5);

/// Time that a caller gives for its whole answer, in milliseconds.
const DEADLINE_MS: &str = "1500";

/// A caller is told within its deadline and this.
const GRACE: Duration = Duration::from_secs(2);

struct LinkSetup {
    engine: StandinProcess,
    proxy: StandinProcess,
    cluster: TestCluster,
}

fn start(arguments: &[&str]) -> LinkSetup {
    let engine = StandinProcess::engine(arguments);
    let proxy = StandinProcess::proxy(engine.address());
    let plan = ClusterPlan {
        daemons: 1,
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(&plan);
    cluster.declare(&[proxy.address()], &[]);
    LinkSetup {
        engine,
        proxy,
        cluster,
    }
}

impl LinkSetup {
    /// Waits until answers are whole again.
    fn wait_until_served(&self) {
        wait_until("whole answers", LIMIT, || {
            let answer = self.cluster.chat(0, "again", 2).send();
            answer.is_ok_and(|answer| has_end_mark(&answer.body))
        });
    }
}

/// The cable to the only engine is pulled. Callers are refused; where the refusal says "not run",
/// the engine has really seen nothing. With the cable back, work goes on by itself.
#[test]
fn a_cut_link_gives_true_refusals_and_heals() {
    let setup = start(&["--decode", "500"]);
    setup.wait_until_served();
    setup.proxy.set_faults(&json!({"mode": "cut"}));
    for number in 0..5 {
        let call = setup.cluster.chat(0, &format!("text {number}"), 5);
        let reply = call.header("x-savorywood-deadline-ms", DEADLINE_MS).send();
        let reply = reply.expect("a refusal");
        let problem = reply.json();
        assert!(reply.status() >= 429, "{}", reply.text());
        let request = reply.header("x-request-id").expect("the request's id");
        if problem["outcome"] == "not-run" {
            assert_eq!(setup.engine.runs().count("request", request), 0);
        }
    }
    setup.proxy.set_faults(&json!({}));
    setup.wait_until_served();
}

/// A switch drops everything without closing a connection. Only time tells. The caller must be
/// told soon after the deadline that it gave, and must not be told that nothing ran when it may
/// have.
#[test]
fn a_half_open_link_is_told_by_the_deadline() {
    let setup = start(&["--decode", "500"]);
    setup.wait_until_served();
    setup.proxy.set_faults(&json!({"mode": "half-open"}));
    let begin = Instant::now();
    let call = setup.cluster.chat(0, "hello", 5);
    let reply = call.header("x-savorywood-deadline-ms", DEADLINE_MS).send();
    let reply = reply.expect("a refusal");
    assert!(begin.elapsed() < Duration::from_millis(1_500) + GRACE);
    assert!(reply.status() >= 429, "{}", reply.text());
    assert_eq!(reply.json()["outcome"], "unknown", "{}", reply.text());
    setup.proxy.set_faults(&json!({}));
    setup.wait_until_served();
}

/// An engine's connection closes in the middle of a stream, or after the last token but before
/// the end mark; or the stream ends in order, but without its end mark. Callers must see that
/// their answer is not whole; a part taken for the whole would be published.
#[test]
fn a_truncated_stream_never_ends_cleanly() {
    let setup = start(&["--decode", "500"]);
    for fault in ["close_after_tokens", "end_after_tokens"] {
        for tokens in [3, 10] {
            setup.engine.set_faults(&json!({fault: tokens}));
            let mut answer = setup.cluster.chat(0, "hello", 10).open().expect("a head");
            assert_eq!(answer.status(), 200, "{fault} {tokens}");
            let part = answer.read_until_break();
            assert!(
                part.end.is_err(),
                "{fault} {tokens}: a part ended as if it were whole"
            );
            assert!(!has_end_mark(&part.bytes));
        }
    }
    setup.engine.set_faults(&json!({}));
    setup.wait_until_served();
}

/// An engine takes a request and its connection closes before any answer. The work may have run,
/// so the request must not go to the other engine, and the caller must not be told "not run".
#[test]
fn a_request_without_an_answer_is_not_sent_again() {
    let setup = start(&["--decode", "500"]);
    let other = StandinProcess::engine(&["--decode", "500"]);
    let revision = setup.cluster.declare_engine("engine-1", other.address());
    setup.cluster.wait_in_force(revision);
    let engines = [&setup.engine, &other];
    for engine in engines {
        engine.set_faults(&json!({"drop_answers": true}));
    }
    let reply = setup.cluster.chat(0, "hello", 5).send().expect("a refusal");
    assert!(reply.status() >= 500, "{}", reply.text());
    assert_eq!(reply.json()["outcome"], "unknown", "{}", reply.text());
    let runs: u64 = engines.iter().map(|engine| engine.runs().total()).sum();
    assert_eq!(runs, 1, "sent to a second engine");
}

/// An answer of known length is cut off in its middle. The caller sees it, or is told.
#[test]
fn a_truncated_answer_of_known_length_never_ends_cleanly() {
    let setup = start(&["--decode", "500"]);
    setup.engine.set_faults(&json!({"close_after_tokens": 1}));
    let body = json!({
        "model": "notes", "max_tokens": 10, "messages": [{"role": "user", "content": "hello"}],
    });
    let call = setup.cluster.chat(0, "hello", 10).body(body.to_string());
    if let Ok(reply) = call.send() {
        assert!(reply.status() >= 500, "{}", reply.text());
        assert_eq!(reply.json()["outcome"], "unknown", "{}", reply.text());
    }
}

/// An engine's process dies while it streams. The caller's stream breaks off.
#[test]
fn an_engine_that_dies_breaks_its_streams() {
    let setup = start(&["--decode", "50"]);
    let mut answer = setup
        .cluster
        .chat(0, "hello", 1_000)
        .open()
        .expect("a head");
    answer.read_at_least(1).expect("a token");
    setup.engine.signal(ProcessSignal::Kill);
    let part = answer.read_until_break();
    assert!(part.end.is_err(), "the answer ended as if it were whole");
    assert!(!has_end_mark(&part.bytes));
}
