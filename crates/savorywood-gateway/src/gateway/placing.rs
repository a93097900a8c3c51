//! Upkeep of the slot reservations.

use super::Gateway;
use crate::{
    label::ZoneLabel,
    message::{DaemonRole, PeerPhase},
    placing::{HoldCause, MemberHistory, ReservationPolicy, is_group, rank_claim},
    rendezvous::address_hash,
};
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Interval between two looks at the free slots of all upstreams.
const VACANCY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two looks at the members.
const MEMBER_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest interval between two looks at the members while the number of live peers changes.
const MIN_MEMBER_INTERVAL: Duration = Duration::from_millis(100);
/// Least time between two computations of all claims, for each pair of a member and an upstream. With
/// 1,000 members and 3,000 upstreams one takes 42 ms, so that they take 1% of a core at most.
const INTERVAL_PER_PAIR: Duration = Duration::from_nanos(1_400);
/// Intervals between summaries after which a peer's message is overdue.
const OVERDUE_FACTOR: f64 = 2.4;
/// Uptime before which the members are not known, and peers have not reported the slots they use.
const DISCOVERY_UPTIME: Duration = Duration::from_millis(1_100);

impl Gateway {
    /// Selects another rule for the division of slots, for comparison.
    #[doc(hidden)]
    pub fn set_reservation_policy(&mut self, policy: ReservationPolicy) {
        self.reservation_policy = policy;
    }

    /// Returns the numbers of selections that a reservation held back, by cause.
    pub fn reservation_holds(&self) -> impl Iterator<Item = (HoldCause, u64)> + '_ {
        self.reservation_holds.iter()
    }

    /// Updates the claims of this daemon and the times since when slots are free.
    pub(super) fn refresh_reservations(&mut self, now: MonotonicTime) {
        if !self.options.overload.slot_reservations {
            return;
        }
        if now.since(self.vacancies_at) >= VACANCY_INTERVAL {
            self.vacancies_at = now;
            let peers = &self.peers;
            for state in self.fleet.iter_mut() {
                let seen = state.running + peers.slots_by_digest(state.digest).running;
                // The slots of lost members are not free, although nobody reports that they are used.
                let claim = state.reservation.claim;
                let slots = claim.map_or(state.entry.slots, |claim| claim.group_slots);
                let free = slots.saturating_sub(seen);
                state.reservation.vacancies.update(now, free);
            }
        }
        self.refresh_slot_members(now);
    }

    /// Updates the members and the claims, at once if the number of live peers has changed: the slots
    /// of lost peers would otherwise appear free until the next look.
    fn refresh_slot_members(&mut self, now: MonotonicTime) {
        let since_refresh = now.since(self.slot_members_at);
        let least = self.min_claim_interval(&self.slot_members);
        if since_refresh < least || self.uptime(now) < DISCOVERY_UPTIME {
            return;
        }
        let overdue = self.overdue_group(now);
        let live_count = self.peers.live_peers(now).count() - overdue.len();
        if since_refresh < MEMBER_INTERVAL && live_count == self.slot_live_peers {
            return;
        }
        self.slot_members_at = now;
        self.slot_live_peers = live_count;
        let members = self.members_by_zone(now, self.entry.members());
        let present = members.into_values().flatten();
        let present: Vec<u64> = present.filter(|member| !overdue.contains(member)).collect();
        let live = self.live_address_hashes(now);
        let live: BTreeSet<u64> = live.difference(&overdue).copied().collect();
        let is_changed = self
            .slot_members
            .update(now, present, |member| live.contains(&member));
        let own = address_hash(self.options.peer_address);
        for state in self.fleet.iter_mut() {
            if is_changed || state.reservation.claim.is_none() {
                let slots = state.entry.slots;
                state.reservation.claim = rank_claim(own, state.digest, slots, &self.slot_members);
            }
        }
    }

    /// Returns the shortest interval between two computations of the shares of all upstreams.
    pub(super) fn min_claim_interval(&self, members: &MemberHistory) -> Duration {
        let pairs = members.present().len() * self.fleet.iter().count();
        let pairs = u32::try_from(pairs).unwrap_or(u32::MAX);
        MIN_MEMBER_INTERVAL.max(INTERVAL_PER_PAIR.saturating_mul(pairs))
    }

    /// Returns the address hashes of the live peers.
    pub(super) fn live_address_hashes(&self, now: MonotonicTime) -> BTreeSet<u64> {
        let live = self.peers.live_peers(now);
        live.map(|peer| address_hash(peer.summary.peer_address))
            .collect()
    }

    /// Returns the members whose messages are overdue, if they are so many that a partition is
    /// likely. Until they count as not live, they and this daemon would take the same slots.
    fn overdue_group(&self, now: MonotonicTime) -> BTreeSet<u64> {
        let max_age = self.contacts.gossip_interval().mul_f64(OVERDUE_FACTOR);
        let live = self.peers.live_peers(now);
        let overdue = live.filter(|peer| now.since(peer.received_at) > max_age);
        let overdue: BTreeSet<u64> = overdue
            .map(|peer| address_hash(peer.summary.peer_address))
            .collect();
        if is_group(overdue.len(), self.slot_members.present().len()) {
            overdue
        } else {
            BTreeSet::new()
        }
    }

    /// Returns the address hashes of the entry set members of all zones; `own_members` are those of
    /// the own zone.
    pub(super) fn members_by_zone(
        &self,
        now: MonotonicTime,
        own_members: &[u64],
    ) -> BTreeMap<ZoneLabel, Vec<u64>> {
        let own_zone = self.options.zone.clone();
        let mut members: BTreeMap<ZoneLabel, Vec<u64>> = BTreeMap::new();
        let own_hashes = self.member_address_hashes(now, own_zone.as_str(), own_members);
        members.insert(own_zone.clone(), own_hashes);
        let direct = self.peers.direct_zones(now).into_iter();
        for zone in direct.filter(|zone| *zone != own_zone.as_str()) {
            let selected = self.select_members(now, zone);
            let hashes = self.member_address_hashes(now, zone, &selected);
            members.insert(ZoneLabel::from(zone), hashes);
        }
        for digest in self.peers.zone_digests(now) {
            let entry = digest.members.iter().filter(|member| {
                member.phase == PeerPhase::Ready && member.role == DaemonRole::Entry
            });
            let hashes = entry.map(|member| address_hash(member.peer_address));
            members.insert(ZoneLabel::from(digest.zone.as_str()), hashes.collect());
        }
        members
    }
}
