//! Failures of the configuration duty, brought about with several reducers and one fake table.

#[path = "support/config_cluster.rs"]
mod config_cluster;
#[path = "support/fake_table.rs"]
mod fake_table;

use config_cluster::{ConfigCluster, FaultRates};
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_core::{OperatorReply, config::ChangeList};
use savorywood_protocol::{ConfigRevision, OutcomeKind};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn random_faults() -> FaultRates {
    FaultRates {
        lost_responses: 15,
        lost_requests: 10,
        late_writes: 10,
        refused_calls: 10,
        dropped_messages: 20,
    }
}

/// Checks each operator's answer against what the table really holds.
fn answers_are_true(cluster: &ConfigCluster) -> Result<(), String> {
    let committed = cluster.committed_marks();
    for (call, operator) in &cluster.operators {
        let times = committed
            .iter()
            .filter(|mark| **mark == operator.mark)
            .count();
        let is_consistent = match &operator.reply {
            Some(OperatorReply::Accepted { .. }) => times == 1,
            Some(OperatorReply::Refused(refusal)) => {
                times == 0 || (times == 1 && refusal.outcome == OutcomeKind::Unknown)
            }
            Some(_) => times == 0,
            None => false,
        };
        if !is_consistent {
            return Err(format!(
                "call {call} took effect {times} times: {:?}",
                operator.reply
            ));
        }
    }
    Ok(())
}

/// Two operators edit the same service through different hosts while the table loses answers, some
/// of them after the write took effect, some before, and some writes land seconds later. An
/// operator who is told "refused" would send the change again over a newer one; one who is told
/// "accepted" would rely on what is not there. Each answer must agree with the table for good,
/// and all hosts must end with the same configuration.
fn racing_operators(seed: u64) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = ConfigCluster::new(4, seed, random_faults());
    cluster.run(2 * SECOND);
    for _ in 0..12 {
        for _ in 0..rng.random_range(1..4) {
            let node = rng.random_range(0..4);
            let service = format!("service-{}", rng.random_range(0..3));
            cluster.write_service(node, &service, None);
        }
        if rng.random_range(0..6) == 0 {
            cluster.outage = !cluster.outage;
        }
        cluster.run(Duration::from_millis(rng.random_range(1..2_000)));
    }
    cluster.outage = false;
    cluster.run(30 * SECOND);
    cluster.fault_rates = FaultRates::default();
    cluster.run(20 * SECOND);
    answers_are_true(&cluster)?;
    if !cluster.breaches.is_empty() {
        return Err(cluster.breaches.join("; "));
    }
    let newest = ConfigRevision(cluster.table.history.len() as u64);
    let in_force = cluster.in_force();
    if in_force.iter().any(|revision| *revision != newest) {
        return Err(format!("in force {in_force:?}, committed {newest}"));
    }
    Ok(())
}

quickcheck! {
    fn operators_race_over_a_faulty_table(seed: u64) -> Result<(), String> {
        racing_operators(seed)
    }
}

/// Two operators read the same revision of a service and both send a change with `If-Match`. If both
/// were accepted, the first one's change would be gone without anybody being told.
#[test]
fn one_of_two_racing_operators_gets_a_conflict() {
    let mut cluster = ConfigCluster::new(2, 1, FaultRates::default());
    cluster.run(SECOND);
    cluster.write_service(0, "shop", Some(ConfigRevision(0)));
    cluster.run(3 * SECOND);
    let first = cluster.write_service(0, "shop", Some(ConfigRevision(1)));
    let second = cluster.write_service(1, "shop", Some(ConfigRevision(1)));
    cluster.run(3 * SECOND);
    let replies = [first, second].map(|call| cluster.operators[&call].reply.clone());
    let accepted = replies
        .iter()
        .filter(|reply| matches!(reply, Some(OperatorReply::Accepted { .. })));
    assert_eq!(accepted.count(), 1, "{replies:?}");
    let winner = replies.iter().find_map(|reply| match reply {
        Some(OperatorReply::Conflict { current }) => current.as_ref(),
        _ => None,
    });
    let winner = winner.expect("the other one is told of the winner");
    assert_eq!(winner.revision, Some(ConfigRevision(2)));
}

