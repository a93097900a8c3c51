//! Checks membership when daemons fail and when the network between them fails.

#[path = "fleet/network.rs"]
#[allow(dead_code)]
mod network;

use network::{FakeNetwork, host_name};
use savorywood_core::membership::MembershipEvent;
use savorywood_protocol::{ConfigRevision, peer::membership::MemberState};
use std::{collections::BTreeSet, time::Duration};

/// Returns a fleet whose daemons agree on the members.
fn converged_fleet(seed: u64, count: usize, regions: usize) -> FakeNetwork {
    let mut network = FakeNetwork::fleet(seed, count, regions, 4);
    let took = network.run_until(Duration::from_secs(20), FakeNetwork::has_converged);
    assert!(took.is_some(), "the fleet did not converge within 20 s");
    network
}

/// A host crashes without a message, as on a power failure. Until the others detect it, new callers
/// are sent to it and get no response.
#[test]
fn a_crashed_host_is_detected() {
    let mut network = converged_fleet(1, 40, 2);
    let host = host_name(7);
    network.crash(&host);
    let limit = Duration::from_secs(12);
    let took = network.run_until(limit, |net| net.all_observe(&host, MemberState::Dead));
    assert!(took.is_some(), "some daemons still list {host} as alive");
}

/// A daemon begins to leave while the host list still lists it as live and one datagram in ten is
/// lost. Callers that are still sent to it would find a closed port.
#[test]
fn a_leaving_state_reaches_all_within_three_seconds() {
    for seed in 0..5 {
        let mut network = converged_fleet(seed, 60, 2);
        network.faults.loss = 0.1;
        let host = network.random_host();
        network.step(&host, MembershipEvent::Leaving);
        let limit = Duration::from_secs(3);
        let took = network.run_until(limit, |net| net.all_observe(&host, MemberState::Leaving));
        assert!(
            took.is_some(),
            "seed {seed}: some daemons do not list {host} as leaving"
        );
        network.list_hosts(&BTreeSet::new());
        network.run(Duration::from_secs(20));
        assert!(
            network.all_observe(&host, MemberState::Leaving),
            "the leaving state was undone"
        );
    }
}

/// The platform returns an empty host list, or one from before half of the hosts were started.
/// Following it would leave callers without an address, or send all of them to the few hosts that
/// it lists.
#[test]
fn a_wrong_host_list_does_not_empty_the_fleet() {
    let mut network = converged_fleet(3, 12, 1);
    let stale_list: Vec<_> = network.host_list(&BTreeSet::new()).split_off(6);
    for number in 0..12 {
        network.step(&host_name(number), MembershipEvent::HostsListed(Vec::new()));
        network.step(
            &host_name(number),
            MembershipEvent::HostsListed(stale_list.clone()),
        );
    }
    network.run(Duration::from_secs(5));
    assert!(network.has_converged());
}

/// The platform lists a host as leaving before its daemon begins to leave. Callers that are still
/// sent there lose their responses when the host is removed. A list that marks all hosts as leaving
/// must not be followed.
#[test]
fn a_host_listed_as_leaving_is_marked_leaving() {
    let mut network = converged_fleet(4, 8, 1);
    let host = host_name(3);
    network.list_hosts(&BTreeSet::from([host.clone()]));
    assert!(network.all_observe(&host, MemberState::Leaving));
    let all = network.hosts.keys().cloned().collect();
    network.list_hosts(&all);
    assert!(
        network.all_observe(&host, MemberState::Alive),
        "a list that marks all hosts as leaving was followed"
    );
}

/// Two regions are partitioned for an hour, and meanwhile a host on the far side is removed. If
/// each side removed the other, both would have to add half of the fleet again at once when the
/// partition ends, and the addresses that callers get would change twice.
#[test]
fn a_partition_between_regions_causes_no_churn() {
    let mut network = converged_fleet(5, 24, 2);
    let region_a = network.hosts_where(|place| place.region.as_str() == "a");
    let region_b = network.hosts_where(|place| place.region.as_str() == "b");
    network.partition(&region_a, &region_b);
    network.run(Duration::from_secs(1_800));
    let replaced = host_name(5);
    assert!(region_b.contains(&replaced));
    network.crash(&replaced);
    network.run(Duration::from_secs(1_800));
    for host in &region_a {
        let far = region_b.iter().filter(|far| **far != replaced);
        let states: BTreeSet<_> = far.map(|far| network.state_at(host, far)).collect();
        assert_eq!(states, BTreeSet::from([Some(MemberState::Alive)]));
    }
    let bridge_hosts = region_a.iter().filter(|host| {
        let membership = &network.hosts[*host].membership;
        !membership.unreachable_regions().is_empty()
    });
    assert_eq!(bridge_hosts.count(), 3);
    network.faults.partitions.clear();
    let took = network.run_until(Duration::from_secs(30), FakeNetwork::has_converged);
    assert!(
        took.is_some(),
        "{:?}",
        network.state_at(&host_name(0), &replaced)
    );
}

