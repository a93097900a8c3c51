//! Upstreams whose hosts the platform takes away.

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
    pub(super) fn update_hosts(
        &mut self,
        now: CoreTime,
        hosts: Vec<HostEntry>,
        effects: &mut EffectQueue,
    ) {
        for entry in &hosts {
            // A host that is no longer listed keeps its mark: it is gone, or the list is wrong.
            // Only the list's own word that it stays takes the mark back.
            if entry.leaving {
                self.leaving_hosts.insert(entry.host.clone());
            } else {
                self.leaving_hosts.remove(&entry.host);
            }
        }
        self.mark_leaving_upstreams(now, effects);
        self.step_membership(now, MembershipEvent::HostsListed(hosts), effects);
    }

    /// Tells the scheduler which upstreams stand on leaving hosts, if that changed.
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
