//! News that is passed on with pings and answers, a bounded number of times each.

use savorywood_protocol::HostName;
use std::collections::BTreeMap;

/// How urgent a piece of news is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RumorClass {
    /// A member leaves, or a configuration newer than any.
    Urgent,
    /// A member came, is suspected, refutes or is gone.
    State,
    /// A member has another configuration in force.
    Revision,
}

#[derive(Debug, Clone, Copy)]
struct RumorRecord {
    class: RumorClass,
    with_place: bool,
    sent: u32,
}

/// One piece of news that was chosen for a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectedRumor {
    /// Member that it is about.
    pub host: HostName,
    /// Whether receivers may not know where the member stands.
    pub with_place: bool,
}

/// News still to be passed on, at most one piece a member.
#[derive(Debug, Default)]
pub struct RumorQueue {
    rumors: BTreeMap<HostName, RumorRecord>,
}

impl RumorQueue {
    /// Begins to pass on news of a member, in place of older news of it.
    pub fn push(&mut self, host: &HostName, class: RumorClass, with_place: bool) {
        let old = self.rumors.get(host);
        let record = RumorRecord {
            class: old.map_or(class, |old| old.class.min(class)),
            with_place: with_place || old.is_some_and(|old| old.with_place),
            sent: 0,
        };
        self.rumors.insert(host.clone(), record);
    }

    /// The news in the order in which it should be sent: urgent first, then the least sent.
    #[must_use]
    pub fn by_priority(&self) -> Vec<SelectedRumor> {
        let mut order: Vec<_> = self.rumors.iter().collect();
        order.sort_by_key(|(_, record)| (record.class, record.sent));
        let chosen = order.into_iter().map(|(host, record)| SelectedRumor {
            host: host.clone(),
            with_place: record.with_place,
        });
        chosen.collect()
    }

    /// Notes that news was sent once more; it ends after a number of times that grows with the
    /// logarithm of the members.
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

/// Times that one daemon passes a piece of news on.
fn max_sends(class: RumorClass, members: usize) -> u32 {
    let doublings = usize::BITS - members.leading_zeros();
    match class {
        RumorClass::Urgent | RumorClass::State => 4 + doublings,
        // Every member has news of this kind at the same time; what is missed is learned from
        // the digests.
        RumorClass::Revision => 6,
    }
}
