//! Batches the rows of many claims into one transaction, within the commit budget.

use super::{BATCH_TIMER, ClaimStage, ClaimState, ClaimView, RETRY_TIMER, TableTask};
use crate::{
    effect::{DaemonEffect, EffectQueue},
    event::{DutyKind, TableCallId},
};
use savorywood_protocol::{
    MonotonicTime, RequestId,
    table::{RowCondition, RowWrite, TableCommit, TableRequest},
};

/// Operation on the row of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowOperation {
    /// Inserts the row, which makes the claim.
    Insert,
    /// Updates the row with the outcome of the call.
    Record,
    /// Deletes the row of a call that cannot have run.
    Release,
}

/// A row write that waits for a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchItem {
    /// Call whose row is written.
    pub request: RequestId,
    /// Operation to apply to the row.
    pub kind: RowOperation,
}

/// Spaces commits so that all daemons together stay within the store's write budget.
#[derive(Debug, Default)]
pub struct CommitPacer {
    next_at: MonotonicTime,
    timer_at: Option<MonotonicTime>,
}

impl ClaimState {
    /// Queues a row write for the next transaction; commits at once when the batch is full.
    pub(super) fn enqueue(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        kind: RowOperation,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        self.queued.push_back(BatchItem { request, kind });
        if self.queued.len() >= self.options.max_batch_rows {
            self.flush(now, view, effects);
        }
        self.arm_batch(now, effects);
    }

    fn arm_batch(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        if self.queued.is_empty() || self.pacer.timer_at.is_some() {
            return;
        }
        let at = self.pacer.next_at.max(now + self.options.batch_window);
        self.pacer.timer_at = Some(at);
        effects.set_timer(BATCH_TIMER, at);
    }

    /// Commits one batch of queued writes if the budget allows it now.
    pub(super) fn flush(
        &mut self,
        now: MonotonicTime,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        if self.pacer.timer_at.is_some_and(|at| at <= now) {
            self.pacer.timer_at = None;
        }
        if self.pacer.next_at <= now && !self.queued.is_empty() {
            let count = self.queued.len().min(self.options.max_batch_rows);
            let items: Vec<_> = self.queued.drain(..count).collect();
            let gap = self.options.commit_interval(view.members.serving().count());
            self.pacer.next_at = now + gap;
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
                None => self.skip_abandoned(now, item, effects),
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

    /// Handles a queued insert whose call was dropped before the insert was sent. If no earlier
    /// attempt can have written the row, the claim is removed; otherwise the row is read back and
    /// deleted. The retry timer must be set here: if no other claim is in doubt, the row would
    /// never be read, the claim would stay open and a planned stop would wait for it forever.
    fn skip_abandoned(&mut self, now: MonotonicTime, item: BatchItem, effects: &mut EffectQueue) {
        let Some(claim) = self.open.get(&item.request) else {
            return;
        };
        if item.kind != RowOperation::Insert || claim.stage != ClaimStage::Releasing {
            return;
        }
        match claim.attempts {
            0 => self.remove_claim(item.request),
            _ => {
                let kind = RowOperation::Release;
                self.in_doubt.push(BatchItem { kind, ..item });
                effects.set_timer(RETRY_TIMER, now + self.options.retry_interval);
            }
        }
    }

    fn row_write(&self, item: BatchItem) -> Option<ConditionalWrite> {
        let claim = self.open.get(&item.request)?;
        let is_current = match item.kind {
            RowOperation::Insert => claim.stage == ClaimStage::Pending,
            RowOperation::Record => claim.stage == ClaimStage::Recording,
            RowOperation::Release => claim.stage == ClaimStage::Releasing,
        };
        let value = match item.kind {
            RowOperation::Insert | RowOperation::Record => Some(claim.record.to_json()),
            RowOperation::Release => None,
        };
        is_current.then(|| ConditionalWrite {
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
