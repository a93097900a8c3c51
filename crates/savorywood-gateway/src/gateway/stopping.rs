//! Requests of a daemon that is stopping.

use super::{
    Gateway, GatewayEffects,
    queue_decisions::ExpectedTimes,
    record::{RequestRecord, RequestState},
};
use crate::{
    arrival::LocalRequest,
    effect::GatewayEffect,
    label::ServiceLabel,
    latency::LatencyModel,
    refusal::RefusalReason,
    stop::{RequestEnd, StopSchedule},
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

impl Gateway {
    /// Returns the schedule of the stop; `None` before the order to stop.
    #[must_use]
    pub fn stop_schedule(&self) -> Option<StopSchedule> {
        self.stop
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Handles the order to stop. A repeated order changes nothing.
    pub(super) fn stop_requested(
        &mut self,
        now: MonotonicTime,
        grace: Duration,
        effects: &mut GatewayEffects,
    ) {
        if self.is_stopping() {
            return;
        }
        let schedule = StopSchedule::new(now, grace);
        self.stop = Some(schedule);
        let line = LogLine::new(LogLevel::Info, "stop-requested")
            .with("grace_ms", grace.as_millis())
            .with("answers_ms", schedule.answers_at().since(now).as_millis())
            .with("exits_ms", schedule.exits_at().since(now).as_millis())
            .with("open", self.requests.len());
        effects.push(GatewayEffect::Log(line));
    }

    /// Refuses waiting requests that could not end before the process does, even if they were
    /// dispatched now. A stream that has begun goes on waiting, as nothing can be gained by cutting it.
    pub(super) fn refuse_unfinishable(
        &mut self,
        now: MonotonicTime,
        service: &ServiceLabel,
        effects: &mut GatewayEffects,
    ) {
        let Some(schedule) = self.stop else {
            return;
        };
        for (request, end) in self.waiting_ends(now, service) {
            if !schedule.allows(&end) {
                self.refuse_stopping(now, request, &end, effects);
            }
        }
    }

    /// Gives all open requests a final response, while there is time to write it. A stream at an
    /// upstream continues until the exit.
    pub(super) fn stop_forced(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let mut waiting = Vec::new();
        for (request, record) in &self.requests {
            let line = LogLine::new(LogLevel::Warn, "stop-open")
                .with("request", &record.request_id)
                .with("age_ms", now.since(record.arrived_at).as_millis())
                .with("begun", record.response_started)
                .with("sends", record.attempts)
                .with("left_ms", record.deadline_at.since(now).as_millis());
            effects.push(GatewayEffect::Log(line));
            match &record.state {
                RequestState::Waiting(_) => waiting.push(*request),
                RequestState::Running(_) => {
                    let request = *request;
                    effects.push(GatewayEffect::ExpireAttempt { request });
                }
            }
        }
        for request in waiting {
            self.finish(now, request, RefusalReason::Stopping, effects);
        }
    }

    /// Returns the waiting requests whose response has not begun, and when they end if they are
    /// dispatched now.
    fn waiting_ends(
        &self,
        now: MonotonicTime,
        service: &ServiceLabel,
    ) -> Vec<(LocalRequest, RequestEnd)> {
        let latency = self.fleet.service_latency(service);
        let finds_others = self.peers.ready_peers(now).next().is_some();
        let waiting = self.waiting_records(service);
        let waiting = waiting.filter(|(_, record)| !record.response_started);
        let ends = waiting.map(|(position, record)| {
            let end = request_end(now, record, &latency, finds_others);
            (position.request, end)
        });
        ends.collect()
    }

    fn refuse_stopping(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        end: &RequestEnd,
        effects: &mut GatewayEffects,
    ) {
        let Some((record, schedule)) = self.requests.get(&request).zip(self.stop) else {
            return;
        };
        let line = LogLine::new(LogLevel::Info, "stop-refusal")
            .with("request", &record.request_id)
            .with("waited_ms", now.since(record.arrived_at).as_millis())
            .with("expected_ms", end.expected_at.since(now).as_millis())
            .with("deadline_ms", end.deadline_at.since(now).as_millis())
            .with("left_ms", schedule.answers_at().since(now).as_millis());
        effects.push(GatewayEffect::Log(line));
        self.finish(now, request, RefusalReason::Stopping, effects);
    }
}

/// Returns when a request ends if it starts now. While its caller can find another daemon, the
/// response is assumed to be longer than expected: a refusal then costs less than a cut.
fn request_end(
    now: MonotonicTime,
    record: &RequestRecord,
    latency: &LatencyModel,
    finds_others: bool,
) -> RequestEnd {
    let times = ExpectedTimes::of(record, latency);
    let duration = if finds_others {
        times.longest
    } else {
        times.slot_time
    };
    RequestEnd {
        arrived_at: record.arrived_at,
        expected_at: now + duration,
        deadline_at: record.deadline_at,
        stream: record.route.retry_safety.is_stream(),
    }
}
