//! Renewal and release of held leases.

use super::{
    CallPurpose, LeaseGrant, LeaseName, LeaseState, ObservedRow, PendingCall, row::LeaseRow,
};
use crate::effect::{EffectQueue, LogLevel, LogLine};
use rand::Rng;
use savorywood_protocol::{CoreTime, table::CommitRevision};

impl LeaseState {
    pub(super) fn renew(&mut self, now: CoreTime, name: LeaseName, effects: &mut EffectQueue) {
        let record = self.records.entry(name).or_default();
        // An unconfirmed write may have changed the row, so it is read before the next write.
        let Some(observed) = record
            .observed
            .clone()
            .filter(|_| record.unconfirmed.is_none())
        else {
            self.send_read(now, name, effects);
            return;
        };
        let row = LeaseRow {
            nonce: self.rng.random(),
            ..observed.row
        };
        let purpose = CallPurpose::Renew { row: row.clone() };
        self.write(now, name, &row, purpose, effects);
    }

    pub(super) fn write_committed(
        &mut self,
        now: CoreTime,
        name: LeaseName,
        call: &PendingCall,
        revision: CommitRevision,
        effects: &mut EffectQueue,
    ) {
        let holder_window = self.options.holder_window();
        let record = self.records.entry(name).or_default();
        let (CallPurpose::Acquire { row } | CallPurpose::Renew { row }) = &call.purpose else {
            record.observed = None;
            return;
        };
        record.observed = Some(ObservedRow {
            row: row.clone(),
            revision,
            first_seen_at: now.monotonic,
        });
        if !record.needed || self.leaving {
            self.release(now, name, effects);
            return;
        }
        let acquired_at = record.grant.map_or(call.sent_at, |grant| grant.acquired_at);
        record.grant = Some(LeaseGrant {
            fencing: row.fencing,
            acquired_at,
            valid_until: call.sent_at + holder_window,
        });
        if matches!(call.purpose, CallPurpose::Acquire { .. }) {
            let line = LogLine::new(LogLevel::Info, "lease-taken").with("lease", name);
            effects.log(line.with("fencing", row.fencing));
        }
    }

    /// Releases a lease, so that a successor does not have to wait for the term to pass. If the
    /// response is lost, the only cost is that wait.
    pub(super) fn release(&mut self, now: CoreTime, name: LeaseName, effects: &mut EffectQueue) {
        let record = self.records.entry(name).or_default();
        record.grant = None;
        let own = record.observed.clone().filter(|observed| {
            let holder = observed.row.holder.as_ref();
            holder.is_some_and(|holder| {
                holder.host == self.options.host && holder.incarnation == self.options.incarnation
            })
        });
        let Some(observed) = own else {
            return;
        };
        let row = LeaseRow {
            holder: None,
            fencing: observed.row.fencing,
            nonce: self.rng.random(),
        };
        self.write(now, name, &row, CallPurpose::Release, effects);
    }

    pub(super) fn leave(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        self.leaving = true;
        let names: Vec<_> = self.records.keys().copied().collect();
        for name in names {
            self.release(now, name, effects);
        }
    }
}
