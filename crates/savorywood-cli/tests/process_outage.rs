//! The platform is out, or loses answers.

use savorywood_testing::{
    ClusterPlan, StandinProcess, TestCluster, has_end_mark, wait_for, wait_until,
};
use serde_json::json;
use std::{thread, time::Duration};

const LIMIT: Duration = Duration::from_secs(8);

/// An outage that is longer than every timeout of a daemon towards the platform.
const LONG_OUTAGE: Duration = Duration::from_secs(5);

struct OutageSetup {
    engine: StandinProcess,
    cluster: TestCluster,
}

fn start() -> OutageSetup {
    let engine = StandinProcess::engine(&["--decode", "500"]);
    let cluster = TestCluster::start(&ClusterPlan::default());
    cluster.declare(&[engine.address()], &[]);
    OutageSetup { engine, cluster }
}

impl OutageSetup {
    fn assert_chat_is_served(&self, daemon: usize) {
        let answer = self
            .cluster
            .chat(daemon, "hello", 5)
            .send()
            .expect("an answer");
        assert!(has_end_mark(&answer.body), "{}", answer.text());
    }
}

/// The table service refuses every call, or takes calls and never answers. Model requests go on
/// at every daemon.
#[test]
fn model_requests_go_on_during_an_outage() {
    let setup = start();
    for outage in ["refuse", "hang"] {
        setup
            .cluster
            .platform
            .set_faults(&json!({"outage": outage}));
        for daemon in [0, 1, 0, 1] {
            setup.assert_chat_is_served(daemon);
        }
        setup.cluster.platform.set_faults(&json!({}));
    }
    assert_eq!(setup.engine.runs().total(), 8);
}

/// The table service refuses every call, or takes calls and never answers, and an operator edits
/// a resource. The operator is told that it was not accepted, and after the outage it is not in
/// force anywhere.
#[test]
fn no_change_is_accepted_during_an_outage() {
    let setup = start();
    for outage in ["refuse", "hang"] {
        setup
            .cluster
            .platform
            .set_faults(&json!({"outage": outage}));
        let change = setup.cluster.put(0, "tier", "usual", &json!({"rank": 9}));
        assert_ne!(change.status(), 200, "{}", change.text());
        setup.cluster.platform.set_faults(&json!({}));
        let accepted = wait_for("a change after the outage", LIMIT, || {
            let change = setup.cluster.put(0, "tier", "urgent", &json!({"rank": 0}));
            change.json()["revision"].as_u64()
        });
        setup.cluster.wait_in_force(accepted);
        for daemon in 0..2 {
            let tier = setup.cluster.get(daemon, "tier", "usual").json();
            assert_eq!(tier["spec"]["rank"], 1, "{tier}");
        }
    }
}

/// The table service is out for long and a daemon is replaced meanwhile. Its last life may have
/// been the only one with the newest configuration, so no peer can tell the new one what is in
/// force. Callers get a refusal that says that nothing ran, and are served by the other daemon;
/// after the outage both serve, at no older revision.
#[test]
fn a_daemon_that_starts_during_a_long_outage_waits_for_the_table() {
    let mut setup = start();
    let revision = setup.cluster.daemons[0].revision().expect("a revision");
    setup
        .cluster
        .platform
        .set_faults(&json!({"outage": "refuse"}));
    setup.cluster.daemons[1].kill();
    setup.cluster.daemons[1].start();
    thread::sleep(LONG_OUTAGE);
    setup.assert_chat_is_served(0);
    let refused = setup.cluster.chat(1, "hello", 5).send().expect("an answer");
    assert_eq!(refused.status(), 503, "{}", refused.text());
    assert_eq!(refused.json()["outcome"], "not-run", "{}", refused.text());
    setup.cluster.platform.set_faults(&json!({}));
    wait_until("both daemons agree", LIMIT, || {
        let daemons = setup.cluster.daemons.iter();
        let mut revisions = daemons.map(savorywood_testing::TestDaemon::revision);
        revisions.all(|at| at.is_some_and(|at| at >= revision))
    });
    setup.assert_chat_is_served(0);
    setup.assert_chat_is_served(1);
    assert_eq!(
        setup.engine.runs().repeated_requests(),
        Vec::<String>::new()
    );
}

/// The table takes a change and its answer gets lost. The daemon must read back before it tells
/// the operator anything: a change that is told as refused would be in force all the same.
#[test]
fn a_change_whose_answer_is_lost_is_read_back() {
    let setup = start();
    setup
        .cluster
        .platform
        .set_faults(&json!({"lose_answers": 1}));
    let spec = json!({"rank": 3});
    let reply = setup.cluster.put(0, "tier", "usual", &spec);
    let told_accepted = reply.status() == 200;
    let told_refused = reply.json()["outcome"] == "not-run";
    assert!(told_accepted || !told_refused, "{}", reply.text());
    wait_until("the change at both daemons", LIMIT, || {
        (0..2).all(|daemon| {
            let tier = setup.cluster.get(daemon, "tier", "usual").json();
            tier["spec"]["rank"] == 3
        })
    });
}
