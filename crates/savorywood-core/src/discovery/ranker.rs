//! Ranking of daemons for address queries by rendezvous hashing with bounded loads.

use super::{AddressQuery, AddressResponse, CallerAddress, DiscoveryOptions};
use crate::{
    rendezvous,
    view::{ConfigView, MemberView},
};
use savorywood_protocol::{
    HostName, RefusalCode, RegionName, RequestRefusal, ServiceName, ZoneName,
    peer::membership::MemberState,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// Number of slots into which the hashes of query keys are divided.
const KEY_SLOTS: usize = 256;

/// Maximum number of slots of one daemon, in thousandths of an even share. With few slots per
/// daemon, rendezvous hashing without a bound gives some daemons nearly twice an even share, so
/// that they are overloaded while others are idle.
const LOAD_BOUND_PER_MILLE: usize = 1_250;

#[derive(Debug)]
struct Candidate {
    host: HostName,
    address: SocketAddr,
    zone: ZoneName,
    region: RegionName,
    suspect: bool,
}

/// Daemons that accept new requests, and the preferred daemon of each zone for each slot. Built
/// from one member view; a changed view needs a new ranker.
#[derive(Debug, Default)]
pub struct AddressRanker {
    members: Vec<Candidate>,
    slot_owners: BTreeMap<ZoneName, Vec<usize>>,
}

impl AddressRanker {
    /// Creates the ranker for a member view.
    #[must_use]
    pub fn new(view: &MemberView) -> Self {
        let members = view.serving().map(|(host, record)| Candidate {
            host: host.clone(),
            address: record.caller_address,
            zone: record.zone.clone(),
            region: record.region.clone(),
            suspect: record.state == MemberState::Suspect,
        });
        let members: Vec<_> = members.collect();
        let zones: BTreeSet<_> = members.iter().map(|member| &member.zone).collect();
        let slot_owners = zones
            .into_iter()
            .map(|zone| (zone.clone(), assign_slots(&members, zone)))
            .collect();
        Self {
            members,
            slot_owners,
        }
    }

    /// Ranks the daemons for one query.
    ///
    /// # Errors
    ///
    /// When the service does not exist or no daemon accepts new requests.
    pub fn rank(
        &self,
        query: &AddressQuery<'_>,
        config: &ConfigView,
        own_zone: &ZoneName,
        options: &DiscoveryOptions,
    ) -> Result<AddressResponse, RequestRefusal> {
        if !config.services.contains_key(query.service) {
            return Err(unknown_service(query.service, config));
        }
        if self.members.is_empty() {
            let detail = "no daemon accepts new requests at present; retry after the given delay";
            let refusal = RequestRefusal::not_run(RefusalCode::NotReady, detail);
            return Err(refusal.with_retry_after(Duration::from_secs(1)));
        }
        let zone = query.zone.unwrap_or(own_zone);
        let selected = self.select(query, config, zone, options.max_addresses.max(1));
        let addresses = selected.into_iter().map(|index| {
            let member = &self.members[index];
            CallerAddress {
                address: member.address,
                zone: member.zone.clone(),
            }
        });
        Ok(AddressResponse {
            addresses: addresses.collect(),
            max_age_seconds: options.max_age.as_secs(),
        })
    }

    fn select(
        &self,
        query: &AddressQuery<'_>,
        config: &ConfigView,
        zone: &ZoneName,
        length: usize,
    ) -> Vec<usize> {
        let key = query_key(query);
        let mut local = self.local_order(key, zone);
        let width = self.spread_width(query, config, local.len());
        if width > 1 {
            let rotation = rendezvous::hash_parts(&[query.caller]) % width as u64;
            local[..width].rotate_left(usize::try_from(rotation).unwrap_or_default());
        }
        // One address is reserved for another zone, so that the caller has a reachable address
        // when its own zone fails.
        let remote = self.remote_order(key, zone);
        let reserved = usize::from(length > 1 && !remote.is_empty());
        let mut selected: Vec<_> = local.iter().copied().take(length - reserved).collect();
        selected.extend(remote);
        let rest = local.into_iter().skip(length - reserved);
        selected.extend(rest);
        selected.truncate(length);
        selected
    }

    /// Returns the members of the zone: the owner of the key's slot, then the others by score.
    fn local_order(&self, key: u64, zone: &ZoneName) -> Vec<usize> {
        let mut order: Vec<_> = (0..self.members.len())
            .filter(|index| self.members[*index].zone == *zone)
            .collect();
        order.sort_by_key(|index| self.sort_key(key, *index));
        let slot_owners = self.slot_owners.get(zone);
        let owner = slot_owners.and_then(|slot_owners| slot_owners.get(slot_index(key)));
        if let Some(position) = order.iter().position(|index| Some(index) == owner) {
            order[..=position].rotate_right(1);
        }
        order
    }

    /// Returns the members of other zones, those of the same region first.
    fn remote_order(&self, key: u64, zone: &ZoneName) -> Vec<usize> {
        let mut members = self.members.iter();
        let region = members.find(|m| m.zone == *zone).map(|m| &m.region);
        let mut order: Vec<_> = (0..self.members.len())
            .filter(|index| self.members[*index].zone != *zone)
            .collect();
        order.sort_by_key(|index| {
            let other_region = region.is_some_and(|region| *region != self.members[*index].region);
            (other_region, self.sort_key(key, *index))
        });
        order
    }

    fn sort_key(&self, key: u64, index: usize) -> SortKey {
        let member = &self.members[index];
        SortKey {
            suspect: member.suspect,
            score: std::cmp::Reverse(rendezvous::score(key, member.host.as_str())),
        }
    }

    /// Returns the number of daemons over which the callers of a team are spread. A team whose
    /// weight exceeds the even share of one daemon would otherwise overload that daemon while
    /// others are idle.
    fn spread_width(
        &self,
        query: &AddressQuery<'_>,
        config: &ConfigView,
        local_members: usize,
    ) -> usize {
        if query.prefix_group.is_some() || local_members < 2 {
            return 1;
        }
        let Some(team) = query.team.and_then(|team| config.teams.get(team)) else {
            return local_members;
        };
        let weights = config.teams.values().map(|team| u64::from(team.weight));
        let total = weights.sum::<u64>().max(1);
        let share = (u64::from(team.weight) * local_members as u64).div_ceil(total);
        usize::try_from(share)
            .unwrap_or(local_members)
            .clamp(1, local_members)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    suspect: bool,
    score: std::cmp::Reverse<u64>,
}

/// Assigns each slot to the daemon of the zone that has the highest score among those below the
/// load bound. Suspected daemons own slots only if all daemons of the zone are suspected.
fn assign_slots(members: &[Candidate], zone: &ZoneName) -> Vec<usize> {
    let local = members.iter().enumerate();
    let local: Vec<_> = local.filter(|(_, member)| member.zone == *zone).collect();
    let live: Vec<_> = local.iter().filter(|(_, m)| !m.suspect).copied().collect();
    let candidates = if live.is_empty() { local } else { live };
    let bound = (KEY_SLOTS * LOAD_BOUND_PER_MILLE).div_ceil(1_000 * candidates.len().max(1));
    let mut loads = vec![0; members.len()];
    let mut slot_owners = Vec::with_capacity(KEY_SLOTS);
    for slot in 0..KEY_SLOTS {
        let slot_key = rendezvous::mix_bits(slot as u64 + 1);
        let free = candidates.iter().filter(|(index, _)| loads[*index] < bound);
        let best = free.max_by_key(|(_, member)| rendezvous::score(slot_key, member.host.as_str()));
        if let Some((index, _)) = best {
            loads[*index] += 1;
            slot_owners.push(*index);
        }
    }
    slot_owners
}

fn slot_index(key: u64) -> usize {
    usize::try_from(key % KEY_SLOTS as u64).unwrap_or_default()
}

fn query_key(query: &AddressQuery<'_>) -> u64 {
    let service = query.service.as_str();
    match (query.prefix_group, query.team) {
        (Some(group), _) => rendezvous::hash_parts(&["prefix", service, group]),
        (None, Some(team)) => rendezvous::hash_parts(&["team", service, team.as_str()]),
        (None, None) => rendezvous::hash_parts(&["caller", service, query.caller]),
    }
}

fn unknown_service(service: &ServiceName, config: &ConfigView) -> RequestRefusal {
    let existing: Vec<_> = config.services.keys().map(ServiceName::as_str).collect();
    let detail = format!(
        "service {service} does not exist; existing services: {}",
        existing.join(", ")
    );
    RequestRefusal::not_run(RefusalCode::NotFound, detail)
}
