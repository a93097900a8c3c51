//! Moves of versions: evidence from requests, splits for the scheduler, the lease of the driver.

use super::DaemonCore;
use crate::{
    effect::EffectQueue,
    event::{FailureCause, UpstreamEvent},
    leases::LeaseName,
    moves::{MoveEvent, MoveSample, MoveVerdict, MoveView},
    scheduler::SchedulerEvent,
};
use savorywood_protocol::{
    CoreTime, MoveName, RequestId,
    resource::{MoveState, ResourceStatus},
};

impl DaemonCore {
    /// Steps the move duty; the scheduler looks again when traffic is split otherwise.
    pub(super) fn step_moves(
        &mut self,
        now: CoreTime,
        event: MoveEvent,
        effects: &mut EffectQueue,
    ) {
        let view = MoveView {
            config: self.config.view(),
            members: self.membership.view(),
            lease: self.leases.grant(now, LeaseName::Moves),
        };
        let verdict = self.moves.step(now, event, view, effects);
        self.request_leases(now, effects);
        self.record_move_states();
        if verdict == MoveVerdict::SplitsChanged {
            self.inputs.splits.clone_from(self.moves.splits());
            self.step_scheduler(now, SchedulerEvent::ViewChanged, effects);
        }
    }

    /// Keeps the states of moves beside their documents: a service may have a new move once its
    /// last one is over, and the check of a document looks for that.
    fn record_move_states(&mut self) {
        let config = self.config.view();
        let states: Vec<MoveStateEntry> = config
            .moves
            .keys()
            .map(|name| MoveStateEntry {
                name: name.clone(),
                state: self.moves.state_of(name, config),
            })
            .collect();
        for standing in states {
            self.config.note_move_state(&standing.name, standing.state);
        }
    }

    /// Tells the move duty how a dispatched request ended. To be called before the gate and the
    /// objectives forget it.
    pub(super) fn record_version_sample(
        &mut self,
        now: CoreTime,
        event: &UpstreamEvent,
        effects: &mut EffectQueue,
    ) {
        let sample = match event {
            UpstreamEvent::Finished { request, .. } => self.version_sample(now, *request, false),
            UpstreamEvent::Failed { request, cause, .. } => {
                let expired = self
                    .guard
                    .get(*request)
                    .is_some_and(|queued| queued.deadline_at <= now.monotonic);
                // A caller that left says nothing of the version; one that was kept waiting
                // past its deadline does.
                let is_informative = *cause != FailureCause::Cancelled || expired;
                let sample = self.version_sample(now, *request, true);
                sample.filter(|_| is_informative)
            }
            UpstreamEvent::NotSent { .. }
            | UpstreamEvent::FirstToken { .. }
            | UpstreamEvent::Tokens { .. }
            | UpstreamEvent::LoadReported { .. }
            | UpstreamEvent::CacheChanged { .. } => None,
        };
        if let Some(sample) = sample {
            self.step_moves(now, MoveEvent::Sampled(sample), effects);
        }
    }

    fn version_sample(
        &self,
        now: CoreTime,
        request: RequestId,
        failed: bool,
    ) -> Option<MoveSample> {
        let queued = self.guard.get(request)?;
        // Without a move of its service a sample is of no use to anybody.
        if !self.inputs.splits.contains_key(&queued.service) {
            return None;
        }
        let upstream = self.guard.upstream_of(request)?;
        let spec = self.config.view().upstreams.get(upstream)?;
        Some(MoveSample {
            service: queued.service.clone(),
            route: queued.route.clone(),
            version: spec.version.clone(),
            failed,
            micros: self.objectives.micros_per_token(now.monotonic, request),
        })
    }

    /// What the move duty adds to the status of a move.
    pub(super) fn add_move_status(&self, name: &MoveName, status: &mut ResourceStatus) {
        let config = self.config.view();
        status.move_state = Some(self.moves.state_of(name, config));
        status
            .conditions
            .extend(self.moves.conditions_of(name, config));
    }
}

/// Where one move stands.
struct MoveStateEntry {
    name: MoveName,
    state: MoveState,
}
