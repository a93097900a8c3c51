//! Failures of daemons and of the network between them, as the membership duty meets them.

#[path = "fleet/network.rs"]
#[allow(dead_code)]
mod network;

use network::{FakeNetwork, host_name};
use savorywood_core::membership::MembershipEvent;
use savorywood_protocol::{ConfigRevision, peer::membership::MemberState};
use std::{collections::BTreeSet, time::Duration};

fn settled(seed: u64, count: usize, regions: usize) -> FakeNetwork {
    let mut network = FakeNetwork::fleet(seed, count, regions, 4);
    let took = network.run_until(Duration::from_secs(20), FakeNetwork::agrees);
    assert!(took.is_some(), "the fleet never agreed");
    network
}

/// A host dies without a word, as when its power goes. Its callers get no answer, and until the
/// others notice, new callers are sent to it.
#[test]
fn a_dead_host_is_noticed() {
    let mut network = settled(1, 40, 2);
    let host = host_name(7);
    network.kill(&host);
    let limit = Duration::from_secs(12);
    let took = network.run_until(limit, |net| net.all_hold(&host, MemberState::Dead));
    assert!(took.is_some(), "some still hold {host} for alive");
}

/// A daemon is told to stop while the host list still calls it live and one datagram in ten is
/// lost. Callers that are sent to it meanwhile would meet a closed port.
#[test]
fn a_leaving_mark_reaches_all_within_three_seconds() {
    for seed in 0..5 {
        let mut network = settled(seed, 60, 2);
        network.faults.loss = 0.1;
        let host = network.random_host();
        network.step(&host, MembershipEvent::Leaving);
        let limit = Duration::from_secs(3);
        let took = network.run_until(limit, |net| net.all_hold(&host, MemberState::Leaving));
        assert!(
            took.is_some(),
            "seed {seed}: some still send callers to {host}"
        );
        network.list_hosts(&BTreeSet::new());
        network.run(Duration::from_secs(20));
        assert!(
            network.all_hold(&host, MemberState::Leaving),
            "the mark was taken back"
        );
    }
}

/// The platform's list comes back empty, or as it was before half of the hosts were started.
/// Were it believed, callers would get no address, or crowd onto the few that it names.
#[test]
fn a_wrong_host_list_does_not_empty_the_fleet() {
    let mut network = settled(3, 12, 1);
    let old: Vec<_> = network.host_list(&BTreeSet::new()).split_off(6);
    for number in 0..12 {
        network.step(&host_name(number), MembershipEvent::HostsListed(Vec::new()));
        network.step(
            &host_name(number),
            MembershipEvent::HostsListed(old.clone()),
        );
    }
    network.run(Duration::from_secs(5));
    assert!(network.agrees());
}

/// The platform announces that it takes a host away. Its daemon has not been told yet, and
/// callers that are still sent there lose their answers when the host goes.
#[test]
fn a_host_listed_as_leaving_is_believed() {
    let mut network = settled(4, 8, 1);
    let host = host_name(3);
    network.list_hosts(&BTreeSet::from([host.clone()]));
    assert!(network.all_hold(&host, MemberState::Leaving));
    let all = network.hosts.keys().cloned().collect();
    network.list_hosts(&all);
    assert!(
        network.all_hold(&host, MemberState::Alive),
        "a list that empties the fleet"
    );
}

/// The two regions lose each other for an hour, as happens now and then, and meanwhile a host
/// on the far side is replaced. If each side forgot the other, both would relearn half of the
/// fleet at once when the line comes back, and callers would see addresses come and go.
#[test]
fn a_cut_between_regions_does_not_churn() {
    let mut network = settled(5, 24, 2);
    let here = network.hosts_where(|place| place.region.as_str() == "a");
    let there = network.hosts_where(|place| place.region.as_str() == "b");
    network.cut(&here, &there);
    network.run(Duration::from_secs(1_800));
    let lost = host_name(5);
    assert!(there.contains(&lost));
    network.kill(&lost);
    network.run(Duration::from_secs(1_800));
    for host in &here {
        let far = there.iter().filter(|far| **far != lost);
        let states: BTreeSet<_> = far.map(|far| network.state_at(host, far)).collect();
        assert_eq!(states, BTreeSet::from([Some(MemberState::Alive)]));
    }
    let bridges = here.iter().filter(|host| {
        let membership = &network.hosts[*host].membership;
        !membership.unreachable_regions().is_empty()
    });
    assert_eq!(bridges.count(), 3);
    network.faults.cuts.clear();
    let took = network.run_until(Duration::from_secs(30), FakeNetwork::agrees);
    assert!(
        took.is_some(),
        "{:?}",
        network.state_at(&host_name(0), &lost)
    );
}

