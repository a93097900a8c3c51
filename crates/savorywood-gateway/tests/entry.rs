//! The entry set: which daemons the directory names, and what callers get when these fail.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/field.rs"]
mod field;
#[path = "common/scene.rs"]
mod scene;

use callers::CallerGroup;
use field::{DaemonField, TeamLoad, ZONES};
use savorywood_gateway::{
    CallerLocation, EntryCandidate, GatewayEvent, HostResources, PeakLoad, select_members,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeSet, time::Duration};

const DAEMONS: usize = 80;
const CALLERS: usize = 80;
/// Time for which callers keep an answer of the directory.
const KEEP: Duration = Duration::from_secs(1);
/// Time after which a failed member is named no more.
const REPLACED: Duration = Duration::from_secs(1);

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

/// Members of each zone as all its daemons that are up see them.
fn assert_agreement(field: &DaemonField) -> Vec<BTreeSet<usize>> {
    let mut members = vec![BTreeSet::new(); ZONES];
    for number in (0..field.daemons.len()).filter(|number| !field.down.contains(number)) {
        let zone = format!("zone-{}", number % ZONES);
        let addresses = field.daemons[number].gateway.caller_addresses(
            field.now,
            CallerLocation::in_zone(&zone),
            64,
        );
        let numbers = addresses
            .iter()
            .filter_map(|address| field.number_of(*address));
        let numbers: BTreeSet<usize> = numbers.collect();
        let known = &mut members[number % ZONES];
        if known.is_empty() {
            known.clone_from(&numbers);
        }
        assert_eq!(*known, numbers, "as daemon {number} sees it");
    }
    members
}

/// Callers at a field that has settled.
fn settled(daemons: usize, keep: Duration) -> (DaemonField, CallerGroup) {
    let mut field = DaemonField::with_load(daemons, TeamLoad::unlimited(daemons));
    let mut callers = CallerGroup::new(CALLERS, keep);
    field.advance(seconds(4), &mut callers);
    callers.tally = callers::CallerTally::default();
    callers.last_trouble = None;
    (field, callers)
}

