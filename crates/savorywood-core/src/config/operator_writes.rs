//! Processing of operators' changes: validation, commit, and reading back the head row when the
//! response to a commit was lost.
//!
//! One change is processed at a time, since all commits are conditional on the head row. No
//! operator is told "accepted" or "refused" before the outcome in the table is certain.

use super::{ConfigState, ConfigTimer};
use crate::{
    config::{
        pending_write::{CommitAttempt, PendingWrite, WriteDecision, WriteStage},
        row::{self, ChangeNonce, HEAD_KEY, RecentChange, VersionedHead},
    },
    effect::{DaemonEffect, EffectQueue, LogLevel, LogLine},
    operator::{OperatorCallId, OperatorReply, OperatorRequest},
};
use rand::Rng;
use savorywood_protocol::{
    CoreTime, RefusalCode, RequestRefusal,
    table::{TableRequest, TableResponse, TableRow},
};
use std::time::Duration;

/// Maximum number of pending changes on one daemon. Further ones are refused.
const MAX_PENDING_WRITES: usize = 64;

/// Maximum number of commits sent for one change while changes of other operators precede it.
const MAX_ATTEMPTS: u32 = 8;

/// Delay before the next attempt to read the head row after a failed one.
const READ_BACK_DELAY: Duration = Duration::from_millis(250);

/// Outcome of a commit, as far as the head row shows it.
enum CommitState {
    /// It took effect.
    Committed,
    /// Another change was committed under the same revision: this one can no longer take effect.
    Superseded,
    /// The head row is unchanged: the commit may still take effect.
    Pending,
    /// The head row no longer lists the revision, because too many changes followed, or can't be
    /// parsed.
    Unknown,
}

impl ConfigState {
    /// Queues a change, or refuses it when the queue is full.
    pub(super) fn enqueue_write(
        &mut self,
        now: CoreTime,
        call: OperatorCallId,
        request: OperatorRequest,
        effects: &mut EffectQueue,
    ) {
        if self.writes.len() >= MAX_PENDING_WRITES {
            let detail = "too many changes are pending on this daemon; send the change again";
            let refusal = RequestRefusal::not_run(RefusalCode::Overloaded, detail)
                .with_retry_after(Duration::from_secs(1));
            reply_to_operator(call, OperatorReply::Refused(refusal), effects);
            return;
        }
        let deadline_at = now.monotonic + self.options.write_timeout;
        self.writes
            .push_back(PendingWrite::new(call, request, deadline_at));
    }

    /// Validates the oldest pending change and sends its commit or the reply. Continues with the
    /// next one after a reply; does nothing while a change waits for the table.
    pub(super) fn advance_writes(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        while self.write_call_number.is_none() {
            let nonce = ChangeNonce(self.rng.random());
            let ready = self.is_ready();
            let Some(write) = self.writes.front_mut() else {
                return;
            };
            if write.stage != WriteStage::Fresh {
                return;
            }
            let decision = match ready {
                true => write.evaluate(&self.view, &self.head, nonce, now.wall),
                false => WriteDecision::Refresh,
            };
            match decision {
                WriteDecision::Refresh => {
                    let serial = self.poll.next_serial();
                    write.stage = WriteStage::Refreshing { serial };
                    self.begin_scan(now, effects);
                }
                WriteDecision::Reply(reply) => self.end_write(reply, effects),
                WriteDecision::Commit(row) => {
                    write.last_attempt = Some(CommitAttempt {
                        base: self.head.commit,
                        row: *row,
                        uncertain: false,
                    });
                    self.send_commit(effects);
                }
            }
        }
    }

    fn send_commit(&mut self, effects: &mut EffectQueue) {
        let Some(write) = self.writes.front_mut() else {
            return;
        };
        let Some(attempt) = &write.last_attempt else {
            return;
        };
        let mut head = self.head.clone();
        head.commit = attempt.base;
        let commit = row::change_commit(&head, &write.key, &attempt.row);
        write.stage = WriteStage::Committing;
        write.attempts += 1;
        self.write_call_number = Some(self.call_table(TableRequest::Commit(commit), effects));
    }

