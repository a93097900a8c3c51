//! What the holder of the lease decides. Each decision is a row in the table first.

use super::{
    MoveView, MovesState, PlannedMove, RowWriting,
    judge::{JudgeVerdict, VersionJudge},
    plan::{MEASURED_FOR, MOST_UNPROVEN, MovePlan},
    planned_moves,
    row::{MoveRow, row_key},
    watching::EvidenceParcel,
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
const HOLDER_SLOT: Duration = Duration::from_secs(1);

/// A move as its driver knows it.
#[derive(Debug)]
pub(super) struct DrivenMove {
    revision: ConfigRevision,
    rate: RateMeasure,
    judge: VersionJudge,
    /// Stage that the proof in the judge is for.
    stage: u32,
    heard: BTreeMap<HostName, u64>,
}

/// Requests of the old version, measured again and again.
#[derive(Debug, Clone, Copy)]
struct RateMeasure {
    began_at: MonotonicTime,
    /// Requests before that.
    requests: u64,
    /// Requests a second in the newest whole measurement.
    per_second: Option<f64>,
}

impl RateMeasure {
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
        if elapsed < MEASURED_FOR {
            return;
        }
        let measured = requests.saturating_sub(self.requests) as f64;
        *self = Self {
            began_at: now,
            requests,
            per_second: Some(measured / elapsed.as_secs_f64()),
        };
    }
}

impl MovesState {
    /// Takes evidence of a daemon, unless it came before.
    pub(super) fn hear_evidence(
        &mut self,
        now: CoreTime,
        from: &HostName,
        parcel: &EvidenceParcel,
    ) {
        let Some(driven) = self.driven.get_mut(&parcel.name) else {
            return;
        };
        let heard = driven.heard.entry(from.clone()).or_default();
        if driven.revision != parcel.revision || parcel.sequence <= *heard {
            return;
        }
        *heard = parcel.sequence;
        for evidence in &parcel.routes {
            driven.judge.add(now.monotonic, evidence);
        }
    }

    /// Drives all moves, if this daemon holds the lease.
    pub(super) fn drive(&mut self, now: CoreTime, view: MoveView<'_>, effects: &mut EffectQueue) {
        let Some(lease) = view.lease else {
            self.driven.clear();
            return;
        };
        for planned in planned_moves(view.config) {
            if self.is_over(planned.name, view.config) || self.writing.contains_key(planned.name) {
                continue;
            }
            self.watch_proof(now, planned);
            self.stop_if_bad(now, planned, view, effects);
            if let Some(row) = self.next_row(now, planned, lease, view.config) {
                self.write_row(now, planned, lease, row, effects);
            }
        }
    }

    /// Begins a new proof when the stage or the spec is another one.
    fn watch_proof(&mut self, now: CoreTime, planned: PlannedMove<'_>) {
        let stage = self
            .row_of(planned.name, planned.revision)
            .map_or(0, |row| row.stage);
        let driven = self
            .driven
            .entry(planned.name.clone())
            .or_insert_with(|| new_driven(now, planned.revision, stage));
        if driven.revision != planned.revision {
            *driven = new_driven(now, planned.revision, stage);
        }
        driven.judge.close_slot(now.monotonic);
        let requests = driven.judge.old_requests();
        driven.rate.update(now.monotonic, requests);
        if driven.stage != stage {
            driven.stage = stage;
            driven.judge.begin_stage();
        }
    }

    fn stop_if_bad(
        &mut self,
        now: CoreTime,
        planned: PlannedMove<'_>,
        view: MoveView<'_>,
        effects: &mut EffectQueue,
    ) {
        if let JudgeVerdict::Bad { reason } = self.verdict(planned.name) {
            let stop = Self::new_stop(now, planned.revision, reason);
            self.stop(planned.name, stop, view.members, effects);
        }
    }

    fn verdict(&self, name: &MoveName) -> JudgeVerdict {
        let driven = self.driven.get(name);
        driven.map_or(JudgeVerdict::Unproven, |driven| driven.judge.verdict())
    }

    /// The row that must follow, if another one must.
    fn next_row(
        &self,
        now: CoreTime,
        planned: PlannedMove<'_>,
        lease: LeaseGrant,
        config: &ConfigView,
    ) -> Option<MoveRow> {
        let Some(row) = self.row_of(planned.name, planned.revision) else {
            return Some(self.first_row(now, planned, lease));
        };
        let change = |state, stage, share_per_mille, reason: String| MoveRow {
            state,
            stage,
            share_per_mille,
            stage_at: now.wall,
            holder: self.options.host.clone(),
            fencing: lease.fencing,
            reason,
            ..row.clone()
        };
        let back = |reason| Some(change(MoveState::TakenBack, row.stage, 0, reason));
        if let Some(stop) = self.stop_of(planned.name, planned.revision) {
            return back(stop.reason.clone());
        }
        let plan = MovePlan::new(planned.spec, row.started_at, row.rate());
        if now.wall >= plan.decide_by {
            return back("it could not be proved and soaked by its deadline".into());
        }
        match row.state {
            MoveState::Planned if runs(planned, config) => match self.requests_a_second(planned) {
                Some(rate) => {
                    let plan = MovePlan::new(planned.spec, row.started_at, rate);
                    let first = plan.stages.first().map(|stage| stage.share_per_mille);
                    let share = first.unwrap_or_default();
                    Some(MoveRow {
                        requests_per_1000s: (rate * 1_000.0) as u32,
                        ..change(MoveState::Moving, 0, share, "the first small share".into())
                    })
                }
                None => self.taken_over(row, lease),
            },
            MoveState::Moving => match self.after_stage(now, planned, row, &plan) {
                StageVerdict::Next => {
                    let stage = row.stage + 1;
                    let next = plan.stages.get(stage as usize);
                    let reason = "the version was as good as the old one at the last share";
                    match next.map(|stage| stage.share_per_mille) {
                        Some(share) => Some(change(MoveState::Moving, stage, share, reason.into())),
                        None => Some(change(MoveState::Soaking, stage, 1_000, reason.into())),
                    }
                }
                StageVerdict::TooLate => {
                    back("too few requests proved it in time for the larger shares".into())
                }
                StageVerdict::Stay => self
                    .with_larger_share(planned, row, lease)
                    .or_else(|| self.taken_over(row, lease)),
            },
            MoveState::Soaking if now.wall.since(row.stage_at) >= plan.soak => {
                let reason = "the version was as good as the old one";
                let stage = row.stage;
                Some(change(MoveState::Completed, stage, 1_000, reason.into()))
            }
            MoveState::Planned | MoveState::Soaking => self.taken_over(row, lease),
            MoveState::Completed | MoveState::TakenBack => None,
        }
    }

