//! Charges of retries to the budget of their service.

use super::{Gateway, GatewayEffects};
use crate::{
    arrival::LocalRequest,
    effect::GatewayEffect,
    retry_budget::{RetryCounters, RetryDecision},
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;

impl Gateway {
    /// Returns the decisions on retries since the start.
    #[must_use]
    pub fn retry_counters(&self) -> RetryCounters {
        self.retry_counters
    }

    /// Charges a retry of a request to the budget of its service. Returns whether it may be made.
    pub(super) fn spend_retry(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        effects: &mut GatewayEffects,
    ) -> bool {
        let Some(record) = self.requests.get_mut(&request) else {
            return false;
        };
        if std::mem::take(&mut record.has_reserved_retry) {
            return true;
        }
        let daemons = self.peers.peer_count(now) + 1;
        let options = &self.options.bounds.retry_budget;
        let service = record.service.clone();
        let budget = self.retry_budgets.entry(service).or_default();
        let usage = budget.usage(now, options, daemons);
        let is_granted = budget.try_acquire(now, options, daemons);
        let decision = if is_granted {
            RetryDecision::Granted
        } else {
            RetryDecision::Denied
        };
        self.retry_counters.record(decision);
        // A stream that waits for the budget asks for it at each step.
        if is_granted || !record.owes_retry {
            let line = LogLine::new(LogLevel::Info, "retry-decided")
                .with("request", &record.request_id)
                .with("service", &record.service)
                .with("decision", decision)
                .with("spent", usage.spent)
                .with("earned", format_args!("{:.1}", usage.earned))
                .with("share", format_args!("{:.1}", usage.share))
                .with("daemons", daemons)
                .with("uptime_ms", self.uptime(now).as_millis());
            effects.push(GatewayEffect::Log(line));
        }
        is_granted
    }
}
