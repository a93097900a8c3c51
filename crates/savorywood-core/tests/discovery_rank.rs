//! Checks which daemon addresses callers get, and in which order.

use quickcheck::{TestResult, quickcheck};
use savorywood_core::{
    ConfigView, MemberRecord, MemberView,
    discovery::{AddressQuery, DiscoveryOptions, rank_addresses},
};
use savorywood_protocol::{
    ConfigRevision, HostIncarnation, HostName, RefusalCode, ServiceName, TeamName, ZoneName,
    peer::membership::MemberState, resource::ResourceDocument,
};
use std::{collections::BTreeMap, net::SocketAddr};

fn members(count: u8, zones: u8) -> MemberView {
    let mut view = MemberView::default();
    for number in 0..count {
        let host = HostName::new(&format!("entry-{number}")).expect("a name");
        let record = MemberRecord {
            incarnation: HostIncarnation(1),
            state: MemberState::Alive,
            peer_address: SocketAddr::from(([10, 0, 0, number], 7000)),
            caller_address: SocketAddr::from(([10, 0, 0, number], 8080)),
            zone: ZoneName::new(&format!("z{}", number % zones)).expect("a name"),
            region: "a".parse().expect("a name"),
            config_revision: ConfigRevision(1),
        };
        view.members.insert(host, record);
    }
    view
}

fn config() -> ConfigView {
    let mut config = ConfigView::default();
    let token = "0".repeat(64);
    let service = r#"{"kind":"service","name":"notes","spec":{"protocol":"model"}}"#;
    let mut documents = vec![service.to_owned()];
    for (name, weight) in [("large", 40), ("small", 1), ("other", 9)] {
        documents.push(format!(
            r#"{{"kind":"team","name":"{name}","spec":{{"token_sha256":"{token}","tiers":["t"],"weight":{weight}}}}}"#
        ));
    }
    for text in documents {
        let document: ResourceDocument = serde_json::from_str(&text).expect("a document");
        config.insert(document).expect("a name");
    }
    config
}

fn ranked_addresses(
    view: &MemberView,
    group: Option<&str>,
    team: Option<&str>,
    caller: &str,
) -> Vec<SocketAddr> {
    let service = ServiceName::new("notes").expect("a name");
    let team = team.map(|team| TeamName::new(team).expect("a name"));
    let zone = ZoneName::new("z0").expect("a name");
    let query = AddressQuery {
        service: &service,
        team: team.as_ref(),
        prefix_group: group,
        zone: None,
        caller,
    };
    let options = DiscoveryOptions::default();
    let response = rank_addresses(&query, view, &config(), &zone, &options).expect("addresses");
    response.addresses.into_iter().map(|a| a.address).collect()
}

/// Returns the first address for each of 600 prefix groups.
fn first_addresses(view: &MemberView) -> BTreeMap<String, SocketAddr> {
    let groups = (0..600).map(|number| format!("group-{number}"));
    groups
        .map(|group| {
            let first = ranked_addresses(view, Some(&group), None, "c")[0];
            (group, first)
        })
        .collect()
}

#[test]
fn the_own_zone_comes_first_and_another_last() {
    let view = members(8, 4);
    let addresses = ranked_addresses(&view, Some("g"), None, "c");
    let zones: Vec<_> = addresses
        .iter()
        .map(|address| {
            let mut records = view.members.values();
            let record = records.find(|record| record.caller_address == *address);
            record.expect("a member").zone.as_str() == "z0"
        })
        .collect();
    assert_eq!(zones, [true, true, false]);
}

/// Guards against sending callers to a daemon that is leaving or dead, where they would find a
/// closed port.
#[test]
fn leaving_and_dead_members_are_not_returned() {
    for state in [MemberState::Leaving, MemberState::Dead] {
        let mut view = members(4, 1);
        let host = HostName::new("entry-2").expect("a name");
        let record = view.members.get_mut(&host).expect("a member");
        record.state = state;
        let address = record.caller_address;
        for number in 0..200 {
            assert!(
                !ranked_addresses(&view, Some(&number.to_string()), None, "c").contains(&address)
            );
        }
    }
}

/// One of eight daemons is removed. Keys of the other daemons must stay where the prefixes of their
/// prompts are cached, or the fleet would compute all of them again.
#[test]
fn a_lost_member_moves_few_keys() {
    let before = members(8, 1);
    let mut after = before.clone();
    after.members.remove("entry-5");
    let lost_address = before.members["entry-5"].caller_address;
    let (old, new) = (first_addresses(&before), first_addresses(&after));
    let unaffected = old.iter().filter(|(_, first)| **first != lost_address);
    let moved = unaffected
        .filter(|(group, first)| new[*group] != **first)
        .count();
    assert!(
        moved <= 60,
        "{moved} of 600 keys moved, although their daemon remains"
    );
}

#[test]
fn no_member_gets_much_more_than_its_share() {
    for count in [2, 7, 8, 40] {
        let mut loads: BTreeMap<_, usize> = BTreeMap::new();
        for first in first_addresses(&members(count, 1)).into_values() {
            *loads.entry(first).or_default() += 1;
        }
        let max_load = loads.into_values().max().expect("a load");
        let share = 600 / usize::from(count);
        assert!(
            max_load <= share * 2,
            "{max_load} of 600 keys on one of {count} members"
        );
    }
}

#[test]
fn a_large_team_is_spread_and_a_small_one_is_not() {
    let view = members(8, 1);
    let addresses_used = |team| {
        let callers = (0..100)
            .map(|number| ranked_addresses(&view, None, Some(team), &number.to_string())[0]);
        callers.collect::<std::collections::BTreeSet<_>>().len()
    };
    assert_eq!(addresses_used("small"), 1);
    assert_eq!(addresses_used("large"), 7);
}

#[test]
fn an_unknown_service_is_refused_with_a_list_of_the_known_ones() {
    let service = ServiceName::new("maps").expect("a name");
    let zone = ZoneName::new("z0").expect("a name");
    let query = AddressQuery {
        service: &service,
        team: None,
        prefix_group: None,
        zone: None,
        caller: "",
    };
    let options = DiscoveryOptions::default();
    let refusal =
        rank_addresses(&query, &members(2, 1), &config(), &zone, &options).expect_err("a refusal");
    assert_eq!(refusal.code, RefusalCode::NotFound);
    assert!(refusal.detail.contains("notes"));
}

quickcheck! {
    fn responses_are_short_and_without_duplicates(count: u8, zones: u8, group: String) -> TestResult {
        let (count, zones) = (count % 40, zones % 5);
        if count == 0 || zones == 0 {
            return TestResult::discard();
        }
        let mut addresses = ranked_addresses(&members(count, zones), Some(&group), None, "c");
        let length = addresses.len();
        addresses.sort();
        addresses.dedup();
        TestResult::from_bool(length == addresses.len() && length == usize::from(count.min(3)))
    }
}
