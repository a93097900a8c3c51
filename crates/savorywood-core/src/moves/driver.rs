//! What the holder of the lease decides. Each decision is a row in the table first.

use super::{
    ConfiguredMove, MoveView, MovesState, PendingWrite, configured_moves,
    evaluator::{EvaluationResult, VersionEvaluator},
    local_statistics::StatisticsBatch,
    plan::{MAX_FIRST_SHARE_PER_MILLE, MovePlan, RATE_MEASUREMENT_PERIOD},
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

/// Slot of the holder's judgement, which sees the requests of all daemons.
const HOLDER_WINDOW: Duration = Duration::from_secs(1);

/// A move as its driver knows it.
#[derive(Debug)]
pub(super) struct DrivenMove {
    revision: ConfigRevision,
    rate: RateMeasurement,
    evaluator: VersionEvaluator,
    /// Stage that the proof in the judge is for.
    stage: u32,
    last_sequences: BTreeMap<HostName, u64>,
}

/// Requests of the old version, measured again and again.
#[derive(Debug, Clone, Copy)]
struct RateMeasurement {
    began_at: MonotonicTime,
    /// Requests before that.
    requests: u64,
    /// Requests a second in the newest whole measurement.
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

    /// Takes the requests so far; ends the measurement when it has lasted long enough.
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
    /// Takes evidence of a daemon, unless it came before.
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

    /// Drives all moves, if this daemon holds the lease.
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
            self.update_evaluation(now, configured);
            self.stop_if_worse(now, configured, view, effects);
            if let Some(row) = self.next_row(now, configured, lease, view.config) {
                self.write_row(now, configured, lease, row, effects);
            }
        }
    }

    /// Begins a new proof when the stage or the spec is another one.
    fn update_evaluation(&mut self, now: CoreTime, configured: ConfiguredMove<'_>) {
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
        driven.evaluator.close_window(now.monotonic);
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

    /// The row that must follow, if another one must.
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
            return roll_back("it could not be proved and soaked by its deadline".into());
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
                            ..updated(MoveState::Moving, 0, share, "the first small share".into())
                        })
                    }
                    None => self.takeover_row(row, lease),
                }
            }
            MoveState::Moving => match self.stage_decision(now, configured, row, &plan) {
                StageDecision::Advance => {
                    let stage = row.stage + 1;
                    let next = plan.stages.get(stage as usize);
                    let reason = "the version was as good as the old one at the last share";
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
                let reason = "the version was as good as the old one";
                let stage = row.stage;
                Some(updated(MoveState::Completed, stage, 1_000, reason.into()))
            }
            MoveState::Planned | MoveState::Soaking => self.takeover_row(row, lease),
            MoveState::Completed | MoveState::TakenBack => None,
        }
    }

    /// Fewer requests come than the first share was chosen for: it must be larger to bring the proof
    /// in time. As many requests meet the version as were planned.
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
            reason: "fewer requests come than were measured before".into(),
            ..row.clone()
        })
    }

    /// A new holder writes its name into the row, so that evidence comes to it, and its fencing
    /// number, so that a write of the last holder that is still under way finds the row changed.
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
            reason: "the old version is measured, and an upstream with the new one awaited".into(),
        }
    }

    /// Requests of the old version, once they were watched long enough.
    fn measured_rate(&self, configured: ConfiguredMove<'_>) -> Option<f64> {
        self.driven.get(configured.name)?.rate.per_second
    }

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
        // The dwell is counted from when the stage began, which is later than planned when the
        // old version was measured first. Held to it all the same, a move of some two minutes
        // would be taken back with its proof at hand.
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
        // Another holder with a larger number has written since: this one was paused.
        if recorded.is_some_and(|recorded| recorded.row.fencing > lease.fencing) {
            return;
        }
        let lease_valid = now.monotonic < lease.acts_until;
        invariant::check(effects, InvariantName::HolderActsAlone, lease_valid, || {
            format!("move={} fencing={}", configured.name, lease.fencing)
        });
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

/// What follows a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StageDecision {
    Stay,
    Advance,
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

/// Whether an upstream of the service runs the new version and takes work.
fn has_available_upstream(configured: ConfiguredMove<'_>, config: &ConfigView) -> bool {
    let mut names = config.upstreams_of(&configured.spec.service);
    names.any(|name| {
        let spec = config.upstreams.get(name);
        spec.is_some_and(|spec| spec.version == configured.spec.to && !spec.draining)
    })
}
