//! Charges of retries to the budget of their service.

use super::{Gateway, GatewayEffects};
use crate::{
    arrival::LocalRequest,
    effect::GatewayEffect,
    label::ServiceLabel,
    retry_budget::{RetryBudget, RetryCounters, RetryDecision},
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
        let service = record.service.clone();
        let daemons = self.known_daemons(now);
        let options = self.options.bounds.retry_budget;
        let budget = self.retry_budget(&service);
        let level = budget.refill(now, &options, daemons);
        let is_granted = budget.try_spend(now, &options, daemons);
        let decision = if is_granted {
            RetryDecision::Granted
        } else {
            RetryDecision::Denied
        };
        self.retry_counters.record(decision);
        let Some(record) = self.requests.get(&request) else {
            return is_granted;
        };
        // A stream that waits for the budget asks for it at each step.
        if is_granted || !record.owes_retry {
            let line = LogLine::new(LogLevel::Info, "retry-decided")
                .with("request", &record.request_id)
                .with("service", &service)
                .with("decision", decision)
                .with("saved", format_args!("{:.1}", level.saved))
                .with("capacity", format_args!("{:.1}", level.capacity))
                .with("daemons", daemons)
                .with("uptime_ms", self.uptime(now).as_millis());
            effects.push(GatewayEffect::Log(line));
        }
        is_granted
    }

    /// Adds a request to the retry budget of its service.
    pub(super) fn record_budget_request(&mut self, now: MonotonicTime, service: &ServiceLabel) {
        let daemons = self.known_daemons(now);
        let options = self.options.bounds.retry_budget;
        let budget = self.retry_budget(service);
        budget.record_request(now, &options, daemons);
    }

    fn retry_budget(&mut self, service: &ServiceLabel) -> &mut RetryBudget {
        let is_first_start = self.options.first_start;
        let budgets = &mut self.retry_budgets;
        budgets.entry(service.clone()).or_insert_with(|| {
            if is_first_start {
                RetryBudget::full()
            } else {
                RetryBudget::default()
            }
        })
    }

    /// Returns the number of daemons that may exist, this one included, whether it sees them or not.
    fn known_daemons(&self, now: MonotonicTime) -> usize {
        let listed = self.contacts.daemons() as usize;
        listed.max(self.peers.peer_count(now) + 1)
    }
}
