//! What the table's answers mean for claims.

use super::{
    ClaimDecision, ClaimRecord, ClaimStage, ClaimState, ClaimView, RETRY_TIMER, TableTask,
    batch::{BatchItem, WriteKind},
    repeat::RepeatedCall,
};
use crate::effect::{EffectQueue, LogLevel, LogLine};
use savorywood_protocol::{
    CoreTime, RefusalCode, RequestId, RequestRefusal,
    table::{CommitRevision, TableAnswer, TableRequest, TableRow},
};
use std::{collections::BTreeMap, time::Duration};

/// When a caller should come back after the store was not reached.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

impl ClaimState {
    pub(super) fn table_answered(
        &mut self,
        now: CoreTime,
        number: u64,
        answer: TableAnswer,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        match self.calls.remove(&number) {
            Some(TableTask::Commit(items)) => self.committed(now, &items, answer, view, effects),
            Some(TableTask::ReadBack(items)) => self.was_read(now, items, answer, view, effects),
            Some(TableTask::SweepScan) => self.scanned(now, answer, effects),
            Some(TableTask::SweepDelete { rows }) => self.swept(rows, &answer),
            None => {}
        }
    }

    fn committed(
        &mut self,
        now: CoreTime,
        items: &[BatchItem],
        answer: TableAnswer,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        match answer {
            TableAnswer::Committed { revision } => {
                for item in items {
                    self.took_effect(now, *item, revision, view, effects);
                }
            }
            TableAnswer::Conflict { rows } => {
                self.conflicted(now, items, rows, view, effects);
            }
            TableAnswer::Unavailable => {
                for item in items {
                    self.not_written(now, *item, effects);
                }
            }
            // The commit may have taken effect. Taking it for failed would let a repeat of the
            // call run elsewhere; taking it for done would run the call under another's claim.
            TableAnswer::Lost | TableAnswer::Rows { .. } => self.doubt(now, items, effects),
        }
    }

    fn took_effect(
        &mut self,
        now: CoreTime,
        item: BatchItem,
        revision: CommitRevision,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        match item.kind {
            WriteKind::Insert => self.hold(now, item.request, revision, view, effects),
            WriteKind::Record | WriteKind::Release => self.forget(item.request),
        }
    }

    /// The row is ours.
    fn hold(
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
        claim.tries = 0;
        match claim.stage {
            ClaimStage::Wanted => {
                claim.stage = ClaimStage::Held;
                let request = Box::new(claim.request.clone());
                self.verdicts.push(ClaimDecision::Granted(request));
            }
            // Refused while the answer was on its way: nothing ran, so the row goes.
            ClaimStage::Releasing => {
                let kind = WriteKind::Release;
                self.enqueue(now.monotonic, request, kind, view, effects);
            }
            ClaimStage::Held | ClaimStage::Dispatched | ClaimStage::Recording => {}
        }
    }