/// An operator kept a page open over the week-end and sends a change made to an old revision.
/// Accepting it would undo what was changed since, without anybody being told.
#[test]
fn a_change_to_an_old_revision_is_a_conflict() {
    let mut cluster = ConfigCluster::new(2, 23, FaultRates::default());
    cluster.run(SECOND);
    cluster.write_service(0, "shop", None);
    cluster.run(4 * SECOND);
    cluster.write_service(1, "shop", None);
    cluster.run(4 * SECOND);
    let stale_write = cluster.write_service(0, "shop", Some(ConfigRevision(1)));
    cluster.run(4 * SECOND);
    let reply = &cluster.operators[&stale_write].reply;
    assert!(
        matches!(reply, Some(OperatorReply::Conflict { .. })),
        "{reply:?}"
    );
}

/// A snapshot was asked of a peer that answers slowly; by the time it comes the table has given a
/// newer revision. Taking it would put a replaced configuration in force again.
#[test]
fn a_late_snapshot_does_not_undo_what_the_table_gave() {
    let mut cluster = ConfigCluster::new(2, 29, FaultRates::default());
    cluster.run(SECOND);
    cluster.write_service(0, "shop", None);
    cluster.run(4 * SECOND);
    let old = cluster.nodes[1].snapshot();
    cluster.write_service(0, "shop", None);
    cluster.run(4 * SECOND);
    cluster.deliver_snapshot(0, 1, old);
    assert_eq!(cluster.in_force()[0], ConfigRevision(2));
    assert!(cluster.breaches.is_empty(), "{:?}", cluster.breaches);
}

/// A host restarts while the table is down, and the only peer that it asks first is one that lags.
/// Were it to begin with that peer's older configuration, callers would meet a withdrawn token or
/// a drained upstream again for some seconds. Also when it reaches most peers none of them can
/// say that nothing newer was accepted: it begins once the table says so.
#[test]
fn a_restarted_host_never_begins_with_an_older_revision() {
    let mut cluster = ConfigCluster::new(5, 7, FaultRates::default());
    cluster.run(SECOND);
    cluster.write_service(0, "shop", None);
    cluster.run(4 * SECOND);
    cluster.cut_off = vec![3, 4];
    cluster.write_service(0, "shop", None);
    cluster.run(4 * SECOND);
    cluster.outage = true;
    cluster.cut_off = vec![0, 1];
    cluster.restart(2);
    cluster.run(10 * SECOND);
    assert!(
        !cluster.nodes[2].is_ready(),
        "a lagging minority was believed"
    );
    cluster.cut_off.clear();
    cluster.run(20 * SECOND);
    assert!(!cluster.nodes[2].is_ready(), "peers alone were believed");
    cluster.outage = false;
    cluster.run(10 * SECOND);
    assert!(cluster.nodes[2].is_ready());
    assert_eq!(cluster.nodes[2].view().revision, ConfigRevision(2));
    assert!(cluster.breaches.is_empty(), "{:?}", cluster.breaches);
}

/// The table is down for an hour and all hosts still reach each other. Nothing can be accepted in
/// that time, so callers should notice nothing; operators get a refusal that is true.
#[test]
fn an_outage_of_an_hour_stops_no_host_that_peers_confirm() {
    let mut cluster = ConfigCluster::new(7, 3, FaultRates::default());
    cluster.write_service(0, "shop", None);
    cluster.run(5 * SECOND);
    cluster.outage = true;
    for _ in 0..60 {
        cluster.run(60 * SECOND);
        let now = cluster.now();
        assert!(cluster.nodes.iter().all(|node| node.is_current(now)));
    }
    let call = cluster.write_service(0, "shop", None);
    cluster.run(15 * SECOND);
    let reply = cluster.operators[&call].reply.clone();
    let Some(OperatorReply::Refused(refusal)) = reply else {
        panic!("expected a refusal, got {reply:?}");
    };
    assert_eq!(refusal.outcome, OutcomeKind::NotRun);
    cluster.outage = false;
    cluster.run(15 * SECOND);
    answers_are_true(&cluster).expect("true answers");
}