/// One zone is partitioned from the others for a minute, then one way only: the zone receives but
/// its messages are lost. Afterwards all must be members again, although each side took the other
/// for dead.
#[test]
fn a_partitioned_zone_rejoins() {
    let mut network = converged_fleet(6, 24, 1);
    let zone = network.hosts_where(|place| place.zone.as_str() == "a1");
    let rest = network.hosts_where(|place| place.zone.as_str() != "a1");
    network.partition(&zone, &rest);
    network.run(Duration::from_secs(60));
    network.faults.partitions.pop();
    network.run(Duration::from_secs(60));
    network.faults.partitions.clear();
    let took = network.run_until(Duration::from_secs(90), FakeNetwork::has_converged);
    assert!(took.is_some(), "the zone is still listed as dead");
}

/// A process is paused for 20 s, as by SIGSTOP or on an overloaded machine, and resumes with stale
/// messages and overdue timers. It must not declare the others dead.
#[test]
fn a_resumed_daemon_declares_nobody_dead() {
    let mut network = converged_fleet(7, 20, 1);
    let host = host_name(4);
    network.pause(&host, Duration::from_secs(20));
    network.run(Duration::from_secs(19));
    assert!(network.all_observe(&host, MemberState::Dead));
    network.run(Duration::from_millis(1_200));
    let others = network.hosts.keys().filter(|other| **other != host);
    let dead = others.filter(|other| network.state_at(&host, other) == Some(MemberState::Dead));
    assert_eq!(dead.count(), 0);
    let took = network.run_until(Duration::from_secs(15), FakeNetwork::has_converged);
    assert!(took.is_some(), "the paused daemon is still listed as dead");
}

/// A host restarts after its clock went back, so its incarnation is smaller than the one that the
/// others have recorded. Unless it is raised, the others ignore the host and no caller is sent
/// there.
#[test]
fn a_smaller_incarnation_is_raised() {
    let mut network = converged_fleet(8, 10, 1);
    let host = host_name(2);
    network.crash(&host);
    network.run(Duration::from_secs(15));
    network.now.wall.0 -= 3_600_000;
    network.start(2, 1, 4);
    network.list_hosts(&BTreeSet::new());
    // The replay guard drops what arrives under the old incarnation, so the daemon learns of it
    // from the response to its first ping.
    let took = network.run_until(Duration::from_secs(30), FakeNetwork::has_converged);
    assert!(took.is_some(), "the restarted daemon is not a member");
}

/// One daemon puts an accepted change in force. All others must receive its revision within 1.5 s,
/// since the configuration has to be in force everywhere within 4 s.
#[test]
fn a_new_revision_spreads_at_once() {
    let mut network = converged_fleet(9, 60, 2);
    network.faults.loss = 0.05;
    let host = network.random_host();
    network.step(&host, MembershipEvent::RevisionInForce(ConfigRevision(17)));
    let revision_received = |net: &FakeNetwork| {
        let mut hosts = net.hosts.values();
        hosts.all(|fake| fake.membership.newest_revision() == ConfigRevision(17))
    };
    let took = network.run_until(Duration::from_millis(1_500), revision_received);
    assert!(
        took.is_some(),
        "some daemons have not received the new revision"
    );
}

/// One host loses its network for a minute and receives no message. If it declared the others dead,
/// it would return with a table of dead members, and callers that still reach it would be sent to
/// no other host.
#[test]
fn an_isolated_daemon_declares_nobody_dead() {
    let mut network = converged_fleet(10, 16, 1);
    let isolated = BTreeSet::from([host_name(1)]);
    let rest = network.hosts_where(|place| place.caller_address.ip().to_string() != "10.0.0.2");
    assert_eq!(rest.len(), 15);
    network.partition(&isolated, &rest);
    network.run(Duration::from_secs(60));
    let states = rest
        .iter()
        .map(|host| network.state_at(&host_name(1), host));
    assert!(
        states
            .into_iter()
            .all(|state| state != Some(MemberState::Dead))
    );
}

/// After a power failure all daemons start within a moment and read the member table from each
/// other. If that used up their byte budgets, pings would be dropped, and live daemons would be
/// suspected just when callers return.
#[test]
fn a_whole_fleet_starts_at_once_without_suspicions() {
    let mut network = FakeNetwork::fleet(11, 100, 2, 4);
    for _ in 0..12 {
        network.run(Duration::from_secs(1));
        for fake in network.hosts.values() {
            let mut members = fake.membership.view().members.values();
            assert!(members.all(|member| member.state == MemberState::Alive));
        }
    }
    let took = network.run_until(Duration::from_secs(30), FakeNetwork::has_converged);
    assert!(
        took.is_some(),
        "some daemons did not list all members within 30 s"
    );
}