    /// One condition did not hold, and with it the whole transaction. Only the calls whose rows
    /// were given back have a conflict; the others are committed again.
    fn conflicted(
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
                    self.compare(now, *item, Some(row), view, effects);
                }
                None => self.waiting.push_back(*item),
            }
        }
        if !matched {
            // The answer names none of our rows: only reading them tells.
            self.waiting.retain(|waiting| !items.contains(waiting));
            self.doubt(now, items, effects);
        }
        self.flush(now.monotonic, view, effects);
    }

    /// Compares a row as it stands with what we meant to write.
    fn compare(
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
        let found = value.and_then(ClaimRecord::read);
        let revision = row.map(|row| row.revision);
        let ours = found.as_ref().filter(|f| f.is_held_by(claim.nonce));
        match (item.kind, ours, revision) {
            (WriteKind::Insert, Some(_), Some(revision)) => {
                self.hold(now, item.request, revision, view, effects);
            }
            (WriteKind::Record, Some(ours), _) if ours.outcome == claim.record.outcome => {
                self.forget(item.request);
            }
            (WriteKind::Record | WriteKind::Release, Some(_), Some(revision)) => {
                claim.revision = Some(revision);
                self.enqueue(now.monotonic, item.request, item.kind, view, effects);
            }
            _ if value.is_none() => self.row_absent(now, item, view, effects),
            (WriteKind::Insert, ..) => self.taken(now, item.request, found, view, effects),
            _ => self.forget(item.request),
        }
    }

    /// There is no row: what was lost has not been written, so far. It is written again, under
    /// the same nonce; should the lost write still arrive, it finds ours and has no effect.
    fn row_absent(
        &mut self,
        now: CoreTime,
        item: BatchItem,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let claim = self.open.get(&item.request);
        let wanted = claim.is_some_and(|claim| claim.stage == ClaimStage::Wanted);
        match item.kind {
            WriteKind::Insert if wanted => {
                self.enqueue(now.monotonic, item.request, item.kind, view, effects);
            }
            WriteKind::Insert | WriteKind::Record | WriteKind::Release => {
                self.forget(item.request);
            }
        }
    }

    fn taken(
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
        let (ours, waits) = (claim.record.clone(), claim.stage == ClaimStage::Wanted);
        self.forget(request);
        if !waits {
            return;
        }
        match found {
            Some(found) => {
                let repeat = RepeatedCall {
                    request,
                    ours: &ours,
                    first: &found,
                };
                self.answer_repeat(now, &repeat, view, effects);
            }
            None => {
                let detail = "the claim of this key can't be read; its first call may have run";
                let refusal = RequestRefusal::unknown(RefusalCode::KeyUsed, detail);
                effects.refuse(request, refusal);
            }
        }
    }

    /// The store took nothing.
    fn not_written(&mut self, now: CoreTime, item: BatchItem, effects: &mut EffectQueue) {
        let Some(claim) = self.open.get(&item.request) else {
            return;
        };
        let (never_sent, waits) = (claim.tries == 0, claim.stage == ClaimStage::Wanted);
        match item.kind {
            WriteKind::Insert if never_sent => {
                if waits {
                    self.refuse_for_store(item.request, effects);
                }
                self.forget(item.request);
            }
            // An earlier write of the row may have taken effect, so it must be read first.
            WriteKind::Insert | WriteKind::Record | WriteKind::Release => {
                self.doubt(now, &[item], effects);
            }
        }
    }

    fn refuse_for_store(&mut self, request: RequestId, effects: &mut EffectQueue) {
        self.counters.store_refusals += 1;
        let detail = "the table service, without which this call could run twice, does not \
                      answer; nothing has run, send it again with the same key";
        let refusal = RequestRefusal::not_run(RefusalCode::StoreUnavailable, detail);
        effects.refuse(request, refusal.with_retry_after(STORE_RETRY_AFTER));
    }

    /// Notes rows that must be read before anything is decided about them.
    fn doubt(&mut self, now: CoreTime, items: &[BatchItem], effects: &mut EffectQueue) {
        effects.set_timer(RETRY_TIMER, now.monotonic + self.options.retry_period);
        for item in items {
            if let Some(claim) = self.open.get_mut(&item.request) {
                claim.tries += 1;
                self.unsure.push(*item);
            }
        }
    }

    /// Reads the rows in doubt, and gives up those that took too long.
    pub(super) fn read_back(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        let unsure = std::mem::take(&mut self.unsure);
        let mut items = Vec::new();
        for item in unsure {
            if let Some(item) = self.give_up_if_late(now, item, effects) {
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

    /// Refuses a call that waited too long. Nothing ran, so the refusal is true; if the row was
    /// written after all, it is deleted once the store answers, or the caller's next try with
    /// the same key would be told that the outcome is unknown.
    fn give_up_if_late(
        &mut self,
        now: CoreTime,
        item: BatchItem,
        effects: &mut EffectQueue,
    ) -> Option<BatchItem> {
        let claim = self.open.get_mut(&item.request)?;
        let waited = now.monotonic.since(claim.wanted_at);
        let late = waited >= self.options.patience || claim.request.deadline_at <= now.monotonic;
        if item.kind == WriteKind::Insert && claim.stage == ClaimStage::Wanted && late {
            claim.stage = ClaimStage::Releasing;
            self.refuse_for_store(item.request, effects);
            let kind = WriteKind::Release;
            return Some(BatchItem { kind, ..item });
        }
        if claim.tries > self.options.record_tries {
            let line = LogLine::new(LogLevel::Error, "claim_not_recorded")
                .with("row", &claim.row)
                .with("request", item.request);
            effects.log(line);
            self.counters.unrecorded_outcomes += 1;
            self.forget(item.request);
            return None;
        }
        Some(item)
    }

    fn was_read(
        &mut self,
        now: CoreTime,
        items: Vec<BatchItem>,
        answer: TableAnswer,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let TableAnswer::Rows { rows, .. } = answer else {
            self.doubt(now, &items, effects);
            return;
        };
        let rows: BTreeMap<_, _> = rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        for item in items {
            let Some(claim) = self.open.get(&item.request) else {
                continue;
            };
            self.compare(now, item, rows.get(&claim.row), view, effects);
        }
    }
}
