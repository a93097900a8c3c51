//! Application of the deadline queue to the requests of this daemon.

use super::{
    Gateway, GatewayEffects,
    record::{RequestRecord, RequestState},
};
use crate::{
    arrival::LocalRequest,
    effect::GatewayEffect,
    label::ServiceLabel,
    latency::LatencyModel,
    queue::{QueuePosition, QueueStage, RequestRank, WaitQueue},
    queueing::{
        ArrivedWork, DispatchedWork, EarlyRefusal, OrderedRequest, QueueCounters, QueuePolicy,
        QueuedRequest, RefusalCause, ReservationRule, UrgentReservation, WaitingWork, WorkRates,
        early_refusals, expected_wait, order_requests,
    },
    refusal::RefusalReason,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Expected times of one request, from the latency model of its service.
#[derive(Debug, Clone, Copy)]
struct ExpectedTimes {
    first_event: Duration,
    slot_time: Duration,
}

impl ExpectedTimes {
    fn of(record: &RequestRecord, latency: &LatencyModel) -> Self {
        let (first_event_ms, streaming_ms) = if record.route.retry_safety.is_stream() {
            (
                latency.first_event_ms(latency, record.size.prompt_tokens),
                latency.streaming_ms(latency, record.expected_output_tokens),
            )
        } else {
            (latency.response_ms(latency), 0.0)
        };
        Self {
            first_event: Duration::from_secs_f64(first_event_ms / 1e3),
            slot_time: Duration::from_secs_f64((first_event_ms + streaming_ms) / 1e3),
        }
    }
}

impl Gateway {
    /// Changes the rules of the deadline queue, which serves for comparison.
    pub fn set_queue_policy(&mut self, policy: QueuePolicy) {
        self.queueing.policy = policy;
    }

    /// Returns the decisions of the deadline queue by cause.
    #[must_use]
    pub fn queue_counters(&self) -> QueueCounters {
        self.queueing.counters
    }

    /// Returns the expected time until the work ahead of a request that arrives now is done; `None`
    /// without an observed turnover.
    #[must_use]
    pub fn expected_wait(
        &self,
        now: MonotonicTime,
        service: &ServiceLabel,
        rank: RequestRank,
    ) -> Option<Duration> {
        let rates = self.work_rates(now, service)?;
        let latency = self.fleet.service_latency(service);
        let ahead = self.waiting_records(service);
        let ahead = ahead.filter(|(position, _)| position.rank <= rank);
        let ahead = ahead.map(|(_, record)| ExpectedTimes::of(record, &latency).slot_time);
        expected_wait(ahead.sum(), &rates, rank, false)
    }

    fn waiting_records<'a>(
        &'a self,
        service: &ServiceLabel,
    ) -> impl Iterator<Item = (&'a QueuePosition, &'a RequestRecord)> {
        let positions = self.queues.get(service).into_iter();
        positions.flat_map(WaitQueue::iter).filter_map(|position| {
            let record = self.requests.get(&position.request)?;
            Some((position, record))
        })
    }

    fn work_rates(&self, now: MonotonicTime, service: &ServiceLabel) -> Option<WorkRates> {
        let members = self.fleet.members(service);
        let running = members.map(|state| state.running.saturating_sub(state.held_slots));
        self.queueing.loads.get(service)?.rates(now, running.sum())
    }

    /// Returns the queue of a service in the order in which its requests are offered slots.
    pub(super) fn order_waiting(
        &self,
        now: MonotonicTime,
        service: &ServiceLabel,
    ) -> Vec<OrderedRequest> {
        let latency = self.fleet.service_latency(service);
        let waiting = self.waiting_records(service).map(|(position, record)| {
            let slot_time = ExpectedTimes::of(record, &latency).slot_time;
            QueuedRequest {
                position: *position,
                latest_start: now + record.give_up_at.since(now).saturating_sub(slot_time),
            }
        });
        let load = self.queueing.loads.get(service);
        let admits_late = load.is_none_or(|load| load.admits_late(now));
        order_requests(now, waiting, self.queueing.policy.late_work, admits_late)
    }

    /// Returns the demand for which a request leaves slots free. One that is held back leaves them also
    /// to waiting requests in time of its own and of less urgent ranks.
    pub(super) fn slot_reservation(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        held_back: bool,
    ) -> Option<UrgentReservation> {
        if !self.options.overload.deadline_queue {
            return None;
        }
        let rule = self.queueing.policy.reservation;
        match rule {
            ReservationRule::PerUpstream => return None,
            ReservationRule::Disabled => return Some(UrgentReservation::default()),
            ReservationRule::PooledArrivals | ReservationRule::PooledDemand => {}
        }
        let load = self.queueing.loads.get(&record.service);
        let ranks = load.map(|load| load.urgent_ranks(now, record.rank, self.entry_daemons));
        let waiting = if rule == ReservationRule::PooledDemand {
            let waiting = self.waiting_records(&record.service);
            let urgent = waiting.filter(|(position, _)| {
                let is_in_time = position.start_by >= now || position.stage == QueueStage::Resumed;
                is_in_time && (held_back || position.rank < record.rank)
            });
            u32::try_from(urgent.count()).unwrap_or(u32::MAX)
        } else {
            0
        };
        Some(UrgentReservation {
            waiting,
            ranks: ranks.unwrap_or_default(),
        })
    }

    pub(super) fn record_queue_arrival(&mut self, now: MonotonicTime, record: &RequestRecord) {
        if !self.options.overload.deadline_queue {
            return;
        }
        let latency = self.fleet.service_latency(&record.service);
        let work = ArrivedWork {
            rank: record.rank,
            slot_time: ExpectedTimes::of(record, &latency).slot_time,
            prompt_tokens: record.size.prompt_tokens,
            objective: record.route.objective,
        };
        let loads = &mut self.queueing.loads;
        let load = loads.entry(record.service.clone()).or_default();
        load.record_arrival(now, work);
    }

    /// Records the dispatch of a waiting request.
    pub(super) fn record_queue_dispatch(&mut self, now: MonotonicTime, request: LocalRequest) {
        if !self.options.overload.deadline_queue {
            return;
        }
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let RequestState::Waiting(position) = &record.state else {
            return;
        };
        let latency = self.fleet.service_latency(&record.service);
        let slot_time = ExpectedTimes::of(record, &latency).slot_time;
        let late = position.stage == QueueStage::New && position.start_by < now;
        let loads = &mut self.queueing.loads;
        let load = loads.entry(record.service.clone()).or_default();
        let work = DispatchedWork {
            rank: position.rank,
            slot_time,
            late,
        };
        load.record_dispatch(now, work);
        self.queueing.counters.late_dispatches += u64::from(late);
    }

    /// Refuses waiting requests that cannot be completed by their deadline, while no slot is free.
    pub(super) fn refuse_early(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        if !self.options.overload.deadline_queue || !self.queueing.policy.refuses_early {
            return;
        }
        let waiting = self.queues.iter().filter(|(_, queue)| queue.len() > 0);
        let services: Vec<ServiceLabel> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            for refusal in self.find_early_refusals(now, &service) {
                self.log_early_refusal(&service, &refusal, effects);
                let counters = &mut self.queueing.counters;
                match refusal.cause {
                    RefusalCause::Deadline => counters.refused_for_deadline += 1,
                    RefusalCause::FirstEvent => counters.refused_for_first_event += 1,
                }
                self.finish(now, refusal.request, RefusalReason::Overloaded, effects);
            }
        }
    }

    fn find_early_refusals(&self, now: MonotonicTime, service: &ServiceLabel) -> Vec<EarlyRefusal> {
        let Some(rates) = self.work_rates(now, service) else {
            return Vec::new();
        };
        let latency = self.fleet.service_latency(service);
        let mut work: Vec<WaitingWork> = self
            .waiting_records(service)
            .map(|(position, record)| {
                let times = ExpectedTimes::of(record, &latency);
                let is_new = position.stage == QueueStage::New && !record.has_upstream_failure;
                WaitingWork {
                    request: position.request,
                    rank: position.rank,
                    late: position.stage == QueueStage::New && position.start_by < now,
                    refusable: is_new && record.executions == 0 && !record.is_probe,
                    slot_time: times.slot_time,
                    first_event: times.first_event,
                    complete_by: record.give_up_at,
                    first_event_by: record.caller_timeout_at,
                }
            })
            .collect();
        // The queue is in order of rank; late requests are behind those in time of their rank.
        work.sort_by_key(|work| (work.rank, work.late));
        let refusals = early_refusals(now, &work, &rates);
        let is_refused_while_free = |refusal: &EarlyRefusal| {
            let record = self.requests.get(&refusal.request);
            record.is_some_and(|record| self.has_unreserved_slot(now, record))
        };
        let refusals = refusals.into_iter();
        refusals
            .filter(|refusal| !is_refused_while_free(refusal))
            .collect()
    }

    /// Returns whether any upstream of the service has a free slot that is not reserved for more
    /// urgent work, even if the request would be late there.
    fn has_unreserved_slot(&self, now: MonotonicTime, record: &RequestRecord) -> bool {
        let members = self.fleet.members(&record.service);
        let usable = members.filter(|state| {
            state.accepts_requests(now) && !state.is_paused(now) && !state.outlier.is_ejected()
        });
        let (mut free, mut slots) = (0, 0);
        for state in usable {
            let used = state.running + self.peers.slots_by_digest(state.digest).running;
            free += state.entry.slots.saturating_sub(used);
            slots += state.entry.slots;
        }
        let latency = self.fleet.service_latency(&record.service);
        let hold = ExpectedTimes::of(record, &latency).slot_time;
        let reservation = self.slot_reservation(now, record, false);
        free > reservation.map_or(0, |reservation| reservation.reserved_slots(hold, slots))
    }

    fn log_early_refusal(
        &self,
        service: &ServiceLabel,
        refusal: &EarlyRefusal,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get(&refusal.request) else {
            return;
        };
        let line = LogLine::new(LogLevel::Info, "early-refusal")
            .with("request", &record.request_id)
            .with("service", service)
            .with("rank", record.rank.route)
            .with("cause", refusal.cause)
            .with("ahead_ms", refusal.ahead.as_millis())
            .with("turnover", format_args!("{:.2}", refusal.turnover))
            .with("wait_ms", refusal.wait.as_millis())
            .with("left_ms", refusal.remaining.as_millis());
        effects.push(GatewayEffect::Log(line));
    }
}
