//! Daemons among which slots are divided, with those that were lost recently.

use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Time for which the share of a single lost daemon is kept. It has most likely crashed, but requests
/// that it dispatched may still be running.
const LOST_MEMBER_RETENTION: Duration = Duration::from_secs(2);
/// Time for which the shares of many daemons that were lost together are kept. They are more likely
/// partitioned than crashed, and continue to use upstreams; partitions of 12 s have been observed.
const LOST_GROUP_RETENTION: Duration = Duration::from_secs(15);

/// Times for which the shares of lost daemons are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LossRetention {
    /// For few daemons, which have most likely crashed.
    pub single: Duration,
    /// For many daemons that were lost together.
    pub group: Duration,
}

impl LossRetention {
    /// Keeps the share of every lost daemon as long as that of a partitioned one. An unused share
    /// costs some slots, one that is used twice may cost the upstream.
    #[must_use]
    pub fn cautious() -> Self {
        Self {
            single: LOST_GROUP_RETENTION,
            group: LOST_GROUP_RETENTION,
        }
    }
}

impl Default for LossRetention {
    fn default() -> Self {
        Self {
            single: LOST_MEMBER_RETENTION,
            group: LOST_GROUP_RETENTION,
        }
    }
}
/// At least this many lost daemons are a group.
const MIN_GROUP: usize = 3;
/// One of this many members, if lost, is a group.
const GROUP_DIVISOR: usize = 8;

/// Returns true if `lost` daemons, lost at the same time as others are `present`, are more likely
/// partitioned than crashed.
#[must_use]
pub fn is_group(lost: usize, present: usize) -> bool {
    lost >= MIN_GROUP.max(present / GROUP_DIVISOR)
}

/// Members of the entry sets of all zones, with the time at which others were lost.
#[derive(Debug, Clone, Default)]
pub struct MemberHistory {
    retention: LossRetention,
    present: Vec<u64>,
    lost: BTreeMap<u64, MonotonicTime>,
}

impl MemberHistory {
    /// Creates an empty history.
    #[must_use]
    pub fn new(retention: LossRetention) -> Self {
        Self {
            retention,
            ..Self::default()
        }
    }

    /// Restarts the time for which the shares of lost members are kept.
    pub fn keep_lost(&mut self, now: MonotonicTime) {
        for at in self.lost.values_mut() {
            *at = now;
        }
    }

    /// Records the present members. A member that has disappeared is lost, except if `is_live`: it
    /// then has left the entry set, and others know the slots that it uses. Returns true if the
    /// members or the lost ones have changed.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        mut present: Vec<u64>,
        is_live: impl Fn(u64) -> bool,
    ) -> bool {
        present.sort_unstable();
        present.dedup();
        let is_present = |member: &u64| present.binary_search(member).is_ok();
        let lost_before = self.lost.len();
        let has_returned = |member: &u64| is_present(member) || is_live(*member);
        self.lost.retain(|member, _| !has_returned(member));
        for member in self.present.iter().filter(|member| !has_returned(member)) {
            self.lost.entry(*member).or_insert(now);
        }
        let retention = if is_group(self.lost.len(), present.len()) {
            self.retention.group
        } else {
            self.retention.single
        };
        self.lost.retain(|_, at| now.since(*at) < retention);
        let is_changed = self.present != present || self.lost.len() != lost_before;
        self.present = present;
        is_changed
    }

    /// Returns the members from which messages are received, in order of their hashes.
    #[must_use]
    pub fn present(&self) -> &[u64] {
        &self.present
    }

    /// Returns the number of members whose shares are kept although they were lost.
    #[must_use]
    pub fn lost_count(&self) -> usize {
        self.lost.len()
    }

    /// Iterates over the members that were lost recently.
    pub fn lost(&self) -> impl Iterator<Item = u64> + Clone + '_ {
        self.lost.keys().copied()
    }

    /// Returns true if a member was lost recently.
    #[must_use]
    pub fn is_lost(&self, member: u64) -> bool {
        self.lost.contains_key(&member)
    }
}
