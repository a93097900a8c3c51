//! Gathering what this daemon sees, judging it here, and sending it to the holder.

use super::{
    ComparedVersion, MoveSample, MoveView, MovesState,
    evaluator::{EvaluationResult, VersionEvaluator},
    planned_moves,
    samples::SampleBuffer,
};
use crate::{
    effect::{DaemonEffect, EffectQueue},
    view::{ConfigView, MemberView},
};
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostName, MonotonicTime, MoveName,
    peer::{MoveMessage, PeerMessage, moves::RouteStatistics},
};
use std::time::Duration;

/// Evidence messages a second that the holder gets from all daemons. At some 100 bytes each they
/// use half of the 9 KB/s that a daemon may spend.
const MESSAGES_PER_SECOND: usize = 40;

/// Between two messages of a daemon that saw nothing fail.
const MIN_PERIOD: Duration = Duration::from_millis(500);

/// Slot of a daemon's own judgement: long enough for the old version to be a control.
const LOCAL_SLOT: Duration = Duration::from_secs(3);

/// What this daemon sees of one move.
#[derive(Debug)]
pub(super) struct LocalWatch {
    revision: ConfigRevision,
    buffer: SampleBuffer,
    judge: VersionEvaluator,
    sequence: u64,
    sent_at: MonotonicTime,
}

impl LocalWatch {
    fn new(revision: ConfigRevision) -> Self {
        Self {
            revision,
            buffer: SampleBuffer::default(),
            judge: VersionEvaluator::new(LOCAL_SLOT),
            sequence: 0,
            sent_at: MonotonicTime::default(),
        }
    }
}

/// Evidence on its way to the holder.
#[derive(Debug)]
pub(super) struct EvidenceParcel {
    pub(super) name: MoveName,
    pub(super) revision: ConfigRevision,
    pub(super) sequence: u64,
    pub(super) routes: Vec<RouteStatistics>,
}

impl MovesState {
    pub(super) fn sample(&mut self, sample: &MoveSample, config: &ConfigView) {
        let Some(split) = self.splits.get(&sample.service) else {
            return;
        };
        let arm = if sample.version == split.new {
            ComparedVersion::New
        } else if sample.version == split.old {
            ComparedVersion::Old
        } else {
            return;
        };
        let name = split.move_name.clone();
        let revision = super::spec_revision(&name, config);
        let over = self.is_over(&name, config) || self.is_stopped(&name, revision);
        if over {
            return;
        }
        let watch = self
            .watches
            .entry(name)
            .or_insert_with(|| LocalWatch::new(revision));
        if watch.revision != revision {
            *watch = LocalWatch::new(revision);
        }
        watch.buffer.add(arm, sample);
    }

    /// Judges what was gathered and sends it on.
    pub(super) fn flush(&mut self, now: CoreTime, view: MoveView<'_>, effects: &mut EffectQueue) {
        let period = evidence_period(view.members);
        for planned in planned_moves(view.config) {
            let Some(parcel) = self.take_parcel(now, planned.name, period) else {
                continue;
            };
            // What this daemon sees by itself may be enough: it need not wait for the holder,
            // which may be cut off or gone.
            if let Some(reason) = self.judge_locally(now, &parcel) {
                let stop = Self::new_stop(now, parcel.revision, reason);
                self.stop(&parcel.name, stop, view.members, effects);
            }
            self.send_parcel(now, parcel, view.members, effects);
        }
    }

    fn take_parcel(
        &mut self,
        now: CoreTime,
        name: &MoveName,
        period: Duration,
    ) -> Option<EvidenceParcel> {
        let watch = self.watches.get_mut(name)?;
        let due = now.monotonic.since(watch.sent_at) >= period;
        if !due && !watch.buffer.is_urgent() {
            return None;
        }
        let routes = watch.buffer.take();
        if routes.is_empty() {
            return None;
        }
        watch.sent_at = now.monotonic;
        watch.sequence += 1;
        Some(EvidenceParcel {
            name: name.clone(),
            revision: watch.revision,
            sequence: watch.sequence,
            routes,
        })
    }

    fn judge_locally(&mut self, now: CoreTime, parcel: &EvidenceParcel) -> Option<String> {
        let watch = self.watches.get_mut(&parcel.name)?;
        for evidence in &parcel.routes {
            watch.judge.add(now.monotonic, evidence);
        }
        watch.judge.close_window(now.monotonic);
        match watch.judge.result() {
            EvaluationResult::Worse { reason } => Some(reason),
            EvaluationResult::Inconclusive
            | EvaluationResult::NoLargeRegression
            | EvaluationResult::NoRegression => None,
        }
    }

    fn send_parcel(
        &mut self,
        now: CoreTime,
        parcel: EvidenceParcel,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        let own = self.options.host.clone();
        let Some(holder) = self.holder_of(&parcel.name) else {
            return;
        };
        if holder == own {
            self.hear_evidence(now, &own, &parcel);
            return;
        }
        let Some(member) = members.members.get(&holder) else {
            return;
        };
        let message = MoveMessage::Statistics {
            name: parcel.name,
            revision: parcel.revision,
            sequence: parcel.sequence,
            routes: parcel.routes,
        };
        effects.push(DaemonEffect::SendPeer {
            to: holder,
            address: member.peer_address,
            message: PeerMessage::Moves(message),
        });
    }

    fn holder_of(&self, name: &MoveName) -> Option<HostName> {
        self.rows.get(name).map(|record| record.row.holder.clone())
    }
}

fn evidence_period(members: &MemberView) -> Duration {
    let members = members.serving().count();
    let millis = members * 1_000 / MESSAGES_PER_SECOND;
    Duration::from_millis(millis as u64).max(MIN_PERIOD)
}
