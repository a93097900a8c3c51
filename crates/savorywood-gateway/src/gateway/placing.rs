//! Upkeep of the slot reservations.

use super::Gateway;
use crate::{
    label::ZoneLabel,
    message::{DaemonRole, PeerPhase},
    placing::{HoldCause, ReservationPolicy, rank_claim},
    rendezvous::address_hash,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Interval between two looks at the free slots of all upstreams.
const VACANCY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two looks at the members. Claims are computed only if they have changed: with
/// 1,000 members and 3,000 upstreams that takes about 10 ms.
const MEMBER_INTERVAL: Duration = Duration::from_millis(500);
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
        if now.since(self.slot_members_at) < MEMBER_INTERVAL || self.uptime(now) < DISCOVERY_UPTIME
        {
            return;
        }
        self.slot_members_at = now;
        let members = self.members_by_zone(now, self.entry.members());
        let present: Vec<u64> = members.into_values().flatten().collect();
        let live = self.peers.live_peers(now);
        let live: Vec<u64> = live
            .map(|peer| address_hash(peer.summary.peer_address))
            .collect();
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
