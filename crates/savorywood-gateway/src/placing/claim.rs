//! A daemon's claim to the slots of one upstream.

use super::members::MemberHistory;
use crate::rendezvous::rendezvous_weight;

/// Claim of this daemon to the slots of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotClaim {
    /// Slots that this daemon owns: it takes them first.
    pub owned: u32,
    /// Number of present members that are ranked before this daemon.
    pub rank: u32,
    /// Number of present members.
    pub members: u32,
    /// Slots that the present members own together. The others belong to members that were lost
    /// recently and may still use them.
    pub group_slots: u32,
}

/// Members with the highest weights for an upstream, in descending order.
struct OwnerList {
    max_owners: usize,
    /// Weights and members.
    owners: Vec<(u64, u64)>,
}

impl OwnerList {
    fn new(max_owners: u32) -> Self {
        Self {
            max_owners: max_owners as usize,
            owners: Vec::with_capacity(max_owners as usize + 1),
        }
    }

    /// Adds a member if its weight is among the highest. There are few owners, so insertion is faster
    /// than sorting all members, of which there may be a thousand.
    fn offer(&mut self, weight: u64, member: u64) {
        let owners = &mut self.owners;
        let is_among = owners.last().is_some_and(|last| weight > last.0);
        if owners.len() < self.max_owners || is_among {
            let position = owners.partition_point(|owner| owner.0 > weight);
            owners.insert(position, (weight, member));
            owners.truncate(self.max_owners);
        }
    }
}

/// Returns the present and lost members, `max_owners` at most, that own the upstream whose name has
/// the digest `key`, in the order in which they are preferred.
#[must_use]
pub fn rank_owners(key: u64, max_owners: u32, history: &MemberHistory) -> Vec<u64> {
    let mut owners = OwnerList::new(max_owners);
    for member in history.present().iter().copied().chain(history.lost()) {
        owners.offer(rendezvous_weight(member, key), member);
    }
    owners
        .owners
        .into_iter()
        .map(|(_, member)| member)
        .collect()
}

/// Computes the claim of the member `own` to the upstream whose name has the digest `key`; `None` if
/// it is not among the present members.
#[must_use]
pub fn rank_claim(own: u64, key: u64, slots: u32, history: &MemberHistory) -> Option<SlotClaim> {
    let present = history.present();
    present.binary_search(&own).ok()?;
    let own_weight = rendezvous_weight(own, key);
    let mut owners = OwnerList::new(slots);
    let mut rank = 0;
    for member in present.iter().copied().chain(history.lost()) {
        let weight = rendezvous_weight(member, key);
        rank += u32::from(weight > own_weight && !history.is_lost(member));
        owners.offer(weight, member);
    }
    let owners = owners.owners;
    let mut claim = SlotClaim {
        owned: 0,
        rank,
        members: u32::try_from(present.len()).unwrap_or(u32::MAX),
        group_slots: 0,
    };
    let count = u32::try_from(owners.len()).unwrap_or(u32::MAX).max(1);
    for (number, (_, member)) in (0..).zip(owners) {
        let share = slots / count + u32::from(number < slots % count);
        claim.owned += if member == own { share } else { 0 };
        claim.group_slots += if history.is_lost(member) { 0 } else { share };
    }
    Some(claim)
}
