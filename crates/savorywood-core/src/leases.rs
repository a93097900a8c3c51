//! Leases: at most one daemon acts under a name at a time, without synchronised clocks.
//!
//! A row `lease/NAME` records the holder and its fencing number. A holder may act for nine tenths
//! of the term, measured on its own monotonic clock from when it *sent* the last renewal that took
//! effect. Another daemon may acquire the lease once its own monotonic clock shows that the row has
//! been unchanged for a term and a quarter, measured from when it first *read* the row. A renewal
//! is sent before it can be read, so the holder stops first. Only the relative rates of the two
//! clocks matter; the margins tolerate a clock that runs a third faster than the other.

pub mod options;
pub mod row;

mod acquisition;
mod renewal;

pub use options::LeaseOptions;

use crate::{
    effect::{DaemonEffect, EffectQueue, LogLevel, LogLine},
    event::{DutyKind, TableCallId, TimerKey},
    invariant::{self, InvariantName},
    view::MemberView,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use row::LeaseRow;
use savorywood_protocol::{
    CoreTime, FencingNumber, MonotonicTime,
    table::{CommitRevision, TableRequest, TableResponse},
};
use std::collections::BTreeMap;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The work that a lease protects.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LeaseName {
    /// Driving traffic moves.
    Moves,
    /// Giving orders to engines.
    Orders,
}

/// Input events of the lease duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Work under a lease became available, or ended.
    DemandChanged {
        /// Lease that the work needs.
        name: LeaseName,
        /// Whether there is work.
        needed: bool,
    },
    /// One of the timers of this duty fired.
    TimerFired {
        /// Timer number, as in its `TimerKey`.
        number: u64,
    },
    /// The table responded to one of this duty's calls.
    Table {
        /// Number of the table call.
        number: u64,
        /// Response of the table.
        answer: TableResponse,
    },
    /// This daemon is leaving: it releases all its leases.
    Leaving,
}

/// Permission of a holder to act under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Fencing number, attached to every action under the lease.
    pub fencing: FencingNumber,
    /// When this daemon sent the write that acquired the lease.
    pub acquired_at: MonotonicTime,
    /// The holder must not act from this time on unless the lease is renewed.
    pub valid_until: MonotonicTime,
}

/// A change of the leases that this daemon holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// This daemon acquired the lease.
    Acquired(LeaseName),
    /// This daemon no longer holds the lease: it was released, expired or taken over.
    Lost(LeaseName),
}

/// A lease row, with the time at which this daemon first read that revision.
#[derive(Debug, Clone)]
struct ObservedRow {
    row: LeaseRow,
    revision: CommitRevision,
    first_seen_at: MonotonicTime,
}

/// Purpose of a table call.
#[derive(Debug, Clone)]
enum CallPurpose {
    Read,
    Acquire { row: LeaseRow },
    Renew { row: LeaseRow },
    Release,
}

/// A table call in progress.
#[derive(Debug, Clone)]
struct PendingCall {
    number: u64,
    sent_at: MonotonicTime,
    purpose: CallPurpose,
}

/// State of one lease on this daemon.
#[derive(Debug, Clone, Default)]
struct LeaseRecord {
    needed: bool,
    observed: Option<ObservedRow>,
    grant: Option<LeaseGrant>,
    call: Option<PendingCall>,
    /// A write that got no response and may have taken effect.
    unconfirmed: Option<PendingCall>,
}

/// State of the lease duty.
#[derive(Debug)]
pub struct LeaseState {
    options: LeaseOptions,
    rng: ChaCha8Rng,
    records: BTreeMap<LeaseName, LeaseRecord>,
    leaving: bool,
    calls: u64,
}

