//! Gathers rows of many claims into one transaction, within the write budget.

use super::{BATCH_TIMER, ClaimStage, ClaimState, ClaimView, RETRY_TIMER, TableTask};
use crate::{
    effect::{DaemonEffect, EffectQueue},
    event::{DutyKind, TableCallId},
};
use savorywood_protocol::{
    MonotonicTime, RequestId,
    table::{RowCondition, RowWrite, TableCommit, TableRequest},
};

/// What a row is written for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteKind {
    /// Inserts the claim.
    Insert,
    /// Records the outcome.
    Record,
    /// Deletes a claim under which nothing can have run.
    Release,
}

/// One row to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchItem {
    /// Call that the row is about.
    pub request: RequestId,
    /// What for.
    pub kind: WriteKind,
}

/// Keeps commits apart, so that all daemons together stay within the store's write budget.
#[derive(Debug, Default)]
pub struct CommitPace {
    next_at: MonotonicTime,
    timer_at: Option<MonotonicTime>,
}

impl ClaimState {
    /// Puts a row into the next transaction.
    pub(super) fn enqueue(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        kind: WriteKind,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        self.waiting.push_back(BatchItem { request, kind });
        if self.waiting.len() >= self.options.max_rows {
            self.flush(now, view, effects);
        }
        self.arm_batch(now, effects);
    }

    fn arm_batch(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        if self.waiting.is_empty() || self.pace.timer_at.is_some() {
            return;
        }
        let at = self.pace.next_at.max(now + self.options.window);
        self.pace.timer_at = Some(at);
        effects.set_timer(BATCH_TIMER, at);
    }

    /// Commits what was gathered, if the budget allows it now.
    pub(super) fn flush(
        &mut self,
        now: MonotonicTime,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        if self.pace.timer_at.is_some_and(|at| at <= now) {
            self.pace.timer_at = None;
        }
        if self.pace.next_at <= now && !self.waiting.is_empty() {
            let count = self.waiting.len().min(self.options.max_rows);
            let items: Vec<_> = self.waiting.drain(..count).collect();
            let gap = self.options.commit_gap(view.members.serving().count());
            self.pace.next_at = now + gap;
            self.commit(now, items, effects);
        }
        self.arm_batch(now, effects);
    }

    fn commit(&mut self, now: MonotonicTime, items: Vec<BatchItem>, effects: &mut EffectQueue) {
        let mut commit = TableCommit {
            conditions: Vec::new(),
            writes: Vec::new(),
        };
        let mut sent = Vec::new();
        for item in items {
            match self.row_write(item) {
                Some(row) => {
                    commit.conditions.push(row.condition);
                    commit.writes.push(row.write);
                    sent.push(item);
                }
                None => self.drop_unwanted(now, item, effects),
            }
        }
        if sent.is_empty() {
            return;
        }
        self.counters.commits += 1;
        self.counters.rows += sent.len() as u64;
        let request = TableRequest::Commit(commit);
        self.call_table(TableTask::Commit(sent), request, effects);
    }

    /// A caller left before its claim was sent. If no earlier try can have written the row,
    /// nothing remains to be done; else the row is read and deleted. Without the timer nobody would
    /// read it if no other claim is in doubt: the claim would stay open, and a planned stop would
    /// wait for it for good.
    fn drop_unwanted(&mut self, now: MonotonicTime, item: BatchItem, effects: &mut EffectQueue) {
        let Some(claim) = self.open.get(&item.request) else {
            return;
        };
        if item.kind != WriteKind::Insert || claim.stage != ClaimStage::Releasing {
            return;
        }
        match claim.tries {
            0 => self.forget(item.request),
            _ => {
                let kind = WriteKind::Release;
                self.unsure.push(BatchItem { kind, ..item });
                effects.set_timer(RETRY_TIMER, now + self.options.retry_period);
            }
        }
    }

    fn row_write(&self, item: BatchItem) -> Option<ConditionalWrite> {
        let claim = self.open.get(&item.request)?;
        let still_wanted = match item.kind {
            WriteKind::Insert => claim.stage == ClaimStage::Wanted,
            WriteKind::Record => claim.stage == ClaimStage::Recording,
            WriteKind::Release => claim.stage == ClaimStage::Releasing,
        };
        let value = match item.kind {
            WriteKind::Insert | WriteKind::Record => Some(claim.record.write()),
            WriteKind::Release => None,
        };
        still_wanted.then(|| ConditionalWrite {
            condition: RowCondition {
                key: claim.row.clone(),
                revision: claim.revision,
            },
            write: RowWrite {
                key: claim.row.clone(),
                value,
            },
        })
    }

    pub(super) fn call_table(
        &mut self,
        task: TableTask,
        request: TableRequest,
        effects: &mut EffectQueue,
    ) {
        self.last_call += 1;
        let number = self.last_call;
        self.calls.insert(number, task);
        let call = TableCallId {
            duty: DutyKind::Claims,
            number,
        };
        effects.push(DaemonEffect::CallTable { call, request });
    }
}

struct ConditionalWrite {
    condition: RowCondition,
    write: RowWrite,
}
