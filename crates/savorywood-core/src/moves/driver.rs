//! Decisions of the lease holder: when a move starts, advances, completes or rolls back. A decision
//! takes effect only once its row is committed to the table.

use super::{
    ConfiguredMove, MoveView, MovesState, PendingWrite, configured_moves,
    evaluator::{EvaluationResult, VersionEvaluator},
    local_statistics::StatisticsBatch,
    plan::{MAX_FIRST_SHARE_PER_MILLE, MovePlan, RATE_MEASUREMENT_PERIOD},
    relative_load::{count_upstreams, relative_load},
    row::{MoveRow, row_key},
};
use crate::{
    effect::EffectQueue,
    invariant::{self, InvariantName},
    leases::LeaseGrant,
    view::ConfigView,
};
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostName, MonotonicTime, MoveName,
    resource::MoveState,
    table::{RowCondition, RowWrite, TableCommit, TableRequest},
};
use std::{collections::BTreeMap, time::Duration};

/// Comparison window of the holder's evaluation, which covers the requests of all daemons.
const HOLDER_WINDOW: Duration = Duration::from_secs(1);

/// Evaluation of a move on the lease holder.
#[derive(Debug)]
pub(super) struct DrivenMove {
    revision: ConfigRevision,
    rate: RateMeasurement,
    evaluator: VersionEvaluator,
    /// Stage that the evaluation in progress belongs to.
    stage: u32,
    /// Sequence number of the newest batch from each daemon.
    last_sequences: BTreeMap<HostName, u64>,
}

/// Repeated measurement of the request rate of the old version.
#[derive(Debug, Clone, Copy)]
struct RateMeasurement {
    began_at: MonotonicTime,
    /// Total of requests when the measurement began.
    requests: u64,
    /// Requests per second in the newest completed measurement; absent before the first.
    per_second: Option<f64>,
}

impl RateMeasurement {
    fn begin(now: MonotonicTime) -> Self {
        Self {
            began_at: now,
            requests: 0,
            per_second: None,
        }
    }

    /// Updates the rate from the total of requests so far if the measurement period has elapsed.
    fn update(&mut self, now: MonotonicTime, requests: u64) {
        let elapsed = now.since(self.began_at);
        if elapsed < RATE_MEASUREMENT_PERIOD {
            return;
        }
        let new_requests = requests.saturating_sub(self.requests) as f64;
        *self = Self {
            began_at: now,
            requests,
            per_second: Some(new_requests / elapsed.as_secs_f64()),
        };
    }
}

impl MovesState {
    /// Adds the statistics of a daemon to the evaluation. Ignores duplicates, reordered batches and
    /// batches for another revision of the spec.
    pub(super) fn record_statistics(
        &mut self,
        now: CoreTime,
        from: &HostName,
        batch: &StatisticsBatch,
    ) {
        let Some(driven) = self.driven.get_mut(&batch.name) else {
            return;
        };
        let last_sequence = driven.last_sequences.entry(from.clone()).or_default();
        if driven.revision != batch.revision || batch.sequence <= *last_sequence {
            return;
        }
        *last_sequence = batch.sequence;
        for statistics in &batch.routes {
            driven.evaluator.add(now.monotonic, statistics);
        }
    }

    /// Makes the next decision for each move if this daemon holds the lease.
    pub(super) fn drive(&mut self, now: CoreTime, view: MoveView<'_>, effects: &mut EffectQueue) {
        let Some(lease) = view.lease else {
            self.driven.clear();
            return;
        };
        for configured in configured_moves(view.config) {
            if self.is_over(configured.name, view.config)
                || self.pending_writes.contains_key(configured.name)
            {
                continue;
            }
            self.update_evaluation(now, configured, view.config);
            self.stop_if_worse(now, configured, view, effects);
            if let Some(row) = self.next_row(now, configured, lease, view.config) {
                self.write_row(now, configured, lease, row, effects);
            }
        }
    }

    /// Closes the comparison window and restarts the evaluation if the stage or the spec changed.
    fn update_evaluation(
        &mut self,
        now: CoreTime,
        configured: ConfiguredMove<'_>,
        config: &ConfigView,
    ) {
        let stage = self
            .row_of(configured.name, configured.revision)
            .map_or(0, |row| row.stage);
        let driven = self
            .driven
            .entry(configured.name.clone())
            .or_insert_with(|| new_driven(now, configured.revision, stage));
        if driven.revision != configured.revision {
            *driven = new_driven(now, configured.revision, stage);
        }
        let splits = &self.splits;
        let load = || relative_load(splits, configured, config);
        driven.evaluator.close_window(now.monotonic, load);
        let requests = driven.evaluator.old_requests();
        driven.rate.update(now.monotonic, requests);
        if driven.stage != stage {
            driven.stage = stage;
            driven.evaluator.begin_stage();
        }
    }

