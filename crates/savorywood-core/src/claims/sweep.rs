//! Deletion of claims that are older than any key still accepted.

use super::{CLAIM_PREFIX, ClaimRecord, ClaimState, ClaimView, SWEEP_TIMER, TableTask};
use crate::{effect::EffectQueue, rendezvous};
use savorywood_protocol::{
    CoreTime, MonotonicTime, WallTime,
    table::{
        CommitRevision, RowCondition, RowWrite, TableCommit, TableRequest, TableResponse, TableRow,
    },
};

/// Progress of the table scan.
#[derive(Debug, Default)]
pub struct SweepState {
    after: CommitRevision,
}

impl ClaimState {
    pub(super) fn start_sweep(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        effects.set_timer(SWEEP_TIMER, now + self.options.sweep_interval);
    }

    pub(super) fn sweep_due(
        &mut self,
        now: CoreTime,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        self.start_sweep(now.monotonic, effects);
        if self.is_sweeper(view) {
            let request = TableRequest::Scan {
                prefix: CLAIM_PREFIX.to_owned(),
                after: self.sweep.after,
                limit: self.options.max_sweep_rows,
            };
            self.call_table(TableTask::SweepScan, request, effects);
        }
    }

    /// Whether this daemon is the one that runs the sweep. Two sweepers at once are harmless, since
    /// each row is deleted on condition that it is unchanged.
    fn is_sweeper(&self, view: ClaimView<'_>) -> bool {
        let subject = rendezvous::hash_parts(&["claim-sweep"]);
        let hosts = view.members.serving().map(|(host, _)| host);
        let first = hosts.max_by_key(|host| rendezvous::score(subject, host.as_str()));
        first.is_none_or(|host| *host == self.options.host)
    }

    pub(super) fn scanned(
        &mut self,
        now: CoreTime,
        response: TableResponse,
        effects: &mut EffectQueue,
    ) {
        let TableResponse::Rows { rows, more, .. } = response else {
            return;
        };
        let last = rows.last().map(|row| row.revision);
        self.sweep.after = last.filter(|_| more).unwrap_or_default();
        let expired: Vec<_> = rows
            .iter()
            .filter(|row| is_expired(row, now.wall))
            .take(self.options.max_batch_rows)
            .collect();
        if expired.is_empty() {
            return;
        }
        let commit = delete_rows(&expired);
        let rows = expired.len() as u64;
        let request = TableRequest::Commit(commit);
        self.call_table(TableTask::SweepDelete { rows }, request, effects);
    }

    pub(super) fn swept(&mut self, rows: u64, response: &TableResponse) {
        if matches!(response, TableResponse::Committed { .. }) {
            self.counters.swept += rows;
        }
    }
}

fn is_expired(row: &TableRow, now: WallTime) -> bool {
    let record = row.value.as_deref().and_then(ClaimRecord::parse);
    let delete_after = record.and_then(|record| record.delete_after);
    delete_after.is_some_and(|at| now > at)
}

fn delete_rows(rows: &[&TableRow]) -> TableCommit {
    let conditions = rows.iter().map(|row| RowCondition {
        key: row.key.clone(),
        revision: Some(row.revision),
    });
    let writes = rows.iter().map(|row| RowWrite {
        key: row.key.clone(),
        value: None,
    });
    TableCommit {
        conditions: conditions.collect(),
        writes: writes.collect(),
    }
}
