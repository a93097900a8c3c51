//! Failure detection and update handling: suspicion, death, refutation and forwarding.

use super::{
    MembershipState,
    probe::PendingProbe,
    rumor::RumorClass,
    table::{MergeOutcome, UpdateSource, is_live, supersedes},
};
use crate::effect::{EffectQueue, LogLevel, LogLine};
use savorywood_protocol::{
    ConfigRevision, HostIncarnation, HostName, MonotonicTime,
    peer::membership::{MemberState, MemberUpdate},
};

/// A suspected member of another region is declared dead by its own region. This daemon declares it
/// dead only after this multiple of the suspicion timeout without an update. Without the limit, a
/// daemon that missed the update would keep a dead member as suspected forever.
const REMOTE_SUSPICION_FACTOR: u32 = 10;

impl MembershipState {
    /// Applies an update received from another daemon, and forwards it if it is new.
    pub(super) fn apply_update(
        &mut self,
        now: MonotonicTime,
        update: &MemberUpdate,
        source: UpdateSource,
        effects: &mut EffectQueue,
    ) {
        if update.host == self.options.host {
            self.apply_update_about_self(now, update, effects);
        } else {
            self.merge_update(now, update, source, effects);
        }
    }

    /// Merges an update that does not contradict this daemon's own state.
    pub(super) fn merge_update(
        &mut self,
        now: MonotonicTime,
        update: &MemberUpdate,
        source: UpdateSource,
        effects: &mut EffectQueue,
    ) {
        let before = self.table.get(&update.host).map(|e| e.update.clone());
        self.observe_revision(update.config_revision);
        let outcome = self.table.merge(now, update, source);
        self.correct_stale_peer(update, outcome, source);
        if matches!(outcome, MergeOutcome::Stale | MergeOutcome::UnknownLocation) {
            return;
        }
        self.change.view_changed = true;
        // Updates read from a table are old; daemons that missed them read the table too.
        if source != UpdateSource::Table {
            let class = self.class_of(update, outcome);
            let with_location = outcome == MergeOutcome::Joined;
            self.rumors.push(&update.host, class, with_location);
        }
        log_change(update, before.as_ref(), effects);
    }

    /// Queues the current state of a member if another daemon's table has an older one. Daemons
    /// that read that table receive the correction; otherwise only this daemon would keep the newer
    /// state.
    fn correct_stale_peer(
        &mut self,
        update: &MemberUpdate,
        outcome: MergeOutcome,
        source: UpdateSource,
    ) {
        if outcome != MergeOutcome::Stale || source != UpdateSource::Table {
            return;
        }
        let current = self.table.get(&update.host).map(|entry| &entry.update);
        let peer_is_stale = current.is_some_and(|current| {
            let same_incarnation = current.incarnation == update.incarnation;
            current.incarnation > update.incarnation
                || (same_incarnation && supersedes(current, update))
        });
        if peer_is_stale {
            self.rumors.push(&update.host, RumorClass::State, true);
        }
    }

    fn apply_update_about_self(
        &mut self,
        now: MonotonicTime,
        update: &MemberUpdate,
        effects: &mut EffectQueue,
    ) {
        let Some(own) = self.table.get(&self.options.host) else {
            return;
        };
        let state = match own.update.state {
            MemberState::Suspect => MemberState::Alive,
            state => state,
        };
        let other_location = update
            .location
            .as_ref()
            .is_some_and(|location| *location != own.location);
        let newest = update.incarnation;
        if newest > own.update.incarnation || (newest == own.update.incarnation && other_location) {
            self.raise_incarnation(now, newest, state, effects);
        } else if newest == own.update.incarnation && supersedes(update, &own.update) {
            self.health.worsen();
            let own = self.own_update(state, update.refutation + 1);
            self.merge_update(now, &own, UpdateSource::Member, effects);
        }
    }

    /// Continues under a larger incarnation. If the clock went back before a restart, the new
    /// incarnation is smaller than the one other members have recorded: they would ignore this
    /// daemon's updates, and no caller would be routed here.
    fn raise_incarnation(
        &mut self,
        now: MonotonicTime,
        seen: HostIncarnation,
        state: MemberState,
        effects: &mut EffectQueue,
    ) {
        self.options.incarnation = seen.next();
        self.change.new_incarnation = Some(self.options.incarnation);
        let line = LogLine::new(LogLevel::Warn, "incarnation_raised")
            .with("seen", seen)
            .with("now", self.options.incarnation);
        effects.log(line);
        let own = self.own_update(state, 0);
        self.merge_update(now, &own, UpdateSource::Member, effects);
    }

