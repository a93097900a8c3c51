//! Calls that may not be repeated.

use savorywood_testing::{
    ClusterPlan, StandinProcess, TestCluster, TestReply, wait_for, wait_until,
};
use serde_json::json;
use std::{sync::Barrier, thread, time::Duration};

const LIMIT: Duration = Duration::from_secs(5);

const DAEMONS: usize = 3;

struct ShopSetup {
    plain: StandinProcess,
    cluster: TestCluster,
}

fn start() -> ShopSetup {
    let plain = StandinProcess::plain(&[]);
    let plan = ClusterPlan {
        daemons: DAEMONS,
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(&plan);
    cluster.declare(&[], &[plain.address()]);
    ShopSetup { plain, cluster }
}

/// A shop's client is impatient and sends the same charge to three daemons at once. The customer
/// must be charged once: each daemon answers with the outcome of the one run, or refuses.
#[test]
fn one_key_at_three_daemons_runs_once() {
    let setup = start();
    setup.plain.set_faults(&json!({"latency_ms": 150}));
    for round in 0..4 {
        let key = format!("key-{round}");
        let barrier = Barrier::new(DAEMONS);
        let charge = |daemon| {
            barrier.wait();
            setup
                .cluster
                .charge(daemon, &key)
                .send()
                .expect("an answer")
        };
        let replies: Vec<TestReply> = thread::scope(|scope| {
            let callers = (0..DAEMONS).map(|daemon| scope.spawn(move || charge(daemon)));
            let callers: Vec<_> = callers.collect();
            let joined = callers.into_iter().map(thread::ScopedJoinHandle::join);
            joined.map(|reply| reply.expect("a caller")).collect()
        });
        assert_eq!(setup.plain.runs().count("key", &key), 1);
        let served = replies.iter().filter(|reply| reply.status() == 200);
        assert!(served.count() >= 1, "nobody was told the outcome");
        for reply in replies.iter().filter(|reply| reply.status() == 200) {
            assert_eq!(reply.text(), "{\"euro\":3}");
        }
        // Until the outcome is recorded, a repeat is told to ask again.
        let repeat = wait_for("the recorded outcome", LIMIT, || {
            let repeat = setup.cluster.charge(round % DAEMONS, &key).send();
            repeat.ok().filter(|repeat| repeat.status() == 200)
        });
        assert_eq!(repeat.text(), "{\"euro\":3}");
        assert_eq!(setup.plain.runs().count("key", &key), 1);
    }
}

/// The service makes the charge and its answer gets lost. The caller must not be told that
/// nothing ran, and trying again with the same key anywhere must not charge again.
#[test]
fn a_charge_whose_answer_was_lost_is_not_repeated() {
    let setup = start();
    setup.plain.set_faults(&json!({"drop_answers": 1}));
    let first = setup
        .cluster
        .charge(0, "key-dropped")
        .send()
        .expect("an answer");
    assert!(first.status() >= 500, "{}", first.text());
    assert_eq!(first.json()["outcome"], "unknown", "{}", first.text());
    for daemon in 0..DAEMONS {
        let call = setup.cluster.charge(daemon, "key-dropped");
        let repeat = call.send().expect("an answer");
        assert!(repeat.status() >= 400, "{}", repeat.text());
    }
    assert_eq!(setup.plain.runs().count("key", "key-dropped"), 1);
}

/// The daemon dies after it has sent a charge and before its answer is back. The client tries
/// again at the others. Nobody knows whether the charge was made, so nobody may make it again.
#[test]
fn a_charge_of_a_killed_daemon_is_not_repeated() {
    let mut setup = start();
    setup.plain.set_faults(&json!({"latency_ms": 600}));
    let call = setup.cluster.charge(0, "key-killed");
    let caller = thread::spawn(move || call.send());
    wait_until("the running charge", LIMIT, || {
        setup.plain.runs().count("key", "key-killed") == 1
    });
    setup.cluster.daemons[0].kill();
    assert!(caller.join().expect("a caller").is_err());
    for daemon in 1..DAEMONS {
        let call = setup.cluster.charge(daemon, "key-killed");
        let repeat = call.send().expect("an answer");
        assert!(repeat.status() >= 400, "{}", repeat.text());
        assert_ne!(repeat.json()["outcome"], "not-run", "{}", repeat.text());
    }
    assert_eq!(setup.plain.runs().count("key", "key-killed"), 1);
}
