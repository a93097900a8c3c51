//! Requests that upstreams rejected, and those that they may yet reject.

use super::{Gateway, GatewayEffects, record::EndedAttempt};
use crate::{
    effect::GatewayEffect, event::AttemptOutcome, label::UpstreamLabel, rejection_limit::SECOND,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;

impl Gateway {
    /// Returns the number of rejections by upstreams that announce how few they can bear.
    #[must_use]
    pub fn limited_rejections(&self) -> u64 {
        self.limited_rejections
    }

    /// Records that an upstream began to respond to a dispatch.
    pub(super) fn record_acceptance(&mut self, upstream: &UpstreamLabel, number: u64) {
        if let Some(state) = self.fleet.get_mut(upstream) {
            state.rejection_history.record_decided(number);
        }
    }

    /// Records whether the upstream of an attempt rejected it. An attempt that ended otherwise
    /// without a response may still be rejected.
    pub(super) fn record_rejection_outcome(
        &mut self,
        now: MonotonicTime,
        ended: EndedAttempt<'_>,
        effects: &mut GatewayEffects,
    ) {
        let attempt = ended.attempt;
        match ended.outcome {
            AttemptOutcome::NotRun {
                misdirected: false, ..
            } => self.record_rejection(now, ended, effects),
            AttemptOutcome::NotRun { .. }
            | AttemptOutcome::NotSent
            | AttemptOutcome::NotRelayed
            | AttemptOutcome::Failed { .. }
            | AttemptOutcome::Delivered { .. } => {
                self.record_acceptance(&attempt.upstream, attempt.number);
            }
            AttemptOutcome::Broken { .. }
            | AttemptOutcome::StreamBroken(_)
            | AttemptOutcome::Expired
            | AttemptOutcome::CallerDisconnected => {}
        }
    }

    fn record_rejection(
        &mut self,
        now: MonotonicTime,
        ended: EndedAttempt<'_>,
        effects: &mut GatewayEffects,
    ) {
        let attempt = ended.attempt;
        let Some(record) = self.requests.get(&ended.request) else {
            return;
        };
        let limit = self.fleet.rejection_limits().limit(now, &record.service);
        let Some(state) = self.fleet.get_mut(&attempt.upstream) else {
            return;
        };
        let history = &mut state.rejection_history;
        history.record_rejection(now, attempt.number);
        let Some(limit) = limit else { return };
        self.limited_rejections += 1;
        let (rejections, pending) = (history.rejections(now, SECOND), history.pending(now));
        let line = LogLine::new(LogLevel::Info, "request-rejected")
            .with("request", &record.request_id)
            .with("upstream", &attempt.upstream)
            .with("max_rejections", limit.per_second())
            .with("rejections", rejections)
            .with("pending", pending)
            .with("took_ms", now.since(attempt.dispatched_at).as_millis());
        let line = self.with_slot_use(line, &attempt.upstream);
        effects.push(GatewayEffect::Log(line));
    }
}