/// Two of seven hosts lose the table and the other five at once. They still confirm each other,
/// and a service that was withdrawn on the others would go on being served by them for hours. They
/// must know within the allowed time that they can't be sure.
#[test]
fn a_cut_off_minority_knows_that_it_may_be_old() {
    let mut cluster = ConfigCluster::new(7, 5, FaultRates::default());
    cluster.write_service(0, "shop", None);
    cluster.run(5 * SECOND);
    cluster.cut_off = vec![5, 6];
    cluster.run(2 * SECOND);
    cluster.write_service(0, "shop", None);
    cluster.run(35 * SECOND);
    let now = cluster.now();
    let current: Vec<_> = cluster
        .nodes
        .iter()
        .map(|node| node.is_current(now))
        .collect();
    assert_eq!(current, [true, true, true, true, true, false, false]);
    cluster.cut_off.clear();
    cluster.run(4 * SECOND);
    let now = cluster.now();
    assert!(cluster.nodes.iter().all(|node| node.is_current(now)));
    assert!(cluster.in_force().iter().all(|r| *r == ConfigRevision(2)));
}

/// One host takes a change from the table just before the table goes down. The others hear of it
/// and must get it from that host, or the same caller would be treated in two ways for as long as
/// the outage lasts.
#[test]
fn a_change_spreads_from_a_peer_while_the_table_is_down() {
    let mut cluster = ConfigCluster::new(7, 11, FaultRates::default());
    cluster.run(2 * SECOND);
    let call = cluster.write_service(0, "shop", None);
    while cluster.operators[&call].reply.is_none() {
        cluster.run(Duration::from_millis(1));
    }
    cluster.outage = true;
    cluster.run(4 * SECOND);
    assert!(cluster.in_force().iter().all(|r| *r == ConfigRevision(1)));
}

/// With 350 daemons every change must be in force everywhere within 4 s, also when every datagram
/// is lost and only polling carries it, and polling must leave the table to the other duties.
#[test]
fn polling_alone_reaches_all_of_350_daemons_within_its_budget() {
    let fault_rates = FaultRates {
        dropped_messages: 100,
        ..FaultRates::default()
    };
    let mut cluster = ConfigCluster::new(350, 13, fault_rates);
    cluster.run(25 * SECOND);
    for revision in 1..=2 {
        let before = cluster.table_calls;
        cluster.write_service(0, "shop", None);
        cluster.run(4 * SECOND);
        let revision = ConfigRevision(revision);
        assert!(cluster.in_force().iter().all(|r| *r == revision));
        let calls = cluster.table_calls - before;
        assert!(calls <= 4 * 160 + 10, "{calls} calls in 4 s");
        cluster.run(3 * SECOND);
    }
}

/// A watcher was away for longer than changes are kept. Were it to get only what is left, it would
/// miss changes without knowing; it is told to list all resources anew.
#[test]
fn a_watcher_that_lags_too_far_is_told_to_list_anew() {
    let mut cluster = ConfigCluster::new(1, 17, FaultRates::default());
    cluster.run(SECOND);
    for _ in 0..1_100 {
        cluster.write_service(0, "shop", None);
        cluster.run(Duration::from_millis(60));
    }
    let node = &cluster.nodes[0];
    let compacted = node.changes_since(ConfigRevision(1));
    assert!(matches!(compacted, ChangeList::Compacted { .. }));
    let ChangeList::Changes(changes) = node.changes_since(ConfigRevision(1_090)) else {
        panic!("the newest changes are kept");
    };
    let revisions: Vec<_> = changes.iter().map(|change| change.revision.0).collect();
    assert_eq!(revisions, (1_091..=1_100).collect::<Vec<_>>());
}

/// A single host has no peers. Without the table it can't know whether an operator changed
/// something through a host that it has not heard of, and must not go on as if it knew.
#[test]
fn a_host_without_peers_is_not_confirmed_by_itself() {
    let mut cluster = ConfigCluster::new(1, 19, FaultRates::default());
    cluster.run(2 * SECOND);
    assert!(cluster.nodes[0].is_current(cluster.now()));
    cluster.outage = true;
    cluster.run(31 * SECOND);
    assert!(!cluster.nodes[0].is_current(cluster.now()));
}
