//! The accepted configuration: reading it, changing it, and knowing whether it is current.
//!
//! Accepted means committed in the table under the next revision. See `docs/design/configuration.md`.

pub mod change_log;
pub mod currency;
pub mod options;
pub mod pending_write;
pub mod row;
pub mod status;
pub mod table_poll;

mod applying;
mod refreshing;
mod writing;

pub use change_log::{ChangeList, ConfigChange};
pub use currency::PeerConfirmation;
pub use options::ConfigOptions;

use crate::{
    config::{
        change_log::ChangeLog, currency::CurrencyRecord, pending_write::PendingWrite,
        row::HeadMark, table_poll::TablePoll,
    },
    effect::{DaemonEffect, EffectQueue},
    event::{DutyKind, TableCallId, TimerKey},
    operator::{OperatorCallId, OperatorRequest},
    snapshot::ConfigSnapshot,
    view::{ConfigView, MemberView},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostName, MonotonicTime, MoveName, WallTime,
    peer::ConfigMessage,
    resource::{MoveState, ResourceKey, ResourceKind, ResourceStatus},
    table::{TableAnswer, TableRequest},
};
use std::{collections::VecDeque, sync::Arc};

/// What happens to the configuration duty.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigEvent {
    /// The daemon begins.
    Started,
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
    /// An operator wants a change.
    Operator {
        /// Whom to answer.
        call: OperatorCallId,
        /// What is wanted.
        request: Box<OperatorRequest>,
    },
    /// A peer tells its revision.
    Peer {
        /// Who.
        from: HostName,
        /// What.
        message: ConfigMessage,
    },
    /// A peer's configuration came, or did not.
    SnapshotFetched {
        /// Who was asked.
        from: HostName,
        /// What it has in force.
        snapshot: Option<Box<ConfigSnapshot>>,
    },
    /// Members came, went or told another revision.
    MembersChanged,
}

/// What a step did to the configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigVerdict {
    /// The same configuration is in force.
    Unchanged,
    /// A newer configuration is in force.
    Changed,
}

/// A peer that was asked for its configuration.
#[derive(Debug)]
struct SnapshotFetch {
    from: HostName,
    asked_at: MonotonicTime,
}

/// State of the configuration duty.
#[derive(Debug)]
pub struct ConfigState {
    options: ConfigOptions,
    rng: ChaCha8Rng,
    view: Arc<ConfigView>,
    mark: HeadMark,
    loaded_at: Option<WallTime>,
    newest_heard: ConfigRevision,
    gossiped: ConfigRevision,
    log: ChangeLog,
    currency: CurrencyRecord,
    poll: TablePoll,
    fetch: Option<SnapshotFetch>,
    writes: VecDeque<PendingWrite>,
    write_call: Option<u64>,
    calls: u64,
}

