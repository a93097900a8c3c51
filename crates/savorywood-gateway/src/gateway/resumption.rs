//! Resumption of streams of which the caller has received a part.
//!
//! Such a stream can only be continued or cut, as no refusal can follow its first events. It is
//! therefore taken from a stalled upstream only together with a slot of another one, and is
//! resumed until its deadline rather than cut when an upstream turns it away.

use super::{
    Gateway, GatewayEffects,
    record::{EndedAttempt, RequestRecord, RequestState},
};
use crate::{arrival::LocalRequest, event::AttemptOutcome, selection::SelectedUpstream};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Delay before a stream is sent on after it was turned away; doubles with each further attempt.
const RESUMPTION_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 4;

impl RequestRecord {
    /// Returns whether the caller has received a part of a stream that may be resumed.
    pub fn can_resume(&self) -> bool {
        self.response_started && self.allows_another_execution()
    }

    /// Delays the next attempt, the longer the more attempts were made.
    pub fn delay_resumption(&mut self, now: MonotonicTime) {
        let doublings = self.attempts.saturating_sub(2).min(MAX_DOUBLINGS);
        self.resume_at = now + RESUMPTION_DELAY * 2u32.pow(doublings);
    }
}

impl Gateway {
    /// Holds a slot of an upstream for the next attempt of a request.
    pub(super) fn hold_successor(&mut self, request: LocalRequest, selected: SelectedUpstream) {
        self.release_successor(request);
        let Some(state) = self.fleet.get_mut(&selected.name) else {
            return;
        };
        state.running += 1;
        if let Some(record) = self.requests.get_mut(&request) {
            record.successor = Some(selected);
        }
    }

    /// Releases the slot that is held for the next attempt and returns its upstream.
    pub(super) fn release_successor(&mut self, request: LocalRequest) -> Option<SelectedUpstream> {
        let record = self.requests.get_mut(&request)?;
        let selected = record.successor.take()?;
        let state = self.fleet.get_mut(&selected.name)?;
        state.running = state.running.saturating_sub(1);
        Some(selected)
    }

    /// Sends a request that has returned to its queue to the upstream at which a slot was held.
    pub(super) fn dispatch_to_successor(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        selected: &SelectedUpstream,
        effects: &mut GatewayEffects,
    ) {
        let record = self.requests.get(&request);
        let is_waiting = record.is_some_and(|record| {
            matches!(record.state, RequestState::Waiting(_)) && !record.owes_retry
        });
        let accepts = self
            .fleet
            .get(&selected.name)
            .is_some_and(|state| state.accepts_requests(now) && !state.is_paused(now));
        if is_waiting && accepts {
            self.dispatch(now, request, selected, effects);
        }
    }

    /// Returns a stream that has begun to its queue although no retry is left for it now. Returns
    /// false if the request can't be resumed.
    pub(super) fn resume_later(
        &mut self,
        now: MonotonicTime,
        ended: EndedAttempt<'_>,
        effects: &mut GatewayEffects,
    ) -> bool {
        let EndedAttempt {
            request, outcome, ..
        } = ended;
        let Some(record) = self.requests.get_mut(&request) else {
            return false;
        };
        if !record.can_resume() {
            return false;
        }
        record.owes_retry = !matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::NotRelayed
        );
        record.delay_resumption(now);
        self.requeue(now, request, outcome, effects);
        true
    }

    /// Charges the retry that the next attempt of a request owes. Returns whether the attempt may
    /// be made.
    pub(super) fn pay_owed_retry(&mut self, now: MonotonicTime, request: LocalRequest) -> bool {
        let owes_retry = self
            .requests
            .get(&request)
            .is_some_and(|record| record.owes_retry);
        if owes_retry && !self.spend_retry(now, request) {
            return false;
        }
        if let Some(record) = self.requests.get_mut(&request) {
            record.owes_retry = false;
        }
        true
    }
}
