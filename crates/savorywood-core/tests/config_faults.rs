//! Checks the configuration state under faults: several reducers share one in-memory table that
//! loses, delays and refuses calls.

#[path = "support/config_cluster.rs"]
mod config_cluster;
#[path = "support/fake_table.rs"]
mod fake_table;

use config_cluster::{ConfigCluster, FaultRates};
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_core::{
    DaemonEffect, EffectQueue, MemberView, OperatorReply,
    config::{ChangeList, ConfigEvent, ConfigOptions, ConfigState},
};
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostName, MonotonicTime, OutcomeKind, WallTime,
};
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

/// Checks that each reply to an operator agrees with what the table committed.
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
                "call {call} was committed {times} times, but its reply is {:?}",
                operator.reply
            ));
        }
    }
    Ok(())
}

/// Operators edit the same services through different hosts while the table loses responses before
/// or after the commit and applies some writes seconds late. A false refusal would make an operator
/// send the change again over a newer one; a false acceptance would hide a lost change. Each reply
/// must agree with the table for good, and all hosts must end with the newest revision in force.
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

/// Two operators change the same revision of a service with `If-Match`. Accepting both would
/// silently overwrite the first change.
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
    let winner = winner.expect("the conflict carries the accepted document");
    assert_eq!(winner.revision, Some(ConfigRevision(2)));
}

/// A change based on an old revision must be refused as a conflict, since accepting it would
/// silently undo the newer changes.
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

/// A peer's snapshot arrives after the table has delivered a newer revision. Applying it would put
/// a replaced configuration in force again.
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

/// A host restarts while the table is unavailable and first reaches only peers that lag behind.
/// Starting with their older configuration would accept a withdrawn token or use a drained
/// upstream. Even most peers can't confirm that nothing newer was accepted, so the host becomes
/// ready only after a read from the table.
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
        "the host became ready with the configuration of a lagging minority"
    );
    cluster.cut_off.clear();
    cluster.run(20 * SECOND);
    assert!(
        !cluster.nodes[2].is_ready(),
        "the host became ready without the table"
    );
    cluster.outage = false;
    cluster.run(10 * SECOND);
    assert!(cluster.nodes[2].is_ready());
    assert_eq!(cluster.nodes[2].view().revision, ConfigRevision(2));
    assert!(cluster.breaches.is_empty(), "{:?}", cluster.breaches);
}

/// The table is unavailable for an hour while all hosts reach each other. No change can be accepted
/// in that time, so every host must stay current, and operators must get a refusal that reports the
/// change as not run.
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
    answers_are_true(&cluster).expect("replies that agree with the table");
}

/// Two of seven hosts lose the table and the other five. Although they confirm each other, they
/// must stop being current within the allowed time, or they would go on serving a service that the
/// others have withdrawn.
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

/// One host reads a change from the table just before the table becomes unavailable. The others
/// must fetch it from that host, or hosts would treat the same caller differently for the length of
/// the outage.
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

/// With 350 daemons every change must be in force on all of them within 4 s, even when every
/// datagram is lost and only polling carries it. Polling must stay within its budget of table
/// calls, which leaves the rest of the table's capacity to the other duties.
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

/// A watcher lags behind the oldest retained change. It must get `Compacted` and list all resources
/// again, since the retained changes alone would hide the discarded ones.
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

/// A single host has no peers to confirm its configuration. Without the table it may miss changes
/// made through a host that it has not heard from, so it must stop being current.
#[test]
fn a_host_without_peers_is_not_confirmed_by_itself() {
    let mut cluster = ConfigCluster::new(1, 19, FaultRates::default());
    cluster.run(2 * SECOND);
    assert!(cluster.nodes[0].is_current(cluster.now()));
    cluster.outage = true;
    cluster.run(31 * SECOND);
    assert!(!cluster.nodes[0].is_current(cluster.now()));
}

/// The platform takes seconds to answer a read, and no other read begins meanwhile. A daemon that
/// wrote no line could not be told from one that stands still, and nobody would look at the platform.
#[test]
fn a_read_that_is_awaited_beyond_a_period_is_logged() {
    let host = HostName::new("host-0").expect("a name");
    let mut state = ConfigState::new(ConfigOptions::new(host, 1));
    let mut step = |at_ms: u64, event| {
        let now = CoreTime {
            monotonic: MonotonicTime(at_ms * 1_000),
            wall: WallTime(at_ms),
        };
        let mut effects = EffectQueue::new();
        state.step(now, event, &MemberView::default(), &mut effects);
        effects.drain().collect::<Vec<_>>()
    };
    let reads = |effects: &[DaemonEffect]| {
        let calls = effects.iter();
        calls
            .filter(|effect| matches!(effect, DaemonEffect::CallTable { .. }))
            .count()
    };
    let started = step(1, ConfigEvent::Started);
    assert_eq!(reads(&started), 1);
    let timer = started.iter().find_map(|effect| match effect {
        DaemonEffect::SetTimer { key, .. } => Some(key.number),
        _ => None,
    });
    let number = timer.expect("the timer of the next read");
    for second in 1..=5 {
        let effects = step(1_000 * second + 1, ConfigEvent::TimerFired { number });
        assert_eq!(reads(&effects), 0);
        let lines = effects.iter().filter_map(|effect| match effect {
            DaemonEffect::Log(line) => Some(line.to_string()),
            _ => None,
        });
        let expected = format!("event=config-read-awaited waited_ms={}", 1_000 * second);
        let lines: Vec<String> = lines.collect();
        assert!(
            lines.iter().any(|line| line.starts_with(&expected)),
            "{lines:?}"
        );
    }
}
