//! Leases: at most one daemon acts under a name at a time, without any clock in common.
//!
//! A row `lease/NAME` names the holder and its fencing number. A holder may act until its own
//! monotonic clock says that the term, counted from when it *sent* the last renewal that took
//! effect, is over, less a margin. Another daemon may take the lease once its own monotonic clock
//! has seen the row unchanged for a whole term and a margin, counted from when it *read* the row.
//! The renewal was sent before it was read, so the holder stops first; only the rates of the two
//! clocks matter, and the margins allow for a difference of a tenth.

pub mod options;
pub mod row;

mod contending;
mod holding;

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
    table::{CommitRevision, TableAnswer, TableRequest},
};
use std::collections::BTreeMap;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// What a lease is for.
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
    /// Driving all moves of traffic.
    Moves,
    /// Giving orders to engines.
    Orders,
}

/// What happens to leases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// There is work to do under a lease, or no longer.
    Wanted {
        /// Which lease.
        name: LeaseName,
        /// Whether there is work.
        wanted: bool,
    },
    /// One of its timers fired.
    TimerFired {
        /// Number of the timer.
        number: u64,
    },
    /// The table answered.
    Table {
        /// Number of the call.
        number: u64,
        /// Its answer.
        answer: TableAnswer,
    },
    /// This daemon leaves: all its leases are given back.
    Leaving,
}

/// What a holder may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Carried by everything that is done under the lease.
    pub fencing: FencingNumber,
    /// Since when this daemon holds it.
    pub gained_at: MonotonicTime,
    /// Nothing may be done under it from then on, unless it is renewed.
    pub acts_until: MonotonicTime,
}

/// What a step did to the leases that this daemon holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseVerdict {
    /// This daemon holds the lease from now on.
    Gained(LeaseName),
    /// This daemon holds it no longer.
    Dropped(LeaseName),
}

/// A row as this daemon saw it first.
#[derive(Debug, Clone)]
struct SeenRow {
    row: LeaseRow,
    revision: CommitRevision,
    seen_at: MonotonicTime,
}

/// What a call of the table was for.
#[derive(Debug, Clone)]
enum CallPurpose {
    Read,
    Take { row: LeaseRow },
    Renew { row: LeaseRow },
    Release,
}

/// A call under way.
#[derive(Debug, Clone)]
struct CallProgress {
    number: u64,
    sent_at: MonotonicTime,
    purpose: CallPurpose,
}

/// One lease as this daemon knows it.
#[derive(Debug, Clone, Default)]
struct LeaseRecord {
    wanted: bool,
    seen: Option<SeenRow>,
    grant: Option<LeaseGrant>,
    call: Option<CallProgress>,
    /// A write of ours whose answer was lost, with the time that it was sent.
    lost: Option<CallProgress>,
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
    /// A daemon that holds nothing.
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

    /// What this daemon may do under a lease at this moment. To be asked again at each effect: a
    /// holder that was paused would otherwise act beside its successor, which shows as two orders
    /// or two decisions that contradict each other.
    #[must_use]
    pub fn grant(&self, now: CoreTime, name: LeaseName) -> Option<LeaseGrant> {
        let grant = self.records.get(&name)?.grant?;
        (now.monotonic < grant.acts_until).then_some(grant)
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: LeaseEvent,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) -> Vec<LeaseVerdict> {
        let before = self.held();
        self.expire(now, effects);
        match event {
            LeaseEvent::Wanted { name, wanted } => self.want(now, name, wanted, effects),
            LeaseEvent::TimerFired { number } => self.timer(now, number, members, effects),
            LeaseEvent::Table { number, answer } => self.answered(now, number, answer, effects),
            LeaseEvent::Leaving => self.leave(now, effects),
        }
        self.expire(now, effects);
        let after = self.held();
        let gained = after.iter().filter(|name| !before.contains(name));
        let dropped = before.iter().filter(|name| !after.contains(name));
        let gained = gained.copied().map(LeaseVerdict::Gained);
        let dropped = dropped.copied().map(LeaseVerdict::Dropped);
        dropped.chain(gained).collect()
    }

    fn held(&self) -> Vec<LeaseName> {
        let records = self.records.iter();
        let held = records.filter(|(_, record)| record.grant.is_some());
        held.map(|(name, _)| *name).collect()
    }

    /// Forgets grants whose time is over.
    fn expire(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        for (name, record) in &mut self.records {
            let over = record
                .grant
                .is_some_and(|grant| now.monotonic >= grant.acts_until);
            if over {
                record.grant = None;
                let line = LogLine::new(LogLevel::Warn, "lease-expired").with("lease", name);
                effects.log(line);
            }
        }
    }

    fn answered(
        &mut self,
        now: CoreTime,
        number: u64,
        answer: TableAnswer,
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
        match (answer, &call.purpose) {
            (TableAnswer::Committed { revision }, _) => {
                self.committed(now, name, &call, revision, effects);
            }
            (TableAnswer::Rows { rows, .. }, CallPurpose::Read) => {
                let row = rows.first();
                self.read(now, name, row, effects);
            }
            // The write may have taken effect: the next read tells by the nonce of the row.
            (TableAnswer::Lost, CallPurpose::Take { .. } | CallPurpose::Renew { .. }) => {
                record.lost = Some(call);
            }
            (TableAnswer::Conflict { .. }, _) => self.send_read(now, name, effects),
            _ => {}
        }
    }

    /// Another daemon's row with a larger fencing number, read while this one may still act: the
    /// clocks ran further apart than the margins allow, or somebody edited the row.
    fn check_alone(
        &self,
        now: CoreTime,
        name: LeaseName,
        row: &LeaseRow,
        effects: &mut EffectQueue,
    ) {
        let grant = self.grant(now, name);
        let alone = grant.is_none_or(|grant| row.fencing <= grant.fencing);
        invariant::check(effects, InvariantName::ExclusiveLeaseHolder, alone, || {
            format!(
                "lease={name} holder={} fencing={}",
                row.holder_text(),
                row.fencing
            )
        });
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
        record.call = Some(CallProgress {
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
