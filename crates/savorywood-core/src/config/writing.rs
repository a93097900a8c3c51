//! Operators' changes: checked, committed, and read back when an answer was lost.
//!
//! One change is under way at a time, since all are conditional on the head row. Nobody is told
//! "accepted" or "refused" before the table has settled it.

use super::{ConfigState, ConfigTimer};
use crate::{
    config::{
        pending_write::{PendingWrite, TriedCommit, WriteStage, WriteVerdict},
        row::{self, ChangeNonce, ChangeNote, HEAD_KEY, HeadMark},
    },
    effect::{DaemonEffect, EffectQueue, LogLevel, LogLine},
    operator::{OperatorCallId, OperatorReply, OperatorRequest},
};
use rand::Rng;
use savorywood_protocol::{
    CoreTime, RefusalCode, RequestRefusal,
    table::{TableAnswer, TableRequest, TableRow},
};
use std::time::Duration;

/// Changes that wait on one daemon before more are refused.
const MAX_WRITES: usize = 64;

/// Commits tried for one change while other operators keep coming first.
const MAX_ATTEMPTS: u32 = 8;

/// Wait before the head row is read again.
const READ_BACK_WAIT: Duration = Duration::from_millis(250);

/// What the head row says of a commit whose fate was open.
enum CommitFate {
    /// It took effect.
    Landed,
    /// Another change came first: it never can take effect.
    Beaten,
    /// The head is as it was: it may still take effect.
    Open,
    /// More changes came since than the head remembers.
    Forgotten,
}

impl ConfigState {
    pub(super) fn accept_write(
        &mut self,
        now: CoreTime,
        call: OperatorCallId,
        request: OperatorRequest,
        effects: &mut EffectQueue,
    ) {
        if self.writes.len() >= MAX_WRITES {
            let detail = "too many changes wait on this daemon; send it again";
            let refusal = RequestRefusal::not_run(RefusalCode::Overloaded, detail)
                .with_retry_after(Duration::from_secs(1));
            reply(call, OperatorReply::Refused(refusal), effects);
            return;
        }
        let deadline_at = now.monotonic + self.options.write_limit;
        self.writes
            .push_back(PendingWrite::new(call, request, deadline_at));
    }

