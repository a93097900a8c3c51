//! Requests that upstreams rejected, and those that they may yet reject.

use super::{Gateway, GatewayEffects, record::EndedAttempt};
use crate::{
    effect::GatewayEffect, event::AttemptOutcome, label::UpstreamLabel, rejection_limit::SECOND,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;

/// A request of this daemon, or of a peer that it relays, that was sent to an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentRequest<'a> {
    /// Upstream that got it.
    pub upstream: &'a UpstreamLabel,
    /// Identifier that the caller gave it, for the log.
    pub request_id: &'a str,
    /// Number of the dispatch.
    pub number: u64,
}

impl Gateway {
    /// Returns the number of rejections by upstreams that announce how few they can bear.
    #[must_use]
    pub fn limited_rejections(&self) -> u64 {
        self.limited_rejections
    }

    /// Records that an upstream began to respond to a dispatch.
    pub(super) fn record_acceptance(&mut self, upstream: &UpstreamLabel, number: u64) {
        if let Some(state) = self.fleet.get_mut(upstream) {
            state.rejections.record_accepted(number);
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
        if attempt.relayed {
            return self.record_owner_relay(now, ended);
        }
        match ended.outcome {
            AttemptOutcome::NotRun {
                misdirected: false, ..
            } => {
                let Some(record) = self.requests.get(&ended.request) else {
                    return;
                };
                let request_id = record.request_id.clone();
                let request = SentRequest {
                    upstream: &attempt.upstream,
                    request_id: &request_id,
                    number: attempt.number,
                };
                self.record_rejection(now, request, effects);
            }
            AttemptOutcome::Failed { .. } | AttemptOutcome::Delivered { .. } => {
                self.record_acceptance(&attempt.upstream, attempt.number);
            }
            AttemptOutcome::NotRun { .. }
            | AttemptOutcome::NotSent
            | AttemptOutcome::NotRelayed => {
                if let Some(state) = self.fleet.get_mut(&attempt.upstream) {
                    state.rejections.record_unsent(attempt.number);
                }
            }
            AttemptOutcome::Broken { .. }
            | AttemptOutcome::StreamBroken(_)
            | AttemptOutcome::Expired
            | AttemptOutcome::CallerDisconnected => {
                if let Some(state) = self.fleet.get_mut(&attempt.upstream) {
                    state.rejections.record_abandoned(attempt.number);
                }
            }
        }
    }

    /// Records whether the owner of an upstream relayed an attempt; what the upstream rejects is
    /// recorded there.
    fn record_owner_relay(&mut self, now: MonotonicTime, ended: EndedAttempt<'_>) {
        let Some(state) = self.fleet.get_mut(&ended.attempt.upstream) else {
            return;
        };
        let relay = &mut state.rejections.owner_relay;
        if *ended.outcome == AttemptOutcome::NotRelayed {
            relay.record_refusal(now);
            let service = state.entry.service.clone();
            let limits = self.fleet.rejection_limits_mut();
            limits.record_refused_relay(now, &service);
        } else {
            relay.record_relayed();
        }
    }

    /// Records whether an upstream rejected a request of a peer.
    pub(super) fn relay_decided(
        &mut self,
        now: MonotonicTime,
        request: SentRequest<'_>,
        rejected: bool,
        effects: &mut GatewayEffects,
    ) {
        if rejected {
            return self.record_rejection(now, request, effects);
        }
        if let Some(state) = self.fleet.get_mut(request.upstream) {
            state.rejections.record_accepted(request.number);
        }
    }

    /// Records the end of a request of a peer, whose slot may be used for a waiting one.
    pub(super) fn relay_ended(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamLabel,
        number: u64,
        sent: bool,
        effects: &mut GatewayEffects,
    ) {
        let Some(state) = self.fleet.get_mut(upstream) else {
            return;
        };
        let budget = &mut state.rejections;
        budget.record_relay_end();
        if sent {
            budget.record_abandoned(number);
        } else {
            budget.record_unsent(number);
        }
        let service = state.entry.service.clone();
        if self.fleet.rejection_limits().is_active(now, &service) {
            self.dispatch_waiting(now, &service, effects);
        }
    }

    fn record_rejection(
        &mut self,
        now: MonotonicTime,
        request: SentRequest<'_>,
        effects: &mut GatewayEffects,
    ) {
        let sample = self.random.next();
        let Some(state) = self.fleet.get_mut(request.upstream) else {
            return;
        };
        let own = state.running;
        let budget = &mut state.rejections;
        budget.record_rejection(now, request.number, own, sample);
        let (rejections, pending) = (budget.rejections(now, SECOND), budget.pending(now));
        let room = budget.room().unwrap_or_default();
        let service = state.entry.service.clone();
        let Some(limit) = self.fleet.rejection_limits().limit(now, &service) else {
            return;
        };
        self.limited_rejections += 1;
        let line = LogLine::new(LogLevel::Info, "request-rejected")
            .with("request", request.request_id)
            .with("upstream", request.upstream)
            .with("max_rejections", limit.per_second())
            .with("rejections", rejections)
            .with("pending", pending)
            .with("room", room);
        let line = self.with_slot_use(line, request.upstream);
        effects.push(GatewayEffect::Log(line));
    }
}