    /// Records the newest configuration revision seen.
    pub(super) fn observe_revision(&mut self, revision: ConfigRevision) {
        if revision > self.newest_revision {
            self.newest_revision = revision;
            self.change.newer_revision = Some(revision);
            // To a daemon that has just started, every revision is new.
            self.revision_unannounced = self.joined;
        }
    }

    fn class_of(&mut self, update: &MemberUpdate, outcome: MergeOutcome) -> RumorClass {
        let leaving = update.state == MemberState::Leaving && outcome != MergeOutcome::Revision;
        // To a daemon that has just started, everything is new, and other members already have it.
        let may_spread = self.joined || update.host == self.options.host;
        if may_spread && leaving {
            self.urgent_members.insert(update.host.clone());
            return RumorClass::Urgent;
        }
        match outcome {
            MergeOutcome::Revision => RumorClass::Revision,
            _ => RumorClass::State,
        }
    }

    /// Handles a probe that got no acknowledgement.
    pub(super) fn probe_failed(
        &mut self,
        now: MonotonicTime,
        probe: &PendingProbe,
        effects: &mut EffectQueue,
    ) {
        self.table.set_knows_our_location(&probe.target, false);
        if !probe.detects_failure {
            return;
        }
        if probe.nacks < probe.relays {
            // Relays that could not reach the target should have sent a negative acknowledgement.
            // If they did not, this daemon may be the slow one.
            self.health.worsen();
        }
        let Some(entry) = self.table.get(&probe.target) else {
            return;
        };
        // A whole region may be partitioned, for as long as an hour. If each side declared the
        // other dead, both would remove and add again half the cluster. Only a member of the
        // target's own region can tell that the target alone is unreachable.
        let remote = entry.location.region != *self.options.region();
        if (remote && !probe.target_region_nack) || entry.update.state != MemberState::Alive {
            return;
        }
        let suspicion = MemberUpdate {
            state: MemberState::Suspect,
            ..entry.update.clone()
        };
        self.merge_update(now, &suspicion, UpdateSource::Rumor, effects);
    }

    /// Declares suspected members dead that did not refute in time.
    pub(super) fn expire_suspicions(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        // A daemon that receives no messages is itself partitioned. If it declared members dead, it
        // would rejoin with a table of dead members and spread it.
        if now.since(self.clock.last_received) > self.options.isolation_timeout {
            return;
        }
        let timeout = self.health.stretch(self.options.suspicion_timeout);
        let due = self.table.entries().filter(|(_, entry)| {
            entry.update.state == MemberState::Suspect && now.since(entry.since) >= timeout
        });
        let to_expire = due.filter(|(_, entry)| {
            let local = entry.location.region == *self.options.region();
            local || now.since(entry.since) >= timeout * REMOTE_SUSPICION_FACTOR
        });
        let dead: Vec<_> = to_expire
            .map(|(_, entry)| MemberUpdate {
                state: MemberState::Dead,
                ..entry.update.clone()
            })
            .collect();
        for update in &dead {
            self.merge_update(now, update, UpdateSource::Rumor, effects);
        }
    }

    /// Removes members that have been dead, or leaving without a further update, for longer than
    /// the retention.
    pub(super) fn expire_dead(&mut self, now: MonotonicTime) {
        let retention = self.options.dead_retention;
        let own = self.options.host.clone();
        let removed = self.table.retain(|host, entry| {
            *host == own || is_live(entry) || now.since(entry.since) < retention
        });
        self.change.view_changed |= removed;
    }

    /// Live members of this region, without this daemon.
    pub(super) fn live_in_own_region(&self) -> Vec<HostName> {
        let own = &self.options.host;
        let region = self.options.region();
        let live = self.table.entries().filter(|(host, entry)| {
            *host != own && is_live(entry) && entry.location.region == *region
        });
        live.map(|(host, _)| host.clone()).collect()
    }
}

fn log_change(update: &MemberUpdate, before: Option<&MemberUpdate>, effects: &mut EffectQueue) {
    let same = before
        .is_some_and(|old| old.state == update.state && old.incarnation == update.incarnation);
    if same {
        return;
    }
    let level = match update.state {
        MemberState::Alive | MemberState::Leaving => LogLevel::Info,
        MemberState::Suspect => LogLevel::Debug,
        MemberState::Dead => LogLevel::Warn,
    };
    let line = LogLine::new(level, "member_changed")
        .with("host", &update.host)
        .with("incarnation", update.incarnation)
        .with("state", update.state);
    effects.log(line);
}
