//! Choice of the daemons of a large zone that all others report to while no coordinator is known.

use crate::{label::ZoneLabel, peer::name_digest, rendezvous::rendezvous_weight};
use std::{cmp::Reverse, net::SocketAddr};

/// Contacts that are the largest hosts of their zone. Small ones would be busy for long with the
/// reports of all others.
const LARGEST_BOOTSTRAP_CONTACTS: usize = 2;
/// Further ones of any size, as all large hosts may be lost at once.
const OTHER_BOOTSTRAP_CONTACTS: usize = 1;

/// A daemon that may be chosen as a bootstrap contact.
#[derive(Debug, Clone, Copy)]
pub(super) struct BootstrapCandidate {
    pub address: SocketAddr,
    pub address_hash: u64,
    /// Processor time that its host may use, in thousandths of a core.
    pub processor_millis: u32,
}

/// Returns the bootstrap contacts of a zone: the largest hosts, and others of any size. Daemons that
/// know the same candidates choose the same contacts.
pub(super) fn choose_contacts(
    zone: &ZoneLabel,
    mut candidates: Vec<BootstrapCandidate>,
) -> Vec<SocketAddr> {
    let zone_hash = name_digest(zone.as_str());
    let weight = |candidate: &BootstrapCandidate| {
        let weight = rendezvous_weight(candidate.address_hash, zone_hash);
        (weight, candidate.address)
    };
    candidates.sort_unstable_by_key(|one| Reverse((one.processor_millis, weight(one))));
    let mut others = candidates.split_off(candidates.len().min(LARGEST_BOOTSTRAP_CONTACTS));
    others.sort_unstable_by_key(|one| Reverse(weight(one)));
    others.truncate(OTHER_BOOTSTRAP_CONTACTS);
    let chosen = candidates.iter().chain(&others);
    chosen.map(|candidate| candidate.address).collect()
}