    /// Takes up the oldest change, if it can go on.
    pub(super) fn pump_writes(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        while self.write_call.is_none() {
            let nonce = ChangeNonce(self.rng.random());
            let ready = self.is_ready();
            let Some(write) = self.writes.front_mut() else {
                return;
            };
            if write.stage != WriteStage::Fresh {
                return;
            }
            let verdict = match ready {
                true => write.judge(&self.view, &self.mark, nonce, now.wall),
                false => WriteVerdict::Refresh,
            };
            match verdict {
                WriteVerdict::Refresh => {
                    let serial = self.poll.next_serial();
                    write.stage = WriteStage::Refreshing { serial };
                    self.begin_scan(now, effects);
                }
                WriteVerdict::Reply(verdict) => self.finish_write(verdict, effects),
                WriteVerdict::Commit(row) => {
                    write.tried = Some(TriedCommit {
                        base: self.mark.commit,
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
        let Some(tried) = &write.tried else {
            return;
        };
        let mut mark = self.mark.clone();
        mark.commit = tried.base;
        let commit = row::change_commit(&mark, &write.key, &tried.row);
        write.stage = WriteStage::Committing;
        write.attempts += 1;
        self.write_call = Some(self.call_table(TableRequest::Commit(commit), effects));
    }

    pub(super) fn write_answered(
        &mut self,
        now: CoreTime,
        answer: TableAnswer,
        effects: &mut EffectQueue,
    ) {
        let stage = self.writes.front().map(|write| write.stage.clone());
        match stage {
            Some(WriteStage::Committing) => self.commit_answered(now, answer, effects),
            Some(WriteStage::ReadingBack) => self.head_answered(now, answer, effects),
            _ => {}
        }
    }

    fn commit_answered(&mut self, now: CoreTime, answer: TableAnswer, effects: &mut EffectQueue) {
        let Some(write) = self.writes.front_mut() else {
            return;
        };
        match answer {
            TableAnswer::Committed { revision } => self.landed(now, Some(revision), effects),
            TableAnswer::Unavailable if !write.is_uncertain() => {
                self.finish_write(store_refusal(false), effects);
            }
            TableAnswer::Conflict { .. } => self.read_back(effects),
            // The change may have taken effect although nobody was told. Saying "refused" now
            // would make the operator send it again on top of itself; "accepted" may be untrue.
            // The operator would see a refused change in force. The head row settles it.
            TableAnswer::Lost | TableAnswer::Unavailable | TableAnswer::Rows { .. } => {
                if let Some(tried) = &mut write.tried {
                    tried.uncertain = true;
                }
                self.read_back(effects);
            }
        }
    }

    fn read_back(&mut self, effects: &mut EffectQueue) {
        if let Some(write) = self.writes.front_mut() {
            write.stage = WriteStage::ReadingBack;
            let keys = vec![HEAD_KEY.to_owned()];
            self.write_call = Some(self.call_table(TableRequest::Get { keys }, effects));
        }
    }

    fn head_answered(&mut self, now: CoreTime, answer: TableAnswer, effects: &mut EffectQueue) {
        let TableAnswer::Rows { rows, .. } = answer else {
            self.wait_for_table(now, effects);
            return;
        };
        let Some(write) = self.writes.front_mut() else {
            return;
        };
        let Some(tried) = &write.tried else {
            return;
        };
        let exhausted = write.attempts >= MAX_ATTEMPTS || write.deadline_at <= now.monotonic;
        let uncertain = tried.uncertain;
        match commit_fate(tried, rows.first()) {
            CommitFate::Landed => self.landed(now, None, effects),
            CommitFate::Open if exhausted => self.finish_write(store_refusal(uncertain), effects),
            // The same transaction is sent once more. Both are conditional on the same head, so
            // only one of them can take effect, and the answer to either settles both.
            CommitFate::Open => self.send_commit(effects),
            CommitFate::Forgotten if uncertain => self.finish_write(store_refusal(true), effects),
            CommitFate::Beaten | CommitFate::Forgotten if exhausted => {
                self.finish_write(busy_refusal(), effects);
            }
            CommitFate::Beaten | CommitFate::Forgotten => {
                write.tried = None;
                let serial = self.poll.next_serial();
                write.stage = WriteStage::Refreshing { serial };
                self.begin_scan(now, effects);
            }
        }
    }

    fn wait_for_table(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        let Some(write) = self.writes.front_mut() else {
            return;
        };
        if write.deadline_at <= now.monotonic {
            let refusal = store_refusal(write.is_uncertain());
            self.finish_write(refusal, effects);
            return;
        }
        write.stage = WriteStage::Waiting;
        let at = now.monotonic + READ_BACK_WAIT;
        effects.set_timer(ConfigTimer::Write.key(), at);
    }

    pub(super) fn retry_write(&mut self, _now: CoreTime, effects: &mut EffectQueue) {
        let stage = self.writes.front().map(|write| &write.stage);
        if stage == Some(&WriteStage::Waiting) {
            self.read_back(effects);
        }
    }

    fn landed(&mut self, now: CoreTime, commit: Option<u64>, effects: &mut EffectQueue) {
        let Some(write) = self.writes.pop_front() else {
            return;
        };
        let Some(tried) = write.tried else {
            return;
        };
        let revision = tried.row.revision;
        reply(write.call, OperatorReply::Accepted { revision }, effects);
        match commit {
            Some(commit) if self.mark.commit == tried.base => {
                let note = ChangeNote {
                    revision,
                    key: write.key.clone(),
                    nonce: tried.row.nonce,
                };
                let head = self.mark.extended(note);
                let mark = HeadMark { commit, head };
                self.apply_own(now.wall, mark, write.key, tried.row, effects);
            }
            _ => self.begin_scan(now, effects),
        }
    }

    /// The table can't be read: changes that wait for it are refused, truly not run.
    pub(super) fn refuse_waiting(&mut self, effects: &mut EffectQueue) {
        self.writes.retain(|write| {
            let waits = matches!(write.stage, WriteStage::Refreshing { .. });
            if waits {
                reply(write.call, store_refusal(false), effects);
            }
            !waits
        });
    }

    fn finish_write(&mut self, verdict: OperatorReply, effects: &mut EffectQueue) {
        if let Some(write) = self.writes.pop_front() {
            reply(write.call, verdict, effects);
        }
    }
}

/// Whether the commit took effect, by the note that the head row keeps of its revision.
fn commit_fate(tried: &TriedCommit, head: Option<&TableRow>) -> CommitFate {
    let mark = match head.map(HeadMark::read).transpose() {
        Ok(mark) => mark.unwrap_or_default(),
        Err(_) => return CommitFate::Forgotten,
    };
    if mark.commit == tried.base {
        return CommitFate::Open;
    }
    let mut notes = mark.head.recent.iter();
    match notes.find(|note| note.revision == tried.row.revision) {
        Some(note) if note.nonce == tried.row.nonce => CommitFate::Landed,
        Some(_) => CommitFate::Beaten,
        None => CommitFate::Forgotten,
    }
}

fn store_refusal(uncertain: bool) -> OperatorReply {
    let code = RefusalCode::StoreUnavailable;
    let refusal = if uncertain {
        let detail = "the table service did not say whether the change took effect; read the \
                      resource before you send it again";
        RequestRefusal::unknown(code, detail)
    } else {
        let detail = "the table service does not answer; nothing was changed";
        RequestRefusal::not_run(code, detail)
    };
    OperatorReply::Refused(refusal.with_retry_after(Duration::from_secs(5)))
}

fn busy_refusal() -> OperatorReply {
    let detail = "other changes kept coming first; nothing was changed, send it again";
    let refusal = RequestRefusal::not_run(RefusalCode::RevisionConflict, detail);
    OperatorReply::Refused(refusal.with_retry_after(Duration::from_secs(1)))
}

fn reply(call: OperatorCallId, verdict: OperatorReply, effects: &mut EffectQueue) {
    let level = match verdict {
        OperatorReply::Refused(_) => LogLevel::Warn,
        _ => LogLevel::Info,
    };
    let line = LogLine::new(level, "operator-answered").with("call", call.0);
    effects.log(line);
    effects.push(DaemonEffect::ReplyOperator {
        call,
        reply: Box::new(verdict),
    });
}
