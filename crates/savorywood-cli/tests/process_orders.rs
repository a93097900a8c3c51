//! Orders to engines, by holders of a lease that die or stand still.

use savorywood_testing::{
    ClusterPlan, OrderView, ProcessSignal, StandinProcess, TestCluster, TestDaemon, has_end_mark,
    wait_for, wait_until,
};
use serde_json::json;
use std::time::Duration;

/// A lease lapses (its term is 12 s) and is taken by another daemon, and an engine loads, well
/// within this time.
const LIMIT: Duration = Duration::from_secs(30);

struct OrderSetup {
    engines: Vec<StandinProcess>,
    cluster: TestCluster,
}

fn start() -> OrderSetup {
    let arguments = ["--model-version", "notes-v1", "--decode", "500"];
    let engines: Vec<_> = (0..2).map(|_| StandinProcess::engine(&arguments)).collect();
    let cluster = TestCluster::start(&ClusterPlan::default());
    cluster.declare(&[], &[]);
    cluster.apply("version", "notes-v2", &json!({"service": "notes"}));
    let setup = OrderSetup { engines, cluster };
    let first = setup.declare(0, 0, "notes-v1");
    let second = setup.declare(0, 1, "notes-v1");
    setup.cluster.wait_in_force(first.max(second));
    setup
}

impl OrderSetup {
    /// Declares through a daemon which version an engine is to run.
    fn declare(&self, daemon: usize, engine: usize, version: &str) -> u64 {
        let spec = json!({
            "address": self.engines[engine].address().to_string(),
            "service": "notes", "version": version, "zone": "zone-a",
            "extensions": ["orders", "resume", "cancel"], "checks_fencing": true,
        });
        let name = format!("engine-{engine}");
        let reply = self.cluster.put(daemon, "upstream", &name, &spec);
        assert_eq!(reply.status(), 200, "{}", reply.text());
        reply.json()["revision"].as_u64().expect("a revision")
    }

    fn wait_for_version(&self, engine: usize, version: &str) {
        let what = format!("engine {engine} at {version}");
        wait_until(&what, LIMIT, || {
            self.engines[engine].ready_version().as_deref() == Some(version)
        });
    }

    /// The daemon that gave the last order, by its log.
    fn holder(&self) -> usize {
        wait_for("a holder of the lease", LIMIT, || {
            let daemons = self.cluster.daemons.iter();
            let mut logs = daemons.map(TestDaemon::log);
            logs.position(|log| log.contains("event=lease-taken lease=orders"))
        })
    }

    fn assert_no_stale_order(&self, engine: usize) {
        let orders = self.engines[engine].orders();
        let stale = orders.iter().filter(|order| order.is_stale()).count();
        assert_eq!(stale, 0, "{orders:?}");
    }
}

/// An operator declares another version for an engine. The engine is told, loads it and says so;
/// requests are served by the other engine meanwhile.
#[test]
fn an_engine_is_told_to_run_the_declared_version() {
    let setup = start();
    setup.declare(1, 1, "notes-v2");
    setup.wait_for_version(1, "notes-v2");
    let answer = setup.cluster.chat(0, "hello", 5).send().expect("an answer");
    assert!(has_end_mark(&answer.body), "{}", answer.text());
    assert_eq!(
        setup.engines[0].ready_version().as_deref(),
        Some("notes-v1")
    );
    let orders = setup.engines[1].orders();
    let last = orders.last().expect("an order");
    assert_eq!(last.version(), Some("notes-v2"));
    assert!(last.fencing() > 0);
}

/// The daemon that gives the orders dies. Another one takes its lease and goes on with a larger
/// fencing number.
#[test]
fn another_daemon_gives_the_orders_of_a_dead_one() {
    let mut setup = start();
    setup.declare(0, 1, "notes-v2");
    setup.wait_for_version(1, "notes-v2");
    let before = setup.engines[1].orders().last().map(OrderView::fencing);
    let dead = setup.holder();
    setup.cluster.daemons[dead].kill();
    setup.declare(1 - dead, 1, "notes-v1");
    setup.wait_for_version(1, "notes-v1");
    let after = setup.engines[1].orders().last().map(OrderView::fencing);
    assert!(after > before, "{after:?} after {before:?}");
    setup.assert_no_stale_order(1);
}

/// The daemon that gives the orders stands still for longer than its lease and then goes on. By
/// then another one holds the lease, and the engine runs what that one ordered. The first must
/// notice that it holds nothing any more, before it gives an order.
#[test]
fn a_holder_that_stood_still_gives_no_order() {
    let setup = start();
    setup.declare(0, 1, "notes-v2");
    setup.wait_for_version(1, "notes-v2");
    let frozen = setup.holder();
    setup.cluster.daemons[frozen].signal(ProcessSignal::Stop);
    setup.declare(1 - frozen, 1, "notes-v1");
    setup.wait_for_version(1, "notes-v1");
    setup.cluster.daemons[frozen].signal(ProcessSignal::Continue);
    let revision = setup.cluster.daemons[1 - frozen]
        .revision()
        .expect("a revision");
    setup.cluster.wait_in_force(revision);
    std::thread::sleep(Duration::from_secs(2));
    setup.assert_no_stale_order(1);
    assert_eq!(
        setup.engines[1].ready_version().as_deref(),
        Some("notes-v1")
    );
}
