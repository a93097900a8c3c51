//! Claims of idempotency keys while the platform is out or loses answers.

use savorywood_testing::{
    ClusterPlan, StandinProcess, TestCluster, TestReply, has_end_mark, wait_for, wait_until,
};
use serde_json::json;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(8);

struct ShopSetup {
    _engine: StandinProcess,
    plain: StandinProcess,
    cluster: TestCluster,
}

fn start() -> ShopSetup {
    let engine = StandinProcess::engine(&["--decode", "500"]);
    let plain = StandinProcess::plain(&[]);
    let cluster = TestCluster::start(&ClusterPlan::default());
    cluster.declare(&[engine.address()], &[plain.address()]);
    ShopSetup {
        _engine: engine,
        plain,
        cluster,
    }
}

impl ShopSetup {
    fn charge(&self, daemon: usize, key: &str) -> TestReply {
        self.cluster.charge(daemon, key).send().expect("an answer")
    }

    fn assert_charge_is_refused(&self, key: &str) {
        let refused = self.charge(0, key);
        assert_eq!(refused.status(), 503, "{}", refused.text());
        assert_eq!(refused.json()["outcome"], "not-run", "{}", refused.text());
        assert_eq!(self.plain.runs().count("key", key), 0);
    }

    fn assert_chat_is_served(&self, daemon: usize) {
        let answer = self
            .cluster
            .chat(daemon, "hello", 5)
            .send()
            .expect("an answer");
        assert!(has_end_mark(&answer.body), "{}", answer.text());
    }
}

/// The table service refuses every call, or takes calls and never answers. Model requests go on.
/// A charge can't be claimed, so it is refused and has truly not run; after the outage the same
/// key runs, once.
#[test]
fn model_requests_go_on_and_charges_are_refused_during_an_outage() {
    let setup = start();
    for outage in ["refuse", "hang"] {
        setup
            .cluster
            .platform
            .set_faults(&json!({"outage": outage}));
        let key = format!("key-{outage}");
        setup.assert_charge_is_refused(&key);
        setup.assert_chat_is_served(0);
        setup.assert_chat_is_served(1);
        setup.cluster.platform.set_faults(&json!({}));
        wait_until("the charge after the outage", LIMIT, || {
            setup.charge(1, &key).status() == 200
        });
        assert_eq!(setup.plain.runs().count("key", &key), 1);
    }
}

/// The table takes a claim and its answer gets lost. The daemon reads back, finds its own claim
/// and goes on: the charge runs once and is answered. A repeat gets the same answer and runs
/// nothing. Without the reading back, nobody could ever run or repeat this charge.
#[test]
fn a_charge_whose_claim_lost_its_answer_runs_once() {
    let setup = start();
    setup
        .cluster
        .platform
        .set_faults(&json!({"lose_answers": 1}));
    let first = setup.charge(0, "key-lost");
    assert_eq!(first.status(), 200, "{}", first.text());
    assert_eq!(first.text(), "{\"euro\":3}");
    // Until the outcome is recorded, a repeat is told to ask again.
    let repeat = wait_for("the recorded outcome", LIMIT, || {
        let repeat = setup.charge(1, "key-lost");
        (repeat.status() == 200).then_some(repeat)
    });
    assert_eq!(repeat.text(), "{\"euro\":3}");
    assert_eq!(setup.plain.runs().count("key", "key-lost"), 1);
}
