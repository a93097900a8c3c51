//! Retry-after delays of refused requests.

use super::{
    Gateway, GatewayEffects, admission::UNAVAILABLE_RETRY_AFTER, returns::MAX_DEADLINE_FRACTION,
};
use crate::{
    arrival::LocalRequest, effect::GatewayEffect, label::ServiceLabel, queue::WaitQueue,
    refusal::RefusalReason,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Delay when no better estimate exists.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Minimum delay after load shedding.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum delay, as the measured dispatch rate predicts nothing beyond it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Width of the random spread of delays, as a fraction of the estimate: callers that were refused
/// together would otherwise be refused together again.
const RETRY_AFTER_SPREAD: f64 = 0.5;

impl Gateway {
    /// Returns the retry-after delay of a request that was not executed.
    ///
    /// After load shedding it is the time in which the waiting requests of the same or a more
    /// urgent rank get their slots at the recent dispatch rate.
    pub(super) fn retry_after_delay(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        reason: RefusalReason,
        effects: &mut GatewayEffects,
    ) -> Option<Duration> {
        let Some(record) = self.requests.get(&request) else {
            return Some(DEFAULT_RETRY_AFTER);
        };
        if self.schedules_returns() && record.returned {
            self.returns.counters.refused_again += 1;
        }
        let pause = self.remaining_pause(now, &record.service);
        match reason {
            RefusalReason::Overloaded => {}
            RefusalReason::ExpiredUnsent if self.schedules_returns() => {}
            // Another daemon can take the request at once.
            RefusalReason::Stopping => return Some(UNAVAILABLE_RETRY_AFTER),
            RefusalReason::Quarantined => {
                return Some(self.probe_delay(now, &record.fingerprints));
            }
            _ => return Some(DEFAULT_RETRY_AFTER.max(pause)),
        }
        if self.schedules_returns() {
            let record = record.clone();
            let scheduled = self.schedule_overload_return(now, &record);
            let delay = scheduled.delay.map(|delay| delay.max(pause));
            let line = LogLine::new(LogLevel::Info, "request-refused")
                .with("request", &record.request_id)
                .with("reason", reason)
                .with("retry_ms", delay.unwrap_or_default().as_millis());
            effects.push(GatewayEffect::Log(scheduled.inputs.add_to(line)));
            return delay;
        }
        let queue = self.queues.get(&record.service);
        let ahead = queue.map_or(0, |queue: &WaitQueue| {
            queue.count_at_least_as_urgent(record.rank)
        });
        let demand = self.demand_trackers.get(&record.service);
        let rate = demand.map_or(0.0, |demand| demand.dispatch_rate(now, record.rank));
        let delay_s = ahead as f64 / rate.max(f64::MIN_POSITIVE);
        let delay_s = delay_s.clamp(MIN_RETRY_AFTER.as_secs_f64(), MAX_RETRY_AFTER.as_secs_f64());
        let max_delay = record.give_up_at.since(now).mul_f64(MAX_DEADLINE_FRACTION);
        let spread = 1.0 - RETRY_AFTER_SPREAD / 2.0 + RETRY_AFTER_SPREAD * self.random.next();
        let delay = Duration::from_secs_f64(delay_s * spread).min(max_delay);
        Some(delay.max(pause))
    }

    /// Returns the time until a service has an upstream that has not asked for a pause; zero if it
    /// has one, or none at all.
    fn remaining_pause(&self, now: MonotonicTime, service: &ServiceLabel) -> Duration {
        let members = self.fleet.members(service);
        let available = members.filter(|state| state.accepts_requests(now));
        let pauses = available.map(|state| state.paused_until.since(now));
        pauses.min().unwrap_or_default()
    }
}