impl ConfigState {
    /// A daemon that has read nothing yet.
    #[must_use]
    pub fn new(options: ConfigOptions) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            view: Arc::default(),
            mark: HeadMark::default(),
            loaded_at: None,
            newest_heard: ConfigRevision::default(),
            gossiped: ConfigRevision::default(),
            log: ChangeLog::default(),
            currency: CurrencyRecord::default(),
            poll: TablePoll::default(),
            fetch: None,
            writes: VecDeque::new(),
            write_call: None,
            calls: 0,
        }
    }

    /// Configuration in force. While nobody else keeps a clone, a change is made in place; a kept
    /// clone makes the next change copy all resources once.
    #[must_use]
    pub fn view(&self) -> &Arc<ConfigView> {
        &self.view
    }

    /// Whether the configuration was read whole since this daemon began. Until then it takes no
    /// work: what it would decide by could be older than what callers met before.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.loaded_at.is_some()
    }

    /// Whether table or peers confirmed lately that nothing newer is in force elsewhere.
    #[must_use]
    pub fn is_current(&self, now: CoreTime) -> bool {
        let allowed = self.options.allowed_age;
        self.is_ready() && self.currency.is_current(now.monotonic, allowed)
    }

    /// The whole configuration for another daemon; `None` until it was read whole.
    #[must_use]
    pub fn snapshot(&self) -> Option<ConfigSnapshot> {
        self.loaded_at?;
        Some(ConfigSnapshot {
            revision: self.view.revision,
            table_revision: self.mark.commit,
            documents: self.view.documents.values().cloned().collect(),
        })
    }

    /// Changes after a revision, for operators that watch.
    #[must_use]
    pub fn changes_since(&self, revision: ConfigRevision) -> ChangeList {
        self.log.since(revision)
    }

    /// Status of a resource in force.
    #[must_use]
    pub fn status_of(&self, key: &ResourceKey, members: &MemberView) -> Option<ResourceStatus> {
        let document = self.view.documents.get(key)?;
        let revision = document.revision.unwrap_or_default();
        let applied_at = self.log.applied_at(revision).or(self.loaded_at);
        let since = applied_at.unwrap_or_default();
        Some(status::resource_status(revision, since, members))
    }

    /// Keeps where a move stands beside its document, so that the check of a new move of the same
    /// service sees whether the last one is over.
    pub fn note_move_state(&mut self, name: &MoveName, state: MoveState) {
        let key = ResourceKey {
            kind: ResourceKind::Move,
            name: name.as_str().to_owned(),
        };
        let document = self.view.documents.get(&key);
        let known = document.and_then(|document| document.status.as_ref()?.move_state);
        if document.is_none() || known == Some(state) {
            return;
        }
        if let Some(document) = Arc::make_mut(&mut self.view).documents.get_mut(&key) {
            let status = document.status.get_or_insert_default();
            status.move_state = Some(state);
        }
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: ConfigEvent,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) -> ConfigVerdict {
        let before = self.view.revision;
        match event {
            ConfigEvent::Started => self.start(now, effects),
            ConfigEvent::TimerFired { number } => self.timer(now, number, members, effects),
            ConfigEvent::Table { number, answer } => {
                self.table(now, number, answer, members, effects);
            }
            ConfigEvent::Operator { call, request } => {
                self.accept_write(now, call, *request, effects);
            }
            ConfigEvent::Peer { message, .. } => self.hear(now, &message, effects),
            ConfigEvent::SnapshotFetched { from, snapshot } => {
                self.take_snapshot(now, &from, snapshot, members, effects);
            }
            ConfigEvent::MembersChanged => self.hear_members(now, members, effects),
        }
        self.pump_writes(now, effects);
        if self.view.revision == before {
            return ConfigVerdict::Unchanged;
        }
        effects.push(DaemonEffect::ConfigChanged);
        self.gossip(members, effects);
        ConfigVerdict::Changed
    }

    fn table(
        &mut self,
        now: CoreTime,
        number: u64,
        answer: TableAnswer,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        if self.poll.owns(number) {
            self.scan_answered(now, answer, members, effects);
        } else if self.write_call == Some(number) {
            self.write_call = None;
            self.write_answered(now, answer, effects);
        }
    }

    fn call_table(&mut self, request: TableRequest, effects: &mut EffectQueue) -> u64 {
        let number = self.next_call();
        self.send_call(number, request, effects);
        number
    }

    fn next_call(&mut self) -> u64 {
        self.calls += 1;
        self.calls
    }

    fn send_call(&self, number: u64, request: TableRequest, effects: &mut EffectQueue) {
        let duty = DutyKind::Config;
        let call = TableCallId { duty, number };
        effects.push(DaemonEffect::CallTable { call, request });
    }
}

/// Timers of this duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConfigTimer {
    Poll,
    Notice,
    Write,
}

impl ConfigTimer {
    fn key(self) -> TimerKey {
        let duty = DutyKind::Config;
        let number = self as u64;
        TimerKey { duty, number }
    }

    fn from_number(number: u64) -> Option<Self> {
        [Self::Poll, Self::Notice, Self::Write]
            .into_iter()
            .find(|timer| *timer as u64 == number)
    }
}
