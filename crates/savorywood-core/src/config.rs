//! The configuration duty of a daemon: reads the accepted resources from the table, commits the
//! changes of operators, and tracks whether the configuration in force is current.
//!
//! A change is accepted once it is committed in the table under the next revision. See
//! `docs/design/configuration.md`.

pub mod change_log;
pub mod freshness;
pub mod options;
pub mod pending_write;
pub mod row;
pub mod status;
pub mod table_poll;

mod operator_writes;
mod refresh;
mod row_updates;

pub use change_log::{ChangeList, ConfigChange};
pub use freshness::PeerConfirmation;
pub use options::ConfigOptions;

use crate::{
    config::{
        change_log::ChangeLog, freshness::FreshnessTracker, pending_write::PendingWrite,
        row::VersionedHead, table_poll::TablePoll,
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
    table::{TableRequest, TableResponse},
};
use std::{collections::VecDeque, sync::Arc};

/// Input to the configuration duty.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigEvent {
    /// The daemon has started. Sent once, before the other events.
    Started,
    /// A timer of this duty fired.
    TimerFired {
        /// Number of the timer within this duty, as in [`TimerKey`].
        number: u64,
    },
    /// A call of the table service completed, failed or was lost.
    Table {
        /// Number of the call, as in [`TableCallId`].
        number: u64,
        /// Response of the table service, or how the call failed.
        answer: TableResponse,
    },
    /// An operator requests a change.
    Operator {
        /// Call that the reply goes to.
        call: OperatorCallId,
        /// Requested change.
        request: Box<OperatorRequest>,
    },
    /// A peer announces the revision that it has in force.
    Peer {
        /// Host that sent the message.
        from: HostName,
        /// Announcement with the peer's revision.
        message: ConfigMessage,
    },
    /// A fetch of a peer's configuration completed or failed.
    SnapshotFetched {
        /// Host that the snapshot was requested from.
        from: HostName,
        /// Configuration in force on that host; `None` when the fetch failed.
        snapshot: Option<Box<ConfigSnapshot>>,
    },
    /// Members joined or left, or a member announced another revision.
    MembersChanged,
}

/// Whether a step changed the configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigStepOutcome {
    /// The revision in force is the same as before the step.
    Unchanged,
    /// A newer revision is in force.
    Changed,
}

/// Request for a peer's configuration that has not completed.
#[derive(Debug)]
struct SnapshotFetch {
    from: HostName,
    requested_at: MonotonicTime,
}

/// State of the configuration duty.
#[derive(Debug)]
pub struct ConfigState {
    options: ConfigOptions,
    rng: ChaCha8Rng,
    view: Arc<ConfigView>,
    head: VersionedHead,
    /// When the complete configuration was first read; `None` before that.
    loaded_at: Option<WallTime>,
    /// Newest revision that the table or any peer has reported, in force here or not.
    newest_reported: ConfigRevision,
    last_gossiped_revision: ConfigRevision,
    change_log: ChangeLog,
    freshness: FreshnessTracker,
    poll: TablePoll,
    snapshot_fetch: Option<SnapshotFetch>,
    /// Changes of operators, oldest first. Only the first one is processed.
    writes: VecDeque<PendingWrite>,
    /// Number of the table call that the first change waits for.
    write_call_number: Option<u64>,
    last_call_number: u64,
}

