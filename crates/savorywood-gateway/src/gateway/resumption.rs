//! Resumption of streams of which the caller has received a part.
//!
//! Such a stream can only be continued or cut, as no refusal can follow its first events. It is
//! therefore taken from a stalled upstream only together with a slot of another one, and is
//! resumed until its deadline rather than cut when an upstream turns it away.

use super::{
    Gateway, GatewayEffects,
    record::{EndedAttempt, RequestRecord, RequestState, RunningAttempt},
};
use crate::{arrival::LocalRequest, event::AttemptOutcome, label::UpstreamLabel};
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
    /// Returns the upstream to which a stalled request can be moved: one that has a free slot and
    /// is not ejected. One with a limit on the rate of requests gets a single request at a time.
    pub(super) fn find_successor(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        attempt: &RunningAttempt,
    ) -> Option<UpstreamLabel> {
        let mut attempted = record.attempted_upstreams.clone();
        attempted.push(attempt.upstream.clone());
        let selected = self
            .select_unattempted(now, record, &attempted, false)
            .ok()?;
        let state = self.fleet.get(&selected.name)?;
        let has_rate_limit = state.is_cold(now) || state.limit.limit().is_some();
        let is_available = !has_rate_limit || state.held_slots == 0;
        (is_available && !state.outlier.is_ejected()).then_some(selected.name)
    }

    /// Holds a slot of an upstream for the next attempt of a request.
    pub(super) fn hold_successor(&mut self, request: LocalRequest, upstream: UpstreamLabel) {
        self.release_successor(request);
        let Some(state) = self.fleet.get_mut(&upstream) else {
            return;
        };
        state.running += 1;
        state.held_slots += 1;
        if let Some(record) = self.requests.get_mut(&request) {
            record.successor = Some(upstream);
        }
    }

    /// Releases the slot that is held for the next attempt. Returns whether there was one.
    pub(super) fn release_successor(&mut self, request: LocalRequest) -> bool {
        let record = self.requests.get_mut(&request);
        let Some(upstream) = record.and_then(|record| record.successor.take()) else {
            return false;
        };
        if let Some(state) = self.fleet.get_mut(&upstream) {
            state.running = state.running.saturating_sub(1);
            state.held_slots = state.held_slots.saturating_sub(1);
        }
        true
    }

    /// Continues an attempt that was to be cancelled, as it has received data.
    pub(super) fn keep_attempt(&mut self, request: LocalRequest) {
        self.release_successor(request);
        if let Some(record) = self.requests.get_mut(&request)
            && let RequestState::Running(attempt) = &mut record.state
        {
            attempt.abandoned = false;
        }
    }

    /// Returns whether the attempt of a request is to be cancelled.
    #[must_use]
    pub fn is_attempt_abandoned(&self, request: LocalRequest) -> bool {
        let record = self.requests.get(&request);
        record.is_some_and(|record| match &record.state {
            RequestState::Running(attempt) => attempt.abandoned,
            RequestState::Waiting(_) => false,
        })
    }

    /// Sends a request that has returned to its queue before all others, as the slot that was held
    /// for it has just been released.
    pub(super) fn dispatch_first(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        effects: &mut GatewayEffects,
    ) {
        let record = self.requests.get(&request);
        let waiting = record.filter(|record| {
            matches!(record.state, RequestState::Waiting(_)) && !record.owes_retry
        });
        if let Some(Ok(selected)) = waiting.map(|record| self.select_upstream(now, record)) {
            self.dispatch(now, request, &selected, effects);
        }
    }

    /// Lets a stream return to upstreams that it was sent to before: they may have free slots by
    /// now, or send data again.
    pub(super) fn allow_attempted_upstreams(&mut self, request: LocalRequest) {
        if let Some(record) = self.requests.get_mut(&request)
            && record.can_resume()
        {
            record.attempted_upstreams.clear();
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
        self.requeue(request, outcome, effects);
        true
    }

    /// Charges the retry that the next attempt of a request owes. Returns whether the attempt may
    /// be made.
    pub(super) fn pay_owed_retry(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        effects: &mut GatewayEffects,
    ) -> bool {
        let owes_retry = self
            .requests
            .get(&request)
            .is_some_and(|record| record.owes_retry);
        if owes_retry && !self.spend_retry(now, request, effects) {
            return false;
        }
        if let Some(record) = self.requests.get_mut(&request) {
            record.owes_retry = false;
        }
        true
    }
}
