//! Application of the deadline queue to the requests of this daemon.

use super::{
    Gateway,
    record::{RequestRecord, RequestState},
};
use crate::{
    arrival::LocalRequest,
    estimate::LENGTH_MARGIN,
    label::ServiceLabel,
    latency::LatencyModel,
    queue::{QueuePosition, QueueStage, RequestRank, WaitQueue},
    queueing::{
        ArrivedWork, DispatchedWork, OrderedRequest, QueueCounters, QueuePolicy, QueuedRequest,
        ReservationRule, UrgentReservation, WorkRates, expected_wait, order_requests,
    },
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Expected times of one request, from the latency model of its service.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedTimes {
    /// Time from dispatch to the first event, or to the complete response if it is not a stream.
    pub first_event: Duration,
    /// Time for which the request holds a slot.
    pub slot_time: Duration,
    /// Slot time of a response that is as much longer than its hint as upstreams are selected for.
    pub longest: Duration,
}

impl ExpectedTimes {
    pub(super) fn of(record: &RequestRecord, latency: &LatencyModel) -> Self {
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
            longest: Duration::from_secs_f64((first_event_ms + streaming_ms * LENGTH_MARGIN) / 1e3),
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

    pub(super) fn waiting_records<'a>(
        &'a self,
        service: &ServiceLabel,
    ) -> impl Iterator<Item = (&'a QueuePosition, &'a RequestRecord)> {
        let positions = self.queues.get(service).into_iter();
        positions.flat_map(WaitQueue::iter).filter_map(|position| {
            let record = self.requests.get(&position.request)?;
            Some((position, record))
        })
    }

    pub(super) fn work_rates(
        &self,
        now: MonotonicTime,
        service: &ServiceLabel,
    ) -> Option<WorkRates> {
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
            let longest = ExpectedTimes::of(record, &latency).longest;
            QueuedRequest {
                position: *position,
                latest_start: now + record.give_up_at.since(now).saturating_sub(longest),
            }
        });
        let load = self.queueing.loads.get(service);
        let admits_late = load.is_none_or(|load| load.admits_late(now));
        order_requests(now, waiting, self.queueing.policy.late_work, admits_late)
    }

    /// Returns the demand for which a request leaves slots free. One that is held back leaves them to
    /// requests in time of all ranks, those that other daemons receive included.
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
            ReservationRule::PooledArrivals
            | ReservationRule::PooledDemand
            | ReservationRule::Combined => {}
        }
        let load = self.queueing.loads.get(&record.service);
        let end = (!held_back).then_some(record.rank);
        let ranks = load.map(|load| load.urgent_ranks(now, end, self.entry_daemons));
        let waiting = if rule != ReservationRule::PooledArrivals {
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
}
