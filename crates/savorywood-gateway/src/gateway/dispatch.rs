//! Dispatch of waiting requests to upstreams with free slots.

use super::{
    Gateway, GatewayEffects,
    record::{RequestRecord, RequestState, RunningAttempt},
};
use crate::{
    arrival::LocalRequest,
    demand::UrgentArrivals,
    effect::{DispatchOrder, GatewayEffect},
    label::{ServiceLabel, UpstreamLabel},
    queue::QueueStage,
    queueing::{LateWorkRule, OrderedRequest, QueuedRequest, UrgentReservation, order_requests},
    refusal::RefusalReason,
    rollout::RouteDigest,
    selection::{
        ReservationContext, SelectedUpstream, SelectionContext, SelectionFailure, SelectionQuery,
        VersionFilter,
    },
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// New requests of a rank that may find no free slot before the rest of the rank is skipped.
const MAX_FULL_SELECTIONS: usize = 3;
/// Random jitter of an upstream's cost, as a fraction, by which the selections of daemons differ.
const COST_JITTER: f64 = 0.05;
/// The same where zones exchange digests: state is older there and used by more daemons, which
/// would otherwise all select the same upstream at once.
const ZONED_COST_JITTER: f64 = 0.6;
/// Fraction of the objective for which a request waits while its service has no upstream.
const NO_UPSTREAM_WAIT_FRACTION: f64 = 0.12;
/// Fraction of the expected duration that must remain when an attempt is dispatched.
const MIN_REMAINING_FRACTION: f64 = 0.6;

impl Gateway {
    pub(super) fn dispatch_all_waiting(
        &mut self,
        now: MonotonicTime,
        effects: &mut GatewayEffects,
    ) {
        let waiting = self.queues.iter().filter(|(_, queue)| queue.len() > 0);
        let services: Vec<ServiceLabel> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.dispatch_waiting(now, &service, effects);
        }
    }

    /// Dispatches the most urgent requests of a service to upstreams with free slots.
    pub(super) fn dispatch_waiting(
        &mut self,
        now: MonotonicTime,
        service: &ServiceLabel,
        effects: &mut GatewayEffects,
    ) {
        self.refuse_unfinishable(now, service, effects);
        let ordered = self.queue_in_order(now, service);
        let mut full_selections = 0;
        let mut rank = None;
        for OrderedRequest {
            position,
            held_back,
            ..
        } in ordered
        {
            if rank.replace(position.rank) != Some(position.rank) {
                full_selections = 0;
            }
            if full_selections >= MAX_FULL_SELECTIONS {
                continue;
            }
            let Some(record) = self.requests.get(&position.request) else {
                continue;
            };
            if now < record.resume_at || now >= record.give_up_at {
                continue;
            }
            if !record.is_probe && self.is_quarantined(&record.fingerprints) {
                self.finish(now, position.request, RefusalReason::Quarantined, effects);
                continue;
            }
            let reservation = self.slot_reservation(now, record, held_back);
            match self.select_with_reservation(now, record, reservation) {
                Ok(selected) => {
                    if self.pay_owed_retry(now, position.request, effects) {
                        self.dispatch(now, position.request, &selected, effects);
                    }
                }
                Err(SelectionFailure::AllFull | SelectionFailure::AllRestrained) => {
                    match position.stage {
                        QueueStage::New => full_selections += 1,
                        QueueStage::Resumed => self.allow_attempted_upstreams(position.request),
                    }
                }
                Err(SelectionFailure::NoCandidate) => {
                    self.handle_no_upstream(now, position.request, effects);
                }
            }
        }
    }

    /// Returns the queue in order of dispatch: the most urgent rank first, within a rank streams
    /// that have begun, and then requests that can still meet their objective before those that
    /// cannot; of both, requests that were attempted before are first. A late response is worth
    /// little, and serving it first would make the next one late as well.
    ///
    /// With the deadline queue, late requests may be held back behind less urgent ones.
    fn queue_in_order(&self, now: MonotonicTime, service: &ServiceLabel) -> Vec<OrderedRequest> {
        if self.options.overload.deadline_queue {
            return self.order_waiting(now, service);
        }
        let Some(queue) = self.queues.get(service) else {
            return Vec::new();
        };
        let requests = queue.iter().map(|position| QueuedRequest {
            position: *position,
            latest_start: position.start_by,
        });
        order_requests(now, requests, LateWorkRule::BehindRank, false)
    }

    pub(super) fn select_upstream(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
    ) -> Result<SelectedUpstream, SelectionFailure> {
        let reservation = self.slot_reservation(now, record, false);
        self.select_with_reservation(now, record, reservation)
    }

    fn select_with_reservation(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        reservation: Option<UrgentReservation>,
    ) -> Result<SelectedUpstream, SelectionFailure> {
        // A probe may fail, which would cut a stream that has begun.
        let allow_probe = record.allows_concurrent_execution() && !record.response_started;
        let attempted = &record.attempted_upstreams;
        self.select_among(now, record, attempted, allow_probe, reservation)
    }

    /// Selects an upstream other than those in `attempted`; with `allow_probe` also one that is on
    /// probation.
    pub(super) fn select_unattempted(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        attempted: &[UpstreamLabel],
        allow_probe: bool,
    ) -> Result<SelectedUpstream, SelectionFailure> {
        let reservation = self.slot_reservation(now, record, false);
        self.select_among(now, record, attempted, allow_probe, reservation)
    }

    fn select_among(
        &self,
        now: MonotonicTime,
        record: &RequestRecord,
        attempted: &[UpstreamLabel],
        allow_probe: bool,
        reservation: Option<UrgentReservation>,
    ) -> Result<SelectedUpstream, SelectionFailure> {
        let waited = now.since(record.arrived_at);
        let preference = self.rollouts.version_preference(
            now,
            &record.service,
            RouteDigest::new(&record.route.name),
            self.canary_options(),
        );
        let mut query = SelectionQuery {
            service: &record.service,
            prompt_tokens: record.size.prompt_tokens,
            max_output_tokens: record.size.max_output_tokens,
            expected_tokens: record.expected_output_tokens,
            first_event_budget_ms: record.route.objective.as_secs_f64() * 1e3
                - waited.as_secs_f64() * 1e3,
            remaining_ms: record.give_up_at.since(now).as_secs_f64() * 1e3,
            stream: record.route.retry_safety.is_stream(),
            prompt_parts: &record.prompt_parts,
            attempted,
            home_regions: [
                &record.route.home_regions,
                record.team.as_ref().map_or(&[], |team| &team.home_regions),
            ],
            versions: preference.first.clone(),
            urgent_arrivals: self.urgent_arrivals(now, record),
            reservation,
            allow_probe,
        };
        let context =
            SelectionContext {
                now,
                fleet: &self.fleet,
                peers: &self.peers,
                prefix_cache: &self.prefix_cache,
                zone: &self.options.zone,
                policy: self.options.routing,
                regions: &self.options.regions,
                leases: &self.leases,
                warmup: self.options.bounds.warmup_tolerance,
                jitter: if self.contacts.uses_zone_digests() {
                    ZONED_COST_JITTER
                } else {
                    COST_JITTER
                },
                reservations: self.options.overload.slot_reservations.then_some(
                    ReservationContext {
                        policy: self.reservation_policy,
                        holds: &self.reservation_holds,
                    },
                ),
            };
        let mut random = self.random.clone();
        let selected = context.select(&query, || random.next());
        match selected {
            Err(failure) if preference.allows_any(failure) => {
                query.versions = VersionFilter::Any;
                context.select(&query, || random.next())
            }
            selected => selected,
        }
    }

    fn urgent_arrivals(&self, now: MonotonicTime, record: &RequestRecord) -> UrgentArrivals {
        let rule = self.queueing.policy.reservation;
        if self.options.overload.deadline_queue && !rule.reserves_per_upstream() {
            return UrgentArrivals::default();
        }
        let demand = self.demand_trackers.get(&record.service);
        demand
            .map(|demand| demand.urgent_arrivals(now, record.rank, self.entry_daemons))
            .unwrap_or_default()
    }

    pub(super) fn dispatch(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        selected: &SelectedUpstream,
        effects: &mut GatewayEffects,
    ) {
        self.random.next();
        let Some(zone) = self
            .fleet
            .get(&selected.name)
            .map(|state| state.entry.zone.clone())
        else {
            return;
        };
        let relays = if selected.owners.is_empty() {
            self.choose_relays(now, &zone)
        } else {
            selected.owners.clone()
        };
        self.record_queue_dispatch(now, request);
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(state) = self.fleet.get_mut(&selected.name) else {
            return;
        };
        state.running += 1;
        state.unread_prompt_tokens += record.size.prompt_tokens;
        state.memory.record_dispatch(record.size);
        self.dispatches += 1;
        state.last_dispatch_number = self.dispatches;
        state.outlier.record_dispatch();
        state.last_dispatch_at = now;
        state.reservation.released_at = None;
        state.limit.record_dispatch();
        if relays.is_empty() {
            let own = state.running;
            state.rejections.record_dispatch(now, self.dispatches, own);
        }
        if let RequestState::Waiting(position) = &record.state
            && let Some(queue) = self.queues.get_mut(&record.service)
        {
            queue.remove(position);
        }
        let demand = self
            .demand_trackers
            .entry(record.service.clone())
            .or_default();
        demand.record_dispatch(now, record.rank);
        record.attempts += 1;
        record.state = RequestState::Running(RunningAttempt {
            number: self.dispatches,
            upstream: selected.name.clone(),
            relayed: !relays.is_empty(),
            dispatched_at: now,
            first_event_at: None,
            expected_first_event_ms: selected.expected_ms,
            last_event_at: None,
            max_event_gap: Duration::ZERO,
            events: 0,
            pace_recorded: false,
            abandoned: false,
        });
        self.prefix_cache
            .record_prompt(now, &record.prompt_parts, &selected.name);
        let route = RouteDigest::new(&record.route.name);
        self.rollouts.record_dispatch(&state.entry, route);
        let order = DispatchOrder {
            request,
            attempt: record.attempts,
            service: record.service.clone(),
            priority: record.rank.route,
            upstream: selected.name.clone(),
            address: state.entry.address,
            team: record.team.as_ref().map(|team| team.name.clone()),
            give_up_at: record.give_up_at,
            deadline_at: record.deadline_at,
            stream: record.route.retry_safety.is_stream(),
            relays,
            idempotent: record.route.retry_safety.is_idempotent(),
        };
        let line = LogLine::new(LogLevel::Info, "request-dispatched")
            .with("request", &record.request_id)
            .with("upstream", &selected.name)
            .with("send", record.attempts)
            .with("waited_ms", now.since(record.arrived_at).as_millis())
            .with("expected_ms", format_args!("{:.0}", selected.expected_ms))
            .with("score", format_args!("{:.0}", selected.score))
            .with("occupied", selected.slots_in_use)
            .with("slots", state.entry.slots)
            .with("unread", state.unread_prompt_tokens)
            .with("cold_ms", state.cold_until.since(now).as_millis());
        let line = match state.pace.newest_age(now) {
            Some(age) => line
                .with(
                    "pace",
                    format_args!("{:.2}", state.pace.factor(now, Duration::ZERO)),
                )
                .with("pace_age_ms", age.as_millis()),
            None => line,
        };
        let line = if order.relays.is_empty() {
            line
        } else {
            line.with("relays", order.relays.len())
        };
        let line = match state.limit.limit() {
            Some(limit) => line.with("limit", limit.per_second()),
            None => line,
        };
        let line = match selected.reservation {
            Some(view) => line
                .with("share", view.share)
                .with("own", view.own)
                .with("seen", view.seen)
                .with("unaccounted", view.unaccounted),
            None => line,
        };
        effects.push(GatewayEffect::Log(line));
        effects.push(GatewayEffect::Dispatch(order));
    }

    /// Handles a request when its service has no upstreams or all of them have been attempted.
    fn handle_no_upstream(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        if record.can_resume() {
            record.delay_resumption(now);
            return self.allow_attempted_upstreams(request);
        }
        if !record.attempted_upstreams.is_empty()
            && record.executions == 0
            && record.has_attempts_left()
        {
            // All attempted upstreams were full or unreachable; they may have free slots by now.
            record.attempted_upstreams.clear();
        }
        let waited = now.since(record.arrived_at);
        if waited >= record.route.objective.mul_f64(NO_UPSTREAM_WAIT_FRACTION) {
            self.finish(now, request, RefusalReason::NoUpstream, effects);
        }
    }

    /// Refuses waiting requests that can no longer be answered in time.
    pub(super) fn expire_waiting(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let mut expired = Vec::new();
        let mut too_late = Vec::new();
        for (service, queue) in &self.queues {
            let service_latency = self.fleet.service_latency(service);
            for position in queue.iter() {
                let Some(record) = self.requests.get(&position.request) else {
                    continue;
                };
                if record.can_resume() {
                    if now >= record.deadline_at {
                        expired.push(position.request);
                    }
                    continue;
                }
                let min_first_event_s = service_latency
                    .first_event_ms(&service_latency, record.size.prompt_tokens)
                    * MIN_REMAINING_FRACTION
                    / 1e3;
                let stream = record.route.retry_safety.is_stream();
                if stream
                    && now + Duration::from_secs_f64(min_first_event_s) >= record.caller_timeout_at
                {
                    too_late.push(position.request);
                    continue;
                }
                let needed = if record.route.retry_safety.is_stream() {
                    service_latency.first_event_ms(&service_latency, record.size.prompt_tokens)
                        + service_latency
                            .streaming_ms(&service_latency, record.expected_output_tokens)
                } else {
                    service_latency.response_ms(&service_latency)
                };
                let needed = Duration::from_secs_f64(needed * MIN_REMAINING_FRACTION / 1e3);
                if now + needed >= record.give_up_at {
                    expired.push(position.request);
                }
            }
        }
        for request in too_late {
            self.finish(now, request, RefusalReason::Overloaded, effects);
        }
        for request in expired {
            self.finish(now, request, RefusalReason::ExpiredUnsent, effects);
        }
    }
}
