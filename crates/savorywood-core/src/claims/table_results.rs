//! Handling of table responses to claim writes and reads.

use super::{
    ClaimDecision, ClaimRecord, ClaimStage, ClaimState, ClaimView, RETRY_TIMER, TableTask,
    batch::{BatchItem, RowOperation},
    repeat::RepeatedCall,
};
use crate::effect::{EffectQueue, LogLevel, LogLine};
use savorywood_protocol::{
    CoreTime, RefusalCode, RequestId, RequestRefusal,
    table::{CommitRevision, TableRequest, TableResponse, TableRow},
};
use std::{collections::BTreeMap, time::Duration};

/// Retry-after delay when the store did not respond.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

impl ClaimState {
    pub(super) fn table_responded(
        &mut self,
        now: CoreTime,
        number: u64,
        response: TableResponse,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        match self.calls.remove(&number) {
            Some(TableTask::Commit(items)) => self.committed(now, &items, response, view, effects),
            Some(TableTask::ReadBack(items)) => self.rows_read(now, items, response, view, effects),
            Some(TableTask::SweepScan) => self.scanned(now, response, effects),
            Some(TableTask::SweepDelete { rows }) => self.swept(rows, &response),
            None => {}
        }
    }

    fn committed(
        &mut self,
        now: CoreTime,
        items: &[BatchItem],
        response: TableResponse,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        match response {
            TableResponse::Committed { revision } => {
                for item in items {
                    self.row_written(now, *item, revision, view, effects);
                }
            }
            TableResponse::Conflict { rows } => {
                self.handle_conflict(now, items, rows, view, effects);
            }
            TableResponse::Unavailable => {
                for item in items {
                    self.write_refused(now, *item, effects);
                }
            }
            // The commit may have taken effect. Treating it as failed would let a repeat run the
            // call elsewhere; treating it as successful would run the call under another attempt's
            // claim.
            TableResponse::Lost | TableResponse::Rows { .. } => {
                self.mark_in_doubt(now, items, effects);
            }
        }
    }

    fn row_written(
        &mut self,
        now: CoreTime,
        item: BatchItem,
        revision: CommitRevision,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        match item.kind {
            RowOperation::Insert => self.mark_held(now, item.request, revision, view, effects),
            RowOperation::Record | RowOperation::Release => self.remove_claim(item.request),
        }
    }

    /// Marks the claim as held after its insert is confirmed.
    fn mark_held(
        &mut self,
        now: CoreTime,
        request: RequestId,
        revision: CommitRevision,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(claim) = self.open.get_mut(&request) else {
            return;
        };
        claim.revision = Some(revision);
        claim.attempts = 0;
        match claim.stage {
            ClaimStage::Pending => {
                claim.stage = ClaimStage::Held;
                let request = Box::new(claim.request.clone());
                self.decisions.push(ClaimDecision::Granted(request));
            }
            // The call was refused while the insert was in progress. It did not run, so the row is
            // deleted.
            ClaimStage::Releasing => {
                let kind = RowOperation::Release;
                self.enqueue(now.monotonic, request, kind, view, effects);
            }
            ClaimStage::Held | ClaimStage::Dispatched | ClaimStage::Recording => {}
        }
    }

    /// Handles a transaction that failed because one of its conditions did not hold. Only calls
    /// whose rows are in the response have a conflict; the others are committed again.
    fn handle_conflict(
        &mut self,
        now: CoreTime,
        items: &[BatchItem],
        rows: Vec<TableRow>,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let rows: BTreeMap<_, _> = rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        let mut matched = false;
        for item in items {
            let Some(claim) = self.open.get(&item.request) else {
                continue;
            };
            match rows.get(&claim.row) {
                Some(row) => {
                    matched = true;
                    self.reconcile(now, *item, Some(row), view, effects);
                }
                None => self.queued.push_back(*item),
            }
        }
        if !matched {
            // The response contains none of our rows, so they must be read.
            self.queued.retain(|queued| !items.contains(queued));
            self.mark_in_doubt(now, items, effects);
        }
        self.flush(now.monotonic, view, effects);
    }

    /// Compares the stored row with the one this daemon tried to write, and continues accordingly.
    fn reconcile(
        &mut self,
        now: CoreTime,
        item: BatchItem,
        row: Option<&TableRow>,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(claim) = self.open.get_mut(&item.request) else {
            return;
        };
        let value = row.and_then(|row| row.value.as_deref());
        let found = value.and_then(ClaimRecord::parse);
        let revision = row.map(|row| row.revision);
        let ours = found.as_ref().filter(|f| f.is_held_by(claim.nonce));
        match (item.kind, ours, revision) {
            (RowOperation::Insert, Some(_), Some(revision)) => {
                self.mark_held(now, item.request, revision, view, effects);
            }
            (RowOperation::Record, Some(ours), _) if ours.outcome == claim.record.outcome => {
                self.remove_claim(item.request);
            }
            (RowOperation::Record | RowOperation::Release, Some(_), Some(revision)) => {
                claim.revision = Some(revision);
                self.enqueue(now.monotonic, item.request, item.kind, view, effects);
            }
            _ if value.is_none() => self.row_absent(now, item, view, effects),
            (RowOperation::Insert, ..) => self.row_taken(now, item.request, found, view, effects),
            _ => self.remove_claim(item.request),
        }
    }