fn assert_served_again(callers: &CallerGroup, since: MonotonicTime, within: Duration) {
    let trouble = callers
        .last_trouble
        .map_or(Duration::ZERO, |at| at.since(since));
    assert!(
        trouble <= within,
        "trouble for {trouble:?}: {:?}",
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
fn larger_hosts_come_first() {
    let mut all: Vec<EntryCandidate> = (0..20).map(|host| candidate(host, small())).collect();
    all.extend((20..22).map(|host| candidate(host, large())));
    let members = select_members(all, &descriptors(10));
    assert_eq!(members, [20, 21, 0]);
}

/// Guards against a set that is too small once its largest member is lost.
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

/// Guards against members whose processor is full while they have descriptors to spare.
#[test]
fn the_resource_that_binds_first_sizes_the_set() {
    let all: Vec<EntryCandidate> = (0..40).map(|host| candidate(host, small())).collect();
    let mut load = descriptors(100);
    load.processor_millis = 600;
    let members = select_members(all, &load);
    assert!(members.len() * 120 >= 600 * 2, "{members:?}");
}

/// Guards against callers at a daemon that has just started beside others that know the slots.
#[test]
fn a_daemon_that_just_started_is_no_member() {
    let mut all: Vec<EntryCandidate> = (0..6).map(|host| candidate(host, small())).collect();
    let mut young = candidate(9, large());
    young.stable_for = Duration::from_millis(500);
    all.push(young);
    assert!(!select_members(all, &descriptors(10)).contains(&9));
}

/// Guards against a start of all daemons at which each counts the others as just started.
#[test]
fn daemons_that_started_together_are_equal() {
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
fn all_daemons_name_the_same_members() {
    for count in [1, 8, 80, 200, 350] {
        let mut field = DaemonField::new(count);
        field.advance(seconds(1), &mut CallerGroup::new(0, KEEP));
        for (zone, members) in assert_agreement(&field).iter().enumerate() {
            let here = (0..count).filter(|number| number % ZONES == zone).count();
            assert_eq!(members.len(), here.min(3), "zone {zone} of {count}");
        }
    }
}

/// Guards against bursts of two and three times that meet members which are full.
#[test]
fn a_set_grows_before_a_burst_fills_it() {
    for factor in [2, 3] {
        let mut field = DaemonField::new(DAEMONS);
        for daemon in &mut field.capacities {
            *daemon = small();
        }
        field.restart_all();
        for load in [2_800, 2_800 * factor, 2_800 * factor] {
            for _ in 0..4 {
                field.spread_load(load);
                let members = assert_agreement(&field);
                let each = load / members[0].len() as u32;
                assert!(each < 4_100, "{each} descriptors at each member");
                field.advance(Duration::from_millis(500), &mut CallerGroup::new(0, KEEP));
            }
        }
        let members = assert_agreement(&field);
        assert!(
            members[0].len() as u32 * 4_100 >= 2_800 * factor * 2,
            "{members:?}"
        );
    }
}

/// Half of all hosts lose power at once, twice within five seconds, and come back after a second.
#[test]
fn callers_are_served_again_after_half_of_all_hosts_are_lost() {
    for keep in [KEEP, KEEP * 3] {
        let (mut field, mut callers) = settled(DAEMONS, keep);
        for half in [0, 1] {
            let lost_at = field.now;
            let lost = (0..DAEMONS).filter(|number| number / ZONES % 2 == half);
            field.down = lost.collect();
            field.advance(seconds(1), &mut callers);
            field.start_again();
            field.advance(seconds(4), &mut callers);
            assert_served_again(&callers, lost_at, REPLACED + keep);
        }
        assert!(
            callers.tally.failed + callers.tally.refused <= CALLERS * 4,
            "{:?}",
            callers.tally
        );
    }
}

/// Members are killed one after the other, each time the first of its zone.
#[test]
fn members_that_are_killed_in_turn_are_replaced() {
    let (mut field, mut callers) = settled(DAEMONS, KEEP);
    for _ in 0..4 {
        let members = assert_agreement(&field);
        let lost_at = field.now;
        for zone in &members {
            field.down.extend(zone.first());
        }
        field.advance(seconds(3), &mut callers);
        assert_served_again(&callers, lost_at, REPLACED + KEEP);
        let members = assert_agreement(&field);
        assert!(members.iter().all(|zone| zone.len() == 3), "{members:?}");
    }
}

/// A frozen member neither answers nor sends; after it wakes it is no member for a while.
#[test]
fn a_frozen_member_is_replaced_until_it_is_steady_again() {
    let (mut field, mut callers) = settled(DAEMONS, KEEP);
    let frozen = *assert_agreement(&field)[0].first().expect("a member");
    let frozen_at = field.now;
    field.down.insert(frozen);
    field.advance(seconds(3), &mut callers);
    assert_served_again(&callers, frozen_at, REPLACED + KEEP);
    field.down.clear();
    field.advance(seconds(1), &mut callers);
    assert!(!assert_agreement(&field)[0].contains(&frozen));
    field.advance(seconds(4), &mut callers);
    assert!(assert_agreement(&field)[0].contains(&frozen));
}

/// A member that no daemon sees goes on serving the callers that know it; the others replace it.
#[test]
fn a_member_cut_off_from_its_peers_is_replaced() {
    let (mut field, mut callers) = settled(DAEMONS, KEEP);
    let cut_off = *assert_agreement(&field)[0].first().expect("a member");
    field.cut_off.insert(cut_off);
    field.advance(seconds(4), &mut callers);
    assert_eq!(
        callers.tally.served, callers.tally.asked,
        "{:?}",
        callers.tally
    );
    let named = field.daemons[ZONES].gateway.caller_addresses(
        field.now,
        CallerLocation::in_zone("zone-0"),
        64,
    );
    let named: Vec<_> = named.iter().filter_map(|at| field.number_of(*at)).collect();
    assert_eq!(named.len(), 3);
    assert!(!named.contains(&cut_off), "{named:?}");
}

/// A member that can't confirm its configuration names itself no more.
#[test]
fn a_member_without_the_store_is_replaced() {
    let (mut field, mut callers) = settled(DAEMONS, KEEP);
    let stale = *assert_agreement(&field)[0].first().expect("a member");
    field.stale.insert(stale);
    field.advance(seconds(6), &mut callers);
    let members = assert_agreement(&field);
    assert!(!members[0].contains(&stale));
    assert_eq!(members[0].len(), 3);
    assert_eq!(
        callers.tally.served, callers.tally.asked,
        "{:?}",
        callers.tally
    );
}

/// Every daemon is stopped and started in turn, members among them.
#[test]
fn a_rolling_stop_of_all_refuses_nobody() {
    let (mut field, mut callers) = settled(24, KEEP);
    for number in 0..24 {
        field.stop(number);
        field.advance(Duration::from_millis(3_300), &mut callers);
        field.down.insert(number);
        field.advance(Duration::from_millis(500), &mut callers);
        field.start_again();
        field.advance(Duration::from_millis(200), &mut callers);
    }
    assert_eq!(
        callers.tally.served, callers.tally.asked,
        "{:?}",
        callers.tally
    );
}

/// Callers of a zone that is lost get the members of the other zones.
#[test]
fn callers_of_a_lost_zone_use_other_zones() {
    let (mut field, mut callers) = settled(DAEMONS, KEEP);
    let lost_at = field.now;
    field.down = (0..DAEMONS).filter(|number| number % ZONES == 0).collect();
    field.advance(seconds(5), &mut callers);
    assert_served_again(&callers, lost_at, REPLACED + KEEP);
}

/// Guards against a set that takes in the whole zone since its hosts are busy with each other:
/// reading the tables at a start, and gossip, cost a standby host more the larger its zone is.
#[test]
fn work_of_standby_hosts_calls_no_members_in() {
    let mut field = DaemonField::with_load(DAEMONS, TeamLoad::unlimited(DAEMONS));
    field.capacities = vec![small(); DAEMONS];
    field.restart_all();
    let mut callers = CallerGroup::new(CALLERS, KEEP);
    field.advance(seconds(4), &mut callers);
    for _ in 0..4 {
        for daemon in &mut field.daemons {
            let mut load = descriptors(20);
            load.processor_millis = 40;
            load.link_kbps = 7_000;
            if daemon.gateway.is_entry_member() {
                load.processor_millis = 20;
                load.link_kbps = 300;
            }
            daemon.step(GatewayEvent::LoadMeasured(load));
        }
        field.advance(seconds(1), &mut callers);
    }
    for zone in assert_agreement(&field) {
        assert!(zone.len() <= 3, "{} members", zone.len());
    }
}