    pub(super) fn handle_write_response(
        &mut self,
        now: CoreTime,
        response: TableResponse,
        effects: &mut EffectQueue,
    ) {
        let stage = self.writes.front().map(|write| write.stage.clone());
        match stage {
            Some(WriteStage::Committing) => self.handle_commit_response(now, response, effects),
            Some(WriteStage::ReadingBack) => self.handle_head_response(now, response, effects),
            _ => {}
        }
    }

    fn handle_commit_response(
        &mut self,
        now: CoreTime,
        response: TableResponse,
        effects: &mut EffectQueue,
    ) {
        let Some(write) = self.writes.front_mut() else {
            return;
        };
        match response {
            TableResponse::Committed { revision } => self.acknowledge(now, Some(revision), effects),
            TableResponse::Unavailable if !write.is_uncertain() => {
                self.end_write(store_refusal(false), effects);
            }
            TableResponse::Conflict { .. } => self.read_back(effects),
            // The change may have taken effect although the response was lost. After a "refused"
            // the operator could see the refused change in force, or send it again on top of
            // itself; "accepted" may be untrue. The head row shows the outcome.
            TableResponse::Lost | TableResponse::Unavailable | TableResponse::Rows { .. } => {
                if let Some(attempt) = &mut write.last_attempt {
                    attempt.uncertain = true;
                }
                self.read_back(effects);
            }
        }
    }

    fn read_back(&mut self, effects: &mut EffectQueue) {
        if let Some(write) = self.writes.front_mut() {
            write.stage = WriteStage::ReadingBack;
            let keys = vec![HEAD_KEY.to_owned()];
            self.write_call_number = Some(self.call_table(TableRequest::Get { keys }, effects));
        }
    }

    fn handle_head_response(
        &mut self,
        now: CoreTime,
        response: TableResponse,
        effects: &mut EffectQueue,
    ) {
        let TableResponse::Rows { rows, .. } = response else {
            self.schedule_read_back(now, effects);
            return;
        };
        let Some(write) = self.writes.front_mut() else {
            return;
        };
        let Some(attempt) = &write.last_attempt else {
            return;
        };
        let exhausted = write.attempts >= MAX_ATTEMPTS || write.deadline_at <= now.monotonic;
        let uncertain = attempt.uncertain;
        match commit_state(attempt, rows.first()) {
            CommitState::Committed => self.acknowledge(now, None, effects),
            CommitState::Pending if exhausted => self.end_write(store_refusal(uncertain), effects),
            // Sends the same transaction again. Both are conditional on the same head row, so at
            // most one of them can take effect, and the response to either determines the outcome
            // of both.
            CommitState::Pending => self.send_commit(effects),
            CommitState::Unknown if uncertain => self.end_write(store_refusal(true), effects),
            CommitState::Superseded | CommitState::Unknown if exhausted => {
                self.end_write(contention_refusal(), effects);
            }
            CommitState::Superseded | CommitState::Unknown => {
                write.last_attempt = None;
                let serial = self.poll.next_serial();
                write.stage = WriteStage::Refreshing { serial };
                self.begin_scan(now, effects);
            }
        }
    }

    fn schedule_read_back(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        let Some(write) = self.writes.front_mut() else {
            return;
        };
        if write.deadline_at <= now.monotonic {
            let refusal = store_refusal(write.is_uncertain());
            self.end_write(refusal, effects);
            return;
        }
        write.stage = WriteStage::Waiting;
        let at = now.monotonic + READ_BACK_DELAY;
        effects.set_timer(ConfigTimer::Write.key(), at);
    }