impl ConfigState {
    /// Returns the state of a daemon that has not read the table yet.
    #[must_use]
    pub fn new(options: ConfigOptions) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            view: Arc::default(),
            head: VersionedHead::default(),
            loaded_at: None,
            newest_reported: ConfigRevision::default(),
            last_gossiped_revision: ConfigRevision::default(),
            change_log: ChangeLog::default(),
            freshness: FreshnessTracker::default(),
            poll: TablePoll::default(),
            snapshot_fetch: None,
            writes: VecDeque::new(),
            write_call_number: None,
            last_call_number: 0,
        }
    }

    /// Configuration in force. Changes are made in place unless a clone of the `Arc` is held; then
    /// the next change copies all resources once.
    #[must_use]
    pub fn view(&self) -> &Arc<ConfigView> {
        &self.view
    }

    /// Whether the complete configuration has been read since this daemon started. Until then the
    /// daemon admits no requests: it could decide by an older configuration than callers have
    /// already been served under.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.loaded_at.is_some()
    }

    /// Whether the table or the peers have confirmed, within the maximum age of a confirmation,
    /// that no newer revision is in force elsewhere.
    #[must_use]
    pub fn is_current(&self, now: CoreTime) -> bool {
        let max_age = self.options.max_confirmation_age;
        self.is_ready() && self.freshness.is_current(now.monotonic, max_age)
    }

    /// Complete configuration to send to another daemon; `None` until this daemon has read all of
    /// it.
    #[must_use]
    pub fn snapshot(&self) -> Option<ConfigSnapshot> {
        self.loaded_at?;
        Some(ConfigSnapshot {
            revision: self.view.revision,
            table_revision: self.head.commit,
            documents: self.view.documents.values().cloned().collect(),
        })
    }

    /// Changes that came into force after `revision`, for watches of operators.
    #[must_use]
    pub fn changes_since(&self, revision: ConfigRevision) -> ChangeList {
        self.change_log.since(revision)
    }

    /// Status of a resource; `None` when no such resource is in force.
    #[must_use]
    pub fn status_of(&self, key: &ResourceKey, members: &MemberView) -> Option<ResourceStatus> {
        let document = self.view.documents.get(key)?;
        let revision = document.revision.unwrap_or_default();
        let applied_at = self.change_log.applied_at(revision).or(self.loaded_at);
        let since = applied_at.unwrap_or_default();
        Some(status::resource_status(revision, since, members))
    }

    /// Stores the state of a move in the status of its document, so that validation of a new move
    /// of the same service sees whether the previous one has ended. Does nothing when the move is
    /// not in force.
    pub fn record_move_state(&mut self, name: &MoveName, state: MoveState) {
        let key = ResourceKey {
            kind: ResourceKind::Move,
            name: name.as_str().to_owned(),
        };
        let document = self.view.documents.get(&key);
        let current = document.and_then(|document| document.status.as_ref()?.move_state);
        if document.is_none() || current == Some(state) {
            return;
        }
        if let Some(document) = Arc::make_mut(&mut self.view).documents.get_mut(&key) {
            let status = document.status.get_or_insert_default();
            status.move_state = Some(state);
        }
    }

    /// Handles one event and pushes the effects that follow from it.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: ConfigEvent,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) -> ConfigStepOutcome {
        let before = self.view.revision;
        match event {
            ConfigEvent::Started => self.start(now, effects),
            ConfigEvent::TimerFired { number } => self.handle_timer(now, number, members, effects),
            ConfigEvent::Table { number, answer } => {
                self.handle_table_response(now, number, answer, members, effects);
            }
            ConfigEvent::Operator { call, request } => {
                self.enqueue_write(now, call, *request, effects);
            }
            ConfigEvent::Peer { message, .. } => self.handle_config_message(now, &message, effects),
            ConfigEvent::SnapshotFetched { from, snapshot } => {
                self.handle_snapshot(now, &from, snapshot, members, effects);
            }
            ConfigEvent::MembersChanged => self.observe_member_revisions(now, members, effects),
        }
        self.advance_writes(now, effects);
        if self.view.revision == before {
            return ConfigStepOutcome::Unchanged;
        }
        effects.push(DaemonEffect::ConfigChanged);
        self.gossip(members, effects);
        ConfigStepOutcome::Changed
    }

    fn handle_table_response(
        &mut self,
        now: CoreTime,
        number: u64,
        response: TableResponse,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        if self.poll.owns(number) {
            self.handle_scan_response(now, response, members, effects);
        } else if self.write_call_number == Some(number) {
            self.write_call_number = None;
            self.handle_write_response(now, response, effects);
        }
    }

    fn call_table(&mut self, request: TableRequest, effects: &mut EffectQueue) -> u64 {
        let number = self.next_call();
        self.send_call(number, request, effects);
        number
    }

    fn next_call(&mut self) -> u64 {
        self.last_call_number += 1;
        self.last_call_number
    }

    fn send_call(&self, number: u64, request: TableRequest, effects: &mut EffectQueue) {
        let duty = DutyKind::Config;
        let call = TableCallId { duty, number };
        effects.push(DaemonEffect::CallTable { call, request });
    }
}

/// Timers of the configuration duty. The discriminant is the timer's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConfigTimer {
    /// Next periodic scan of the table.
    Poll,
    /// Scan after a peer has reported a newer revision.
    Refresh,
    /// Next attempt to read the head row after a commit with an unknown outcome.
    Write,
}

impl ConfigTimer {
    fn key(self) -> TimerKey {
        let duty = DutyKind::Config;
        let number = self as u64;
        TimerKey { duty, number }
    }

    fn from_number(number: u64) -> Option<Self> {
        [Self::Poll, Self::Refresh, Self::Write]
            .into_iter()
            .find(|handle_timer| *handle_timer as u64 == number)
    }
}
