//! Members of the entry set as this daemon computes them.

use super::{Gateway, GatewayEffects};
use crate::{
    effect::GatewayEffect,
    entry_set::{EntryCandidate, HostResources, select_members},
    label::{RegionLabel, ZoneLabel},
    message::{DaemonRole, PeerPhase},
    peer::{PeerState, name_digest},
    region::CallerLocation,
    rendezvous::address_hash,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Time between two computations of the set.
const REFRESH_TIME: Duration = Duration::from_millis(50);
/// A process that did nothing for this long was frozen; its peers took it for lost.
const FROZEN_TIME: Duration = Duration::from_millis(1_300);
/// A daemon whose summary is late by this factor may be gone.
const OVERDUE_FACTOR: f64 = 1.4;
/// A daemon that has been running for less does not know what its last life sent to cold upstreams
/// within the second that their bound counts.
const LEASE_PAUSE: Duration = Duration::from_millis(1_100);
/// Time between two computations of leases that nothing needs: the members must be known for a
/// while once it does.
const LEASE_REST_TIME: Duration = Duration::from_millis(500);
/// A daemon that has been running for less, and has not seen most of its zone, does not know
/// the set.
pub(super) const DISCOVERY_TIME: Duration = Duration::from_millis(700);

impl Gateway {
    /// Computes the members of the own zone anew, and counts those of all zones.
    pub(super) fn refresh_entry(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        if now.since(self.entry_at) < REFRESH_TIME {
            return;
        }
        if self.entry_at != MonotonicTime::default() && now.since(self.entry_at) >= FROZEN_TIME {
            self.resumed_at = Some(now);
        }
        self.entry_at = now;
        self.started_at.get_or_insert(now);
        let zone = self.options.zone.as_str();
        let peers = self.peers.live_peers(now);
        let near: Vec<&PeerState> = peers.filter(|peer| peer.summary.zone == zone).collect();
        // What hosts that stand by use goes into gossip and tables, not into callers.
        let placing = near
            .iter()
            .filter(|peer| peer.summary.role != DaemonRole::Standby);
        let own = if self.role() == DaemonRole::Standby {
            HostResources::default()
        } else {
            self.load
        };
        let load = placing.fold(own, |sum, peer| sum.plus(&peer.summary.load));
        let daemons = near.len() + 1;
        let peaks = near.iter().map(|peer| peer.summary.peak);
        self.peak.update(now, load, peaks);
        let members = self.select_members(now, zone);
        let was_member = self.is_entry_member();
        let count = members.len();
        self.refresh_leases(now, &members);
        let entry_daemons = self.count_entry_daemons(now, count);
        let was_counted = std::mem::replace(&mut self.entry_daemons, entry_daemons);
        let is_other_set = self.entry.replace(members);
        if is_other_set || was_counted != entry_daemons {
            self.members_changed();
        }
        if !is_other_set {
            return;
        }
        let line = LogLine::new(LogLevel::Info, "entry-set-changed")
            .with("members", count)
            .with("daemons", daemons)
            .with("member", self.is_entry_member())
            .with("was_member", was_member)
            .with("descriptors", self.peak.load().descriptors)
            .with("processor_millis", self.peak.load().processor_millis)
            .with("memory_kib", self.peak.load().memory_kib)
            .with("link_kbps", self.peak.load().link_kbps);
        effects.push(GatewayEffect::Log(line));
    }

    /// Leases among the members of all zones.
    ///
    /// Daemons that see few others each take themselves for the only holder of every lease, so
    /// those that do not see most daemons hold none.
    fn refresh_leases(&mut self, now: MonotonicTime, own_members: &[u64]) {
        let is_entry_member = own_members.contains(&name_digest(self.options.host.as_str()));
        if !is_entry_member || self.age(now) < LEASE_PAUSE || !self.peers.sees_majority(now) {
            return self.leases.release();
        }
        let is_needed = self.fleet.has_warmups()
            || self.fleet.has_limits()
            || self.quarantine.quarantined_count() > 0;
        if !is_needed && now.since(self.leases_at) < LEASE_REST_TIME {
            return;
        }
        self.leases_at = now;
        let own_zone = self.options.zone.clone();
        let mut members: BTreeMap<ZoneLabel, Vec<u64>> = BTreeMap::new();
        let near = self.member_numbers(now, own_zone.as_str(), own_members);
        members.insert(own_zone.clone(), near);
        let direct = self.peers.direct_zones(now).into_iter();
        for zone in direct.filter(|zone| *zone != own_zone.as_str()) {
            let selected = self.select_members(now, zone);
            let numbers = self.member_numbers(now, zone, &selected);
            members.insert(ZoneLabel::from(zone), numbers);
        }
        for digest in self.peers.zone_digests(now) {
            let entry = digest.members.iter().filter(|member| {
                member.phase == PeerPhase::Ready && member.role == DaemonRole::Entry
            });
            let numbers = entry.map(|member| address_hash(member.peer_address));
            members.insert(ZoneLabel::from(digest.zone.as_str()), numbers.collect());
        }
        let own = address_hash(self.options.peer_address);
        self.leases.update(now, own, members);
    }

    /// Numbers, by address, of members of a zone whose daemons send summaries here.
    fn member_numbers(&self, now: MonotonicTime, zone: &str, members: &[u64]) -> Vec<u64> {
        let mut numbers = Vec::new();
        if members.contains(&name_digest(self.options.host.as_str())) {
            numbers.push(address_hash(self.options.peer_address));
        }
        let peers = self.peers.member_candidates(now, zone, false);
        let named = peers.filter(|peer| members.contains(&peer.digest));
        numbers.extend(named.map(|peer| address_hash(peer.summary.peer_address)));
        numbers
    }

    /// This daemon is a member of the entry set of its zone.
    #[must_use]
    pub fn is_entry_member(&self) -> bool {
        self.entry.contains(name_digest(self.options.host.as_str()))
    }

    /// Daemons of the own zone that the directory names.
    #[must_use]
    pub fn entry_member_count(&self) -> usize {
        self.entry.count()
    }

    /// Part of this daemon in placing requests.
    #[must_use]
    pub fn role(&self) -> DaemonRole {
        if self.is_entry_member() {
            DaemonRole::Entry
        } else if self.requests.is_empty() {
            DaemonRole::Standby
        } else {
            DaemonRole::Draining
        }
    }

    /// Members of a zone whose daemons send summaries here.
    fn select_members(&self, now: MonotonicTime, zone: &str) -> Vec<u64> {
        let is_own = zone == self.options.zone.as_str();
        let heartbeats = is_own && self.contacts.uses_zone_digests();
        // A host that just lost power must not be called in for one that was lost with it.
        let overdue = self.contacts.pause().mul_f64(OVERDUE_FACTOR);
        let mut candidates = Vec::new();
        let mut load = HostResources::default();
        for peer in self.peers.member_candidates(now, zone, heartbeats) {
            load = load.max(&peer.summary.peak);
            let is_overdue = heartbeats && now.since(peer.received_at) > overdue;
            candidates.push(EntryCandidate {
                host: peer.digest,
                capacity: peer.summary.capacity,
                stable_for: if is_overdue {
                    Duration::ZERO
                } else {
                    peer.stable_for(now, self.resumed_at)
                },
            });
        }
        if is_own {
            load = self.peak.load();
            if self.is_ready(now) {
                candidates.push(self.own_candidate(now));
            }
        }
        select_members(candidates, &load)
    }

    fn own_candidate(&self, now: MonotonicTime) -> EntryCandidate {
        let steady_since = self.started_at.max(self.resumed_at);
        EntryCandidate {
            host: name_digest(self.options.host.as_str()),
            capacity: self.options.capacity,
            stable_for: steady_since.map_or(Duration::ZERO, |at| now.since(at)),
        }
    }

    /// Daemons that place requests in all zones, of which `own` are in the own one.
    fn count_entry_daemons(&self, now: MonotonicTime, own: usize) -> usize {
        let own_zone = self.options.zone.as_str();
        let direct = self.peers.direct_zones(now).into_iter();
        let direct = direct.filter(|zone| *zone != own_zone);
        let direct: usize = direct
            .map(|zone| self.select_members(now, zone).len())
            .sum();
        let far = self
            .peers
            .zone_digests(now)
            .flat_map(|digest| &digest.members);
        let far = far
            .filter(|member| member.role == DaemonRole::Entry)
            .count();
        (own + direct + far).max(1)
    }

    /// Time since this daemon's first message.
    pub(super) fn age(&self, now: MonotonicTime) -> Duration {
        self.started_at.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// This daemon has seen most of its zone, or should have by now.
    pub(super) fn knows_own_zone(&self, now: MonotonicTime) -> bool {
        if self.age(now) >= DISCOVERY_TIME || !self.contacts.uses_zone_digests() {
            return true;
        }
        let received = self.peers.neighbours(now).count();
        received * 2 >= self.contacts.near().len()
    }

    /// Addresses for a caller of a zone, those of its own zone alone if there are any: bytes
    /// between zones are dear.
    ///
    /// None while this daemon does not know its zone yet: named too soon, it would take the
    /// callers of the whole zone without knowing where slots are free.
    ///
    /// A caller whose zone has no members gets those of its region, then those of the home regions
    /// of the host that it calls: its requests must not pass through any other.
    #[must_use]
    pub fn caller_addresses(
        &self,
        now: MonotonicTime,
        caller: CallerLocation<'_>,
        most: usize,
    ) -> Vec<SocketAddr> {
        if !self.knows_own_zone(now) {
            return Vec::new();
        }
        let mut by_zone: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        by_zone.insert(
            self.options.zone.as_str(),
            self.member_addresses(now, self.options.zone.as_str()),
        );
        for direct in self.peers.direct_zones(now) {
            let addresses = by_zone.entry(direct);
            addresses.or_insert_with(|| self.member_addresses(now, direct));
        }
        for digest in self.peers.zone_digests(now) {
            let members = digest.members.iter().filter(|member| {
                member.phase == PeerPhase::Ready && member.role == DaemonRole::Entry
            });
            let addresses = members.map(|member| member.caller_address);
            by_zone.insert(&digest.zone, addresses.collect());
        }
        let near = caller.zone.and_then(|zone| by_zone.remove(zone));
        let mut addresses = near.unwrap_or_default();
        if addresses.is_empty() {
            addresses = self.far_addresses(caller, &by_zone);
        }
        addresses.truncate(most);
        addresses
    }

    /// Addresses for a caller whose own zone has none.
    fn far_addresses(
        &self,
        caller: CallerLocation<'_>,
        by_zone: &BTreeMap<&str, Vec<SocketAddr>>,
    ) -> Vec<SocketAddr> {
        let within = |is_within: &dyn Fn(&RegionLabel) -> bool| -> Vec<SocketAddr> {
            let zones = by_zone.iter().filter(|(zone, _)| {
                let region = self.options.regions.region(zone);
                region.is_some_and(is_within)
            });
            zones
                .flat_map(|(_, addresses)| addresses)
                .copied()
                .collect()
        };
        let own = within(&|region| caller.region == Some(region.as_str()));
        if !own.is_empty() {
            return own;
        }
        let config = self.config.as_ref();
        let homes = caller.host.zip(config);
        let homes = homes.map(|(host, config)| config.home_regions_of(host));
        match homes.filter(|homes| !homes.is_empty()) {
            Some(homes) => within(&|region| homes.contains(region)),
            None => by_zone.values().flatten().copied().collect(),
        }
    }

    /// Addresses of the members of a zone whose daemons send summaries here.
    fn member_addresses(&self, now: MonotonicTime, zone: &str) -> Vec<SocketAddr> {
        let members = self.select_members(now, zone);
        let mut addresses = Vec::new();
        if members.contains(&name_digest(self.options.host.as_str())) {
            addresses.push(self.options.caller_address);
        }
        let peers = self.peers.member_candidates(now, zone, false);
        let named = peers.filter(|peer| members.contains(&peer.digest));
        addresses.extend(named.map(|peer| peer.summary.caller_address));
        addresses
    }
}
