//! Planned stops under load.

use savorywood_testing::{
    ClusterPlan, ProcessSignal, StandinProcess, TEAM_TOKEN, TestCall, TestCluster, has_end_mark,
    wait_until,
};
use std::{thread, time::Duration};

const LIMIT: Duration = Duration::from_secs(5);

/// Streams at the daemon that stops: half of them run, the others wait.
const REQUESTS: usize = 8;

/// More than the buffers of a connection hold.
const LARGE_BYTES: usize = 24 << 20;

/// An operator replaces a host and stops its daemon with SIGTERM while it streams some answers
/// and holds other requests in its queue. A caller that still keeps the daemon's address connects
/// some moments later. None of them may notice anything, and the process ends by itself.
#[test]
fn a_planned_stop_cuts_off_nothing() {
    let engine = StandinProcess::engine(&["--slots", "4", "--decode", "50"]);
    let mut cluster = TestCluster::start(&ClusterPlan::default());
    cluster.declare(&[engine.address()], &[]);

    let calls = (0..REQUESTS).map(|n| cluster.chat(0, &format!("text {n}"), 60));
    let callers = calls.map(|call| thread::spawn(move || call.send()));
    let mut callers: Vec<_> = callers.collect();
    wait_until("running requests", LIMIT, || engine.runs().total() >= 3);
    cluster.daemons[0].signal(ProcessSignal::Terminate);
    let late = cluster.chat(0, "late", 5);
    callers.push(thread::spawn(move || late.send()));

    let stopped = cluster.daemons[0].callers().to_string();
    wait_until("addresses without the stopping daemon", LIMIT, || {
        let target = "/v1/addresses?service=notes";
        let call = TestCall::get(cluster.daemons[1].callers(), target).token(TEAM_TOKEN);
        let list = call.send().expect("addresses").text();
        !list.contains(&stopped)
    });
    for caller in callers {
        let answer = caller.join().expect("a caller");
        let answer = answer.expect("a whole answer");
        assert_eq!(answer.status(), 200, "{}", answer.text());
        assert!(has_end_mark(&answer.body));
    }
    let status = cluster.daemons[0].wait_for_end(Duration::from_secs(10));
    assert!(status.success(), "{status}");
    let other = cluster.chat(1, "after", 5).send().expect("an answer");
    assert!(has_end_mark(&other.body), "{}", other.text());
}

/// The daemon has the whole of a large answer, but its caller reads slowly, so that most of it
/// still waits inside the daemon when it is told to stop. The rest must come.
#[test]
fn a_slow_reader_gets_the_whole_of_a_large_answer() {
    let plain = StandinProcess::plain(&[]);
    let mut cluster = TestCluster::start(&ClusterPlan::default());
    cluster.declare(&[], &[plain.address()]);
    let call = TestCall::get(cluster.daemons[0].callers(), "/services/shop/archive");
    let size = LARGE_BYTES.to_string();
    let call = call
        .token(TEAM_TOKEN)
        .header("X-Standin-Answer-Bytes", &size);
    let mut answer = call.open().expect("a head");
    assert_eq!(answer.status(), 200);
    cluster.daemons[0].signal(ProcessSignal::Terminate);
    let mut piece = [0; 16 << 10];
    let mut total = 0;
    loop {
        thread::sleep(Duration::from_millis(1));
        match answer.read_some(&mut piece) {
            Ok(0) => break,
            Ok(count) => total += count,
            Err(error) => panic!("cut off after {total} bytes: {error}"),
        }
    }
    assert_eq!(total, LARGE_BYTES);
    let status = cluster.daemons[0].wait_for_end(Duration::from_secs(8));
    assert!(status.success(), "{status}");
}

/// A caller has asked for addresses just before the daemon is stopped, and may keep the answer
/// for its max-age. It connects within that time and must be served, although the daemon had
/// nothing to do when it was told to stop.
#[test]
fn a_kept_address_is_served_for_its_max_age() {
    let engine = StandinProcess::engine(&["--decode", "500"]);
    let plan = ClusterPlan {
        address_max_age_seconds: 3,
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(&plan);
    cluster.declare(&[engine.address()], &[]);
    cluster.daemons[0].signal(ProcessSignal::Terminate);
    thread::sleep(Duration::from_millis(1_500));
    let answer = cluster.chat(0, "late", 5).send();
    let answer = answer.expect("an answer at the kept address");
    assert_eq!(answer.status(), 200, "{}", answer.text());
    assert!(has_end_mark(&answer.body));
}
