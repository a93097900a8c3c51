//! Waiting requests get places at upstreams.

use super::{
    Gateway, GatewayEffects,
    record::{RequestPlace, RequestRecord, RunningAttempt},
};
use crate::{
    arrival::LocalRequest,
    demand::UrgentArrivals,
    effect::{DispatchOrder, GatewayEffect},
    label::{ServiceLabel, UpstreamLabel},
    queue::QueuePosition,
    refusal::RefusalReason,
    selection::{SelectedUpstream, SelectionContext, SelectionFailure, SelectionQuery},
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Requests without a place that are looked at before a service counts as full.
const MAX_FULL: usize = 3;
/// Part of an upstream's cost by which daemons see it differently.
const SPREAD: f64 = 0.05;
/// The same where zones exchange digests: state is older there and read by more, and daemons that
/// all hold the same upstream for the best would meet at it.
const ZONED_SPREAD: f64 = 0.6;
/// Part of the objective for which a request waits for a service that has no upstream.
const EMPTY_PART: f64 = 0.12;
/// Part of the expected time that must be left when an attempt begins.
const NEEDED_PART: f64 = 0.6;

impl Gateway {
    pub(super) fn pump_all(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let waiting = self.queues.iter().filter(|(_, queue)| queue.len() > 0);
        let services: Vec<ServiceLabel> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.pump(now, &service, effects);
        }
    }

    /// Gives places at upstreams of a service to the most urgent requests.
    pub(super) fn pump(
        &mut self,
        now: MonotonicTime,
        service: &ServiceLabel,
        effects: &mut GatewayEffects,
    ) {
        let places = self.places_in_order(now, service);
        let mut full = 0;
        let mut rank = None;
        for place in places {
            if rank.replace(place.rank) != Some(place.rank) {
                full = 0;
            }
            if full >= MAX_FULL {
                continue;
            }
            let Some(record) = self.requests.get(&place.request) else {
                continue;
            };
            if !record.is_trial && self.is_quarantined(record.fingerprint) {
                self.finish(now, place.request, RefusalReason::Quarantined, effects);
                continue;
            }
            match self.pick(now, record) {
                Ok(picked) => self.dispatch(now, place.request, &picked, effects),
                Err(SelectionFailure::AllFull) => full += 1,
                Err(SelectionFailure::NoCandidate) => {
                    self.without_upstream(now, place.request, effects);
                }
            }
        }
    }

    /// Most urgent rank first; within a rank those that can still be in time before those that
    /// can't: a late answer is worth little, and it would make the next one late as well.
    fn places_in_order(&self, now: MonotonicTime, service: &ServiceLabel) -> Vec<QueuePosition> {
        let Some(queue) = self.queues.get(service) else {
            return Vec::new();
        };
        let mut places: Vec<QueuePosition> = queue.iter().copied().collect();
        places.sort_by_key(|place| (place.rank, place.start_by < now, place.start_by));
        places
    }

    fn pick(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
    ) -> Result<SelectedUpstream, SelectionFailure> {
        self.pick_beside(now, record, &record.tried)
    }

    /// Chooses an upstream that is none of those that have had the request.
    pub(super) fn pick_beside(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        tried: &[UpstreamLabel],
    ) -> Result<SelectedUpstream, SelectionFailure> {
        let waited = now.since(record.arrived_at);
        let query = SelectionQuery {
            service: &record.service,
            prompt_tokens: record.size.prompt_tokens,
            expected_tokens: record.output,
            first_event_budget_ms: record.route.objective.as_secs_f64() * 1e3
                - waited.as_secs_f64() * 1e3,
            remaining_ms: record.give_up_at.since(now).as_secs_f64() * 1e3,
            stream: record.route.retry_safety.is_stream(),
            prompt_parts: &record.parts,
            attempted: tried,
            home_regions: [
                &record.route.home_regions,
                record.team.as_ref().map_or(&[], |team| &team.home_regions),
            ],
            versions: self
                .rollouts
                .version_filter(now, &record.service, self.trial()),
            urgent_arrivals: self.urgent_arrivals(now, record),
            allow_probe: record.may_run_once_more(),
        };
        let scene = SelectionContext {
            now,
            fleet: &self.fleet,
            peers: &self.peers,
            prefix_cache: &self.parts,
            zone: &self.options.zone,
            policy: self.options.routing,
            regions: &self.options.regions,
            leases: &self.leases,
            warmup: self.options.bounds.warmup_tolerance,
            jitter: if self.contacts.uses_zone_digests() {
                ZONED_SPREAD
            } else {
                SPREAD
            },
        };
        let mut draws = self.draws.clone();
        scene.select(&query, || draws.next())
    }

    fn urgent_arrivals(&self, now: MonotonicTime, record: &RequestRecord) -> UrgentArrivals {
        let demand = self.demands.get(&record.service);
        demand
            .map(|demand| demand.urgent_arrivals(now, record.rank, self.entry_daemons))
            .unwrap_or_default()
    }

    fn dispatch(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        picked: &SelectedUpstream,
        effects: &mut GatewayEffects,
    ) {
        self.draws.next();
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(state) = self.fleet.get_mut(&picked.name) else {
            return;
        };
        state.running += 1;
        state.unread_tokens += record.size.prompt_tokens;
        self.dispatches += 1;
        state.last_dispatch_number = self.dispatches;
        state.outlier.record_dispatch();
        state.last_dispatch_at = now;
        state.limit.record_dispatch();
        if let RequestPlace::Waiting(place) = &record.place
            && let Some(queue) = self.queues.get_mut(&record.service)
        {
            queue.remove(place);
        }
        let demand = self.demands.entry(record.service.clone()).or_default();
        demand.record_dispatch(now, record.rank);
        record.sends += 1;
        record.place = RequestPlace::Running(RunningAttempt {
            upstream: picked.name.clone(),
            sent_at: now,
            began_at: None,
            expected_ms: picked.expected_ms,
            moved_at: None,
            longest_pause: Duration::ZERO,
            events: 0,
            abandoned: false,
        });
        self.parts.record_prompt(now, &record.parts, &picked.name);
        self.rollouts
            .record_dispatch(&record.service, &state.entry.version);
        let order = DispatchOrder {
            request,
            attempt: record.sends,
            service: record.service.clone(),
            priority: record.rank.route,
            upstream: picked.name.clone(),
            address: state.entry.address,
            team: record.team.as_ref().map(|team| team.name.clone()),
            give_up_at: record.give_up_at,
            stream: record.route.retry_safety.is_stream(),
            idempotent: record.route.retry_safety.is_idempotent(),
        };
        let line = LogLine::new(LogLevel::Info, "request-dispatched")
            .with("request", &record.identity)
            .with("upstream", &picked.name)
            .with("send", record.sends)
            .with("waited_ms", now.since(record.arrived_at).as_millis())
            .with("expected_ms", format_args!("{:.0}", picked.expected_ms))
            .with("score", format_args!("{:.0}", picked.score))
            .with("occupied", picked.slots_in_use)
            .with("slots", state.entry.slots)
            .with("unread", state.unread_tokens)
            .with("cold_ms", state.cold_until.since(now).as_millis());
        let line = match state.limit.limit() {
            Some(limit) => line.with("limit", limit.per_second()),
            None => line,
        };
        effects.push(GatewayEffect::Log(line));
        effects.push(GatewayEffect::Dispatch(order));
    }

    /// All upstreams of the service are gone, or have had the request.
    fn without_upstream(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        if !record.tried.is_empty() && record.runs == 0 && record.sends < MAX_SENDS {
            // All said that they were full or could not be reached: they may have room by now.
            record.tried.clear();
        }
        let waited = now.since(record.arrived_at);
        if waited >= record.route.objective.mul_f64(EMPTY_PART) {
            self.finish(now, request, RefusalReason::NoUpstream, effects);
        }
    }

    /// Gives up requests that could not be answered in time any more.
    pub(super) fn expire_waiting(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let mut expired = Vec::new();
        let mut hopeless = Vec::new();
        for (service, queue) in &self.queues {
            let usual = self.fleet.service_latency(service);
            for place in queue.iter() {
                let Some(record) = self.requests.get(&place.request) else {
                    continue;
                };
                let first =
                    usual.first_event_ms(&usual, record.size.prompt_tokens) * NEEDED_PART / 1e3;
                let stream = record.route.retry_safety.is_stream();
                if stream && now + Duration::from_secs_f64(first) >= record.leave_at {
                    hopeless.push(place.request);
                    continue;
                }
                let needed = if record.route.retry_safety.is_stream() {
                    usual.first_event_ms(&usual, record.size.prompt_tokens)
                        + usual.streaming_ms(&usual, record.output)
                } else {
                    usual.whole_ms(&usual)
                };
                let needed = Duration::from_secs_f64(needed * NEEDED_PART / 1e3);
                if now + needed >= record.give_up_at {
                    expired.push(place.request);
                }
            }
        }
        for request in hopeless {
            self.finish(now, request, RefusalReason::Overloaded, effects);
        }
        for request in expired {
            self.finish(now, request, RefusalReason::ExpiredUnsent, effects);
        }
    }
}

/// Times that a request is sent at most, those included that upstreams did not run.
pub(super) const MAX_SENDS: u32 = 4;
