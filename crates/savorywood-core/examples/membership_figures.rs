//! Measures membership and credits of a whole fleet in one thread, without sockets.
//!
//! Run `cargo run --release -p savorywood-core --example membership_figures` and compare with
//! `docs/measurements/membership.md`. Times are simulated ones, but for the processor time.

#[path = "../tests/credit/fleet.rs"]
#[allow(dead_code)]
mod credit;
#[path = "../tests/fleet/network.rs"]
#[allow(dead_code)]
mod network;

use credit::CreditFleet;
use network::FakeNetwork;
use savorywood_core::membership::MembershipEvent;
use savorywood_protocol::{ConfigRevision, HostName, TierRank, peer::membership::MemberState};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Times each of the spread figures is taken.
const REPEATS: usize = 5;

/// Members, regions and zones of each region: today's, a middle one, and the planned size.
const SIZES: [FleetSize; 3] = [
    FleetSize {
        members: 8,
        regions: 1,
        zones: 4,
    },
    FleetSize {
        members: 100,
        regions: 2,
        zones: 4,
    },
    FleetSize {
        members: 350,
        regions: 2,
        zones: 4,
    },
];

#[derive(Debug, Clone, Copy)]
struct FleetSize {
    members: usize,
    regions: usize,
    zones: usize,
}

/// Bytes a second of the daemons of a fleet.
struct ByteRates {
    mean: f64,
    most: f64,
}

fn main() {
    if std::env::args().any(|argument| argument == "credits") {
        RUSHES.into_iter().for_each(measure_credits);
        return;
    }
    for size in SIZES {
        measure_membership(size);
    }
    for rush in RUSHES {
        measure_credits(rush);
    }
}

fn measure_membership(size: FleetSize) {
    let FleetSize {
        members,
        regions,
        zones,
    } = size;
    println!("members={members} regions={regions} zones={zones}");
    let mut network = FakeNetwork::fleet(1, members, regions, zones);
    let limit = Duration::from_secs(120);
    let joined = network.run_until(limit, FakeNetwork::has_converged);
    println!("  all started at once agree after {joined:?}");
    network.run(Duration::from_secs(60));
    measure_steady(&mut network);
    measure_revision(&mut network);
    network.faults.loss = 0.01;
    measure_spread(&mut network, size, "dead", MemberState::Dead);
    measure_spread(&mut network, size, "leaving", MemberState::Leaving);
    measure_join(&mut network, size);
    measure_zone_loss(&mut network, size);
}

fn measure_steady(network: &mut FakeNetwork) {
    let steps = network.steps;
    let time = Duration::from_secs(60);
    let started = Instant::now();
    let rates = rates_over(network, time, |network| network.run(time));
    let spent = started.elapsed();
    let steps = network.steps - steps;
    let hosts = network.hosts.len() as f64;
    let core = spent.as_secs_f64() / (hosts * time.as_secs_f64());
    println!(
        "  steady: {:.0} B/s sent a daemon, {:.0} at most; {:.1} us a step; {:.4} % of a core a \
         daemon (the fake network included)",
        rates.mean,
        rates.most,
        spent.as_secs_f64() * 1e6 / steps as f64,
        core * 100.0,
    );
}

fn rates_over(
    network: &mut FakeNetwork,
    time: Duration,
    run: impl FnOnce(&mut FakeNetwork),
) -> ByteRates {
    let before: Vec<_> = sent_bytes(network);
    run(network);
    let after = sent_bytes(network);
    let sent = before.iter().zip(&after).map(|(b, a)| (a - b) as f64);
    let rates: Vec<_> = sent.map(|bytes| bytes / time.as_secs_f64()).collect();
    ByteRates {
        mean: rates.iter().sum::<f64>() / rates.len() as f64,
        most: rates.iter().copied().fold(0.0, f64::max),
    }
}

fn sent_bytes(network: &FakeNetwork) -> Vec<u64> {
    network.hosts.values().map(|host| host.sent_bytes).collect()
}

