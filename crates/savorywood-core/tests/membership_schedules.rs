//! Random schedules of failures, after which all daemons must agree again.

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

#[derive(Debug, Clone, Copy)]
enum FleetMishap {
    Kill(u8),
    Restart(u8),
    Leave(u8),
    Pause(u8, u8),
    CutZone(u8),
    CutOneWay(u8),
    Heal,
    Loss(u8),
    OldList,
}

impl Arbitrary for FleetMishap {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = u8::arbitrary(g) % HOSTS as u8;
        match u8::arbitrary(g) % 9 {
            0 => Self::Kill(host),
            1 => Self::Restart(host),
            2 => Self::Leave(host),
            3 => Self::Pause(host, u8::arbitrary(g) % 20),
            4 => Self::CutZone(host),
            5 => Self::CutOneWay(host),
            6 => Self::Heal,
            7 => Self::Loss(u8::arbitrary(g) % 30),
            _ => Self::OldList,
        }
    }
}

fn apply(network: &mut FakeNetwork, mishap: FleetMishap, leaving: &mut BTreeSet<HostName>) {
    match mishap {
        FleetMishap::Kill(number) => network.kill(&host_name(number.into())),
        FleetMishap::Restart(number) => {
            let host = network.start(number.into(), REGIONS, ZONES);
            leaving.remove(&host);
            let list = network.host_list(&BTreeSet::new());
            network.step(&host, MembershipEvent::HostsListed(list));
        }
        FleetMishap::Leave(number) => {
            let host = host_name(number.into());
            if network.hosts.contains_key(&host) {
                network.step(&host, MembershipEvent::Leaving);
                leaving.insert(host);
            }
        }
        FleetMishap::Pause(number, seconds) => {
            let duration = Duration::from_secs(seconds.into());
            network.pause(&host_name(number.into()), duration);
        }
        FleetMishap::CutZone(number) | FleetMishap::CutOneWay(number) => {
            let zone = network::place_of(number.into(), REGIONS, ZONES).zone;
            let inside = network.hosts_where(|place| place.zone == zone);
            let outside = network.hosts_where(|place| place.zone != zone);
            network.cut(&inside, &outside);
            if matches!(mishap, FleetMishap::CutOneWay(_)) {
                network.faults.cuts.pop();
            }
        }
        FleetMishap::Heal => network.faults.cuts.clear(),
        FleetMishap::Loss(percent) => network.faults.loss = f64::from(percent) / 100.0,
        FleetMishap::OldList => {
            let old = network.host_list(&BTreeSet::new()).split_off(1);
            network.run(Duration::from_secs(5));
            let hosts: Vec<_> = network.hosts.keys().cloned().collect();
            for host in &hosts {
                network.step(host, MembershipEvent::HostsListed(old.clone()));
            }
        }
    }
}

/// Whether all know who serves, in every region where somebody is left to serve: a region that
/// is gone as a whole can't be told from one that is cut off, and is kept on purpose.
fn agree(network: &FakeNetwork, leaving: &BTreeSet<HostName>) -> bool {
    let serving = || {
        network
            .hosts
            .iter()
            .filter(|(host, _)| !leaving.contains(*host))
    };
    let regions: BTreeSet<_> = serving().map(|(_, fake)| &fake.place.region).collect();
    network.hosts.values().all(|fake| {
        let members = fake.membership.view().members.iter();
        let mut held = members.filter(|(_, member)| regions.contains(&member.region));
        let alive = held.clone().filter(|(_, m)| m.state == MemberState::Alive);
        let same = alive
            .map(|(host, _)| host)
            .eq(serving().map(|(host, _)| host));
        same && !held.any(|(_, member)| member.state == MemberState::Suspect)
    })
}

fn print_views(network: &FakeNetwork) {
    for (host, fake) in &network.hosts {
        let members = fake.membership.view().members.iter();
        let states: Vec<_> = members
            .map(|(other, m)| format!("{other}:{}", m.state))
            .collect();
        println!("at={host} zone={} states={states:?}", fake.place.zone);
    }
}

/// Hosts die, come back, leave, stand still and lose one another in any order, while datagrams
/// are lost, doubled and reordered. Once the network is whole, every daemon must again know
/// exactly who serves; otherwise callers are sent to dead hosts or a live one stands idle.
#[test]
fn all_agree_once_the_network_is_whole() {
    fn holds(seed: u64, mishaps: Vec<FleetMishap>) -> bool {
        let mut network = FakeNetwork::fleet(seed, HOSTS, REGIONS, ZONES);
        network.faults.duplicates = 0.05;
        network.faults.jitter = Duration::from_millis(30);
        network.run(Duration::from_secs(3));
        let mut leaving = BTreeSet::new();
        for mishap in mishaps.into_iter().take(12) {
            apply(&mut network, mishap, &mut leaving);
            network.run(Duration::from_millis(1_500));
        }
        network.faults.cuts.clear();
        network.faults.loss = 0.0;
        network.run(Duration::from_secs(20));
        network.list_hosts(&BTreeSet::new());
        leaving.retain(|host| network.hosts.contains_key(host));
        let whole = network.run_until(Duration::from_secs(300), |net| agree(net, &leaving));
        if whole.is_none() {
            print_views(&network);
        }
        whole.is_some()
    }
    let rounds = std::env::var("SAVORYWOOD_ROUNDS").ok();
    let rounds = rounds.and_then(|text| text.parse().ok()).unwrap_or(12);
    QuickCheck::new()
        .tests(rounds)
        .max_tests(rounds)
        .quickcheck(holds as fn(u64, Vec<FleetMishap>) -> bool);
}

/// News of a member takes many ways and comes in any order. Whatever a daemon hears first, once
/// it has heard that a member leaves, nothing of the same life may make it serve again.
#[test]
fn leaving_is_never_undone_within_a_life() {
    fn holds(states: Vec<u8>, refutations: Vec<u32>) -> bool {
        let mut held = news(MemberState::Leaving, 0);
        for (state, refutation) in states.into_iter().zip(refutations) {
            let state = match state % 4 {
                0 => MemberState::Alive,
                1 => MemberState::Suspect,
                2 => MemberState::Leaving,
                _ => MemberState::Dead,
            };
            let heard = news(state, refutation);
            // What comes after death is another matter: only a refutation brings a member back,
            // and a leaving one refutes as leaving.
            if held.state == MemberState::Leaving && supersedes(&heard, &held) {
                held = heard;
            }
        }
        matches!(held.state, MemberState::Leaving | MemberState::Dead)
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<u8>, Vec<u32>) -> bool);
}

fn news(state: MemberState, refutation: u32) -> MemberUpdate {
    MemberUpdate {
        host: host_name(1),
        incarnation: HostIncarnation(1),
        refutation,
        state,
        config_revision: ConfigRevision(1),
        place: None,
    }
}
