//! Assembly of messages: selection of piggybacked updates within the datagram size.

use super::{
    MembershipState,
    probe::PendingProbe,
    table::{UpdateSource, is_live},
};
use crate::effect::{DaemonEffect, EffectQueue};
use rand::seq::{IndexedRandom, SliceRandom};
use savorywood_protocol::{
    HostName, MonotonicTime, RegionName,
    peer::{
        MembershipMessage, PeerMessage,
        membership::{MemberState, MemberTableDigest, MemberUpdate},
    },
};
use std::{net::SocketAddr, time::Duration};

/// Maximum bytes of updates that are piggybacked on a probe or an acknowledgement.
pub(super) const PIGGYBACK_BYTES: usize = 600;

/// Maximum bytes of updates in any message. The remainder of a datagram holds the other fields, the
/// sender and the authentication tag.
pub(super) const MAX_UPDATE_BYTES: usize = 1_000;

/// Number of table parts whose digests a probe carries.
const DIGEST_PARTS: u8 = 4;

/// Number of bridges per remote region to which urgent updates are sent.
const REMOTE_FANOUT: usize = 2;

/// Purpose of a ping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PingPurpose {
    /// Probes the target: a failure raises a suspicion.
    DetectFailure,
    /// Contacts a host without a consequence if it fails.
    Contact,
    /// Reads `count` parts of the target's table, starting at `first`.
    Pull {
        /// First part, below `TABLE_PARTS`.
        first: u8,
        /// Number of parts.
        count: u8,
    },
}

/// Updates collected for one message, within a byte limit.
struct UpdateList {
    updates: Vec<MemberUpdate>,
    free: usize,
}

impl UpdateList {
    fn new(bytes: usize) -> Self {
        Self {
            updates: Vec::new(),
            free: bytes,
        }
    }

    /// Adds an update if it fits and its member is not listed yet; returns whether it was added.
    fn push(&mut self, update: MemberUpdate) -> bool {
        let bytes = update.max_wire_bytes();
        let listed = self.updates.iter().any(|other| other.host == update.host);
        if listed || bytes > self.free {
            return false;
        }
        self.free -= bytes;
        self.updates.push(update);
        true
    }
}

impl MembershipState {
    /// Sends a ping and registers it as pending.
    pub(super) fn ping(
        &mut self,
        now: MonotonicTime,
        target: &HostName,
        purpose: PingPurpose,
        effects: &mut EffectQueue,
    ) {
        let Some(address) = self.address_of(target) else {
            return;
        };
        let remote = self.is_remote(target);
        let allowance = match remote {
            true => self.options.remote_allowance,
            false => Duration::ZERO,
        };
        let direct = self.health.stretch(self.options.direct_timeout) + allowance;
        let timeout = self.health.stretch(self.options.probe_timeout) + 2 * allowance;
        let detects_failure = purpose == PingPurpose::DetectFailure;
        let pulls = match purpose {
            PingPurpose::Pull { count, .. } => count,
            PingPurpose::DetectFailure | PingPurpose::Contact => 0,
        };
        let sequence = self.probes.add(PendingProbe {
            target: target.clone(),
            relay_at: detects_failure.then(|| now + direct),
            fails_at: now + timeout,
            relays: 0,
            nacks: 0,
            target_region_nack: false,
            detects_failure,
            pulls,
        });
        self.send_ping(target, address, sequence, purpose, effects);
    }

    /// Sends a ping under a sequence number that is already registered.
    pub(super) fn send_ping(
        &mut self,
        target: &HostName,
        address: SocketAddr,
        sequence: u64,
        purpose: PingPurpose,
        effects: &mut EffectQueue,
    ) {
        let digest = match purpose {
            PingPurpose::Pull { first, count } => self.table.digest(first, count),
            PingPurpose::DetectFailure | PingPurpose::Contact => self.next_digest(),
        };
        let knows_our_location = self
            .table
            .get(target)
            .is_some_and(|entry| entry.knows_our_location);
        let updates = self
            .gather(target, !knows_our_location, PIGGYBACK_BYTES)
            .updates;
        let message = MembershipMessage::Ping {
            sequence,
            newest_revision: self.newest_revision,
            digest,
            updates,
        };
        send(target, address, message, effects);
    }

    fn next_digest(&mut self) -> MemberTableDigest {
        let first = self.next_part;
        self.next_part = (first + DIGEST_PARTS) % super::table::TABLE_PARTS;
        self.table.digest(first, DIGEST_PARTS)
    }

    /// Acknowledges a ping, with the updates and table entries that the sender lacks.
    pub(super) fn send_ack(
        &mut self,
        to: &HostName,
        sequence: u64,
        digest: &MemberTableDigest,
        include_location: bool,
        effects: &mut EffectQueue,
    ) {
        let Some(address) = self.address_of(to) else {
            return;
        };
        let piggybacked = self.gather(to, include_location, PIGGYBACK_BYTES);
        let mut table = UpdateList::new(MAX_UPDATE_BYTES - PIGGYBACK_BYTES + piggybacked.free);
        let mut differing = match self.joined || digest.parts.len() < usize::from(DIGEST_PARTS) {
            true => self.table.differing(digest),
            false => Vec::new(),
        };
        // Shuffled each time, so that entries that do not fit now are sent with a later
        // acknowledgement.
        differing.shuffle(&mut self.rng);
        for host in &differing {
            if let Some(update) = self.table.update_of(host, true) {
                table.push(update);
            }
        }
        let message = MembershipMessage::Ack {
            sequence,
            newest_revision: self.newest_revision,
            updates: piggybacked.updates,
            table: table.updates,
            synced: self.joined,
        };
        send(to, address, message, effects);
    }

