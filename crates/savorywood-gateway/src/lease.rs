//! Leases of what one daemon, or a few, do for all: every daemon computes the holders from the members
//! of the entry set that it sees, without messages.

use crate::{
    label::{UpstreamLabel, ZoneLabel},
    peer::name_digest,
    rendezvous::rendezvous_weight,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Time for which the members of a zone must be the same before a lease among them counts.
///
/// A daemon that is cut off sees the heartbeats of members end before it notices that it does not
/// see most daemons; without a pause it would take over the leases of all of them in between.
const SETTLE_PERIOD: Duration = Duration::from_millis(900);

/// Members of a zone, and since when they are these.
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

/// Part of a daemon in a lease that several hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseShare {
    /// Holders that are chosen before this one.
    pub rank: usize,
    /// Holders in all.
    pub holders: usize,
}

/// Which daemons hold which leases, as this daemon sees it.
#[derive(Debug, Clone, Default)]
pub struct MemberLeases {
    own: Option<u64>,
    zones: BTreeMap<ZoneLabel, ZoneMemberSet>,
}

impl MemberLeases {
    /// Takes the members of all zones as of now, of which `own` is one.
    pub fn update(&mut self, now: MonotonicTime, own: u64, members: BTreeMap<ZoneLabel, Vec<u64>>) {
        self.own = Some(own);
        self.zones.retain(|zone, _| members.contains_key(zone));
        for (zone, mut members) in members {
            members.sort_unstable();
            let known = self.zones.get(&zone).map(|holders| &holders.members);
            if known != Some(&members) {
                let holders = ZoneMemberSet {
                    members,
                    since: now,
                };
                self.zones.insert(zone, holders);
            }
        }
    }

    /// This daemon may hold no lease: it does not see most daemons, or has just started and does
    /// not know what it sent in its last life.
    pub fn release(&mut self) {
        self.own = None;
        self.zones.clear();
    }

    /// This daemon is chosen for a key among the members of all zones.
    #[must_use]
    pub fn holds_key(&self, now: MonotonicTime, key: u64) -> bool {
        self.own
            .is_some_and(|own| is_holder(now, own, key, self.zones.values()))
    }

    /// Part of this daemon in a lease that at most so many members of all zones hold.
    #[must_use]
    pub fn share(&self, now: MonotonicTime, key: u64, max_holders: usize) -> Option<LeaseShare> {
        let own = self.own?;
        let zones = self.zones.values();
        if !zones.clone().all(|zone| zone.is_settled(now)) {
            return None;
        }
        let weight = rendezvous_weight(own, key);
        let members = zones.flat_map(|zone| &zone.members);
        let before = members
            .clone()
            .filter(|member| rendezvous_weight(**member, key) > weight);
        let share = LeaseShare {
            rank: before.count(),
            holders: members.count().min(max_holders),
        };
        (share.rank < share.holders).then_some(share)
    }

    /// This daemon holds the lease of an upstream's start. Members of the upstream's zone go
    /// first: their requests reach it without crossing zones.
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
        let near = self.zones.get(zone);
        match near.filter(|near| !near.members.is_empty()) {
            Some(near) => is_holder(now, own, upstream, [near].into_iter()),
            None => is_holder(now, own, upstream, self.zones.values()),
        }
    }
}

/// `own` is chosen for a key among the members of some zones, all of them settled.
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