    /// Fewer requests come than the first share was chosen for: it must be larger to bring the proof
    /// in time. As many requests meet the version as were planned.
    fn with_larger_share(
        &self,
        planned: PlannedMove<'_>,
        row: &MoveRow,
        lease: LeaseGrant,
    ) -> Option<MoveRow> {
        let rate = self.requests_a_second(planned)?;
        let plan = MovePlan::new(planned.spec, row.started_at, rate);
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
    fn taken_over(&self, row: &MoveRow, lease: LeaseGrant) -> Option<MoveRow> {
        (row.fencing < lease.fencing).then(|| MoveRow {
            holder: self.options.host.clone(),
            fencing: lease.fencing,
            ..row.clone()
        })
    }

    fn first_row(&self, now: CoreTime, planned: PlannedMove<'_>, lease: LeaseGrant) -> MoveRow {
        MoveRow {
            spec_revision: planned.revision,
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
    fn requests_a_second(&self, planned: PlannedMove<'_>) -> Option<f64> {
        self.driven.get(planned.name)?.rate.per_second
    }

    fn after_stage(
        &self,
        now: CoreTime,
        planned: PlannedMove<'_>,
        row: &MoveRow,
        plan: &MovePlan,
    ) -> StageVerdict {
        let Some(stage) = plan.stages.get(row.stage as usize) else {
            return StageVerdict::Next;
        };
        let proved = match self.verdict(planned.name) {
            JudgeVerdict::Good => true,
            JudgeVerdict::Plausible => !stage.strict,
            JudgeVerdict::Unproven | JudgeVerdict::Bad { .. } => false,
        };
        let late = now.wall >= stage.latest_end;
        // The dwell is counted from when the stage began, which is later than planned when the
        // old version was measured first. Held to it all the same, a move of some two minutes
        // would be taken back with its proof at hand.
        let rested = late || now.wall.since(row.stage_at) >= stage.dwell;
        if proved && rested {
            StageVerdict::Next
        } else if late {
            StageVerdict::TooLate
        } else {
            StageVerdict::Stay
        }
    }

    fn write_row(
        &mut self,
        now: CoreTime,
        planned: PlannedMove<'_>,
        lease: LeaseGrant,
        row: MoveRow,
        effects: &mut EffectQueue,
    ) {
        let known = self.rows.get(planned.name);
        // Another holder with a larger number has written since: this one was paused.
        if known.is_some_and(|known| known.row.fencing > lease.fencing) {
            return;
        }
        let alone = now.monotonic < lease.acts_until;
        invariant::check(effects, InvariantName::ExclusiveLeaseHolder, alone, || {
            format!("move={} fencing={}", planned.name, lease.fencing)
        });
        let unproven = row.state == MoveState::Moving && row.stage == 0;
        let bounded = !unproven || row.share_per_mille <= MOST_UNPROVEN;
        invariant::check(effects, InvariantName::BadVersionBounded, bounded, || {
            format!("move={} share={}", planned.name, row.share_per_mille)
        });
        if !alone || !bounded {
            return;
        }
        let key = row_key(planned.name);
        let commit = TableCommit {
            conditions: vec![RowCondition {
                key: key.clone(),
                revision: known.map(|known| known.revision),
            }],
            writes: vec![RowWrite {
                key,
                value: serde_json::to_string(&row).ok(),
            }],
        };
        let number = self.call_table(TableRequest::Commit(commit), effects);
        self.writing
            .insert(planned.name.clone(), RowWriting { number, row });
    }
}

/// What follows a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StageVerdict {
    Stay,
    Next,
    TooLate,
}

fn new_driven(now: CoreTime, revision: ConfigRevision, stage: u32) -> DrivenMove {
    DrivenMove {
        revision,
        rate: RateMeasure::begin(now.monotonic),
        judge: VersionJudge::new(HOLDER_SLOT),
        stage,
        heard: BTreeMap::new(),
    }
}

/// Whether an upstream of the service runs the new version and takes work.
fn runs(planned: PlannedMove<'_>, config: &ConfigView) -> bool {
    let mut names = config.upstreams_of(&planned.spec.service);
    names.any(|name| {
        let spec = config.upstreams.get(name);
        spec.is_some_and(|spec| spec.version == planned.spec.to && !spec.draining)
    })
}
