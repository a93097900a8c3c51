//! Entry set: the few daemons of an availability zone that the directory names to callers.
//!
//! Slots turn over faster than gossip travels, so the fewer daemons place requests, the fresher
//! each one's view of the slots is. The set is as small as the load allows, by the resource that
//! binds first, and every daemon computes it from the same gossiped figures.

use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{cmp::Ordering, time::Duration};

/// Part of a member's resources that the load may use. The rest is for bursts that arrive before
/// the set has grown and callers have asked the directory again.
const TARGET_UTILISATION: f64 = 0.35;
/// Most that counts as the carried part of a load.
const MAX_CARRIED_FRACTION: f64 = 1e6;
/// Members that a zone has at least, if it has as many daemons.
const MIN_MEMBERS: usize = 3;
/// Time in which the remembered load falls to 1/e after the load itself has fallen.
const PEAK_DECAY_WINDOW: Duration = Duration::from_secs(20);
/// A daemon that has been running, and seen without a gap, for this long is warmed up.
const WARM_UP_PERIOD: Duration = Duration::from_secs(3);
/// Daemons that started within this time of each other count as equally old.
const START_TOLERANCE: Duration = Duration::from_secs(1);

/// Amounts of what a daemon needs from its host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostResources {
    /// Processor time, in thousandths of a core.
    pub processor_millis: u32,
    /// Open descriptors.
    pub descriptors: u32,
    /// Resident memory, in KiB.
    pub memory_kib: u32,
    /// Bytes received, in kilobits a second.
    pub link_kbps: u32,
}

impl HostResources {
    /// Amounts in a fixed order.
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

    /// The sum of both.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.combine(other, u32::saturating_add)
    }

    /// The larger of both, resource by resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.combine(other, u32::max)
    }

    /// Part of `load` that this host carries at the target utilisation, by the resource that
    /// binds first. A resource without a declared capacity does not bind.
    fn carried_fraction(&self, load: &Self) -> f64 {
        let pairs = self.amounts().into_iter().zip(load.amounts());
        let parts = pairs.filter(|(capacity, _)| *capacity > 0).map(|pair| {
            let (capacity, load) = pair;
            f64::from(capacity) * TARGET_UTILISATION / f64::from(load.max(1))
        });
        parts.fold(MAX_CARRIED_FRACTION, f64::min)
    }
}

/// A daemon that could be a member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EntryCandidate {
    /// Digest of its host's name.
    pub host: u64,
    /// What its host has.
    pub capacity: HostResources,
    /// Time for which it has been running and was seen without a gap.
    pub stable_for: Duration,
}

/// Members of a zone for a load, the largest hosts first.
///
/// The load that this answers: callers of a zone that a handful of its daemons can carry. Their
/// number follows from what is left after the largest of them is lost. Daemons that have just
/// started, or were just silent, come after all others: they know neither slots nor limits yet.
#[must_use]
pub fn select_members(mut candidates: Vec<EntryCandidate>, load: &HostResources) -> Vec<u64> {
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
        let part = candidate.capacity.carried_fraction(load);
        carried += part;
        largest = largest.max(part);
        members.push(candidate.host);
    }
    members
}

/// Order of hosts by size: the processor goes first, as its share differs most.
fn compare_size(one: &HostResources, other: &HostResources) -> Ordering {
    one.amounts().cmp(&other.amounts())
}

/// Load of a zone, remembered at its peak.
///
/// Members must be enough for the next burst, and callers that move between daemons with each
/// change of the set lose their connections; so the set grows with the load and shrinks slowly.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeakLoad {
    amounts: [f64; 4],
    updated_at: MonotonicTime,
}

impl PeakLoad {
    /// Takes the load of now, and peaks that peers remember.
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

    /// The remembered load.
    #[must_use]
    pub fn load(&self) -> HostResources {
        HostResources::from_amounts(self.amounts.map(|amount| amount as u32))
    }
}

/// Members of the own zone as of the last computation.
#[derive(Debug, Clone, Default)]
pub struct EntrySet {
    members: Vec<u64>,
}

impl EntrySet {
    /// Puts other members in force; whether that changed the set.
    pub fn replace(&mut self, mut members: Vec<u64>) -> bool {
        members.sort_unstable();
        let changed = members != self.members;
        self.members = members;
        changed
    }

    /// A host is a member.
    #[must_use]
    pub fn contains(&self, host: u64) -> bool {
        self.members.contains(&host)
    }

    /// Number of members.
    #[must_use]
    pub fn count(&self) -> usize {
        self.members.len()
    }
}
