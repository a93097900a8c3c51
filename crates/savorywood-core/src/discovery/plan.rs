//! The part of address answers that depends on the member view alone.

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

/// Parts that the keys of all callers are divided into.
const KEY_SLOTS: usize = 256;

/// A daemon gets at most this many thousandths of its even share of the slots. Without the
/// bound, plain rendezvous hashing gives some daemon nearly twice its share when there are few
/// slots a daemon; it would be full while others idle.
const LOAD_BOUND_PER_MILLE: usize = 1_250;

#[derive(Debug)]
struct PlanMember {
    host: HostName,
    address: SocketAddr,
    zone: ZoneName,
    region: RegionName,
    suspect: bool,
}

/// Daemons that take work, and who of a zone is first for which keys. Made anew when the member
/// view changes.
#[derive(Debug, Default)]
pub struct AddressRanker {
    members: Vec<PlanMember>,
    owners: BTreeMap<ZoneName, Vec<usize>>,
}

impl AddressRanker {
    /// The plan for a member view.
    #[must_use]
    pub fn new(view: &MemberView) -> Self {
        let members = view.serving().map(|(host, record)| PlanMember {
            host: host.clone(),
            address: record.caller_address,
            zone: record.zone.clone(),
            region: record.region.clone(),
            suspect: record.state == MemberState::Suspect,
        });
        let members: Vec<_> = members.collect();
        let zones: BTreeSet<_> = members.iter().map(|member| &member.zone).collect();
        let owners = zones
            .into_iter()
            .map(|zone| (zone.clone(), assign_slots(&members, zone)))
            .collect();
        Self { members, owners }
    }

    /// Ranks the daemons for one query.
    ///
    /// # Errors
    ///
    /// When the service is unknown or no daemon takes work.
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
            let detail = "no daemon takes new work now; ask again";
            let refusal = RequestRefusal::not_run(RefusalCode::NotReady, detail);
            return Err(refusal.with_retry_after(Duration::from_secs(1)));
        }
        let zone = query.zone.unwrap_or(own_zone);
        let chosen = self.choose(query, config, zone, options.max_addresses.max(1));
        let addresses = chosen.into_iter().map(|index| {
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

    fn choose(
        &self,
        query: &AddressQuery<'_>,
        config: &ConfigView,
        zone: &ZoneName,
        length: usize,
    ) -> Vec<usize> {
        let key = query_key(query);
        let mut near = self.near_order(key, zone);
        let spread = self.spread(query, config, near.len());
        if spread > 1 {
            let turn = rendezvous::hash_parts(&[query.caller]) % spread as u64;
            near[..spread].rotate_left(usize::try_from(turn).unwrap_or_default());
        }
        // One place is kept for another zone: when the caller's own zone goes down, it must hold
        // an address that still answers.
        let away = self.away_order(key, zone);
        let kept = usize::from(length > 1 && !away.is_empty());
        let mut chosen: Vec<_> = near.iter().copied().take(length - kept).collect();
        chosen.extend(away);
        let rest = near.into_iter().skip(length - kept);
        chosen.extend(rest);
        chosen.truncate(length);
        chosen
    }

    /// Members of the zone: the owner of the key's slot, then the others by their scores.
    fn near_order(&self, key: u64, zone: &ZoneName) -> Vec<usize> {
        let mut order: Vec<_> = (0..self.members.len())
            .filter(|index| self.members[*index].zone == *zone)
            .collect();
        order.sort_by_key(|index| self.sort_key(key, *index));
        let owners = self.owners.get(zone);
        let owner = owners.and_then(|owners| owners.get(slot_of(key)));
        if let Some(place) = order.iter().position(|index| Some(index) == owner) {
            order[..=place].rotate_right(1);
        }
        order
    }

    /// Members of other zones: those of the same region first.
    fn away_order(&self, key: u64, zone: &ZoneName) -> Vec<usize> {
        let mut members = self.members.iter();
        let region = members.find(|m| m.zone == *zone).map(|m| &m.region);
        let mut order: Vec<_> = (0..self.members.len())
            .filter(|index| self.members[*index].zone != *zone)
            .collect();
        order.sort_by_key(|index| {
            let far = region.is_some_and(|region| *region != self.members[*index].region);
            (far, self.sort_key(key, *index))
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

    /// Daemons that a team's callers are spread over: a team that is larger than a daemon's even
    /// share would otherwise fill one daemon while its neighbours idle.
    fn spread(&self, query: &AddressQuery<'_>, config: &ConfigView, near: usize) -> usize {
        if query.prefix_group.is_some() || near < 2 {
            return 1;
        }
        let Some(team) = query.team.and_then(|team| config.teams.get(team)) else {
            return near;
        };
        let weights = config.teams.values().map(|team| u64::from(team.weight));
        let total = weights.sum::<u64>().max(1);
        let share = (u64::from(team.weight) * near as u64).div_ceil(total);
        usize::try_from(share).unwrap_or(near).clamp(1, near)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    suspect: bool,
    score: std::cmp::Reverse<u64>,
}

/// Gives each slot to the daemon of the zone with the highest score that is not full yet.
fn assign_slots(members: &[PlanMember], zone: &ZoneName) -> Vec<usize> {
    let near = members.iter().enumerate();
    let near: Vec<_> = near.filter(|(_, member)| member.zone == *zone).collect();
    let steady: Vec<_> = near.iter().filter(|(_, m)| !m.suspect).copied().collect();
    let candidates = if steady.is_empty() { near } else { steady };
    let bound = (KEY_SLOTS * LOAD_BOUND_PER_MILLE).div_ceil(1_000 * candidates.len().max(1));
    let mut loads = vec![0; members.len()];
    let mut owners = Vec::with_capacity(KEY_SLOTS);
    for slot in 0..KEY_SLOTS {
        let thing = rendezvous::mix_bits(slot as u64 + 1);
        let free = candidates.iter().filter(|(index, _)| loads[*index] < bound);
        let best = free.max_by_key(|(_, member)| rendezvous::score(thing, member.host.as_str()));
        if let Some((index, _)) = best {
            loads[*index] += 1;
            owners.push(*index);
        }
    }
    owners
}

fn slot_of(key: u64) -> usize {
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
    let known: Vec<_> = config.services.keys().map(ServiceName::as_str).collect();
    let detail = format!(
        "there is no service {service}; there are: {}",
        known.join(", ")
    );
    RequestRefusal::not_run(RefusalCode::NotFound, detail)
}
