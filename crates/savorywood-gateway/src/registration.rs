//! Registration of daemons in the store's list when all of them start for the first time.
//!
//! If each daemon registered itself, the writes would queue up in the store, and their number would
//! grow with the number of daemons. The daemons that the settings name as seeds receive the first
//! summaries of all others, so they register them together, and of a large zone only so many that
//! the others find it.

use crate::{gossip::uses_coordinators, label::ZoneLabel, message::PeerSummary};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Daemons of one zone that are registered: enough that it counts as large, and some more for those
/// that are lost.
const MAX_REGISTERED: usize = 96;

/// A daemon to be registered in the store's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRegistration {
    /// Name of its host.
    pub host: String,
    /// Its address for messages between daemons.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneLabel,
    /// Processor time that the host may use, in thousandths of a core.
    pub processor_millis: u32,
}

/// Daemons that a seed registers.
#[derive(Debug, Clone, Default)]
pub struct RegistrationQueue {
    pending: Vec<MemberRegistration>,
    /// Hosts that were queued, by zone.
    queued: BTreeMap<ZoneLabel, BTreeSet<String>>,
}

impl RegistrationQueue {
    /// Queues a daemon, unless it was queued before or enough of its zone were.
    pub fn push(&mut self, member: MemberRegistration) {
        let queued = self.queued.entry(member.zone.clone()).or_default();
        if queued.len() < MAX_REGISTERED && queued.insert(member.host.clone()) {
            self.pending.push(member);
        }
    }

    /// Queues the sender of a summary.
    pub fn push_sender(&mut self, summary: &PeerSummary) {
        self.push(MemberRegistration {
            host: summary.host.clone(),
            peer_address: summary.peer_address,
            zone: ZoneLabel::from(summary.zone.as_str()),
            processor_millis: summary.capacity.processor_millis,
        });
    }

    /// Removes and returns up to `count` daemons, those on the largest hosts first.
    pub fn take(&mut self, count: usize) -> Vec<MemberRegistration> {
        self.pending
            .sort_by_key(|member| Reverse(member.processor_millis));
        let count = count.min(self.pending.len());
        self.pending.drain(..count).collect()
    }

    /// Queues daemons again whose registration failed.
    pub fn put_back(&mut self, members: Vec<MemberRegistration>) {
        self.pending.extend(members);
    }
}

const _: () = assert!(uses_coordinators(MAX_REGISTERED));
