//! Reading of lease rows, and acquisition once the previous holder can no longer act.

use super::{
    CallPurpose, LeaseGrant, LeaseName, LeaseState, ObservedRow,
    row::{LeaseHolder, LeaseRow, row_key},
};
use crate::{
    effect::{EffectQueue, LogLevel, LogLine},
    view::MemberView,
};
use rand::Rng;
use savorywood_protocol::{
    CoreTime,
    table::{RowCondition, RowWrite, TableCommit, TableRequest, TableRow},
};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of daemons that contend for one lease: the first by rendezvous hash among the
/// serving members. Bounds the reads caused by waiting; other daemons take their place when these
/// fail. Program versions that hash differently disagree only on who contends, never on who holds
/// the lease.
const MAX_CONTENDERS: usize = 3;

impl LeaseState {
    pub(super) fn request(
        &mut self,
        now: CoreTime,
        name: LeaseName,
        needed: bool,
        effects: &mut EffectQueue,
    ) {
        let record = self.records.entry(name).or_default();
        let before = std::mem::replace(&mut record.needed, needed);
        if needed && !before {
            effects.set_timer(Self::timer_key(name), now.monotonic);
        }
        if before && !needed {
            self.release(now, name, effects);
        }
    }

    pub(super) fn timer_fired(
        &mut self,
        now: CoreTime,
        number: u64,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        let mut names = self.records.keys().copied();
        let Some(name) = names.find(|name| *name as u64 == number) else {
            return;
        };
        let Some(record) = self.records.get_mut(&name) else {
            return;
        };
        if !record.needed || self.leaving {
            return;
        }
        // A call without a response must not block the duty forever.
        let timed_out = |sent_at| now.monotonic.since(sent_at) > self.options.term;
        if record
            .call
            .as_ref()
            .is_some_and(|call| timed_out(call.sent_at))
        {
            record.unconfirmed = record.call.take();
        }
        let idle = record.call.is_none();
        let holds = record.grant.is_some();
        let period = match holds {
            true => self.options.renew_interval(),
            false => self.options.watch_interval(),
        };
        let period = period.mul_f64(self.rng.random_range(0.8..1.0));
        effects.set_timer(Self::timer_key(name), now.monotonic + period);
        match (idle, holds) {
            (true, true) => self.renew(now, name, effects),
            (true, false) if self.is_contender(name, members) => self.send_read(now, name, effects),
            _ => {}
        }
    }

    fn is_contender(&self, name: LeaseName, members: &MemberView) -> bool {
        let weight = |host: &str| {
            let mut hasher = DefaultHasher::new();
            (name as u64, host).hash(&mut hasher);
            hasher.finish()
        };
        let own = weight(self.options.host.as_str());
        let ahead = members
            .serving()
            .filter(|(host, _)| weight(host.as_str()) > own)
            .count();
        ahead < MAX_CONTENDERS
    }

    pub(super) fn send_read(&mut self, now: CoreTime, name: LeaseName, effects: &mut EffectQueue) {
        let keys = vec![row_key(name)];
        let request = TableRequest::Get { keys };
        self.call_table(now, name, request, CallPurpose::Read, effects);
    }

    pub(super) fn row_read(
        &mut self,
        now: CoreTime,
        name: LeaseName,
        row: Option<&TableRow>,
        effects: &mut EffectQueue,
    ) {
        let Some(current) = self.record_row(now, name, row, effects) else {
            return;
        };
        self.check_exclusive(now, name, &current.row, effects);
        self.drop_superseded(name, &current);
        self.resolve_unconfirmed(name, &current, effects);
        let needed = self.records.get(&name).is_some_and(|record| record.needed);
        let holds = self.grant(now, name).is_some();
        let released = current.row.holder.is_none();
        let unchanged = now.monotonic.since(current.first_seen_at);
        let expired = unchanged >= self.options.takeover_delay();
        if needed && !self.leaving && !holds && (released || expired) {
            self.acquire(now, name, &current, effects);
        }
    }

