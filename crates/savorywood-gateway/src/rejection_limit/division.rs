//! Daemons that divide upstreams with limited rejections.

use super::{
    budget::RejectionBudget,
    share::{OwnedPart, RejectionQuota},
};
use crate::placing::{MemberHistory, rank_owners};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, net::SocketAddr};

/// Owners of an upstream that are asked in turn to relay a request.
const MAX_OWNERS_ASKED: usize = 3;

/// Daemons that divide upstreams with limited rejections, as seen by one of them.
#[derive(Debug, Clone, Copy)]
pub struct RejectionDivision<'a> {
    /// Hash of the address of this daemon.
    pub own: u64,
    /// Daemons that divide them; none while they are not known.
    pub members: &'a MemberHistory,
    /// Addresses of the peers that may relay requests, by their hashes.
    pub relays: &'a BTreeMap<u64, SocketAddr>,
    /// Time from which on the parts are effective if nothing was divided until now.
    pub first_at: Option<MonotonicTime>,
    /// Other daemons may have taken over the parts of this one.
    pub is_contested: bool,
}

impl RejectionDivision<'_> {
    /// Sets what this daemon owns of the upstream whose name has the digest `key`, and through which
    /// daemons it reaches the upstream if it owns nothing.
    pub fn apply(
        &self,
        now: MonotonicTime,
        key: u64,
        slots: u32,
        quota: RejectionQuota,
        budget: &mut RejectionBudget,
    ) {
        // There are no more owners than rejections, so that each of them may cause one. The owners
        // of a lower limit are among those of a higher one.
        let owners = rank_owners(key, slots.min(quota.rejections), self.members);
        let is_known = !self.members.present().is_empty();
        let part = is_known.then(|| OwnedPart::of(self.own, &owners, slots, quota));
        budget.set_part(now, part, self.first_at, self.is_contested);
        let is_owner = owners.contains(&self.own);
        let relays = if is_owner || !is_known {
            Vec::new()
        } else {
            let addresses = owners.iter().filter_map(|owner| self.relays.get(owner));
            addresses.copied().take(MAX_OWNERS_ASKED).collect()
        };
        budget.owner_relay.set_owners(relays);
    }
}
