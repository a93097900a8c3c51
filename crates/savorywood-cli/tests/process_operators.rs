//! Operators that race each other.

use savorywood_testing::{ClusterPlan, OPERATOR_TOKEN, TestCall, TestCluster};
use serde_json::{Value, json};
use std::{sync::Barrier, thread};

/// Races, so that both orders come about.
const ROUNDS: u64 = 6;

/// Two operators have read the same tier and edit it at the same moment through two daemons. One
/// of them wins. The other must be told, with the winner's resource, and its edit must be nowhere.
#[test]
fn of_two_racing_edits_one_wins_and_the_other_is_told() {
    let cluster = TestCluster::start(&ClusterPlan::default());
    cluster.apply("tier", "usual", &json!({"rank": 1}));
    for round in 0..ROUNDS {
        let seen = cluster.get(0, "tier", "usual").json();
        let revision = seen["revision"].as_u64().expect("a revision");
        cluster.wait_in_force(revision);
        let barrier = Barrier::new(2);
        let edit = |daemon: usize| {
            let rank = 10 + 2 * round + daemon as u64;
            let address = cluster.daemons[daemon].callers();
            let call = edit_call(rank).at(address, revision);
            barrier.wait();
            let reply = call.send().expect("an answer");
            EditOutcome {
                rank,
                status: reply.status(),
                body: reply.json(),
            }
        };
        let outcomes = thread::scope(|scope| {
            let other = scope.spawn(|| edit(1));
            [edit(0), other.join().expect("an operator")]
        });
        check_round(&cluster, &outcomes);
    }
}

struct EditOutcome {
    rank: u64,
    status: u16,
    body: Value,
}

struct EditBody(String);

fn edit_call(rank: u64) -> EditBody {
    let body = json!({"kind": "tier", "name": "usual", "spec": {"rank": rank}});
    EditBody(body.to_string())
}

impl EditBody {
    fn at(self, address: std::net::SocketAddr, revision: u64) -> TestCall {
        let call = TestCall::put(address, "/v1/resources/tier/usual", self.0);
        let matched = format!("\"{revision}\"");
        call.token(OPERATOR_TOKEN).header("If-Match", &matched)
    }
}

fn check_round(cluster: &TestCluster, outcomes: &[EditOutcome; 2]) {
    let winners = outcomes.iter().filter(|outcome| outcome.status == 200);
    let winners: Vec<_> = winners.collect();
    let bodies = (&outcomes[0].body, &outcomes[1].body);
    assert_eq!(winners.len(), 1, "{bodies:?}");
    let losers = outcomes.iter().filter(|outcome| outcome.status == 409);
    let losers: Vec<_> = losers.collect();
    assert_eq!(losers.len(), 1, "{bodies:?}");
    let won = winners[0];
    let told = &losers[0].body["current"]["spec"]["rank"];
    assert_eq!(told, won.rank, "{}", losers[0].body);
    let revision = won.body["revision"].as_u64().expect("a revision");
    cluster.wait_in_force(revision);
    for daemon in 0..2 {
        let tier = cluster.get(daemon, "tier", "usual").json();
        assert_eq!(tier["spec"]["rank"], won.rank, "{tier}");
    }
}