impl LeaseState {
    /// Creates the state of a daemon that holds no lease.
    #[must_use]
    pub fn new(options: LeaseOptions) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            records: BTreeMap::new(),
            leaving: false,
            calls: 0,
        }
    }

    /// Returns the current grant of a lease, if this daemon holds it. Call this for every effect: a
    /// holder that was paused could otherwise act concurrently with its successor and issue
    /// duplicate orders or contradictory decisions.
    #[must_use]
    pub fn grant(&self, now: CoreTime, name: LeaseName) -> Option<LeaseGrant> {
        let grant = self.records.get(&name)?.grant?;
        (now.monotonic < grant.valid_until).then_some(grant)
    }

    /// Handles one event and returns the changes of held leases.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: LeaseEvent,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) -> Vec<LeaseChange> {
        let before = self.held();
        self.expire(now, effects);
        match event {
            LeaseEvent::DemandChanged { name, needed } => self.request(now, name, needed, effects),
            LeaseEvent::TimerFired { number } => self.timer_fired(now, number, members, effects),
            LeaseEvent::Table { number, answer } => self.responded(now, number, answer, effects),
            LeaseEvent::Leaving => self.leave(now, effects),
        }
        self.expire(now, effects);
        let after = self.held();
        let acquired = after.iter().filter(|name| !before.contains(name));
        let lost = before.iter().filter(|name| !after.contains(name));
        let acquired = acquired.copied().map(LeaseChange::Acquired);
        let lost = lost.copied().map(LeaseChange::Lost);
        lost.chain(acquired).collect()
    }

    fn held(&self) -> Vec<LeaseName> {
        let records = self.records.iter();
        let held = records.filter(|(_, record)| record.grant.is_some());
        held.map(|(name, _)| *name).collect()
    }

    /// Removes expired grants.
    fn expire(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        for (name, record) in &mut self.records {
            let over = record
                .grant
                .is_some_and(|grant| now.monotonic >= grant.valid_until);
            if over {
                record.grant = None;
                let line = LogLine::new(LogLevel::Warn, "lease-expired").with("lease", name);
                effects.log(line);
            }
        }
    }

    fn responded(
        &mut self,
        now: CoreTime,
        number: u64,
        response: TableResponse,
        effects: &mut EffectQueue,
    ) {
        let mut records = self.records.iter_mut();
        let owner = records.find(|(_, record)| {
            record
                .call
                .as_ref()
                .is_some_and(|call| call.number == number)
        });
        let Some((name, record)) = owner else {
            return;
        };
        let name = *name;
        let Some(call) = record.call.take() else {
            return;
        };
        match (response, &call.purpose) {
            (TableResponse::Committed { revision }, _) => {
                self.write_committed(now, name, &call, revision, effects);
            }
            (TableResponse::Rows { rows, .. }, CallPurpose::Read) => {
                let row = rows.first();
                self.row_read(now, name, row, effects);
            }
            // The write may have taken effect; the nonce of the row shows it at the next read.
            (TableResponse::Lost, CallPurpose::Acquire { .. } | CallPurpose::Renew { .. }) => {
                record.unconfirmed = Some(call);
            }
            (TableResponse::Conflict { .. }, _) => self.send_read(now, name, effects),
            _ => {}
        }
    }

    /// Checks that no other daemon holds the lease with a larger fencing number while the local
    /// grant is valid. A violation means that the clock rates differ by more than the margins
    /// allow, or that the row was edited.
    fn check_exclusive(
        &self,
        now: CoreTime,
        name: LeaseName,
        row: &LeaseRow,
        effects: &mut EffectQueue,
    ) {
        let grant = self.grant(now, name);
        let exclusive = grant.is_none_or(|grant| row.fencing <= grant.fencing);
        invariant::check(
            effects,
            InvariantName::ExclusiveLeaseHolder,
            exclusive,
            || {
                format!(
                    "lease={name} holder={} fencing={}",
                    row.holder_text(),
                    row.fencing
                )
            },
        );
    }

    fn call_table(
        &mut self,
        now: CoreTime,
        name: LeaseName,
        request: TableRequest,
        purpose: CallPurpose,
        effects: &mut EffectQueue,
    ) {
        self.calls += 1;
        let number = self.calls;
        let record = self.records.entry(name).or_default();
        record.call = Some(PendingCall {
            number,
            sent_at: now.monotonic,
            purpose,
        });
        let duty = DutyKind::Leases;
        let call = TableCallId { duty, number };
        effects.push(DaemonEffect::CallTable { call, request });
    }

    fn timer_key(name: LeaseName) -> TimerKey {
        let duty = DutyKind::Leases;
        let number = name as u64;
        TimerKey { duty, number }
    }
}
