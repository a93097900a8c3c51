//! Tracks hosts that the platform plans to remove, and the upstreams on them.

use super::DaemonCore;
use crate::{
    effect::{EffectQueue, LogLevel, LogLine},
    event::HostEntry,
    membership::MembershipEvent,
    scheduler::SchedulerEvent,
};
use savorywood_protocol::{CoreTime, UpstreamName};
use std::collections::BTreeSet;

impl DaemonCore {
    /// Updates the set of leaving hosts and forwards the list to the membership duty.
    pub(super) fn update_hosts(
        &mut self,
        now: CoreTime,
        hosts: Vec<HostEntry>,
        effects: &mut EffectQueue,
    ) {
        for entry in &hosts {
            // A host that is missing from the list stays marked: either it was removed or the list
            // is wrong. Only an entry without `leaving` clears the mark.
            if entry.leaving {
                self.leaving_hosts.insert(entry.host.clone());
            } else {
                self.leaving_hosts.remove(&entry.host);
            }
        }
        self.mark_leaving_upstreams(now, effects);
        self.step_membership(now, MembershipEvent::HostsListed(hosts), effects);
    }

    /// Updates the set of upstreams on leaving hosts and notifies the scheduler if it changed.
    pub(super) fn mark_leaving_upstreams(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        let upstreams = self.config.view().upstreams.iter();
        let leaving: BTreeSet<UpstreamName> = upstreams
            .filter(|(_, spec)| {
                let host = spec.host.as_ref();
                host.is_some_and(|host| self.leaving_hosts.contains(host))
            })
            .map(|(name, _)| name.clone())
            .collect();
        if leaving == self.leaving_upstreams {
            return;
        }
        for name in leaving.difference(&self.leaving_upstreams) {
            let line = LogLine::new(LogLevel::Info, "upstream-leaving").with("upstream", name);
            effects.log(line);
        }
        self.leaving_upstreams.clone_from(&leaving);
        self.scheduler.mark_leaving(leaving);
        self.step_scheduler(now, SchedulerEvent::ViewChanged, effects);
    }
}
