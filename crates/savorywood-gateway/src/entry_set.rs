//! Entry set: the few daemons of an availability zone that the directory returns to callers.
//!
//! Slots change hands faster than gossip spreads, so the fewer daemons dispatch requests, the more
//! accurate is each one's view of the slots. The set is as small as the load allows, by the
//! scarcest resource, and every daemon computes it from the same gossiped figures.

use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{cmp::Ordering, time::Duration};

/// Fraction of a member's resources that the load may use. The rest absorbs bursts that arrive
/// before the set has grown and callers have queried the directory again.
const TARGET_UTILISATION: f64 = 0.35;
/// Upper bound of the carried fraction of a load, which is unbounded for a host without load.
const MAX_CARRIED_FRACTION: f64 = 1e6;
/// Minimum number of members of a zone, if it has as many daemons.
const MIN_MEMBERS: usize = 3;
/// Time constant of the decay: the recorded peak falls to 1/e of its value in this time after the
/// load has fallen.
const PEAK_DECAY_WINDOW: Duration = Duration::from_secs(20);
/// A daemon counts as warmed up once it has been running, and heard from without a gap, for this
/// long.
const WARM_UP_PERIOD: Duration = Duration::from_secs(3);
/// Daemons whose uptimes differ by less than this count as equally old.
const START_TOLERANCE: Duration = Duration::from_secs(1);

/// Resources that a host offers, or that a load needs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostResources {
    /// Processor time, in thousandths of a core.
    pub processor_millis: u32,
    /// Open file descriptors.
    pub descriptors: u32,
    /// Resident memory, in KiB.
    pub memory_kib: u32,
    /// Received traffic, in kilobits per second.
    pub link_kbps: u32,
}

impl HostResources {
    /// Returns the amounts in a fixed order, the processor first.
    fn amounts(&self) -> [u32; 4] {
        [
            self.processor_millis,
            self.descriptors,
            self.memory_kib,
            self.link_kbps,
        ]
    }

    fn from_amounts(amounts: [u32; 4]) -> Self {
        let [processor_millis, descriptors, memory_kib, link_kbps] = amounts;
        Self {
            processor_millis,
            descriptors,
            memory_kib,
            link_kbps,
        }
    }

    fn combine(&self, other: &Self, merge: impl Fn(u32, u32) -> u32) -> Self {
        let others = other.amounts();
        let mut amounts = self.amounts();
        for (amount, other) in amounts.iter_mut().zip(others) {
            *amount = merge(*amount, other);
        }
        Self::from_amounts(amounts)
    }

    /// Returns the sum of each resource.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.combine(other, u32::saturating_add)
    }

    /// Returns the maximum of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.combine(other, u32::max)
    }

    /// Returns the fraction of `load` that this host carries at the target utilisation, by the
    /// scarcest resource. A resource without a declared capacity is ignored.
    fn carried_fraction(&self, load: &Self) -> f64 {
        let pairs = self.amounts().into_iter().zip(load.amounts());
        let fractions = pairs.filter(|(capacity, _)| *capacity > 0).map(|pair| {
            let (capacity, load) = pair;
            f64::from(capacity) * TARGET_UTILISATION / f64::from(load.max(1))
        });
        fractions.fold(MAX_CARRIED_FRACTION, f64::min)
    }
}

/// A daemon that is eligible for the entry set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EntryCandidate {
    /// Digest of the host name.
    pub host: u64,
    /// Resources of its host.
    pub capacity: HostResources,
    /// Time for which it has been running and heard from without a gap.
    pub stable_for: Duration,
}

/// Candidates of a zone in the order in which they are selected.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberRanking {
    /// Digests of the host names of the members, highest rank first.
    pub members: Vec<u64>,
    /// Those of the candidates after them.
    pub successors: Vec<u64>,
}

/// Selects the members of a zone for a load, the largest hosts first.
///
/// There are as many members as needed to carry the load after the largest of them has failed, and
/// at least three. Daemons that have just started, or were recently not heard from, are selected
/// last: they have not received the current slots and limits yet.
#[must_use]
pub fn select_members(candidates: Vec<EntryCandidate>, load: &HostResources) -> Vec<u64> {
    rank_members(candidates, load).members
}

/// Selects the members of a zone like [`select_members`], and ranks the other candidates.
#[must_use]
pub fn rank_members(mut candidates: Vec<EntryCandidate>, load: &HostResources) -> MemberRanking {
    let steady = candidates.iter().map(|candidate| candidate.stable_for);
    let oldest = steady.max().unwrap_or_default();
    let is_cold = |candidate: &EntryCandidate| {
        candidate.stable_for < WARM_UP_PERIOD && candidate.stable_for + START_TOLERANCE < oldest
    };
    candidates.sort_by(|one, other| {
        is_cold(one)
            .cmp(&is_cold(other))
            .then_with(|| compare_size(&other.capacity, &one.capacity))
            .then_with(|| one.host.cmp(&other.host))
    });
    let mut members = Vec::new();
    let mut carried = 0.0;
    let mut largest: f64 = 0.0;
    for candidate in &candidates {
        if members.len() >= MIN_MEMBERS && carried - largest >= 1.0 {
            break;
        }
        let fraction = candidate.capacity.carried_fraction(load);
        carried += fraction;
        largest = largest.max(fraction);
        members.push(candidate.host);
    }
    let others = candidates.iter().skip(members.len());
    let successors = others.map(|candidate| candidate.host).collect();
    MemberRanking {
        members,
        successors,
    }
}

/// Orders hosts by size; the processor is compared first, as hosts differ most in it.
fn compare_size(one: &HostResources, other: &HostResources) -> Ordering {
    one.amounts().cmp(&other.amounts())
}

/// Load of a zone with peak hold and exponential decay.
///
/// The members must be sufficient for the next burst, and callers that move between daemons with
/// each change of the set lose their connections; so the set grows immediately with the load and
/// shrinks slowly.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeakLoad {
    amounts: [f64; 4],
    updated_at: MonotonicTime,
}

impl PeakLoad {
    /// Records the current load and the peaks that peers report.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        load: HostResources,
        peaks: impl Iterator<Item = HostResources>,
    ) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let decay = (-elapsed / PEAK_DECAY_WINDOW.as_secs_f64()).exp();
        let newest = peaks.fold(load, |peak, other| peak.max(&other));
        for (amount, newest) in self.amounts.iter_mut().zip(newest.amounts()) {
            *amount = (*amount * decay).max(f64::from(newest));
        }
        self.updated_at = now;
    }

    /// Returns the decayed peak load.
    #[must_use]
    pub fn load(&self) -> HostResources {
        HostResources::from_amounts(self.amounts.map(|amount| amount as u32))
    }
}

/// Current members of the entry set of this daemon's zone.
#[derive(Debug, Clone, Default)]
pub struct EntrySet {
    members: Vec<u64>,
}

impl EntrySet {
    /// Replaces the members and returns true if the set has changed.
    pub fn replace(&mut self, mut members: Vec<u64>) -> bool {
        members.sort_unstable();
        let changed = members != self.members;
        self.members = members;
        changed
    }

    /// Returns the digests of the members' hosts.
    #[must_use]
    pub fn members(&self) -> &[u64] {
        &self.members
    }

    /// Returns true if the host with this name digest is a member.
    #[must_use]
    pub fn contains(&self, host: u64) -> bool {
        self.members.contains(&host)
    }

    /// Returns the number of members.
    #[must_use]
    pub fn count(&self) -> usize {
        self.members.len()
    }
}