    pub(super) fn retry_write(&mut self, _now: CoreTime, effects: &mut EffectQueue) {
        let stage = self.writes.front().map(|write| &write.stage);
        if stage == Some(&WriteStage::Waiting) {
            self.read_back(effects);
        }
    }

    /// Replies that the first pending change was accepted, and puts it in force. When `commit` is
    /// `None`, or another commit has been applied meanwhile, a scan reads the change from the table.
    fn acknowledge(&mut self, now: CoreTime, commit: Option<u64>, effects: &mut EffectQueue) {
        let Some(write) = self.writes.pop_front() else {
            return;
        };
        let Some(attempt) = write.last_attempt else {
            return;
        };
        let revision = attempt.row.revision;
        reply_to_operator(write.call, OperatorReply::Accepted { revision }, effects);
        match commit {
            Some(commit) if self.head.commit == attempt.base => {
                let change = RecentChange {
                    revision,
                    key: write.key.clone(),
                    nonce: attempt.row.nonce,
                };
                let row = self.head.with_change(change);
                let head = VersionedHead { commit, row };
                self.apply_own_commit(now.wall, head, write.key, attempt.row, effects);
            }
            _ => self.begin_scan(now, effects),
        }
    }

    /// Refuses the changes that wait for a scan, after it failed or did not give a complete
    /// configuration. None of them has taken effect.
    pub(super) fn refuse_refreshing_writes(&mut self, effects: &mut EffectQueue) {
        self.writes.retain(|write| {
            let refreshing = matches!(write.stage, WriteStage::Refreshing { .. });
            if refreshing {
                reply_to_operator(write.call, store_refusal(false), effects);
            }
            !refreshing
        });
    }

    /// Removes the first pending change and sends the reply.
    fn end_write(&mut self, reply: OperatorReply, effects: &mut EffectQueue) {
        if let Some(write) = self.writes.pop_front() {
            reply_to_operator(write.call, reply, effects);
        }
    }
}

/// Determines whether a commit took effect, from the change that the head row lists under its
/// revision.
fn commit_state(attempt: &CommitAttempt, head_row: Option<&TableRow>) -> CommitState {
    let head = match head_row.map(VersionedHead::read).transpose() {
        Ok(head) => head.unwrap_or_default(),
        Err(_) => return CommitState::Unknown,
    };
    if head.commit == attempt.base {
        return CommitState::Pending;
    }
    let mut recent_changes = head.row.recent.iter();
    match recent_changes.find(|change| change.revision == attempt.row.revision) {
        Some(change) if change.nonce == attempt.row.nonce => CommitState::Committed,
        Some(_) => CommitState::Superseded,
        None => CommitState::Unknown,
    }
}

fn store_refusal(uncertain: bool) -> OperatorReply {
    let code = RefusalCode::StoreUnavailable;
    let refusal = if uncertain {
        let detail = "the table service did not confirm whether the change took effect; read the \
                      resource before sending the change again";
        RequestRefusal::unknown(code, detail)
    } else {
        let detail = "the table service is unavailable; nothing was changed";
        RequestRefusal::not_run(code, detail)
    };
    OperatorReply::Refused(refusal.with_retry_after(Duration::from_secs(5)))
}

fn contention_refusal() -> OperatorReply {
    let detail = "other changes were committed first; nothing was changed, send the change again";
    let refusal = RequestRefusal::not_run(RefusalCode::RevisionConflict, detail);
    OperatorReply::Refused(refusal.with_retry_after(Duration::from_secs(1)))
}

fn reply_to_operator(call: OperatorCallId, reply: OperatorReply, effects: &mut EffectQueue) {
    let level = match reply {
        OperatorReply::Refused(_) => LogLevel::Warn,
        _ => LogLevel::Info,
    };
    let line = LogLine::new(level, "operator-answered").with("call", call.0);
    effects.log(line);
    effects.push(DaemonEffect::ReplyOperator {
        call,
        reply: Box::new(reply),
    });
}
