//! Daemons that divide upstreams with limited rejections.

use super::{
    budget::RejectionBudget,
    share::{OwnedPart, RejectionQuota},
};
use crate::{
    label::ZoneLabel,
    placing::{MemberHistory, rank_owners},
    region::RegionMap,
    relay::RelayCandidate,
};
use savorywood_protocol::MonotonicTime;
use std::collections::BTreeMap;

/// Owners of an upstream that are asked in turn to relay a request.
const MAX_OWNERS_ASKED: usize = 3;

/// Daemons that divide upstreams with limited rejections, as seen by one of them.
#[derive(Debug, Clone, Copy)]
pub struct RejectionDivision<'a> {
    /// Hash of the address of this daemon.
    pub own: u64,
    /// Daemons that divide them; none while they are not known.
    pub members: &'a MemberHistory,
    /// Peers that may relay requests, by the hashes of their addresses.
    pub relays: &'a BTreeMap<u64, RelayCandidate>,
    /// Regions of the zones.
    pub regions: &'a RegionMap,
    /// Time from which on the parts are effective if nothing was divided until now.
    pub first_at: Option<MonotonicTime>,
    /// Other daemons may have taken over the parts of this one.
    pub is_contested: bool,
}

/// An upstream that is divided.
#[derive(Debug, Clone, Copy)]
pub struct DividedUpstream<'a> {
    /// Digest of its name.
    pub key: u64,
    /// Its slots.
    pub slots: u32,
    /// Its availability zone.
    pub zone: &'a ZoneLabel,
}

impl RejectionDivision<'_> {
    /// Sets what this daemon owns of an upstream, and through which daemons it reaches the upstream
    /// if it owns nothing. A request must not pass through another region than that of the upstream.
    pub fn apply(
        &self,
        now: MonotonicTime,
        upstream: DividedUpstream<'_>,
        quota: RejectionQuota,
        budget: &mut RejectionBudget,
    ) {
        let DividedUpstream { key, slots, zone } = upstream;
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
            let region = self.regions.region(zone.as_str());
            let relays = owners.iter().filter_map(|owner| self.relays.get(owner));
            let relays = relays.filter(|relay| self.regions.region(&relay.zone) == region);
            let addresses = relays.map(|relay| relay.address);
            addresses.take(MAX_OWNERS_ASKED).collect()
        };
        budget.owner_relay.set_owners(relays);
    }
}