    /// Handles a row that does not exist: the unconfirmed write has not taken effect so far. An
    /// insert is sent again with the same nonce; if the earlier write still arrives, its condition
    /// fails on the new row and it has no effect.
    fn row_absent(
        &mut self,
        now: CoreTime,
        item: BatchItem,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let claim = self.open.get(&item.request);
        let pending = claim.is_some_and(|claim| claim.stage == ClaimStage::Pending);
        match item.kind {
            RowOperation::Insert if pending => {
                self.enqueue(now.monotonic, item.request, item.kind, view, effects);
            }
            RowOperation::Insert | RowOperation::Record | RowOperation::Release => {
                self.remove_claim(item.request);
            }
        }
    }

    fn row_taken(
        &mut self,
        now: CoreTime,
        request: RequestId,
        found: Option<ClaimRecord>,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(claim) = self.open.get(&request) else {
            return;
        };
        let (ours, pending) = (claim.record.clone(), claim.stage == ClaimStage::Pending);
        self.remove_claim(request);
        if !pending {
            return;
        }
        match found {
            Some(found) => {
                let repeat = RepeatedCall {
                    request,
                    ours: &ours,
                    first: &found,
                };
                self.respond_to_repeat(now, &repeat, view, effects);
            }
            None => {
                let detail = "the claim row of this key is unreadable; the first call may have run";
                let refusal = RequestRefusal::unknown(RefusalCode::KeyUsed, detail);
                effects.refuse(request, refusal);
            }
        }
    }

    /// Handles a write that the store refused completely.
    fn write_refused(&mut self, now: CoreTime, item: BatchItem, effects: &mut EffectQueue) {
        let Some(claim) = self.open.get(&item.request) else {
            return;
        };
        let (never_sent, pending) = (claim.attempts == 0, claim.stage == ClaimStage::Pending);
        match item.kind {
            RowOperation::Insert if never_sent => {
                if pending {
                    self.refuse_store_unavailable(item.request, effects);
                }
                self.remove_claim(item.request);
            }
            // An earlier write of the row may have taken effect, so it must be read first.
            RowOperation::Insert | RowOperation::Record | RowOperation::Release => {
                self.mark_in_doubt(now, &[item], effects);
            }
        }
    }

    fn refuse_store_unavailable(&mut self, request: RequestId, effects: &mut EffectQueue) {
        self.counters.store_refusals += 1;
        let detail = "the table service, which prevents duplicate execution of this call, did not \
                      respond; the call was not run, retry with the same key";
        let refusal = RequestRefusal::not_run(RefusalCode::StoreUnavailable, detail);
        effects.refuse(request, refusal.with_retry_after(STORE_RETRY_AFTER));
    }

    /// Marks rows that must be read before their claims can proceed, and schedules the read.
    fn mark_in_doubt(&mut self, now: CoreTime, items: &[BatchItem], effects: &mut EffectQueue) {
        effects.set_timer(RETRY_TIMER, now.monotonic + self.options.retry_interval);
        for item in items {
            if let Some(claim) = self.open.get_mut(&item.request) {
                claim.attempts += 1;
                self.in_doubt.push(*item);
            }
        }
    }

    /// Reads the rows in doubt; first expires the claims that exceeded their limits.
    pub(super) fn read_back(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        let in_doubt = std::mem::take(&mut self.in_doubt);
        let mut items = Vec::new();
        for item in in_doubt {
            if let Some(item) = self.expire_if_late(now, item, effects) {
                items.push(item);
            }
        }
        let keys: Vec<_> = items
            .iter()
            .filter_map(|item| self.open.get(&item.request))
            .map(|claim| claim.row.clone())
            .collect();
        if !keys.is_empty() {
            let request = TableRequest::Get { keys };
            self.call_table(TableTask::ReadBack(items), request, effects);
        }
    }

    /// Refuses a call that exceeded its wait timeout, or drops a record after the maximum number of
    /// attempts. A refused call has not run. If its row was written after all, the row is deleted
    /// once the store responds; otherwise the caller's next attempt with the same key would be
    /// refused with an unknown outcome.
    fn expire_if_late(
        &mut self,
        now: CoreTime,
        item: BatchItem,
        effects: &mut EffectQueue,
    ) -> Option<BatchItem> {
        let claim = self.open.get_mut(&item.request)?;
        let waited = now.monotonic.since(claim.requested_at);
        let late =
            waited >= self.options.wait_timeout || claim.request.deadline_at <= now.monotonic;
        if item.kind == RowOperation::Insert && claim.stage == ClaimStage::Pending && late {
            claim.stage = ClaimStage::Releasing;
            self.refuse_store_unavailable(item.request, effects);
            let kind = RowOperation::Release;
            return Some(BatchItem { kind, ..item });
        }
        if claim.attempts > self.options.max_record_attempts {
            let line = LogLine::new(LogLevel::Error, "claim_not_recorded")
                .with("row", &claim.row)
                .with("request", item.request);
            effects.log(line);
            self.counters.unrecorded_outcomes += 1;
            self.remove_claim(item.request);
            return None;
        }
        Some(item)
    }

    fn rows_read(
        &mut self,
        now: CoreTime,
        items: Vec<BatchItem>,
        response: TableResponse,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let TableResponse::Rows { rows, .. } = response else {
            self.mark_in_doubt(now, &items, effects);
            return;
        };
        let rows: BTreeMap<_, _> = rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        for item in items {
            let Some(claim) = self.open.get(&item.request) else {
                continue;
            };
            self.reconcile(now, item, rows.get(&claim.row), view, effects);
        }
    }
}