    /// Forwards a member's acknowledgement to the daemon that requested the indirect probe.
    pub(super) fn relay_ack(
        &mut self,
        to: &HostName,
        about: &HostName,
        sequence: u64,
        effects: &mut EffectQueue,
    ) {
        let Some(address) = self.address_of(to) else {
            return;
        };
        let updates = self.table.update_of(about, false).into_iter().collect();
        let message = MembershipMessage::Ack {
            sequence,
            newest_revision: self.newest_revision,
            updates,
            table: Vec::new(),
            synced: self.joined,
        };
        send(to, address, message, effects);
    }

    /// Sends a message without piggybacked updates, if the address of the host is known.
    pub(super) fn send_to(
        &self,
        to: &HostName,
        message: MembershipMessage,
        effects: &mut EffectQueue,
    ) {
        if let Some(address) = self.address_of(to) {
            send(to, address, message, effects);
        }
    }

    /// Collects the updates for a message: this daemon's own, the receiver's, then rumors.
    fn gather(&mut self, to: &HostName, include_location: bool, bytes: usize) -> UpdateList {
        let mut list = UpdateList::new(bytes);
        let own = self.options.host.clone();
        if include_location && let Some(update) = self.table.update_of(&own, true) {
            list.push(update);
        }
        // A suspected member receives its suspicion with the next message sent to it, so that it
        // can refute.
        let entry = self.table.get(to);
        let disputed = entry.is_some_and(|entry| entry.update.state != MemberState::Alive);
        if disputed && let Some(update) = self.table.update_of(to, false) {
            list.push(update);
        }
        let members = self.table.count();
        for rumor in self.rumors.by_priority() {
            if rumor.host == *to {
                continue;
            }
            let update = self.table.update_of(&rumor.host, rumor.with_location);
            if update.is_some_and(|update| list.push(update)) {
                self.rumors.record_sent(&rumor.host, members);
            }
        }
        list
    }

    /// Sends urgent updates at once to a few members. Each receiver does the same, so that the
    /// updates reach all members in a few round trips instead of a few probe intervals.
    pub(super) fn send_urgent(&mut self, effects: &mut EffectQueue) {
        let urgent = std::mem::take(&mut self.urgent_members);
        let newer = std::mem::take(&mut self.revision_unannounced);
        if urgent.is_empty() && !newer {
            return;
        }
        let mut list = UpdateList::new(MAX_UPDATE_BYTES);
        for host in &urgent {
            if let Some(update) = self.table.update_of(host, false) {
                list.push(update);
            }
        }
        for target in self.urgent_targets() {
            let updates = list.updates.clone();
            let message = MembershipMessage::Updates {
                newest_revision: self.newest_revision,
                updates,
            };
            self.send_to(&target, message, effects);
        }
    }

    fn urgent_targets(&mut self) -> Vec<HostName> {
        let live = self.live_in_own_region();
        let fanout = self.options.urgent_fanout;
        let mut targets: Vec<_> = live
            .choose_multiple(&mut self.rng, fanout)
            .cloned()
            .collect();
        for region in self.remote_regions() {
            let bridges = match self.is_bridge_to(&region) {
                true => self.remote_bridges(&region),
                false => self.local_bridges(&region),
            };
            let some = bridges.choose_multiple(&mut self.rng, REMOTE_FANOUT);
            targets.extend(some.cloned());
        }
        targets.sort();
        targets.dedup();
        targets
    }

    /// Peer address of a host: from the member table, else from the host list.
    pub(super) fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        let member = self
            .table
            .get(host)
            .map(|entry| entry.location.peer_address);
        member.or_else(|| self.seeds.get(host).map(|entry| entry.peer_address))
    }

    /// Whether a host is in another region.
    pub(super) fn is_remote(&self, host: &HostName) -> bool {
        let entry = self.table.get(host);
        entry.is_some_and(|entry| entry.location.region != *self.options.region())
    }

    /// Applies all updates of a message.
    pub(super) fn apply_updates(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        updates: &[MemberUpdate],
        source: UpdateSource,
        effects: &mut EffectQueue,
    ) {
        for update in updates {
            let source = match update.host == *from {
                true => UpdateSource::Member,
                false => source,
            };
            self.apply_update(now, update, source, effects);
        }
    }

    /// Live members of a region.
    pub(super) fn live_in(&self, region: &RegionName) -> impl Iterator<Item = &HostName> {
        let entries = self.table.entries();
        let live = entries.filter(move |(_, e)| is_live(e) && e.location.region == *region);
        live.map(|(host, _)| host)
    }
}

fn send(to: &HostName, address: SocketAddr, message: MembershipMessage, effects: &mut EffectQueue) {
    effects.push(DaemonEffect::SendPeer {
        to: to.clone(),
        address,
        message: PeerMessage::Membership(message),
    });
}