    fn stop_if_worse(
        &mut self,
        now: CoreTime,
        configured: ConfiguredMove<'_>,
        view: MoveView<'_>,
        effects: &mut EffectQueue,
    ) {
        if let EvaluationResult::Worse { reason } = self.evaluation(configured.name) {
            let stop = Self::new_stop(now, configured.revision, reason);
            self.stop(configured.name, stop, view.members, effects);
        }
    }

    fn evaluation(&self, name: &MoveName) -> EvaluationResult {
        let driven = self.driven.get(name);
        driven.map_or(EvaluationResult::Inconclusive, |driven| {
            driven.evaluator.result()
        })
    }

    /// Returns the row to write next, if the state, the stage, the share or the holder must change.
    fn next_row(
        &self,
        now: CoreTime,
        configured: ConfiguredMove<'_>,
        lease: LeaseGrant,
        config: &ConfigView,
    ) -> Option<MoveRow> {
        let Some(row) = self.row_of(configured.name, configured.revision) else {
            return Some(self.initial_row(now, configured, lease));
        };
        let updated = |state, stage, share_per_mille, reason: String| MoveRow {
            state,
            stage,
            share_per_mille,
            stage_at: now.wall,
            holder: self.options.host.clone(),
            fencing: lease.fencing,
            reason,
            ..row.clone()
        };
        let roll_back = |reason| Some(updated(MoveState::TakenBack, row.stage, 0, reason));
        if let Some(stop) = self.stop_of(configured.name, configured.revision) {
            return roll_back(stop.reason.clone());
        }
        let plan = MovePlan::new(configured.spec, row.started_at, row.rate());
        if now.wall >= plan.decide_by {
            return roll_back("evaluation and soak not finished by the deadline".into());
        }
        match row.state {
            MoveState::Planned if has_available_upstream(configured, config) => {
                match self.measured_rate(configured) {
                    Some(rate) => {
                        let plan = MovePlan::new(configured.spec, row.started_at, rate);
                        let first = plan.stages.first().map(|stage| stage.share_per_mille);
                        let share = first.unwrap_or_default();
                        Some(MoveRow {
                            requests_per_1000s: (rate * 1_000.0) as u32,
                            ..updated(MoveState::Moving, 0, share, "first stage started".into())
                        })
                    }
                    None => self.takeover_row(row, lease),
                }
            }
            MoveState::Moving => match self.stage_decision(now, configured, row, &plan) {
                StageDecision::Advance => {
                    let stage = row.stage + 1;
                    let next = plan.stages.get(stage as usize);
                    let reason = "no regression found at the previous share";
                    match next.map(|stage| stage.share_per_mille) {
                        Some(share) => {
                            Some(updated(MoveState::Moving, stage, share, reason.into()))
                        }
                        None => Some(updated(MoveState::Soaking, stage, 1_000, reason.into())),
                    }
                }
                StageDecision::TooLate => {
                    roll_back("too few requests proved it in time for the larger shares".into())
                }
                StageDecision::Stay => self
                    .with_larger_share(configured, row, lease)
                    .or_else(|| self.takeover_row(row, lease)),
            },
            MoveState::Soaking if now.wall.since(row.stage_at) >= plan.soak => {
                let reason = "soak completed without a regression";
                let stage = row.stage;
                Some(updated(MoveState::Completed, stage, 1_000, reason.into()))
            }
            MoveState::Planned | MoveState::Soaking => self.takeover_row(row, lease),
            MoveState::Completed | MoveState::TakenBack => None,
        }
    }

    /// Returns a row with a larger first share if the request rate is below the one that the share
    /// was chosen for, since the evaluation would otherwise not finish in time. The new version
    /// still receives only as many requests as were planned.
    fn with_larger_share(
        &self,
        configured: ConfiguredMove<'_>,
        row: &MoveRow,
        lease: LeaseGrant,
    ) -> Option<MoveRow> {
        let rate = self.measured_rate(configured)?;
        let plan = MovePlan::new(configured.spec, row.started_at, rate);
        let share = plan.stages.first()?.share_per_mille;
        (row.stage == 0 && share > row.share_per_mille).then(|| MoveRow {
            share_per_mille: share,
            requests_per_1000s: (rate * 1_000.0) as u32,
            holder: self.options.host.clone(),
            fencing: lease.fencing,
            reason: "first share increased: request rate is lower than measured before".into(),
            ..row.clone()
        })
    }

