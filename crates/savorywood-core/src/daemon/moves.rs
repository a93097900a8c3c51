//! Connects the move duty: samples from requests, traffic splits for the scheduler, and the lease.

use super::DaemonCore;
use crate::{
    effect::EffectQueue,
    event::{FailureCause, UpstreamEvent},
    leases::LeaseName,
    moves::{MoveEvent, MoveSample, MoveStepResult, MoveView},
    scheduler::SchedulerEvent,
};
use savorywood_protocol::{
    CoreTime, MoveName, RequestId,
    resource::{MoveState, ResourceStatus},
};

impl DaemonCore {
    /// Steps the move duty and notifies the scheduler when traffic splits changed.
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
        if verdict == MoveStepResult::SplitsChanged {
            self.scheduler_inputs.splits.clone_from(self.moves.splits());
            self.step_scheduler(now, SchedulerEvent::ViewChanged, effects);
        }
    }

    /// Copies the states of all moves to the configuration duty. Validation of a new move needs
    /// them: a service may have a new move only after its previous one has ended.
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
        for entry in states {
            self.config.record_move_state(&entry.name, entry.state);
        }
    }

    /// Reports the result of a dispatched request to the move duty. Must be called before the guard
    /// and the objective tracker remove the request.
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
                // A caller that disconnected is no sample of the version; a request that missed its
                // deadline is.
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
        // Samples are used only while the service has a move in progress.
        if !self.scheduler_inputs.splits.contains_key(&queued.service) {
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

    /// Adds the state and the conditions of a move to its status.
    pub(super) fn add_move_status(&self, name: &MoveName, status: &mut ResourceStatus) {
        let config = self.config.view();
        status.move_state = Some(self.moves.state_of(name, config));
        status
            .conditions
            .extend(self.moves.conditions_of(name, config));
    }
}

/// A traffic move and its current state, copied before the configuration duty is updated.
struct MoveStateEntry {
    name: MoveName,
    state: MoveState,
}
