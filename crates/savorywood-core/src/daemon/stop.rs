//! Planned stop: executes the actions that the stop duty decides.

use super::DaemonCore;
use crate::{
    credits::CreditEvent,
    effect::EffectQueue,
    leases::LeaseEvent,
    membership::MembershipEvent,
    stop::{OpenWork, StopAction, StopEvent},
};
use savorywood_protocol::CoreTime;

impl DaemonCore {
    /// Steps the stop duty and executes its actions in the other duties.
    pub(super) fn step_stop(&mut self, now: CoreTime, event: StopEvent, effects: &mut EffectQueue) {
        let open = OpenWork {
            requests: self.guard.len() + self.resumed_requests.len(),
            claims: self.claims.open_claims(),
        };
        let actions = self.stop.step(now, event, open, effects);
        if actions.is_empty() {
            return;
        }
        for action in actions {
            match action {
                StopAction::AnnounceLeaving => {
                    self.step_membership(now, MembershipEvent::Leaving, effects);
                }
                StopAction::ReleaseLeases => self.step_leases(now, LeaseEvent::Leaving, effects),
                StopAction::ReleaseCredits => {
                    self.step_credits(now, CreditEvent::ReleaseAll, effects);
                }
                StopAction::AnnounceLeft => {
                    self.step_membership(now, MembershipEvent::Exiting, effects);
                }
            }
        }
        self.stop.finish(effects);
    }
}
