//! Early refusal of this daemon's waiting requests.

use super::{Gateway, GatewayEffects, queue_decisions::ExpectedTimes, record::RequestRecord};
use crate::{
    effect::GatewayEffect,
    label::ServiceLabel,
    latency::LatencyModel,
    queue::{QueueStage, RequestRank},
    queueing::{EarlyRefusal, RefusalCause, WaitingWork, early_refusals},
    refusal::RefusalReason,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::collections::BTreeMap;

impl Gateway {
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
                    first_event_by: if record.route.retry_safety.is_stream() {
                        record.caller_timeout_at
                    } else {
                        record.give_up_at
                    },
                }
            })
            .collect();
        // The queue is in order of rank; late requests are behind those in time of their rank.
        work.sort_by_key(|work| (work.rank, work.late));
        let mut refusals = early_refusals(now, &work, &rates);
        let mut full_ranks: BTreeMap<RequestRank, bool> = BTreeMap::new();
        refusals.retain(|refusal| {
            let record = self.requests.get(&refusal.request);
            record.is_some_and(|record| {
                let is_full = full_ranks.entry(record.rank);
                *is_full.or_insert_with(|| !self.has_unreserved_slot(now, record, &latency))
            })
        });
        refusals
    }

    /// Returns whether any upstream of the service has a free slot that is not reserved for more
    /// urgent work, even if the request would be late there.
    fn has_unreserved_slot(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        latency: &LatencyModel,
    ) -> bool {
        let reservation = self.slot_reservation(now, record, false);
        let reservation = reservation.unwrap_or_default();
        let members = self.fleet.members(&record.service);
        let usable = members.filter(|state| {
            state.accepts_requests(now) && !state.is_paused(now) && !state.outlier.is_ejected()
        });
        let (mut free, mut slots) = (0, 0);
        for state in usable {
            let used = state.running + self.peers.slots_by_digest(state.digest).running;
            let free_here = state.entry.slots.saturating_sub(used);
            let first_event_ms = |prompt| state.latency.first_event_ms(latency, prompt);
            if free_here > 0 && !reservation.can_use(first_event_ms) {
                return true;
            }
            free += free_here;
            slots += state.entry.slots;
        }
        let hold = ExpectedTimes::of(record, latency).slot_time;
        free > reservation.reserved_slots(hold, slots)
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
