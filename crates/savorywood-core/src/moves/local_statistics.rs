//! Statistics of the requests that this daemon dispatched: evaluated locally and sent to the lease
//! holder.

use super::{
    ComparedVersion, ConfiguredMove, MoveSample, MoveView, MovesState, configured_moves,
    evaluator::{EvaluationResult, VersionEvaluator},
    relative_load::relative_load,
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

/// Statistics messages per second that the holder receives from all daemons together. At about 100
/// bytes each they use half of the 9 KB/s budget of a daemon.
const MAX_MESSAGES_PER_SECOND: usize = 40;

/// Minimum interval between two batches of a daemon, unless a request failed on the new version.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(500);

/// Comparison window of the local evaluation, long enough to contain requests of the old version as
/// a control.
const LOCAL_WINDOW: Duration = Duration::from_secs(3);

/// Samples and local evaluation of one move.
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

/// Statistics of one daemon for one interval, addressed to the lease holder.
#[derive(Debug)]
pub(super) struct StatisticsBatch {
    pub(super) name: MoveName,
    pub(super) revision: ConfigRevision,
    /// Increases by one with each batch; a batch that is not newer than the last one is ignored.
    pub(super) sequence: u64,
    pub(super) routes: Vec<RouteStatistics>,
}

impl MovesState {
    /// Counts the outcome of a request if its service has an unfinished move and it ran on one of
    /// the two versions.
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

    /// Evaluates the collected samples locally and sends them to the lease holder.
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
            // Local statistics may suffice to stop the move without the holder, which may be
            // partitioned or down.
            if let Some(reason) = self.evaluate_locally(now, &batch, configured, view.config) {
                let stop = Self::new_stop(now, batch.revision, reason);
                self.stop(&batch.name, stop, view.members, effects);
            }
            self.send_batch(now, batch, view.members, effects);
        }
    }

    /// Takes the next batch if it is due and not empty.
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

    /// Returns the reason if the local evaluation finds the new version worse.
    fn evaluate_locally(
        &mut self,
        now: CoreTime,
        batch: &StatisticsBatch,
        configured: ConfiguredMove<'_>,
        config: &ConfigView,
    ) -> Option<String> {
        let splits = &self.splits;
        let load = || relative_load(splits, configured, config);
        let local = self.local.get_mut(&batch.name)?;
        for statistics in &batch.routes {
            local.evaluator.add(now.monotonic, statistics);
        }
        local.evaluator.close_window(now.monotonic, load);
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

/// Returns the interval between batches of one daemon, which grows with the number of serving
/// members.
fn send_interval(members: &MemberView) -> Duration {
    let members = members.serving().count();
    let millis = members * 1_000 / MAX_MESSAGES_PER_SECOND;
    Duration::from_millis(millis as u64).max(MIN_SEND_INTERVAL)
}
