//! Computation of the entry set, its leases, and the addresses for callers.

use super::{Gateway, GatewayEffects};
use crate::{
    effect::GatewayEffect,
    entry_set::{EntryCandidate, HostResources, MemberRanking, rank_members},
    label::RegionLabel,
    message::{DaemonRole, PeerPhase},
    peer::{PeerState, name_digest},
    region::CallerLocation,
    rendezvous::address_hash,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Interval between two computations of the entry set.
const ENTRY_REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// A process that handled no event for this long was frozen, and its peers have recorded it as not
/// live.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(1_300);
/// A daemon whose summary is late by this factor may be unreachable.
const OVERDUE_FACTOR: f64 = 1.4;
/// Minimum uptime for holding leases. A younger daemon has no record of what its previous
/// incarnation dispatched to cold upstreams within the second over which their rate is counted.
pub(super) const MIN_LEASE_UPTIME: Duration = Duration::from_millis(1_100);
/// Interval between two computations of leases while nothing needs them. It is not longer because
/// the members must have been known for a while once something does.
const IDLE_LEASE_INTERVAL: Duration = Duration::from_millis(500);
/// Uptime below which a daemon that has received no messages from most of its zone has not
/// discovered the entry set.
pub(super) const DISCOVERY_PERIOD: Duration = Duration::from_millis(700);

impl Gateway {
    /// Recomputes the entry set of the own zone, its leases, and the number of members of all
    /// zones.
    pub(super) fn refresh_entry(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        if now.since(self.entry_refreshed_at) < ENTRY_REFRESH_INTERVAL {
            return;
        }
        if self.entry_refreshed_at != MonotonicTime::default()
            && now.since(self.entry_refreshed_at) >= FREEZE_THRESHOLD
        {
            self.resumed_at = Some(now);
        }
        self.entry_refreshed_at = now;
        self.started_at.get_or_insert(now);
        let zone = self.options.zone.as_str();
        let live_peers = self.peers.live_peers(now);
        let neighbours: Vec<&PeerState> = live_peers
            .filter(|peer| peer.summary.zone == zone)
            .collect();
        // The resources that standby hosts use go into gossip and tables rather than into serving
        // callers.
        let serving = neighbours
            .iter()
            .filter(|peer| peer.summary.role != DaemonRole::Standby);
        let own = if self.role() == DaemonRole::Standby {
            HostResources::default()
        } else {
            self.load
        };
        let load = serving.fold(own, |sum, peer| sum.plus(&peer.summary.load));
        let daemons = neighbours.len() + 1;
        let peaks = neighbours.iter().map(|peer| peer.summary.peak);
        self.peak.update(now, load, peaks);
        self.expire_arrival(now);
        self.refresh_coordination(now, effects);
        let members = self.own_members(now);
        let was_member = self.is_entry_member();
        let count = members.len();
        self.refresh_leases(now, &members);
        self.refresh_limit_members(now, &members);
        let entry_daemons = self.count_entry_daemons(now, count);
        let previous_entry_daemons = std::mem::replace(&mut self.entry_daemons, entry_daemons);
        let is_changed = self.entry.replace(members);
        if is_changed || previous_entry_daemons != entry_daemons {
            self.members_changed();
        }
        self.refresh_lone_share(now);
        if !is_changed {
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

    /// Recomputes the leases among the members of all zones.
    ///
    /// A daemon that receives messages from few others would regard itself as the only holder of
    /// every lease, so a daemon that does not receive messages from a majority holds none, and only a part
    /// of those that are shared.
    fn refresh_leases(&mut self, now: MonotonicTime, own_members: &[u64]) {
        let is_entry_member = own_members.contains(&name_digest(self.options.host.as_str()));
        if !is_entry_member || self.uptime(now) < MIN_LEASE_UPTIME {
            return self.leases.release();
        }
        if !self.peers.sees_majority(now) {
            let known = self.peers.count_daemons(now).known;
            return self.leases.keep_minority_part(known);
        }
        let is_needed = self.fleet.has_warmups()
            || self.fleet.has_limits()
            || self.quarantine.quarantined_count() > 0;
        if !is_needed && now.since(self.leases_refreshed_at) < IDLE_LEASE_INTERVAL {
            return;
        }
        self.leases_refreshed_at = now;
        let members = self.members_by_zone(now, own_members);
        let own = address_hash(self.options.peer_address);
        self.leases.update(now, own, members);
    }

    /// Returns the address hashes of the selected members of a zone whose daemons send summaries
    /// here.
    pub(super) fn member_address_hashes(
        &self,
        now: MonotonicTime,
        zone: &str,
        members: &[u64],
    ) -> Vec<u64> {
        let is_own = zone == self.options.zone.as_str();
        if let Some(view) = self.followed_view(now).filter(|_| is_own) {
            let ready = view.members.iter();
            let ready = ready.filter(|member| member.phase == PeerPhase::Ready);
            return ready
                .map(|member| address_hash(member.peer_address))
                .collect();
        }
        let mut hashes = Vec::new();
        if members.contains(&name_digest(self.options.host.as_str())) {
            hashes.push(address_hash(self.options.peer_address));
        }
        let peers = self.peers.member_candidates(now, zone, false);
        let selected = peers.filter(|peer| members.contains(&peer.digest));
        hashes.extend(selected.map(|peer| address_hash(peer.summary.peer_address)));
        hashes
    }

    /// Returns whether this daemon is a member of the entry set of its zone.
    #[must_use]
    pub fn is_entry_member(&self) -> bool {
        self.entry.contains(name_digest(self.options.host.as_str()))
    }

    /// Returns the size of the entry set of the own zone.
    #[must_use]
    pub fn entry_member_count(&self) -> usize {
        self.entry.count()
    }

    /// Returns the role of this daemon in dispatching requests.
    #[must_use]
    pub fn role(&self) -> DaemonRole {
        if self.is_entry_member() {
            DaemonRole::Entry
        } else if self.has_callers() {
            DaemonRole::Draining
        } else {
            DaemonRole::Standby
        }
    }

    /// Returns whether this daemon has requests of callers, or in a large zone had some recently,
    /// whether or not it is a member of the entry set.
    pub(super) fn has_callers(&self) -> bool {
        let had_recently = self.has_coordinators() && self.last_arrival_at.is_some();
        had_recently || !self.requests.is_empty()
    }

    /// Returns the members of the own zone, as computed here or as a coordinator lists them.
    fn own_members(&mut self, now: MonotonicTime) -> Vec<u64> {
        if self.has_coordinators() && !self.computes() {
            let members = self.last_view().into_iter().flat_map(|view| &view.members);
            return members.map(|member| member.host).collect();
        }
        let zone = self.options.zone.clone();
        let ranking = self.rank_members(now, zone.as_str());
        self.update_view(now, &ranking);
        ranking.members
    }

    /// Selects the members of a zone whose daemons send summaries here.
    pub(super) fn select_members(&self, now: MonotonicTime, zone: &str) -> Vec<u64> {
        self.rank_members(now, zone).members
    }

    fn rank_members(&self, now: MonotonicTime, zone: &str) -> MemberRanking {
        let is_own = zone == self.options.zone.as_str();
        let heartbeats = is_own && self.contacts.uses_zone_digests();
        // A host that has just lost power must not replace another one that was lost with it.
        let overdue = self.contacts.gossip_interval().mul_f64(OVERDUE_FACTOR);
        let mut candidates = Vec::new();
        let mut load = HostResources::default();
        for peer in self.peers.member_candidates(now, zone, heartbeats) {
            load = load.max(&peer.summary.peak);
            let is_past_expected = heartbeats && now.since(peer.received_at) > overdue;
            candidates.push(EntryCandidate {
                host: peer.digest,
                capacity: peer.summary.capacity,
                stable_for: if is_past_expected {
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
        rank_members(candidates, &load)
    }

    fn own_candidate(&self, now: MonotonicTime) -> EntryCandidate {
        let stable_since = self.started_at.max(self.resumed_at);
        EntryCandidate {
            host: name_digest(self.options.host.as_str()),
            capacity: self.options.capacity,
            stable_for: stable_since.map_or(Duration::ZERO, |at| now.since(at)),
        }
    }

    /// Returns the number of members of all zones, of which `own_members` are in the own zone; at
    /// least 1.
    fn count_entry_daemons(&self, now: MonotonicTime, own_members: usize) -> usize {
        let own_zone = self.options.zone.as_str();
        let direct = self.peers.direct_zones(now).into_iter();
        let direct = direct.filter(|zone| *zone != own_zone);
        let direct: usize = direct
            .map(|zone| self.select_members(now, zone).len())
            .sum();
        let reported = self
            .peers
            .zone_digests(now)
            .flat_map(|digest| &digest.members);
        let reported = reported
            .filter(|member| member.role == DaemonRole::Entry)
            .count();
        (own_members + direct + reported).max(1)
    }

    /// Returns the time since this incarnation first sent a message or computed the entry set.
    pub(super) fn uptime(&self, now: MonotonicTime) -> Duration {
        self.started_at.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Returns whether this daemon has received messages from at least half of its zone, or has had
    /// the time to.
    pub(super) fn has_discovered_zone(&self, now: MonotonicTime) -> bool {
        if self.uptime(now) >= DISCOVERY_PERIOD || !self.contacts.uses_zone_digests() {
            return true;
        }
        if self.has_coordinators() {
            return self.followed_view(now).is_some();
        }
        let received = self.peers.neighbours(now).count();
        received * 2 >= self.contacts.zone_contacts().len()
    }

    /// Returns at most `max_addresses` addresses for a caller: those of its own zone only, if there
    /// are any, as traffic between zones is expensive.
    ///
    /// Returns none while this daemon has not discovered its zone: listed too early, it would
    /// receive the callers of its complete zone without information on free slots.
    ///
    /// A caller whose zone has no members receives the addresses of its region, or else those of
    /// the home regions of the host that it calls: its requests must not pass through any other
    /// region.
    #[must_use]
    pub fn caller_addresses(
        &self,
        now: MonotonicTime,
        caller: CallerLocation<'_>,
        max_addresses: usize,
    ) -> Vec<SocketAddr> {
        if !self.has_discovered_zone(now) {
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
        let zone_addresses = caller.zone.and_then(|zone| by_zone.remove(zone));
        let mut addresses = zone_addresses.unwrap_or_default();
        if addresses.is_empty() {
            addresses = self.fallback_addresses(caller, &by_zone);
        }
        addresses.truncate(max_addresses);
        addresses
    }

    /// Returns the addresses for a caller whose own zone has none.
    fn fallback_addresses(
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

    /// Returns the caller addresses of the members of a zone whose daemons send summaries here.
    fn member_addresses(&self, now: MonotonicTime, zone: &str) -> Vec<SocketAddr> {
        let is_own = zone == self.options.zone.as_str();
        if is_own && self.has_coordinators() && !self.computes() {
            let members = self.last_view().into_iter().flat_map(|view| &view.members);
            let ready = members.filter(|member| member.phase == PeerPhase::Ready);
            return ready.map(|member| member.caller_address).collect();
        }
        let members = self.select_members(now, zone);
        let mut addresses = Vec::new();
        if members.contains(&name_digest(self.options.host.as_str())) {
            addresses.push(self.options.caller_address);
        }
        let peers = self.peers.member_candidates(now, zone, false);
        let selected = peers.filter(|peer| members.contains(&peer.digest));
        addresses.extend(selected.map(|peer| peer.summary.caller_address));
        addresses
    }
}
