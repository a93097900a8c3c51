//! Leases for work that one daemon, or a few, does on behalf of all. Every daemon computes the
//! lease holders from the entry set members that it sees, without messages.

use crate::{
    label::{UpstreamLabel, ZoneLabel},
    peer::name_digest,
    rendezvous::rendezvous_weight,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Time for which the members of a zone must be unchanged before a lease among them is valid.
///
/// A daemon that is partitioned sees the heartbeats of members expire before it detects that it
/// does not see most daemons. Without this delay it would take over the leases of all of them in
/// between.
const SETTLE_PERIOD: Duration = Duration::from_millis(900);

/// Entry set members of a zone, and the time of their last change.
#[derive(Debug, Clone)]
struct ZoneMemberSet {
    members: Vec<u64>,
    since: MonotonicTime,
}

impl ZoneMemberSet {
    fn is_settled(&self, now: MonotonicTime) -> bool {
        now.since(self.since) >= SETTLE_PERIOD
    }
}

/// Position of this daemon among the holders of a shared lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseShare {
    /// Number of holders that are ranked before this daemon.
    pub rank: usize,
    /// Total number of holders.
    pub holders: usize,
}

/// Lease holders as seen by this daemon.
#[derive(Debug, Clone, Default)]
pub struct MemberLeases {
    own: Option<u64>,
    zones: BTreeMap<ZoneLabel, ZoneMemberSet>,
    /// Holders among which shared leases are divided while this daemon does not see most daemons.
    minority_holders: Option<usize>,
}

/// Factor on the known daemons among which a daemon that does not see most of them divides a shared lease.
/// Those that it does not see may see each other, and use all of the lease.
const MINORITY_FACTOR: usize = 2;

impl MemberLeases {
    /// Records the current entry set members of all zones. `own` is this daemon's number among
    /// them.
    pub fn update(&mut self, now: MonotonicTime, own: u64, members: BTreeMap<ZoneLabel, Vec<u64>>) {
        self.own = Some(own);
        self.minority_holders = None;
        self.zones.retain(|zone, _| members.contains_key(zone));
        for (zone, mut members) in members {
            members.sort_unstable();
            let previous = self.zones.get(&zone).map(|holders| &holders.members);
            if previous != Some(&members) {
                let holders = ZoneMemberSet {
                    members,
                    since: now,
                };
                self.zones.insert(zone, holders);
            }
        }
    }

    /// Gives up all leases: this daemon is no member, or has just started and does not know what its
    /// previous incarnation sent.
    pub fn release(&mut self) {
        self.own = None;
        self.zones.clear();
        self.minority_holders = None;
    }

    /// Gives up all leases but a part of shared ones: this daemon does not see most of the `known` daemons,
    /// which may be lost or only cut off from it.
    pub fn keep_minority_part(&mut self, known: u64) {
        self.release();
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        self.minority_holders = Some(known.saturating_mul(MINORITY_FACTOR));
    }

    /// Returns true if this daemon knows the members of all zones, and they have been unchanged for
    /// long enough.
    #[must_use]
    pub fn is_settled(&self, now: MonotonicTime) -> bool {
        self.own.is_some() && self.zones.values().all(|zone| zone.is_settled(now))
    }

    /// Returns true if this daemon holds the exclusive lease of a key among the members of all
    /// zones.
    #[must_use]
    pub fn holds_key(&self, now: MonotonicTime, key: u64) -> bool {
        self.own
            .is_some_and(|own| is_holder(now, own, key, self.zones.values()))
    }

    /// Returns this daemon's share of a lease that up to `max_holders` members of all zones hold;
    /// `None` if it is not a holder or the members have changed recently.
    #[must_use]
    pub fn share(&self, now: MonotonicTime, key: u64, max_holders: usize) -> Option<LeaseShare> {
        if let Some(holders) = self.minority_holders {
            return Some(LeaseShare { rank: 0, holders });
        }
        let own = self.own?;
        let zones = self.zones.values();
        if !zones.clone().all(|zone| zone.is_settled(now)) {
            return None;
        }
        let weight = rendezvous_weight(own, key);
        let members = zones.flat_map(|zone| &zone.members);
        let higher_ranked = members
            .clone()
            .filter(|member| rendezvous_weight(**member, key) > weight);
        let share = LeaseShare {
            rank: higher_ranked.count(),
            holders: members.count().min(max_holders),
        };
        (share.rank < share.holders).then_some(share)
    }

    /// Returns true if this daemon holds the warm-up lease of an upstream. Members of the
    /// upstream's zone take precedence, as their requests reach it without crossing zones.
    #[must_use]
    pub fn holds_warmup(
        &self,
        now: MonotonicTime,
        upstream: &UpstreamLabel,
        zone: &ZoneLabel,
    ) -> bool {
        let Some(own) = self.own else {
            return false;
        };
        let upstream = name_digest(upstream.as_str());
        let zone_members = self.zones.get(zone);
        match zone_members.filter(|zone_members| !zone_members.members.is_empty()) {
            Some(zone_members) => is_holder(now, own, upstream, [zone_members].into_iter()),
            None => is_holder(now, own, upstream, self.zones.values()),
        }
    }
}

/// Returns true if `own` is the holder of a key among the members of the given zones, and all these
/// zones have been unchanged for long enough.
fn is_holder<'a>(
    now: MonotonicTime,
    own: u64,
    key: u64,
    zones: impl Iterator<Item = &'a ZoneMemberSet> + Clone,
) -> bool {
    let mut all = zones.clone();
    let members = zones.flat_map(|zone| &zone.members);
    let holder = members.max_by_key(|member| rendezvous_weight(**member, key));
    holder == Some(&own) && all.all(|zone| zone.is_settled(now))
}
