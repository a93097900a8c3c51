//! Runs membership in random schedules of faults, after which all daemons must agree again.

#[path = "fleet/network.rs"]
#[allow(dead_code)]
mod network;

use network::{FakeNetwork, host_name};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use savorywood_core::membership::{MembershipEvent, supersedes};
use savorywood_protocol::{
    ConfigRevision, HostIncarnation, HostName,
    peer::membership::{MemberState, MemberUpdate},
};
use std::{collections::BTreeSet, time::Duration};

const HOSTS: usize = 10;
const REGIONS: usize = 2;
const ZONES: usize = 2;

/// A fault of the schedule. The first number selects the host or its zone; the second of `Pause` is
/// in seconds, and `Loss` is in percent.
#[derive(Debug, Clone, Copy)]
enum FleetFault {
    Crash(u8),
    Restart(u8),
    Leave(u8),
    Pause(u8, u8),
    PartitionZone(u8),
    PartitionZoneOneWay(u8),
    HealPartitions,
    Loss(u8),
    StaleHostList,
}

impl Arbitrary for FleetFault {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = u8::arbitrary(g) % HOSTS as u8;
        match u8::arbitrary(g) % 9 {
            0 => Self::Crash(host),
            1 => Self::Restart(host),
            2 => Self::Leave(host),
            3 => Self::Pause(host, u8::arbitrary(g) % 20),
            4 => Self::PartitionZone(host),
            5 => Self::PartitionZoneOneWay(host),
            6 => Self::HealPartitions,
            7 => Self::Loss(u8::arbitrary(g) % 30),
            _ => Self::StaleHostList,
        }
    }
}

/// Injects a fault. `leaving` tracks the hosts that are leaving.
fn inject(network: &mut FakeNetwork, fault: FleetFault, leaving: &mut BTreeSet<HostName>) {
    match fault {
        FleetFault::Crash(number) => network.crash(&host_name(number.into())),
        FleetFault::Restart(number) => {
            let host = network.start(number.into(), REGIONS, ZONES);
            leaving.remove(&host);
            let list = network.host_list(&BTreeSet::new());
            network.step(&host, MembershipEvent::HostsListed(list));
        }
        FleetFault::Leave(number) => {
            let host = host_name(number.into());
            if network.hosts.contains_key(&host) {
                network.step(&host, MembershipEvent::Leaving);
                leaving.insert(host);
            }
        }
        FleetFault::Pause(number, seconds) => {
            let duration = Duration::from_secs(seconds.into());
            network.pause(&host_name(number.into()), duration);
        }
        FleetFault::PartitionZone(number) | FleetFault::PartitionZoneOneWay(number) => {
            let zone = network::place_of(number.into(), REGIONS, ZONES).zone;
            let inside = network.hosts_where(|place| place.zone == zone);
            let outside = network.hosts_where(|place| place.zone != zone);
            network.partition(&inside, &outside);
            if matches!(fault, FleetFault::PartitionZoneOneWay(_)) {
                network.faults.partitions.pop();
            }
        }
        FleetFault::HealPartitions => network.faults.partitions.clear(),
        FleetFault::Loss(percent) => network.faults.loss = f64::from(percent) / 100.0,
        FleetFault::StaleHostList => {
            let stale_list = network.host_list(&BTreeSet::new()).split_off(1);
            network.run(Duration::from_secs(5));
            let hosts: Vec<_> = network.hosts.keys().cloned().collect();
            for host in &hosts {
                network.step(host, MembershipEvent::HostsListed(stale_list.clone()));
            }
        }
    }
}