    /// Records a row with the time at which its revision was first read.
    fn record_row(
        &mut self,
        now: CoreTime,
        name: LeaseName,
        row: Option<&TableRow>,
        effects: &mut EffectQueue,
    ) -> Option<ObservedRow> {
        let revision = row.map_or(0, |row| row.revision);
        let record = self.records.entry(name).or_default();
        if let Some(observed) = &record.observed
            && observed.revision == revision
        {
            return Some(observed.clone());
        }
        let text = row.and_then(|row| row.value.as_deref());
        let content = match text.map(serde_json::from_str::<LeaseRow>).transpose() {
            Ok(content) => content.unwrap_or_default(),
            Err(error) => {
                let line = LogLine::new(LogLevel::Error, "lease-row-unreadable");
                effects.log(line.with("lease", name).with("error", error));
                return None;
            }
        };
        let observed = ObservedRow {
            row: content,
            revision,
            first_seen_at: now.monotonic,
        };
        record.observed = Some(observed.clone());
        Some(observed)
    }

    /// Drops this daemon's grant if the row names another holder. Renewing would write the other
    /// holder's row again, and this daemon would act concurrently with it under its fencing number.
    fn drop_superseded(&mut self, name: LeaseName, current: &ObservedRow) {
        let own = Some(self.own_holder());
        if current.row.holder != own
            && let Some(record) = self.records.get_mut(&name)
        {
            record.grant = None;
        }
    }

    /// Recognises by its nonce an unconfirmed write that took effect. Its grant is valid from when
    /// it was sent.
    fn resolve_unconfirmed(
        &mut self,
        name: LeaseName,
        current: &ObservedRow,
        effects: &mut EffectQueue,
    ) {
        let Some(record) = self.records.get_mut(&name) else {
            return;
        };
        let Some(unconfirmed) = record.unconfirmed.take() else {
            return;
        };
        let (CallPurpose::Acquire { row } | CallPurpose::Renew { row }) = &unconfirmed.purpose
        else {
            return;
        };
        if *row == current.row {
            let holder_window = self.options.holder_window();
            let acquired_at = record
                .grant
                .map_or(unconfirmed.sent_at, |grant| grant.acquired_at);
            record.grant = Some(LeaseGrant {
                fencing: row.fencing,
                acquired_at,
                valid_until: unconfirmed.sent_at + holder_window,
            });
            let line = LogLine::new(LogLevel::Info, "lease-found").with("lease", name);
            effects.log(line.with("fencing", row.fencing));
        }
    }

    fn acquire(
        &mut self,
        now: CoreTime,
        name: LeaseName,
        current: &ObservedRow,
        effects: &mut EffectQueue,
    ) {
        let row = LeaseRow {
            holder: Some(self.own_holder()),
            fencing: current.row.fencing.next(),
            nonce: self.rng.random(),
        };
        let purpose = CallPurpose::Acquire { row: row.clone() };
        self.write(now, name, &row, purpose, effects);
    }

    fn own_holder(&self) -> LeaseHolder {
        LeaseHolder {
            host: self.options.host.clone(),
            incarnation: self.options.incarnation,
        }
    }

    /// Writes the row on condition that its revision is the last one read.
    pub(super) fn write(
        &mut self,
        now: CoreTime,
        name: LeaseName,
        row: &LeaseRow,
        purpose: CallPurpose,
        effects: &mut EffectQueue,
    ) {
        let observed = self
            .records
            .get(&name)
            .and_then(|record| record.observed.as_ref());
        let revision = observed.map_or(0, |observed| observed.revision);
        let key = row_key(name);
        let commit = TableCommit {
            conditions: vec![RowCondition {
                key: key.clone(),
                revision: (revision > 0).then_some(revision),
            }],
            writes: vec![RowWrite {
                key,
                value: serde_json::to_string(row).ok(),
            }],
        };
        self.call_table(now, name, TableRequest::Commit(commit), purpose, effects);
    }
}
