//! Gathering what this daemon sees, judging it here, and sending it to the holder.

use super::{
    ComparedVersion, MoveSample, MoveView, MovesState, configured_moves,
    evaluator::{EvaluationResult, VersionEvaluator},
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
const MAX_MESSAGES_PER_SECOND: usize = 40;

/// Between two messages of a daemon that saw nothing fail.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(500);

/// Slot of a daemon's own judgement: long enough for the old version to be a control.
const LOCAL_WINDOW: Duration = Duration::from_secs(3);

/// What this daemon sees of one move.
#[derive(Debug)]
pub(super) struct LocalStatistics {
    revision: ConfigRevision,
    buffer: SampleBuffer,
    evaluator: VersionEvaluator,
    sequence: u64,
    sent_at: MonotonicTime,
}

impl LocalStatistics {
    fn new(revision: ConfigRevision) -> Self {
        Self {
            revision,
            buffer: SampleBuffer::default(),
            evaluator: VersionEvaluator::new(LOCAL_WINDOW),
            sequence: 0,
            sent_at: MonotonicTime::default(),
        }
    }
}

/// Evidence on its way to the holder.
#[derive(Debug)]
pub(super) struct StatisticsBatch {
    pub(super) name: MoveName,
    pub(super) revision: ConfigRevision,
    pub(super) sequence: u64,
    pub(super) routes: Vec<RouteStatistics>,
}

impl MovesState {
    pub(super) fn record_sample(&mut self, sample: &MoveSample, config: &ConfigView) {
        let Some(split) = self.splits.get(&sample.service) else {
            return;
        };
        let version = if sample.version == split.new {
            ComparedVersion::New
        } else if sample.version == split.old {
            ComparedVersion::Old
        } else {
            return;
        };
        let name = split.move_name.clone();
        let revision = super::spec_revision(&name, config);
        let is_ended = self.is_over(&name, config) || self.is_stopped(&name, revision);
        if is_ended {
            return;
        }
        let local = self
            .local
            .entry(name)
            .or_insert_with(|| LocalStatistics::new(revision));
        if local.revision != revision {
            *local = LocalStatistics::new(revision);
        }
        local.buffer.add(version, sample);
    }

    /// Judges what was gathered and sends it on.
    pub(super) fn process_samples(
        &mut self,
        now: CoreTime,
        view: MoveView<'_>,
        effects: &mut EffectQueue,
    ) {
        let interval = send_interval(view.members);
        for configured in configured_moves(view.config) {
            let Some(batch) = self.take_batch(now, configured.name, interval) else {
                continue;
            };
            // What this daemon sees by itself may be enough: it need not wait for the holder,
            // which may be cut off or gone.
            if let Some(reason) = self.evaluate_locally(now, &batch) {
                let stop = Self::new_stop(now, batch.revision, reason);
                self.stop(&batch.name, stop, view.members, effects);
            }
            self.send_batch(now, batch, view.members, effects);
        }
    }

    fn take_batch(
        &mut self,
        now: CoreTime,
        name: &MoveName,
        interval: Duration,
    ) -> Option<StatisticsBatch> {
        let local = self.local.get_mut(name)?;
        let due = now.monotonic.since(local.sent_at) >= interval;
        if !due && !local.buffer.has_new_failures() {
            return None;
        }
        let routes = local.buffer.take();
        if routes.is_empty() {
            return None;
        }
        local.sent_at = now.monotonic;
        local.sequence += 1;
        Some(StatisticsBatch {
            name: name.clone(),
            revision: local.revision,
            sequence: local.sequence,
            routes,
        })
    }

    fn evaluate_locally(&mut self, now: CoreTime, batch: &StatisticsBatch) -> Option<String> {
        let local = self.local.get_mut(&batch.name)?;
        for statistics in &batch.routes {
            local.evaluator.add(now.monotonic, statistics);
        }
        local.evaluator.close_window(now.monotonic);
        match local.evaluator.result() {
            EvaluationResult::Worse { reason } => Some(reason),
            EvaluationResult::Inconclusive
            | EvaluationResult::NoLargeRegression
            | EvaluationResult::NoRegression => None,
        }
    }

    fn send_batch(
        &mut self,
        now: CoreTime,
        batch: StatisticsBatch,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        let own = self.options.host.clone();
        let Some(holder) = self.holder_of(&batch.name) else {
            return;
        };
        if holder == own {
            self.record_statistics(now, &own, &batch);
            return;
        }
        let Some(member) = members.members.get(&holder) else {
            return;
        };
        let message = MoveMessage::Statistics {
            name: batch.name,
            revision: batch.revision,
            sequence: batch.sequence,
            routes: batch.routes,
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

fn send_interval(members: &MemberView) -> Duration {
    let members = members.serving().count();
    let millis = members * 1_000 / MAX_MESSAGES_PER_SECOND;
    Duration::from_millis(millis as u64).max(MIN_SEND_INTERVAL)
}
