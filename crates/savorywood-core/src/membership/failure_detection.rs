//! Takes in news and passes judgement: who is suspected, who is dead, who refutes.

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

/// A suspected member of another region is judged there; only when no word of it has come for so
/// many times the suspicion time is it taken for dead here. Without an end, a daemon that missed
/// that word would hold a dead member for merely suspected for good.
const REMOTE_SUSPICION_FACTOR: u32 = 10;

impl MembershipState {
    /// Takes in a piece of news from another daemon and passes it on if it is new.
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

    /// Takes in news that contradicts nothing we say of ourselves.
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
        if matches!(outcome, MergeOutcome::Stale | MergeOutcome::UnknownPlace) {
            return;
        }
        self.change.view_changed = true;
        // What stands in a table was told long ago; those that missed it read it there too.
        if source != UpdateSource::Table {
            let class = self.class_of(update, outcome);
            let with_place = outcome == MergeOutcome::Joined;
            self.rumors.push(&update.host, class, with_place);
        }
        log_change(update, before.as_ref(), effects);
    }

    /// Tells anew what another daemon's table has an older word of. Whoever asks for a table
    /// learns from it; without this, what only the asker knows would stay with it for good.
    fn correct_stale_peer(
        &mut self,
        update: &MemberUpdate,
        outcome: MergeOutcome,
        source: UpdateSource,
    ) {
        if outcome != MergeOutcome::Stale || source != UpdateSource::Table {
            return;
        }
        let held = self.table.get(&update.host).map(|entry| &entry.update);
        let older = held.is_some_and(|held| {
            let same_incarnation = held.incarnation == update.incarnation;
            held.incarnation > update.incarnation || (same_incarnation && supersedes(held, update))
        });
        if older {
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
        let other_place = update
            .place
            .as_ref()
            .is_some_and(|place| *place != own.place);
        let newest = update.incarnation;
        if newest > own.update.incarnation || (newest == own.update.incarnation && other_place) {
            self.raise_incarnation(now, newest, state, effects);
        } else if newest == own.update.incarnation && supersedes(update, &own.update) {
            self.health.worsen();
            let own = self.own_update(state, update.refutation + 1);
            self.merge_update(now, &own, UpdateSource::Member, effects);
        }
    }

    /// Goes on under a larger incarnation. A restart after the clock went back gives a smaller
    /// one than others know: nobody would believe this daemon, and no caller would be sent here.
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

    /// Notes the newest configuration revision heard of.
    pub(super) fn observe_revision(&mut self, revision: ConfigRevision) {
        if revision > self.newest_revision {
            self.newest_revision = revision;
            self.change.newer_revision = Some(revision);
            // To a daemon that has just begun, every revision is new.
            self.revision_unannounced = self.joined;
        }
    }

    fn class_of(&mut self, update: &MemberUpdate, outcome: MergeOutcome) -> RumorClass {
        let leaving = update.state == MemberState::Leaving && outcome != MergeOutcome::Revision;
        // To a daemon that has just begun, all is new, and nobody waits to hear it from there.
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

    /// Judges a probe that nobody answered.
    pub(super) fn probe_failed(
        &mut self,
        now: MonotonicTime,
        probe: &PendingProbe,
        effects: &mut EffectQueue,
    ) {
        self.table.set_knows_our_place(&probe.target, false);
        if !probe.detects_failure {
            return;
        }
        if probe.nacks < probe.relays {
            // Those asked should at least have said that they failed. If not, it may be us.
            self.health.worsen();
        }
        let Some(entry) = self.table.get(&probe.target) else {
            return;
        };
        // Another region may be cut off as a whole, for an hour; were each side to take the
        // other for dead, both would forget and relearn half the fleet. Only a member of the
        // target's own region can tell that the target alone is gone.
        let far = entry.place.region != *self.options.region();
        if (far && !probe.target_region_nack) || entry.update.state != MemberState::Alive {
            return;
        }
        let suspicion = MemberUpdate {
            state: MemberState::Suspect,
            ..entry.update.clone()
        };
        self.merge_update(now, &suspicion, UpdateSource::Rumor, effects);
    }

    /// Takes suspected members that did not refute in time for dead.
    pub(super) fn expire_suspicions(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        // A daemon that hears nobody is itself cut off. Were it to judge, it would come back
        // with a table full of dead members and spread that.
        if now.since(self.clock.last_received) > self.options.isolation_timeout {
            return;
        }
        let timeout = self.health.stretch(self.options.suspicion_timeout);
        let due = self.table.entries().filter(|(_, entry)| {
            entry.update.state == MemberState::Suspect && now.since(entry.since) >= timeout
        });
        let ours = due.filter(|(_, entry)| {
            let near = entry.place.region == *self.options.region();
            near || now.since(entry.since) >= timeout * REMOTE_SUSPICION_FACTOR
        });
        let dead: Vec<_> = ours
            .map(|(_, entry)| MemberUpdate {
                state: MemberState::Dead,
                ..entry.update.clone()
            })
            .collect();
        for update in &dead {
            self.merge_update(now, update, UpdateSource::Rumor, effects);
        }
    }

    /// Forgets members that have been dead, or leaving without a word, for long enough.
    pub(super) fn expire_dead(&mut self, now: MonotonicTime) {
        let retention = self.options.dead_retention;
        let own = self.options.host.clone();
        let removed = self.table.retain(|host, entry| {
            *host == own || is_live(entry) || now.since(entry.since) < retention
        });
        self.change.view_changed |= removed;
    }

    /// Members of this region that may take part in probes, without ourselves.
    pub(super) fn live_in_own_region(&self) -> Vec<HostName> {
        let own = &self.options.host;
        let region = self.options.region();
        let near = self.table.entries().filter(|(host, entry)| {
            *host != own && is_live(entry) && entry.place.region == *region
        });
        near.map(|(host, _)| host.clone()).collect()
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