/// A new configuration: how soon all have heard, and what all telling that they have it costs.
fn measure_revision(network: &mut FakeNetwork) {
    let revision = ConfigRevision(1_000);
    let first = network.random_host();
    network.step(&first, MembershipEvent::RevisionInForce(revision));
    let heard = |network: &FakeNetwork| {
        let mut hosts = network.hosts.values();
        hosts.all(|host| host.membership.newest_revision() == revision)
    };
    let took = network.run_until(Duration::from_secs(20), heard);
    let hosts: Vec<_> = network.hosts.keys().cloned().collect();
    let time = Duration::from_secs(60);
    let mut known = None;
    let rates = rates_over(network, time, |network| {
        for host in &hosts {
            network.step(host, MembershipEvent::RevisionInForce(revision));
        }
        let end = network.now.monotonic + time;
        known = network.run_until(time, |network| {
            let mut hosts = network.hosts.values();
            hosts.all(|host| {
                let members = &host.membership.view().members;
                members.values().all(|m| m.config_revision == revision)
            })
        });
        network.run(end.since(network.now.monotonic));
    });
    println!(
        "  new revision heard by all after {took:?}; all know that all have it after {known:?}; \
         {:.0} B/s a daemon over these 60 s, {:.0} at most",
        rates.mean, rates.most
    );
}

fn measure_spread(network: &mut FakeNetwork, size: FleetSize, label: &str, state: MemberState) {
    let mut times = Vec::new();
    for _ in 0..REPEATS {
        let host = network.random_host();
        match state {
            MemberState::Dead => network.crash(&host),
            _ => network.step(&host, MembershipEvent::Leaving),
        }
        let limit = Duration::from_secs(60);
        let took = network.run_until(limit, |net| all_know(net, &host, state));
        times.push(took.unwrap_or(limit));
        network.crash(&host);
        network.run(Duration::from_secs(15));
        restart(network, &host, size);
    }
    times.sort();
    let shown: Vec<_> = times.iter().map(Duration::as_millis).collect();
    println!("  {label}: all know after {shown:?} ms (1 % loss)");
}

fn restart(network: &mut FakeNetwork, host: &HostName, size: FleetSize) {
    let number = host.as_str().trim_start_matches("entry-").parse();
    let number = number.expect("a number");
    network.start(number, size.regions, size.zones);
    let list = network.host_list(&BTreeSet::new());
    network.step(host, MembershipEvent::HostsListed(list));
    network.run(Duration::from_secs(15));
}

fn all_know(network: &FakeNetwork, host: &HostName, state: MemberState) -> bool {
    network.all_observe(host, state)
}

fn measure_join(network: &mut FakeNetwork, size: FleetSize) {
    let number = size.members + 1;
    let host = network.start(number, size.regions, size.zones);
    let list = network.host_list(&BTreeSet::new());
    network.step(&host, MembershipEvent::HostsListed(list));
    let limit = Duration::from_secs(60);
    let read = network.run_until(limit, |net| net.hosts[&host].membership.has_joined());
    let known = network.run_until(limit, |net| net.all_observe(&host, MemberState::Alive));
    println!("  one more: has read the table after {read:?}, known to all {known:?} later");
}

/// A whole zone dies: the news is many times as much.
fn measure_zone_loss(network: &mut FakeNetwork, size: FleetSize) {
    if size.members < 100 {
        return;
    }
    let zone = network::place_of(0, size.regions, size.zones).zone;
    let lost = network.hosts_where(|place| place.zone == zone);
    for host in &lost {
        network.crash(host);
    }
    let time = Duration::from_secs(60);
    let mut took = None;
    let rates = rates_over(network, time, |network| {
        let end = network.now.monotonic + time;
        took = network.run_until(time, |net| {
            lost.iter()
                .all(|host| net.all_observe(host, MemberState::Dead))
        });
        network.run(end.since(network.now.monotonic));
    });
    println!(
        "  a zone of {} lost: all know after {took:?}; {:.0} B/s a daemon over 60 s, {:.0} at most",
        lost.len(),
        rates.mean,
        rates.most
    );
    let dropped: u64 = network.hosts.values().map(|h| h.budget.dropped()).sum();
    println!("  datagrams dropped by the budget in all: {dropped}");
}

