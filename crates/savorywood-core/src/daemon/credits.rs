//! Credits: what the scheduler demands, what it is granted, and who must yield before a refusal.

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

/// Demands are counted again after this long: a burst of messages must not count them each time.
const DEMAND_COUNT_INTERVAL: Duration = Duration::from_millis(20);

/// Requests that wait for others to yield, at most; further ones are refused at once.
const MAX_HELD_REQUESTS: usize = 1_024;

/// Own demand on the upstreams, as counted last.
#[derive(Debug, Default)]
pub struct DemandCounts {
    counted_at: Option<MonotonicTime>,
    demands: BTreeMap<UpstreamName, LocalDemand>,
}

/// A request that the scheduler turned away while lower tiers may wait at other daemons.
#[derive(Debug)]
pub struct HeldRequest {
    request: QueuedRequest,
    refusal: RequestRefusal,
}

impl HeldRequest {
    /// The refusal once the deadline has passed: then it is not given for want of room.
    fn into_deadline_refusal(self) -> RequestRefusal {
        let detail = "the deadline passed while lower tiers were asked to yield; come back after \
                      the given time or allow more";
        RequestRefusal {
            code: RefusalCode::DeadlineExceeded,
            detail: detail.to_owned(),
            ..self.refusal
        }
    }
}

/// Requests that wait until lower tiers elsewhere have yielded.
#[derive(Debug, Default)]
pub struct HeldRequests {
    by_request: BTreeMap<RequestId, HeldRequest>,
}

impl HeldRequests {
    /// Forgets a request whose caller left.
    pub fn remove(&mut self, request: RequestId) {
        self.by_request.remove(&request);
    }

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
    /// Steps the credit duty; the scheduler looks again when grants or floors changed.
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
        let is_tick = matches!(event, CreditEvent::TimerFired { .. });
        let changed = self.credits.step(now, event, view, effects);
        if changed {
            self.inputs.grants.clone_from(self.credits.grants());
            self.inputs.floors.clone_from(self.credits.floors());
            self.step_scheduler(now, SchedulerEvent::ViewChanged, effects);
        }
        if changed || is_tick {
            self.retry_held(now, effects);
        }
    }

    /// Tells the credit duty when work of a service begins to wait.
    pub(super) fn update_queue_state(
        &mut self,
        now: CoreTime,
        service: &ServiceName,
        effects: &mut EffectQueue,
    ) {
        let pressure = self.scheduler.service_pressure(now.monotonic, service);
        let waits = pressure.waiting.iter().any(|tier| tier.seats > 0);
        if !waits {
            self.queued_services.remove(service);
        } else if self.queued_services.insert(service.clone()) {
            self.demands.counted_at = None;
            self.step_credits(now, CreditEvent::QueueFormed, effects);
        }
    }

    fn count_demands(&mut self, now: MonotonicTime) {
        let counted = self.demands.counted_at;
        if counted.is_some_and(|at| now.since(at) < DEMAND_COUNT_INTERVAL) {
            return;
        }
        let config = self.config.view();
        let mut demands = BTreeMap::new();
        self.queued_services.clear();
        for service in config.services.keys() {
            let held = self.held.waiting_by_tier(service);
            let pressure = self.scheduler.service_pressure(now, service);
            let queued = !held.is_empty() || pressure.waiting.iter().any(|tier| tier.seats > 0);
            if queued {
                self.queued_services.insert(service.clone());
            }
            let members = config.upstreams_of(service).count();
            for name in config.upstreams_of(service) {
                let demand = self.local_demand(name, &held, members, queued);
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

    fn local_demand(
        &self,
        name: &UpstreamName,
        held: &BTreeMap<TierRank, u32>,
        members: usize,
        queued: bool,
    ) -> LocalDemand {
        let members = u32::try_from(members.max(1)).unwrap_or(u32::MAX);
        let mut tiers: BTreeMap<TierRank, u32> = BTreeMap::new();
        for tier in self.scheduler.demand(name) {
            *tiers.entry(tier.rank).or_default() += tier.seats;
        }
        for (rank, count) in held {
            *tiers.entry(*rank).or_default() += count.div_ceil(members);
        }
        let tiers = tiers.into_iter().filter(|(_, seats)| *seats > 0);
        LocalDemand {
            limit: self.scheduler.limit(name).unwrap_or_default(),
            in_use: self.scheduler.seats_in_use(name),
            tiers: tiers
                .map(|(rank, seats)| TierDemand { rank, seats })
                .collect(),
            queued,
        }
    }

    /// Whether a refusal for load may go out now. A tier may only be shed once nothing lower waits
    /// at any daemon: without asking, a daemon full of the highest tier sheds it while another
    /// still serves the lowest. If others must yield first, the request waits here for it.
    pub(super) fn may_shed(
        &mut self,
        now: CoreTime,
        request: &QueuedRequest,
        refusal: &RequestRefusal,
        effects: &mut EffectQueue,
    ) -> bool {
        let in_time = request.deadline_at > now.monotonic;
        let full = self.held.by_request.len() >= MAX_HELD_REQUESTS;
        if !refusal.is_for_load() || !in_time || full || self.stop.is_stopping() {
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
        self.held.by_request.insert(request.request, held);
        self.demands.counted_at = None;
        false
    }

    /// Refuses the held requests of lower tiers, the lowest first, before a higher tier is refused
    /// for load. They wait outside of the scheduler's queue, so it does not know that there is
    /// something lower to shed; the higher tier's caller would be turned away first.
    pub(super) fn shed_lower_held(
        &mut self,
        now: CoreTime,
        request: &QueuedRequest,
        effects: &mut EffectQueue,
    ) {
        let held = self.held.by_request.values().map(|held| &held.request);
        let lower = held.filter(|held| held.service == request.service && held.rank > request.rank);
        let mut lower_requests: Vec<_> = lower.map(|held| (held.rank, held.request)).collect();
        lower_requests.sort_unstable_by(|one, other| other.cmp(one));
        for (_, victim) in lower_requests {
            if let Some(held) = self.held.by_request.remove(&victim) {
                self.send_refusal(now, victim, held.refusal, effects);
            }
        }
    }

    /// Hands held requests to the scheduler again; those whose time is over are refused.
    fn retry_held(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        if self.held.by_request.is_empty() {
            return;
        }
        let held = self.held.by_request.values().map(|held| &held.request);
        let mut turns: Vec<_> = held.map(|held| (held.rank, held.request)).collect();
        turns.sort_unstable();
        let mut services = BTreeSet::new();
        // The highest tier first; the others stay held, so that they can yield to it.
        for (_, request) in turns {
            let Some(held) = self.held.by_request.remove(&request) else {
                continue;
            };
            services.insert(held.request.service.clone());
            if held.request.deadline_at <= now.monotonic {
                self.send_refusal(now, request, held.into_deadline_refusal(), effects);
            } else {
                let event = SchedulerEvent::Returned {
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
