//! Selection of the entry set, which the directory lists, and service to callers when members fail.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/cluster.rs"]
mod cluster;
#[path = "common/harness.rs"]
mod harness;

use callers::CallerGroup;
use cluster::{DaemonCluster, TeamLoad, ZONES};
use savorywood_gateway::{
    CallerLocation, EntryCandidate, GatewayEvent, HostResources, PeakLoad, select_members,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeSet, time::Duration};

const DAEMONS: usize = 80;
/// Simulated callers.
const CALLERS: usize = 80;
/// Time for which callers cache addresses of the directory.
const ADDRESS_TTL: Duration = Duration::from_secs(1);
/// Time after which a failed member must no longer be listed.
const REPLACEMENT_BOUND: Duration = Duration::from_secs(1);

fn small() -> HostResources {
    HostResources {
        processor_millis: 120,
        descriptors: 4_100,
        memory_kib: 160 << 10,
        link_kbps: 20_000,
    }
}

fn large() -> HostResources {
    HostResources {
        processor_millis: 500,
        descriptors: 8_192,
        memory_kib: 512 << 10,
        link_kbps: 200_000,
    }
}

fn descriptors(count: u32) -> HostResources {
    HostResources {
        descriptors: count,
        ..HostResources::default()
    }
}

fn candidate(host: u64, capacity: HostResources) -> EntryCandidate {
    EntryCandidate {
        host,
        capacity,
        stable_for: Duration::from_secs(60),
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Asserts that all daemons of a zone that are up list the same members; returns these by zone.
fn assert_agreement(cluster: &DaemonCluster) -> Vec<BTreeSet<usize>> {
    let mut members = vec![BTreeSet::new(); ZONES];
    for number in (0..cluster.daemons.len()).filter(|number| !cluster.down.contains(number)) {
        let zone = format!("zone-{}", number % ZONES);
        let addresses = cluster.daemons[number].gateway.caller_addresses(
            cluster.now,
            CallerLocation::in_zone(&zone),
            64,
        );
        let numbers = addresses
            .iter()
            .filter_map(|address| cluster.daemon_at(*address));
        let numbers: BTreeSet<usize> = numbers.collect();
        let expected = &mut members[number % ZONES];
        if expected.is_empty() {
            expected.clone_from(&numbers);
        }
        assert_eq!(*expected, numbers, "members as listed by daemon {number}");
    }
    members
}

/// Returns a cluster that has run for 4 s, and its callers with cleared counts.
fn settled_cluster(daemons: usize, address_ttl: Duration) -> (DaemonCluster, CallerGroup) {
    let mut cluster = DaemonCluster::with_load(daemons, TeamLoad::unlimited(daemons));
    let mut callers = CallerGroup::new(CALLERS, address_ttl);
    cluster.advance(seconds(4), &mut callers);
    callers.tally = callers::CallerTally::default();
    callers.last_failure = None;
    (cluster, callers)
}

/// Asserts that no request failed later than `within` after `since`.
fn assert_recovered(callers: &CallerGroup, since: MonotonicTime, within: Duration) {
    let failing_for = callers
        .last_failure
        .map_or(Duration::ZERO, |at| at.since(since));
    assert!(
        failing_for <= within,
        "requests failed for {failing_for:?}: {:?}",
        callers.tally
    );
}

#[test]
fn a_zone_has_three_members_or_as_many_as_there_are() {
    for count in [1, 2, 3, 8, 44] {
        let all = (0..count).map(|host| candidate(host, small()));
        let members = select_members(all.collect(), &descriptors(10));
        assert_eq!(members.len() as u64, count.min(3));
    }
}

#[test]
fn larger_hosts_are_selected_first() {
    let mut all: Vec<EntryCandidate> = (0..20).map(|host| candidate(host, small())).collect();
    all.extend((20..22).map(|host| candidate(host, large())));
    let members = select_members(all, &descriptors(10));
    assert_eq!(members, [20, 21, 0]);
}

/// Guards against a set that is too small once its largest member fails.
#[test]
fn members_carry_the_load_without_the_largest() {
    for load in [100, 3_000, 9_000, 30_000] {
        let mut all: Vec<EntryCandidate> = (0..60).map(|host| candidate(host, small())).collect();
        all.push(candidate(60, large()));
        let members = select_members(all, &descriptors(load));
        let carried: u32 = members.iter().filter(|host| **host != 60).count() as u32 * 4_100;
        assert!(members.contains(&60));
        assert!(carried >= load * 2, "{carried} for {load}");
    }
}

/// Guards against members whose processors are saturated while they have descriptors to spare.
#[test]
fn the_scarcest_resource_determines_the_set_size() {
    let all: Vec<EntryCandidate> = (0..40).map(|host| candidate(host, small())).collect();
    let mut load = descriptors(100);
    load.processor_millis = 600;
    let members = select_members(all, &load);
    assert!(members.len() * 120 >= 600 * 2, "{members:?}");
}

/// Guards against listing a daemon that has just started and has not received the slots in use yet,
/// while others have.
#[test]
fn a_daemon_that_just_started_is_no_member() {
    let mut all: Vec<EntryCandidate> = (0..6).map(|host| candidate(host, small())).collect();
    let mut recently_started = candidate(9, large());
    recently_started.stable_for = Duration::from_millis(500);
    all.push(recently_started);
    assert!(!select_members(all, &descriptors(10)).contains(&9));
}

/// Guards against a start of all daemons at which each excludes the others as just started.
#[test]
fn daemons_that_started_together_are_all_eligible() {
    let all = (0..6).map(|host| EntryCandidate {
        host,
        capacity: small(),
        stable_for: Duration::from_millis(900 + host * 50),
    });
    assert_eq!(select_members(all.collect(), &descriptors(10)), [0, 1, 2]);
}

/// Guards against a set that shrinks between two bursts.
#[test]
fn the_set_grows_at_once_and_shrinks_slowly() {
    let start = MonotonicTime(1_000_000);
    let mut peak = PeakLoad::default();
    peak.update(start, descriptors(3_000), [].into_iter());
    for step in 1..=40 {
        let now = start + Duration::from_millis(50 * step);
        peak.update(now, descriptors(100), [].into_iter());
    }
    assert!(peak.load().descriptors >= 2_600, "{:?}", peak.load());
    peak.update(start + seconds(120), descriptors(100), [].into_iter());
    assert_eq!(peak.load().descriptors, 100);
}

#[test]
fn all_daemons_agree_on_the_members() {
    for count in [1, 8, 80, 200, 350] {
        let mut cluster = DaemonCluster::new(count);
        cluster.advance(seconds(1), &mut CallerGroup::new(0, ADDRESS_TTL));
        for (zone, members) in assert_agreement(&cluster).iter().enumerate() {
            let zone_size = (0..count).filter(|number| number % ZONES == zone).count();
            assert_eq!(members.len(), zone_size.min(3), "zone {zone} of {count}");
        }
    }
}

/// Guards against full members when the load doubles or triples at once.
#[test]
fn a_set_grows_before_a_burst_fills_it() {
    for factor in [2, 3] {
        let mut cluster = DaemonCluster::new(DAEMONS);
        for daemon in &mut cluster.capacities {
            *daemon = small();
        }
        cluster.restart_all();
        for load in [2_800, 2_800 * factor, 2_800 * factor] {
            for _ in 0..4 {
                cluster.spread_load(load);
                let members = assert_agreement(&cluster);
                let each = load / members[0].len() as u32;
                assert!(each < 4_100, "{each} descriptors at each member");
                cluster.advance(
                    Duration::from_millis(500),
                    &mut CallerGroup::new(0, ADDRESS_TTL),
                );
            }
        }
        let members = assert_agreement(&cluster);
        assert!(
            members[0].len() as u32 * 4_100 >= 2_800 * factor * 2,
            "{members:?}"
        );
    }
}

/// Half of all hosts lose power at once, then the other half 5 s later; each half restarts after 1
/// s.
#[test]
fn callers_are_served_again_after_half_of_all_hosts_are_lost() {
    for address_ttl in [ADDRESS_TTL, ADDRESS_TTL * 3] {
        let (mut cluster, mut callers) = settled_cluster(DAEMONS, address_ttl);
        for half in [0, 1] {
            let lost_at = cluster.now;
            let lost = (0..DAEMONS).filter(|number| number / ZONES % 2 == half);
            cluster.down = lost.collect();
            cluster.advance(seconds(1), &mut callers);
            cluster.restart_down();
            cluster.advance(seconds(4), &mut callers);
            assert_recovered(&callers, lost_at, REPLACEMENT_BOUND + address_ttl);
        }
        assert!(
            callers.tally.failed + callers.tally.refused <= CALLERS * 4,
            "{:?}",
            callers.tally
        );
    }
}

/// Kills the first member of each zone, four times in a row.
#[test]
fn members_that_are_killed_in_turn_are_replaced() {
    let (mut cluster, mut callers) = settled_cluster(DAEMONS, ADDRESS_TTL);
    for _ in 0..4 {
        let members = assert_agreement(&cluster);
        let lost_at = cluster.now;
        for zone in &members {
            cluster.down.extend(zone.first());
        }
        cluster.advance(seconds(3), &mut callers);
        assert_recovered(&callers, lost_at, REPLACEMENT_BOUND + ADDRESS_TTL);
        let members = assert_agreement(&cluster);
        assert!(members.iter().all(|zone| zone.len() == 3), "{members:?}");
    }
}

/// A frozen member neither responds nor sends gossip. After it resumes, it must not be listed at
/// once.
#[test]
fn a_frozen_member_is_replaced_until_it_is_stable_again() {
    let (mut cluster, mut callers) = settled_cluster(DAEMONS, ADDRESS_TTL);
    let frozen = *assert_agreement(&cluster)[0].first().expect("a member");
    let frozen_at = cluster.now;
    cluster.down.insert(frozen);
    cluster.advance(seconds(3), &mut callers);
    assert_recovered(&callers, frozen_at, REPLACEMENT_BOUND + ADDRESS_TTL);
    cluster.down.clear();
    cluster.advance(seconds(1), &mut callers);
    assert!(!assert_agreement(&cluster)[0].contains(&frozen));
    cluster.advance(seconds(4), &mut callers);
    assert!(assert_agreement(&cluster)[0].contains(&frozen));
}

/// A member that is unreachable for its peers still serves callers that have cached its address;
/// the other daemons replace it.
#[test]
fn a_member_cut_off_from_its_peers_is_replaced() {
    let (mut cluster, mut callers) = settled_cluster(DAEMONS, ADDRESS_TTL);
    let cut_off = *assert_agreement(&cluster)[0].first().expect("a member");
    cluster.cut_off.insert(cut_off);
    cluster.advance(seconds(4), &mut callers);
    assert_eq!(
        callers.tally.served, callers.tally.requests,
        "{:?}",
        callers.tally
    );
    let named = cluster.daemons[ZONES].gateway.caller_addresses(
        cluster.now,
        CallerLocation::in_zone("zone-0"),
        64,
    );
    let named: Vec<_> = named
        .iter()
        .filter_map(|at| cluster.daemon_at(*at))
        .collect();
    assert_eq!(named.len(), 3);
    assert!(!named.contains(&cut_off), "{named:?}");
}

/// A member that can't confirm its configuration must not list itself.
#[test]
fn a_member_without_the_store_is_replaced() {
    let (mut cluster, mut callers) = settled_cluster(DAEMONS, ADDRESS_TTL);
    let stale = *assert_agreement(&cluster)[0].first().expect("a member");
    cluster.stale.insert(stale);
    cluster.advance(seconds(6), &mut callers);
    let members = assert_agreement(&cluster);
    assert!(!members[0].contains(&stale));
    assert_eq!(members[0].len(), 3);
    assert_eq!(
        callers.tally.served, callers.tally.requests,
        "{:?}",
        callers.tally
    );
}

/// Stops and restarts every daemon in turn, members included.
#[test]
fn a_rolling_restart_of_all_daemons_refuses_no_request() {
    let (mut cluster, mut callers) = settled_cluster(24, ADDRESS_TTL);
    for number in 0..24 {
        cluster.stop(number);
        cluster.advance(Duration::from_millis(3_300), &mut callers);
        cluster.down.insert(number);
        cluster.advance(Duration::from_millis(500), &mut callers);
        cluster.restart_down();
        cluster.advance(Duration::from_millis(200), &mut callers);
    }
    assert_eq!(
        callers.tally.served, callers.tally.requests,
        "{:?}",
        callers.tally
    );
}

/// Callers of a zone without live daemons get members of the other zones.
#[test]
fn callers_of_a_lost_zone_use_other_zones() {
    let (mut cluster, mut callers) = settled_cluster(DAEMONS, ADDRESS_TTL);
    let lost_at = cluster.now;
    cluster.down = (0..DAEMONS).filter(|number| number % ZONES == 0).collect();
    cluster.advance(seconds(5), &mut callers);
    assert_recovered(&callers, lost_at, REPLACEMENT_BOUND + ADDRESS_TTL);
}

/// Guards against a set that grows to the whole zone because of load that is not from callers:
/// reading the tables at a start, and gossip, cost a standby host more the larger its zone is.
#[test]
fn load_of_standby_hosts_adds_no_members() {
    let mut cluster = DaemonCluster::with_load(DAEMONS, TeamLoad::unlimited(DAEMONS));
    cluster.capacities = vec![small(); DAEMONS];
    cluster.restart_all();
    let mut callers = CallerGroup::new(CALLERS, ADDRESS_TTL);
    cluster.advance(seconds(4), &mut callers);
    for _ in 0..4 {
        for daemon in &mut cluster.daemons {
            let mut load = descriptors(20);
            load.processor_millis = 40;
            load.link_kbps = 7_000;
            if daemon.gateway.is_entry_member() {
                load.processor_millis = 20;
                load.link_kbps = 300;
            }
            daemon.step(GatewayEvent::LoadMeasured(load));
        }
        cluster.advance(seconds(1), &mut callers);
    }
    for zone in assert_agreement(&cluster) {
        assert!(zone.len() <= 3, "{} members", zone.len());
    }
}