/// A switch cuts one zone off from the rest for a minute, and then only one way: the zone hears
/// but is not heard. Afterwards all must be members again, though each side took the other for
/// dead.
#[test]
fn a_cut_off_zone_comes_back() {
    let mut network = settled(6, 24, 1);
    let zone = network.hosts_where(|place| place.zone.as_str() == "a1");
    let rest = network.hosts_where(|place| place.zone.as_str() != "a1");
    network.cut(&zone, &rest);
    network.run(Duration::from_secs(60));
    network.faults.cuts.pop();
    network.run(Duration::from_secs(60));
    network.faults.cuts.clear();
    let took = network.run_until(Duration::from_secs(90), FakeNetwork::agrees);
    assert!(took.is_some(), "the zone is still held for dead");
}

/// A process stands still for twenty seconds, as under SIGSTOP or on a starved machine, and
/// wakes up with old news and overdue timers. It must not take the others for dead.
#[test]
fn a_paused_daemon_wakes_up_without_harm() {
    let mut network = settled(7, 20, 1);
    let host = host_name(4);
    network.pause(&host, Duration::from_secs(20));
    network.run(Duration::from_secs(19));
    assert!(network.all_hold(&host, MemberState::Dead));
    network.run(Duration::from_millis(1_200));
    let others = network.hosts.keys().filter(|other| **other != host);
    let dead = others.filter(|other| network.state_at(&host, other) == Some(MemberState::Dead));
    assert_eq!(dead.count(), 0);
    let took = network.run_until(Duration::from_secs(15), FakeNetwork::agrees);
    assert!(took.is_some(), "the paused daemon is still held for dead");
}

/// A host is started anew after its clock went back, so its incarnation is smaller than the one
/// that the others know. Nobody would believe it, and no caller would be sent there.
#[test]
fn a_smaller_incarnation_is_raised() {
    let mut network = settled(8, 10, 1);
    let host = host_name(2);
    network.kill(&host);
    network.run(Duration::from_secs(15));
    network.now.wall.0 -= 3_600_000;
    network.start(2, 1, 4);
    network.list_hosts(&BTreeSet::new());
    // The replay guard of a real daemon drops what comes under the old incarnation, so the
    // answer to this daemon's first ping is what tells it.
    let took = network.run_until(Duration::from_secs(30), FakeNetwork::agrees);
    assert!(took.is_some(), "the restarted daemon is not a member");
}

/// An operator's change is accepted on one daemon. All others must hear of it at once: the new
/// configuration has to be in force everywhere within four seconds.
#[test]
fn a_new_revision_is_heard_of_at_once() {
    let mut network = settled(9, 60, 2);
    network.faults.loss = 0.05;
    let host = network.random_host();
    network.step(&host, MembershipEvent::RevisionInForce(ConfigRevision(17)));
    let heard = |net: &FakeNetwork| {
        let mut hosts = net.hosts.values();
        hosts.all(|fake| fake.membership.newest_revision() == ConfigRevision(17))
    };
    let took = network.run_until(Duration::from_millis(1_500), heard);
    assert!(
        took.is_some(),
        "some have not heard of the new configuration"
    );
}

/// One host loses its own network for a minute: to it, everybody else is silent. If it judged,
/// it would come back with a table full of dead members, and callers that still reach it would
/// be sent to nobody else.
#[test]
fn an_isolated_daemon_judges_nobody() {
    let mut network = settled(10, 16, 1);
    let lone = BTreeSet::from([host_name(1)]);
    let rest = network.hosts_where(|place| place.caller_address.ip().to_string() != "10.0.0.2");
    assert_eq!(rest.len(), 15);
    network.cut(&lone, &rest);
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

/// After a power cut all daemons start within a moment and read the member table from one
/// another. If that used up their byte budgets, the pings that show them alive would be dropped,
/// and healthy daemons would be suspected by the dozen just when callers come back.
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
    let took = network.run_until(Duration::from_secs(30), FakeNetwork::agrees);
    assert!(took.is_some(), "some never learned of all");
}
