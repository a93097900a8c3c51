//! Queue of updates to piggyback, each forwarded a bounded number of times.

use savorywood_protocol::HostName;
use std::collections::BTreeMap;

/// Urgency of an update, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RumorClass {
    /// A member is leaving.
    Urgent,
    /// A member joined, is suspected, refuted or is dead.
    State,
    /// A member has another configuration revision in force.
    Revision,
}

#[derive(Debug, Clone, Copy)]
struct RumorRecord {
    class: RumorClass,
    with_location: bool,
    sent: u32,
}

/// An update selected for a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectedRumor {
    /// Member that the update is about.
    pub host: HostName,
    /// Whether the message includes the member's location, because receivers may not have it.
    pub with_location: bool,
}

/// Updates still to be forwarded, at most one per member.
#[derive(Debug, Default)]
pub struct RumorQueue {
    rumors: BTreeMap<HostName, RumorRecord>,
}

impl RumorQueue {
    /// Queues an update of a member, replacing an older one.
    pub fn push(&mut self, host: &HostName, class: RumorClass, with_location: bool) {
        let old = self.rumors.get(host);
        let record = RumorRecord {
            class: old.map_or(class, |old| old.class.min(class)),
            with_location: with_location || old.is_some_and(|old| old.with_location),
            sent: 0,
        };
        self.rumors.insert(host.clone(), record);
    }

    /// Updates in sending order: most urgent first, then least often sent.
    #[must_use]
    pub fn by_priority(&self) -> Vec<SelectedRumor> {
        let mut order: Vec<_> = self.rumors.iter().collect();
        order.sort_by_key(|(_, record)| (record.class, record.sent));
        let chosen = order.into_iter().map(|(host, record)| SelectedRumor {
            host: host.clone(),
            with_location: record.with_location,
        });
        chosen.collect()
    }

    /// Records that an update was sent, and removes it after a number of sends that grows with the
    /// logarithm of the member count.
    pub fn record_sent(&mut self, host: &HostName, members: usize) {
        let Some(record) = self.rumors.get_mut(host) else {
            return;
        };
        record.sent += 1;
        if record.sent >= max_sends(record.class, members) {
            self.rumors.remove(host);
        }
    }
}

/// Maximum number of times that one daemon sends an update.
fn max_sends(class: RumorClass, members: usize) -> u32 {
    let doublings = usize::BITS - members.leading_zeros();
    match class {
        RumorClass::Urgent | RumorClass::State => 4 + doublings,
        // All members have an update of this kind at the same time; members that miss one receive
        // it through the digests.
        RumorClass::Revision => 6,
    }
}