/// Returns whether every daemon lists exactly the serving hosts as alive, in every region that has
/// a serving host. A region without any looks the same as an unreachable one, so its members are
/// kept on purpose.
fn views_converged(network: &FakeNetwork, leaving: &BTreeSet<HostName>) -> bool {
    let serving = || {
        network
            .hosts
            .iter()
            .filter(|(host, _)| !leaving.contains(*host))
    };
    let regions: BTreeSet<_> = serving()
        .map(|(_, fake_host)| &fake_host.place.region)
        .collect();
    network.hosts.values().all(|fake_host| {
        let members = fake_host.membership.view().members.iter();
        let mut observed = members.filter(|(_, member)| regions.contains(&member.region));
        let live_members = observed
            .clone()
            .filter(|(_, m)| m.state == MemberState::Alive);
        let same_hosts = live_members
            .map(|(host, _)| host)
            .eq(serving().map(|(host, _)| host));
        same_hosts && !observed.any(|(_, member)| member.state == MemberState::Suspect)
    })
}

fn print_views(network: &FakeNetwork) {
    for (host, fake_host) in &network.hosts {
        let members = fake_host.membership.view().members.iter();
        let states: Vec<_> = members
            .map(|(other, m)| format!("{other}:{}", m.state))
            .collect();
        println!("at={host} zone={} states={states:?}", fake_host.place.zone);
    }
}

/// Hosts crash, restart, leave, pause and are partitioned in any order, while datagrams are lost,
/// duplicated and reordered. Once the network has recovered, every daemon must list exactly the
/// serving hosts; otherwise callers are sent to dead hosts, or a live host gets no callers.
#[test]
fn all_views_converge_once_the_network_recovers() {
    fn holds(seed: u64, faults: Vec<FleetFault>) -> bool {
        let mut network = FakeNetwork::fleet(seed, HOSTS, REGIONS, ZONES);
        network.faults.duplicates = 0.05;
        network.faults.jitter = Duration::from_millis(30);
        network.run(Duration::from_secs(3));
        let mut leaving = BTreeSet::new();
        for fault in faults.into_iter().take(12) {
            inject(&mut network, fault, &mut leaving);
            network.run(Duration::from_millis(1_500));
        }
        network.faults.partitions.clear();
        network.faults.loss = 0.0;
        network.run(Duration::from_secs(20));
        network.list_hosts(&BTreeSet::new());
        leaving.retain(|host| network.hosts.contains_key(host));
        let convergence_time = network.run_until(Duration::from_secs(300), |net| {
            views_converged(net, &leaving)
        });
        if convergence_time.is_none() {
            print_views(&network);
        }
        convergence_time.is_some()
    }
    let rounds = std::env::var("SAVORYWOOD_ROUNDS").ok();
    let rounds = rounds.and_then(|text| text.parse().ok()).unwrap_or(12);
    QuickCheck::new()
        .tests(rounds)
        .max_tests(rounds)
        .quickcheck(holds as fn(u64, Vec<FleetFault>) -> bool);
}

/// Updates of a member arrive over several paths in any order. Once a daemon has received that a
/// member leaves, no update of the same incarnation may list it as serving again.
#[test]
fn leaving_is_never_undone_within_an_incarnation() {
    fn holds(states: Vec<u8>, refutations: Vec<u32>) -> bool {
        let mut current = member_update(MemberState::Leaving, 0);
        for (state, refutation) in states.into_iter().zip(refutations) {
            let state = match state % 4 {
                0 => MemberState::Alive,
                1 => MemberState::Suspect,
                2 => MemberState::Leaving,
                _ => MemberState::Dead,
            };
            let received = member_update(state, refutation);
            // Updates after `Dead` are left out: only a refutation brings a member back, and a
            // leaving member refutes as leaving.
            if current.state == MemberState::Leaving && supersedes(&received, &current) {
                current = received;
            }
        }
        matches!(current.state, MemberState::Leaving | MemberState::Dead)
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<u8>, Vec<u32>) -> bool);
}

fn member_update(state: MemberState, refutation: u32) -> MemberUpdate {
    MemberUpdate {
        host: host_name(1),
        incarnation: HostIncarnation(1),
        refutation,
        state,
        config_revision: ConfigRevision(1),
        location: None,
    }
}