    /// Returns the row of a new holder. Its host name directs the statistics to it; its fencing
    /// number makes a write of the previous holder that is still in flight conflict.
    fn takeover_row(&self, row: &MoveRow, lease: LeaseGrant) -> Option<MoveRow> {
        (row.fencing < lease.fencing).then(|| MoveRow {
            holder: self.options.host.clone(),
            fencing: lease.fencing,
            ..row.clone()
        })
    }

    fn initial_row(
        &self,
        now: CoreTime,
        configured: ConfiguredMove<'_>,
        lease: LeaseGrant,
    ) -> MoveRow {
        MoveRow {
            spec_revision: configured.revision,
            state: MoveState::Planned,
            stage: 0,
            share_per_mille: 0,
            requests_per_1000s: 0,
            started_at: now.wall,
            stage_at: now.wall,
            holder: self.options.host.clone(),
            fencing: lease.fencing,
            reason: "measuring the request rate and waiting for an upstream with the new version"
                .into(),
        }
    }

    /// Returns the requests per second of the old version, once a measurement is complete.
    fn measured_rate(&self, configured: ConfiguredMove<'_>) -> Option<f64> {
        self.driven.get(configured.name)?.rate.per_second
    }

    /// Decides whether the current stage continues, is passed or is too late.
    fn stage_decision(
        &self,
        now: CoreTime,
        configured: ConfiguredMove<'_>,
        row: &MoveRow,
        plan: &MovePlan,
    ) -> StageDecision {
        let Some(stage) = plan.stages.get(row.stage as usize) else {
            return StageDecision::Advance;
        };
        let passed = match self.evaluation(configured.name) {
            EvaluationResult::NoRegression => true,
            EvaluationResult::NoLargeRegression => !stage.strict,
            EvaluationResult::Inconclusive | EvaluationResult::Worse { .. } => false,
        };
        let late = now.wall >= stage.latest_end;
        // The dwell time counts from the start of the stage, which the rate measurement delays.
        // A passed stage need not complete it after its latest end: otherwise a move of about two
        // minutes would be rolled back although the evaluation has passed.
        let dwell_elapsed = late || now.wall.since(row.stage_at) >= stage.dwell;
        if passed && dwell_elapsed {
            StageDecision::Advance
        } else if late {
            StageDecision::TooLate
        } else {
            StageDecision::Stay
        }
    }

    fn write_row(
        &mut self,
        now: CoreTime,
        configured: ConfiguredMove<'_>,
        lease: LeaseGrant,
        row: MoveRow,
        effects: &mut EffectQueue,
    ) {
        let recorded = self.rows.get(configured.name);
        // A holder with a larger fencing number has written since, so this daemon was paused and
        // its lease is no longer valid.
        if recorded.is_some_and(|recorded| recorded.row.fencing > lease.fencing) {
            return;
        }
        let lease_valid = now.monotonic < lease.valid_until;
        invariant::check(
            effects,
            InvariantName::ExclusiveLeaseHolder,
            lease_valid,
            || format!("move={} fencing={}", configured.name, lease.fencing),
        );
        let is_first_stage = row.state == MoveState::Moving && row.stage == 0;
        let bounded = !is_first_stage || row.share_per_mille <= MAX_FIRST_SHARE_PER_MILLE;
        invariant::check(effects, InvariantName::BadVersionBounded, bounded, || {
            format!("move={} share={}", configured.name, row.share_per_mille)
        });
        if !lease_valid || !bounded {
            return;
        }
        let key = row_key(configured.name);
        let commit = TableCommit {
            conditions: vec![RowCondition {
                key: key.clone(),
                revision: recorded.map(|recorded| recorded.revision),
            }],
            writes: vec![RowWrite {
                key,
                value: serde_json::to_string(&row).ok(),
            }],
        };
        let number = self.call_table(TableRequest::Commit(commit), effects);
        self.pending_writes
            .insert(configured.name.clone(), PendingWrite { number, row });
    }
}

/// Decision on the current stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StageDecision {
    /// The evaluation or the dwell time continues.
    Stay,
    /// The stage is passed.
    Advance,
    /// The stage was not passed by its latest end.
    TooLate,
}

fn new_driven(now: CoreTime, revision: ConfigRevision, stage: u32) -> DrivenMove {
    DrivenMove {
        revision,
        rate: RateMeasurement::begin(now.monotonic),
        evaluator: VersionEvaluator::new(HOLDER_WINDOW),
        stage,
        last_sequences: BTreeMap::new(),
    }
}

/// Whether an upstream of the service is configured with the new version and is not draining.
fn has_available_upstream(configured: ConfiguredMove<'_>, config: &ConfigView) -> bool {
    count_upstreams(configured, &configured.spec.to, config) > 0
}