/// A fleet whose upstreams are all contended by all daemons of their zones: the worst case.
#[derive(Debug, Clone, Copy)]
struct CreditRush {
    daemons: usize,
    upstreams: usize,
    zones: usize,
    /// Limit of each daemon on each upstream.
    limit: u32,
}

const RUSHES: [CreditRush; 3] = [
    CreditRush {
        daemons: 8,
        upstreams: 12,
        zones: 4,
        limit: 6,
    },
    CreditRush {
        daemons: 100,
        upstreams: 150,
        zones: 8,
        limit: 1,
    },
    CreditRush {
        daemons: 350,
        upstreams: 600,
        zones: 8,
        limit: 1,
    },
];

/// Jobs a second of one seat.
const JOBS_PER_SEAT: f64 = 2.5;

/// Seats that each upstream declares.
const DECLARED_SEATS: f64 = 8.0;

fn measure_credits(rush: CreditRush) {
    let mut fleet = CreditFleet::new(1, rush.daemons, rush.upstreams, rush.zones, rush.limit);
    let near = (rush.upstreams / rush.zones) as f64;
    // More than the daemons' own limits take, so that queues form everywhere; then a third more
    // than the upstreams bear.
    let flood = 1.3 * near * f64::from(rush.limit) * JOBS_PER_SEAT;
    let users = rush.daemons as f64 / rush.zones as f64;
    let steady = 1.3 * near * DECLARED_SEATS * JOBS_PER_SEAT / users;
    fleet.run(Duration::from_secs(3), |fleet| arrive(fleet, rush, flood));
    fleet.run(Duration::from_secs(7), |fleet| arrive(fleet, rush, steady));
    let before: Vec<_> = fleet.daemons.values().map(|d| d.sent_bytes).collect();
    fleet.priority_inversions.clear();
    let time = Duration::from_secs(10);
    let (spent, steps) = (fleet.step_time, fleet.steps);
    let alone = fleet.total(0).shed_locally;
    fleet.run(time, |fleet| arrive(fleet, rush, steady));
    let spent = fleet.step_time - spent;
    let steps = fleet.steps - steps;
    let after = fleet.daemons.values().map(|d| d.sent_bytes);
    let sent = before.iter().zip(after);
    let rates: Vec<_> = sent
        .map(|(before, after)| (after - before) as f64 / time.as_secs_f64())
        .collect();
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    let most = rates.iter().copied().fold(0.0, f64::max);
    println!("{rush:?}: {mean:.0} B/s sent a daemon, {most:.0} at most");
    println!(
        "  {:.1} us a step, {:.0} steps a second and daemon, {:.2} % of a core a daemon",
        spent.as_secs_f64() * 1e6 / steps as f64,
        steps as f64 / time.as_secs_f64() / rush.daemons as f64,
        spent.as_secs_f64() * 100.0 / time.as_secs_f64() / rush.daemons as f64,
    );
    println!("  highest tier {:?}", fleet.total(0));
    println!("  lowest tier {:?}", fleet.total(3));
    println!(
        "  of these, highest tier shed alone in the measured time: {}",
        fleet.total(0).shed_locally - alone
    );
    println!(
        "  sheds while lower work waited in the zone: {}",
        fleet.priority_inversions.len()
    );
}

/// Jobs of one step: half of each zone's daemons get the highest tier, half the lowest.
fn arrive(fleet: &mut CreditFleet, rush: CreditRush, jobs_per_second: f64) {
    let expected = jobs_per_second * credit::STEP.as_secs_f64();
    for number in 0..rush.daemons {
        let mut jobs = expected.trunc() as u64;
        jobs += u64::from(fleet.random_chance(expected.fract()));
        let rank = match (number / rush.zones) % 2 {
            0 => TierRank(0),
            _ => TierRank(3),
        };
        for _ in 0..jobs {
            fleet.submit_job(&credit::host_name(number), rank);
        }
    }
}
