//! Connects the credit duty: reports the scheduler's demand to it, applies its grants, and holds
//! requests back from refusal while lower tiers can be shed at other daemons.

use super::DaemonCore;
use crate::{
    credits::{CreditEvent, CreditView, LocalDemand, ShedAdvice},
    effect::EffectQueue,
    request::QueuedRequest,
    scheduler::SchedulerEvent,
};
use savorywood_protocol::{
    CoreTime, MonotonicTime, RefusalCode, RequestId, RequestRefusal, ServiceName, TierRank,
    UpstreamName, peer::credits::TierDemand,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Minimum interval between two counts of the demand. It bounds the cost of a burst of messages,
/// each of which would otherwise trigger a count.
const DEMAND_COUNT_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of requests that wait for lower tiers to be shed; further ones are refused at
/// once.
const MAX_HELD_REQUESTS: usize = 1_024;

/// Demand of this daemon on the upstreams, with the time of the count. `None` forces a new count.
#[derive(Debug, Default)]
pub struct DemandCounts {
    counted_at: Option<MonotonicTime>,
    demands: BTreeMap<UpstreamName, LocalDemand>,
}

/// A request that the scheduler refused while requests of lower tiers may wait at other daemons.
#[derive(Debug)]
pub struct HeldRequest {
    request: QueuedRequest,
    refusal: RequestRefusal,
}

impl HeldRequest {
    /// Returns the refusal for a deadline that passed while the request was held. The scheduler's
    /// own refusal would report overload instead.
    fn into_deadline_refusal(self) -> RequestRefusal {
        let detail = "the deadline passed while lower tiers were asked to yield; retry after the \
                      given delay or with a longer deadline";
        RequestRefusal {
            code: RefusalCode::DeadlineExceeded,
            detail: detail.to_owned(),
            ..self.refusal
        }
    }
}

/// Requests that wait until lower tiers were shed at other daemons.
#[derive(Debug, Default)]
pub struct HeldRequests {
    by_request: BTreeMap<RequestId, HeldRequest>,
}

impl HeldRequests {
    /// Removes a request whose caller disconnected.
    pub fn remove(&mut self, request: RequestId) {
        self.by_request.remove(&request);
    }

    /// Returns the number of held requests of a service by tier.
    fn waiting_by_tier(&self, service: &ServiceName) -> BTreeMap<TierRank, u32> {
        let mut tiers = BTreeMap::new();
        let held = self.by_request.values();
        for held in held.filter(|held| held.request.service == *service) {
            *tiers.entry(held.request.rank).or_default() += 1;
        }
        tiers
    }
}

impl DaemonCore {
    /// Steps the credit duty and notifies the scheduler when grants or tier floors changed.
    pub(super) fn step_credits(
        &mut self,
        now: CoreTime,
        event: CreditEvent,
        effects: &mut EffectQueue,
    ) {
        self.count_demands(now.monotonic);
        let view = CreditView {
            config: self.config.view(),
            members: self.membership.view(),
            demands: &self.demands.demands,
        };
        let is_timer = matches!(event, CreditEvent::TimerFired { .. });
        let changed = self.credits.step(now, event, view, effects);
        if changed {
            self.scheduler_inputs
                .grants
                .clone_from(self.credits.grants());
            self.scheduler_inputs
                .floors
                .clone_from(self.credits.floors());
            self.step_scheduler(now, SchedulerEvent::ViewChanged, effects);
        }
        if changed || is_timer {
            self.retry_held(now, effects);
        }
    }

    /// Updates whether requests of a service wait, and notifies the credit duty when they start to.
    pub(super) fn update_queue_state(
        &mut self,
        now: CoreTime,
        service: &ServiceName,
        effects: &mut EffectQueue,
    ) {
        let pressure = self.scheduler.service_pressure(now.monotonic, service);
        let has_waiting = pressure.waiting.iter().any(|tier| tier.slots > 0);
        if !has_waiting {
            self.queued_services.remove(service);
        } else if self.queued_services.insert(service.clone()) {
            self.demands.counted_at = None;
            self.step_credits(now, CreditEvent::QueueFormed, effects);
        }
    }

    /// Counts the demand on all upstreams, at most once per [`DEMAND_COUNT_INTERVAL`].
    fn count_demands(&mut self, now: MonotonicTime) {
        let counted = self.demands.counted_at;
        if counted.is_some_and(|at| now.since(at) < DEMAND_COUNT_INTERVAL) {
            return;
        }
        let config = self.config.view();
        let mut demands = BTreeMap::new();
        self.queued_services.clear();
        for service in config.services.keys() {
            let held = self.held_requests.waiting_by_tier(service);
            let pressure = self.scheduler.service_pressure(now, service);
            let queued = !held.is_empty() || pressure.waiting.iter().any(|tier| tier.slots > 0);
            if queued {
                self.queued_services.insert(service.clone());
            }
            let upstream_count = config.upstreams_of(service).count();
            for name in config.upstreams_of(service) {
                let demand = self.local_demand(name, &held, upstream_count, queued);
                if !demand.tiers.is_empty() {
                    demands.insert(name.clone(), demand);
                }
            }
        }
        self.demands = DemandCounts {
            counted_at: Some(now),
            demands,
        };
    }

    /// Returns the demand on one upstream by tier, in slots. The held requests of a service are
    /// divided evenly between its upstreams.
    fn local_demand(
        &self,
        name: &UpstreamName,
        held: &BTreeMap<TierRank, u32>,
        upstream_count: usize,
        queued: bool,
    ) -> LocalDemand {
        let upstream_count = u32::try_from(upstream_count.max(1)).unwrap_or(u32::MAX);
        let mut tiers: BTreeMap<TierRank, u32> = BTreeMap::new();
        for tier in self.scheduler.demand(name) {
            *tiers.entry(tier.rank).or_default() += tier.slots;
        }
        for (rank, count) in held {
            *tiers.entry(*rank).or_default() += count.div_ceil(upstream_count);
        }
        let tiers = tiers.into_iter().filter(|(_, slots)| *slots > 0);
        LocalDemand {
            limit: self.scheduler.slot_limit(name).unwrap_or_default(),
            in_use: self.scheduler.slots_in_use(name),
            tiers: tiers
                .map(|(rank, slots)| TierDemand { rank, slots })
                .collect(),
            queued,
        }
    }

    /// Returns whether a refusal may be sent now. A tier may be shed for load only when no lower
    /// tier waits at any daemon: otherwise a daemon that is full of the highest tier would shed it
    /// while another daemon still serves the lowest. If lower tiers must be shed first, the request
    /// is held and `false` is returned.
    pub(super) fn may_shed(
        &mut self,
        now: CoreTime,
        request: &QueuedRequest,
        refusal: &RequestRefusal,
        effects: &mut EffectQueue,
    ) -> bool {
        let in_time = request.deadline_at > now.monotonic;
        let full = self.held_requests.by_request.len() >= MAX_HELD_REQUESTS;
        if !refusal.is_overload() || !in_time || full || self.stop.is_stopping() {
            return true;
        }
        self.count_demands(now.monotonic);
        let view = CreditView {
            config: self.config.view(),
            members: self.membership.view(),
            demands: &self.demands.demands,
        };
        let advice =
            self.credits
                .shed_advice(now.monotonic, &request.service, request.rank, view, effects);
        if advice != ShedAdvice::Wait {
            return true;
        }
        let held = HeldRequest {
            request: request.clone(),
            refusal: refusal.clone(),
        };
        self.held_requests.by_request.insert(request.request, held);
        self.demands.counted_at = None;
        false
    }

    /// Refuses the held requests of lower tiers, lowest tier first, before a higher tier is refused
    /// for load. Held requests are not in the scheduler's queue, so the scheduler can't shed them
    /// by itself.
    pub(super) fn shed_lower_held(
        &mut self,
        now: CoreTime,
        request: &QueuedRequest,
        effects: &mut EffectQueue,
    ) {
        let held = self
            .held_requests
            .by_request
            .values()
            .map(|held| &held.request);
        let lower = held.filter(|held| held.service == request.service && held.rank > request.rank);
        let mut lower_requests: Vec<_> = lower.map(|held| (held.rank, held.request)).collect();
        lower_requests.sort_unstable_by(|one, other| other.cmp(one));
        for (_, lower_request) in lower_requests {
            if let Some(held) = self.held_requests.by_request.remove(&lower_request) {
                self.send_refusal(now, lower_request, held.refusal, effects);
            }
        }
    }

    /// Submits held requests to the scheduler again and refuses those whose deadline has passed.
    fn retry_held(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        if self.held_requests.by_request.is_empty() {
            return;
        }
        let held = self
            .held_requests
            .by_request
            .values()
            .map(|held| &held.request);
        let mut candidates: Vec<_> = held.map(|held| (held.rank, held.request)).collect();
        candidates.sort_unstable();
        let mut services = BTreeSet::new();
        // Highest tier first. The others stay held meanwhile, so that they can be shed for it.
        for (_, request) in candidates {
            let Some(held) = self.held_requests.by_request.remove(&request) else {
                continue;
            };
            services.insert(held.request.service.clone());
            if held.request.deadline_at <= now.monotonic {
                self.send_refusal(now, request, held.into_deadline_refusal(), effects);
            } else {
                let event = SchedulerEvent::Resubmitted {
                    attempt: self.guard.next_attempt(request),
                    request: Box::new(held.request),
                };
                self.step_scheduler(now, event, effects);
            }
        }
        for service in &services {
            self.update_queue_state(now, service, effects);
        }
    }
}
