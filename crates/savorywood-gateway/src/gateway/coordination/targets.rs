//! Receivers of the summaries, digests and changed rows of a daemon of a large zone.

use super::Gateway;
use crate::{
    coordination::COORDINATORS,
    gossip::PeerContact,
    message::{DaemonRole, PeerPhase, PeerSummary},
    peer::name_digest,
    rendezvous::{address_hash, rendezvous_weight},
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

/// Time for which a daemon of the zone that this one has just learned of receives summaries.
const INTRODUCTION_PERIOD: Duration = Duration::from_secs(2);
/// Time after which a daemon that has found no recent view reports to random daemons as well.
const LONE_SEARCH_PERIOD: Duration = Duration::from_millis(900);

impl Gateway {
    /// Sends summaries to a daemon of the zone for some time.
    pub(in crate::gateway) fn introduce(&mut self, now: MonotonicTime, address: SocketAddr) {
        let until = now + INTRODUCTION_PERIOD;
        self.coordination.introductions.insert(address, until);
        let contact = PeerContact {
            address,
            zone: Some(self.options.zone.clone()),
            processor_millis: 0,
        };
        self.contacts.record(now, contact);
    }

    /// Makes this daemon known to another one that serves callers and is not in its own view.
    pub(in crate::gateway) fn introduce_member(
        &mut self,
        now: MonotonicTime,
        summary: &PeerSummary,
    ) {
        let host = name_digest(&summary.host);
        let mut members = self.coordination.content.members.iter();
        let is_known = members.any(|member| member.host == host);
        let serves = summary.role == DaemonRole::Entry && summary.phase == PeerPhase::Ready;
        if self.has_coordinators() && self.coordination.computes && serves && !is_known {
            self.introduce(now, summary.peer_address);
        }
    }

    /// Returns the daemons of the zone outside the entry set that serve callers. They need the usage
    /// of teams at all other daemons that do.
    fn draining_neighbours(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let neighbours = self.peers.neighbours(now);
        let draining = neighbours.filter(|peer| peer.summary.role == DaemonRole::Draining);
        draining.map(|peer| peer.summary.peer_address).collect()
    }

    /// Returns whether summaries also go to daemons chosen at random, by which groups of daemons that
    /// do not know each other are joined.
    fn may_meet_others(&self, now: MonotonicTime) -> bool {
        let since = self.coordination.searches_since;
        self.coordination.computes || since.is_some_and(|at| now.since(at) >= LONE_SEARCH_PERIOD)
    }

    /// Returns the daemons of a large zone that receive a summary in this round.
    pub(in crate::gateway) fn report_targets(&mut self, now: MonotonicTime) -> Vec<SocketAddr> {
        let own = self.options.peer_address;
        let is_established = self.is_established(now);
        let mut targets: BTreeSet<SocketAddr> = BTreeSet::new();
        self.coordination
            .introductions
            .retain(|_, until| now < *until);
        targets.extend(self.coordination.introductions.keys());
        if let Some(view) = self.followed_view(now) {
            if self.role() != DaemonRole::Standby {
                targets.extend(view.members.iter().map(|member| member.peer_address));
                targets.extend(self.draining_neighbours(now));
            }
        } else {
            let members = self.coordination.content.members.iter();
            targets.extend(members.map(|member| member.peer_address));
            targets.extend(self.draining_neighbours(now));
            if self.may_meet_others(now) {
                let random = &mut self.random;
                targets.extend(self.contacts.random_zone_contacts(|| random.next()));
            }
        }
        if !is_established {
            let follower = &mut self.coordination.follower;
            let reports = follower.report_targets(now, own);
            follower.record_reports(now, &reports);
            targets.extend(reports);
        }
        if !is_established && self.followed_view(now).is_none() {
            let zone = self.options.zone.clone();
            targets.extend(self.contacts.bootstrap_contacts(&zone));
        }
        targets.remove(&own);
        targets.into_iter().collect()
    }

    /// Returns whether a daemon is a coordinator in this daemon's own view.
    pub(in crate::gateway) fn is_coordinator_host(&self, host: u64) -> bool {
        self.coordination.content.coordinator_rank(host).is_some()
    }

    /// Returns the peer addresses of the other members of the entry set of a large zone.
    pub(in crate::gateway) fn member_peer_addresses(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let own = self.options.peer_address;
        let view = self.followed_view(now);
        let content = view.unwrap_or(&self.coordination.content);
        let addresses = content.members.iter().map(|member| member.peer_address);
        addresses.filter(|address| *address != own).collect()
    }

    /// Returns the address hashes of the other coordinators of the zone that have heard from its
    /// daemons.
    pub(in crate::gateway) fn other_coordinators(&self, now: MonotonicTime) -> Vec<u64> {
        let neighbours = self.peers.neighbours(now);
        let others = neighbours
            .filter(|peer| peer.summary.coordinates && self.is_coordinator_host(peer.digest));
        others
            .map(|peer| address_hash(peer.summary.peer_address))
            .collect()
    }

    /// Returns the daemons of a large zone to which this coordinator forwards changed rows: its
    /// share of the daemons outside the entry set and, if it reads the store itself, all members.
    pub(in crate::gateway) fn row_targets(
        &self,
        now: MonotonicTime,
        reads_store: bool,
    ) -> Vec<SocketAddr> {
        if !self.is_coordinator() {
            return Vec::new();
        }
        let own = address_hash(self.options.peer_address);
        let others = self.other_coordinators(now);
        let members = self.coordination.content.members.iter();
        let members: BTreeSet<u64> = members.map(|member| member.host).collect();
        let is_target = |digest: u64, address: SocketAddr| {
            if members.contains(&digest) {
                return reads_store;
            }
            let receiver = address_hash(address);
            let weight = rendezvous_weight(own, receiver);
            others
                .iter()
                .all(|other| rendezvous_weight(*other, receiver) < weight)
        };
        let neighbours = self.peers.neighbours(now);
        let targets = neighbours.filter(|peer| is_target(peer.digest, peer.summary.peer_address));
        targets.map(|peer| peer.summary.peer_address).collect()
    }

    /// Returns the coordinators to which a digest of another zone is passed on: this daemon is none
    /// of them, and the sender may not know them yet. A digest that a daemon of the own zone has
    /// passed on goes no further.
    #[must_use]
    pub fn digest_forward_targets(
        &self,
        now: MonotonicTime,
        sender: SocketAddr,
    ) -> Vec<SocketAddr> {
        let view = self.followed_view(now);
        let view = view.filter(|view| {
            let is_listed = view.coordinator_rank(self.own_digest()).is_some();
            !is_listed && !self.contacts.is_zone_contact(sender)
        });
        let members = view.into_iter().flat_map(|view| &view.members);
        let coordinators = members.take(COORDINATORS);
        let others = coordinators.filter(|member| member.host != self.own_digest());
        others.map(|member| member.peer_address).collect()
    }

    /// Returns whether this daemon needs the list of the daemons of all zones, rather than of its
    /// own: only those that exchange digests with other zones do.
    #[must_use]
    pub fn needs_all_contacts(&self, now: MonotonicTime) -> bool {
        !self.has_coordinators() || self.is_established(now)
    }

    /// Returns whether this daemon has been running for `time` without a reply from any daemon of
    /// its large zone.
    #[must_use]
    pub fn is_unanswered(&self, now: MonotonicTime, time: Duration) -> bool {
        let is_alone = self.followed_view(now).is_none() && self.heard_daemons(now) <= 1;
        self.has_coordinators() && is_alone && self.uptime(now) >= time
    }
}
