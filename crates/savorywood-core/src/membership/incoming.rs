//! Handling of messages from other daemons.

use super::{
    MembershipState,
    outgoing::{MAX_UPDATE_BYTES, PIGGYBACK_BYTES, PingPurpose},
    probe::{PendingProbe, RelayedProbe},
    table::{TABLE_PARTS, UpdateSource},
};
use crate::effect::{EffectQueue, LogLevel, LogLine};
use savorywood_protocol::{
    HostName, MonotonicTime,
    peer::{
        MembershipMessage,
        membership::{MemberTableDigest, MemberUpdate},
    },
};

/// A table part of at least this many bytes may be incomplete.
const NEARLY_FULL_BYTES: usize = MAX_UPDATE_BYTES - PIGGYBACK_BYTES - 150;

/// Maximum number of times that the same parts are requested again because the response was nearly
/// full.
const MAX_PULL_REPEATS: u8 = 3;

/// A part of another daemon's member table.
#[derive(Debug, Clone, Copy)]
struct TablePart<'a> {
    members: &'a [MemberUpdate],
    /// Whether that daemon has itself read the complete table from others.
    synced: bool,
}

impl MembershipState {
    pub(super) fn receive(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        message: MembershipMessage,
        effects: &mut EffectQueue,
    ) {
        self.clock.last_received = now;
        self.record_region_contact(now, from, effects);
        match message {
            MembershipMessage::Ping {
                sequence,
                newest_revision,
                digest,
                updates,
            } => {
                self.observe_revision(newest_revision);
                self.apply_updates(now, from, &updates, UpdateSource::Rumor, effects);
                self.handle_ping(from, sequence, &digest, &updates, effects);
            }
            MembershipMessage::Ack {
                sequence,
                newest_revision,
                updates,
                table,
                synced,
            } => {
                self.observe_revision(newest_revision);
                self.apply_updates(now, from, &updates, UpdateSource::Rumor, effects);
                self.apply_updates(now, from, &table, UpdateSource::Table, effects);
                let part = TablePart {
                    members: &table,
                    synced,
                };
                self.handle_ack(now, from, sequence, part, effects);
            }
            MembershipMessage::PingRequest {
                sequence,
                target,
                updates,
            } => {
                self.apply_updates(now, from, &updates, UpdateSource::Rumor, effects);
                self.relay_ping(now, from, sequence, target, effects);
            }
            MembershipMessage::Nack { sequence } => self.handle_nack(from, sequence),
            MembershipMessage::Updates {
                newest_revision,
                updates,
            } => {
                self.observe_revision(newest_revision);
                self.apply_updates(now, from, &updates, UpdateSource::Rumor, effects);
            }
        }
        self.send_urgent(effects);
    }

    fn handle_ping(
        &mut self,
        from: &HostName,
        sequence: u64,
        digest: &MemberTableDigest,
        updates: &[MemberUpdate],
        effects: &mut EffectQueue,
    ) {
        // A sender that includes its own address may not have ours either.
        let has_own_location =
            |update: &MemberUpdate| update.host == *from && update.location.is_some();
        let include_location = updates.iter().any(has_own_location);
        self.send_ack(from, sequence, digest, include_location, effects);
    }

    fn handle_ack(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        sequence: u64,
        part: TablePart<'_>,
        effects: &mut EffectQueue,
    ) {
        if let Some(probe) = self.probes.answered(sequence) {
            self.health.improve();
            self.table.set_knows_our_location(&probe.target, true);
            if probe.pulls > 0 {
                self.handle_pull(now, &probe, part, effects);
            }
        } else if let Some(relayed) = self.probes.relay_answered(sequence) {
            self.relay_ack(&relayed.requester, from, relayed.sequence, effects);
        }
    }

    fn handle_pull(
        &mut self,
        now: MonotonicTime,
        probe: &PendingProbe,
        part: TablePart<'_>,
        effects: &mut EffectQueue,
    ) {
        let bytes: usize = part.members.iter().map(MemberUpdate::max_wire_bytes).sum();
        if bytes >= NEARLY_FULL_BYTES && self.pull.repeats < MAX_PULL_REPEATS {
            self.pull.repeats += 1;
        } else {
            self.pull.repeats = 0;
            self.pull.parts_read = (self.pull.parts_read + probe.pulls).min(TABLE_PARTS);
        }
        if self.pull.parts_read < TABLE_PARTS {
            // When a whole cluster starts at once, all daemons read from one another. At full speed
            // they would exhaust their byte budgets and miss the probes that show they are live.
            if part.synced {
                self.pull(now, effects);
            }
        } else if !self.joined {
            self.joined = true;
            let line = LogLine::new(LogLevel::Info, "joined").with("members", self.table.count());
            effects.log(line);
        }
    }

    fn relay_ping(
        &mut self,
        now: MonotonicTime,
        requester: &HostName,
        sequence: u64,
        target: HostName,
        effects: &mut EffectQueue,
    ) {
        let Some(address) = self.address_of(&target) else {
            return;
        };
        // The reply must arrive before the requester's probe fails.
        let relayed = RelayedProbe {
            requester: requester.clone(),
            sequence,
            fails_at: now + self.options.direct_timeout,
        };
        let number = self.probes.add_relayed(relayed);
        self.send_ping(&target, address, number, PingPurpose::Contact, effects);
    }

    fn handle_nack(&mut self, from: &HostName, sequence: u64) {
        let region = self
            .table
            .get(from)
            .map(|entry| entry.location.region.clone());
        let Some(probe) = self.probes.get_mut(sequence) else {
            return;
        };
        probe.nacks += 1;
        let target = self.table.get(&probe.target);
        let same_region =
            target.is_some_and(|entry| Some(&entry.location.region) == region.as_ref());
        probe.target_region_nack |= same_region;
    }
}
