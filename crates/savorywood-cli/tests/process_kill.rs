//! Daemons that die with requests waiting and streaming.

use savorywood_testing::{ClusterPlan, StandinProcess, TestCluster, has_end_mark, wait_until};
use std::{io, thread, time::Duration};

const LIMIT: Duration = Duration::from_secs(5);

/// Requests at the daemon that dies: the engine's slots are full, the others wait.
const REQUESTS: usize = 6;

/// A host loses its power while its daemon streams some answers and holds other requests in its
/// queue. Callers see their connections break, never an answer that ends as if it were whole.
/// Asked again, another daemon answers, and no request reaches an engine twice.
#[test]
fn a_killed_daemon_breaks_its_answers_and_repeats_none() {
    let engine = StandinProcess::engine(&["--slots", "2", "--decode", "40"]);
    let mut cluster = TestCluster::start(&ClusterPlan::default());
    cluster.declare(&[engine.address()], &[]);

    let calls = (0..REQUESTS).map(|n| cluster.chat(0, &format!("text {n}"), 120));
    let callers = calls.map(|call| thread::spawn(move || call.send()));
    let callers: Vec<_> = callers.collect();
    wait_until("running requests", LIMIT, || engine.runs().total() >= 2);
    cluster.daemons[0].kill();
    for caller in callers {
        let answer: io::Result<_> = caller.join().expect("a caller");
        let whole = answer.is_ok_and(|answer| has_end_mark(&answer.body));
        assert!(!whole, "an answer ended as if it were whole");
    }

    // What the dead daemon sent still runs at the engine; new work shares it or waits for it.
    let again = cluster.chat(1, "again", 5).timeout(Duration::from_secs(12));
    let again = again.send().expect("an answer");
    assert_eq!(again.status(), 200, "{}", again.text());
    assert!(has_end_mark(&again.body));
    assert_eq!(engine.runs().repeated_requests(), Vec::<String>::new());

    cluster.daemons[0].start();
    cluster.daemons[0].wait_until_ready(LIMIT);
    let revision = cluster.daemons[1].revision().expect("a revision");
    cluster.wait_in_force(revision);
}
