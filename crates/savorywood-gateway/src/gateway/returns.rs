//! Return times of refused callers, and recognition of those that return.

mod outage;
mod promises;

pub(super) use promises::TeamReturn;

use super::{Gateway, RandomSequence, admission::MAX_REQUEST_TIMEOUT};
use crate::{
    arrival::RequestArrival,
    config::RouteSpec,
    label::ServiceLabel,
    latency::nominal_first_event_ms,
    limits::{
        ReturnCause, ReturnCounters, ReturnKey, ReturnPolicy, ReturnQuery, ReturnSchedule,
        ReturningCallers, UsualLoad,
    },
    queue::RequestRank,
};
use savorywood_core::LogLine;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Maximum delay as a fraction of the caller's remaining time; callers do not wait longer.
pub(super) const MAX_DEADLINE_FRACTION: f64 = 1.0 / 3.0;
/// Minimum delay: a shorter one costs a request and seldom finds another state.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Interval at which the usual load is observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);

/// State of retry scheduling.
#[derive(Debug)]
pub(super) struct ReturnState {
    pub schedule: ReturnSchedule,
    pub callers: ReturningCallers,
    pub counters: ReturnCounters,
    pub policy: ReturnPolicy,
    usual_loads: BTreeMap<ServiceLabel, UsualLoad>,
    random: RandomSequence,
    observed_at: MonotonicTime,
    /// The keys were not confirmed at the last observation.
    in_outage: bool,
    /// Time at which they were confirmed again.
    recovered_at: Option<MonotonicTime>,
}

/// Inputs of a scheduled retry-after delay, for the log.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReturnInputs {
    pub cause: ReturnCause,
    /// Capacity per second that was assumed.
    pub per_second: f64,
    /// Amount that was promised before.
    pub promised_before: f64,
    /// Amount that this request needs.
    pub amount: f64,
}

/// Scheduled retry-after delay of one refusal.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScheduledReturn {
    /// The delay; absent when no time can be recommended.
    pub delay: Option<Duration>,
    pub inputs: ReturnInputs,
}

impl ReturnInputs {
    /// Adds the inputs to a log line.
    pub fn add_to(self, line: LogLine) -> LogLine {
        line.with("cause", self.cause)
            .with("capacity", format_args!("{:.2}", self.per_second))
            .with("promised", format_args!("{:.1}", self.promised_before))
            .with("needs", self.amount)
    }
}

impl ReturnState {
    pub fn new(seed: u64) -> Self {
        Self {
            schedule: ReturnSchedule::default(),
            callers: ReturningCallers::default(),
            counters: ReturnCounters::default(),
            policy: ReturnPolicy::default(),
            usual_loads: BTreeMap::new(),
            random: RandomSequence(seed),
            observed_at: MonotonicTime::default(),
            in_outage: false,
            recovered_at: None,
        }
    }

    fn usual_load(&self, service: &ServiceLabel) -> Option<&UsualLoad> {
        let load = self.usual_loads.get(service);
        load.filter(|load| load.is_known())
    }

    /// Reserves a time and counts the refusal. `fallback`: delay without a reservation if no time
    /// has capacity.
    fn schedule(
        &mut self,
        now: MonotonicTime,
        cause: ReturnCause,
        key: &ReturnKey,
        query: &ReturnQuery,
        fallback: Option<Duration>,
    ) -> ScheduledReturn {
        let promise = self.schedule.reserve(now, key, query);
        let delay = promise.map(|promise| promise.delay).or(fallback);
        self.counters.record(cause, delay.is_some());
        ScheduledReturn {
            delay: delay.map(|delay| delay.max(MIN_DELAY).min(query.latest.max(MIN_DELAY))),
            inputs: ReturnInputs {
                cause,
                per_second: query.per_second,
                promised_before: promise.map_or_else(
                    || self.schedule.promised_amount(now, key),
                    |promise| promise.promised_before,
                ),
                amount: query.amount,
            },
        }
    }
}

impl Gateway {
    /// Returns the counters of refusals whose retry-after delay was scheduled.
    #[must_use]
    pub fn return_counters(&self) -> ReturnCounters {
        self.returns.counters
    }

    /// Replaces the rules of retry scheduling, to compare variants.
    pub fn set_return_policy(&mut self, policy: ReturnPolicy) {
        self.returns.policy = policy;
    }

    pub(super) fn schedules_returns(&self) -> bool {
        self.options.overload.return_schedule
    }

    /// Observes the usual load of the services while the keys are confirmed.
    pub(super) fn refresh_returns(&mut self, now: MonotonicTime) {
        if !self.schedules_returns() || now.since(self.returns.observed_at) < OBSERVATION_INTERVAL {
            return;
        }
        self.returns.observed_at = now;
        self.returns.schedule.expire(now);
        let in_outage = !self.are_keys_confirmed(now);
        let was_in_outage = std::mem::replace(&mut self.returns.in_outage, in_outage);
        if self.returns.in_outage {
            return;
        }
        if was_in_outage {
            self.returns.recovered_at = Some(now);
        }
        let mut slots: BTreeMap<&ServiceLabel, (u32, u32)> = BTreeMap::new();
        for state in self
            .fleet
            .iter()
            .filter(|state| state.accepts_requests(now))
        {
            let (in_use, total) = slots.entry(&state.entry.service).or_default();
            *in_use += state.running + self.peers.slots_by_digest(state.digest).running;
            *total += state.entry.slots;
        }
        for (service, (in_use, total)) in slots {
            let utilisation = f64::from(in_use) / f64::from(total.max(1));
            let load = self.returns.usual_loads.entry(service.clone()).or_default();
            load.observe(now, utilisation.min(1.0));
        }
    }

    pub(super) fn record_usual_arrival(&mut self, service: &ServiceLabel, rank: RequestRank) {
        if self.schedules_returns() {
            let load = self.returns.usual_loads.entry(service.clone()).or_default();
            load.record_arrival(rank);
        }
    }

    /// Returns the time since a request's first attempt if it is recognised as one that was refused
    /// before.
    pub(super) fn time_since_first_attempt(
        &mut self,
        now: MonotonicTime,
        route: &RouteSpec,
        arrival: &RequestArrival,
    ) -> Option<Duration> {
        if !self.schedules_returns() || !self.returns.policy.recognises_returns {
            return None;
        }
        let elapsed = self
            .returns
            .callers
            .observe(now, &route.name, arrival.deadline?);
        self.returns.counters.returned += u64::from(elapsed.is_some());
        elapsed
    }
}

/// Returns the time for which the first event of a response can still be in time.
pub(super) fn in_time_budget(
    route: &RouteSpec,
    arrival: &RequestArrival,
    elapsed: Duration,
) -> Duration {
    let prompt_tokens = arrival.size.unwrap_or_default().prompt_tokens;
    let expected = Duration::from_secs_f64(nominal_first_event_ms(prompt_tokens) / 1e3);
    route.objective.saturating_sub(expected + elapsed)
}

/// Returns the time that the caller of an arriving request still has.
pub(super) fn remaining_time(route: &RouteSpec, arrival: &RequestArrival) -> Duration {
    let deadline = arrival.deadline.unwrap_or(MAX_REQUEST_TIMEOUT);
    deadline.min(route.timeout.unwrap_or(MAX_REQUEST_TIMEOUT))
}
