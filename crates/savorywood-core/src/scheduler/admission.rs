//! Admission control: decides which requests are queued and which are refused on arrival.

use super::{
    RequestScheduler, SchedulerMechanism, SchedulerView,
    cost::CostEstimate,
    queue::WaitingRequest,
    service::{ServiceState, SlotCount},
};
use crate::{effect::EffectQueue, request::QueuedRequest};
use savorywood_protocol::{
    AttemptNumber, MonotonicTime, RefusalCode, RequestId, ServiceName, TierRank,
    resource::ServiceObjectives,
};
use std::time::Duration;

/// Maximum number of waiting requests of one service; bounds the memory of its queue.
pub const MAX_WAITING_REQUESTS: usize = 4_096;
/// Minimum interval between two counts of a service's slots.
const SLOT_COUNT_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum fraction of a service's slots that the wait estimate assumes for a tier, even if the
/// load of higher tiers uses all of them.
const MIN_SLOT_FRACTION: f64 = 0.05;
/// Fraction of the predicted completion time that must remain until the deadline when a request
/// starts on a saturated service. More than 1, because a request that starts and then misses its
/// deadline has used a slot and its prefill, while a refusal uses neither.
const SATURATED_TIME_FACTOR: f64 = 1.2;
/// The same fraction while upstreams have free slots: a slot that no other request needs costs
/// nothing.
const IDLE_TIME_FACTOR: f64 = 0.8;
/// Fraction of a request's slack, the time until it can no longer meet its deadline, after which it
/// is urgent: it goes first in its tier, wherever its prefix is cached.
const URGENT_SLACK_FRACTION: f64 = 0.75;
/// Fraction of the first-token objective for which a request may wait for an upstream that has its
/// prefix cached.
const AFFINITY_WAIT_FRACTION: f64 = 0.8;
/// Fraction of a request's slack that may be spent on that wait.
const AFFINITY_SLACK_FRACTION: f64 = 0.6;
/// Divisor from the microseconds of slot time to seconds.
pub(super) const MICROS_PER_SECOND: f64 = 1e6;

impl RequestScheduler {
    pub(super) fn handle_arrival(
        &mut self,
        now: MonotonicTime,
        request: QueuedRequest,
        attempt: AttemptNumber,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        self.counters.tier(request.rank).arrived += 1;
        self.retries.deposit();
        let name = request.service.clone();
        let waiting = self.estimate_request(now, request, attempt, view);
        // A request below the admission floor is queued first and then shed in shedding order. If
        // it were refused after the others, it would be a lower tier that still waits while a
        // higher one is shed.
        let floor = view.floors.get(&name);
        let is_below = floor.is_some_and(|floor| waiting.request.rank > *floor);
        if is_below && self.services.contains_key(&name) {
            self.enqueue_waiting(waiting);
            return self.enforce_floor(now, &name, view, effects);
        }
        self.enforce_floor(now, &name, view, effects);
        if let Err(refusal) = self.check_admission(now, &waiting, view, effects) {
            self.refuse(now, &waiting, refusal, effects);
            return;
        }
        if let Some(service) = self.services.get_mut(&name) {
            let meter = service.arrivals.entry(waiting.request.rank).or_default();
            meter.record(now, waiting.slot_micros as f64 / MICROS_PER_SECOND);
        }
        let mut waiting = waiting;
        let wait = self.expected_wait(now, &waiting, view);
        let max_affinity_wait = waiting
            .urgent_at
            .since(now)
            .mul_f64(AFFINITY_SLACK_FRACTION);
        waiting.affinity_wait_until = waiting
            .affinity_wait_until
            .max(now + wait.min(max_affinity_wait));
        self.enqueue_waiting(waiting);
        self.dispatch_waiting(now, &name, view, effects);
    }

    /// Predicts the size of a request and the times that follow from it.
    pub(super) fn estimate_request(
        &self,
        now: MonotonicTime,
        request: QueuedRequest,
        attempt: AttemptNumber,
        view: SchedulerView<'_>,
    ) -> WaitingRequest {
        let by_team = self.options.has(SchedulerMechanism::TeamCosts);
        let estimate = self.costs.predict(&request, by_team);
        let service = self.services.get(&request.service);
        let objectives = service_objectives(&request.service, view);
        let mean_time = completion_time(service, estimate, estimate.output_mean, &objectives);
        let median_time = completion_time(service, estimate, estimate.output_median, &objectives);
        let measured =
            estimate.observed && service.is_some_and(|service| service.speed.has_token_gap());
        let latest_start = if measured && self.options.has(SchedulerMechanism::DeadlineAdmission) {
            let saturated = service.is_some_and(|service| service.saturated);
            let time_factor = if saturated {
                SATURATED_TIME_FACTOR
            } else {
                IDLE_TIME_FACTOR
            };
            request.deadline_at - median_time.mul_f64(time_factor)
        } else {
            request.deadline_at
        };
        let cached_prefix = if self.options.has(SchedulerMechanism::Affinity) {
            let hashes = &request.prompt.prefix_hashes;
            self.prefixes.longest_cached(now, hashes)
        } else {
            None
        };
        let first_token = Duration::from_millis(objectives.first_token_ms.into());
        let affinity_wait = first_token.mul_f64(AFFINITY_WAIT_FRACTION);
        // A long response must still meet the deadline after the wait for an upstream that has the
        // prefix cached.
        let long_time = completion_time(service, estimate, estimate.output_high, &objectives);
        let slack = (request.deadline_at - long_time).since(now);
        WaitingRequest {
            affinity_wait_until: now + affinity_wait.min(slack.mul_f64(AFFINITY_SLACK_FRACTION)),
            urgent_at: now + slack.mul_f64(URGENT_SLACK_FRACTION),
            cached_prefix,
            request,
            attempt,
            estimate,
            slot_micros: u64::try_from(mean_time.as_micros()).unwrap_or(u64::MAX),
            latest_start,
            excluded: None,
        }
    }

    /// Decides whether a request may be queued. If the queue is full, requests of lower tiers are
    /// evicted first.
    fn check_admission(
        &mut self,
        now: MonotonicTime,
        waiting: &WaitingRequest,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) -> Result<(), RefusalCode> {
        let request = &waiting.request;
        let rank = request.rank;
        let service = self.services.get(&request.service);
        if service.is_none_or(|service| service.members.is_empty()) {
            return Err(RefusalCode::NoUpstream);
        }
        if let Some(floor) = view.floors.get(&request.service)
            && rank > *floor
        {
            return Err(RefusalCode::TierShed);
        }
        if waiting.latest_start <= now {
            return Err(RefusalCode::DeadlineExceeded);
        }
        self.evict_lower_tier(now, waiting, effects)?;
        if !self.options.has(SchedulerMechanism::DeadlineAdmission) {
            return Ok(());
        }
        let wait = self.expected_wait(now, waiting, view);
        let lower_waits = self
            .services
            .get(&request.service)
            .and_then(|service| service.queue.lowest_rank())
            .is_some_and(|lowest| lowest > rank);
        // A higher tier is not refused because of an estimate while a lower tier waits in this
        // queue: it goes ahead of the lower tier, and is refused only when its deadline can't be
        // met.
        if now + wait > waiting.latest_start && !lower_waits {
            return Err(RefusalCode::Overloaded);
        }
        Ok(())
    }

    /// Keeps the queue within its bound by shedding the newest request of the lowest tier.
    fn evict_lower_tier(
        &mut self,
        now: MonotonicTime,
        waiting: &WaitingRequest,
        effects: &mut EffectQueue,
    ) -> Result<(), RefusalCode> {
        let name = &waiting.request.service;
        let Some(service) = self.services.get(name) else {
            return Err(RefusalCode::NoUpstream);
        };
        if service.queue.len() < MAX_WAITING_REQUESTS {
            return Ok(());
        }
        let lowest = service.queue.lowest_rank();
        if lowest.is_none_or(|lowest| lowest <= waiting.request.rank) {
            return Err(RefusalCode::Overloaded);
        }
        if let Some(victim) = service.queue.shed_candidate() {
            self.refuse_waiting(now, victim, RefusalCode::Overloaded, effects);
        }
        Ok(())
    }

    /// Estimates the time until a request is dispatched: the slot time queued ahead of it, divided
    /// by the slots that higher tiers leave.
    pub(super) fn expected_wait(
        &mut self,
        now: MonotonicTime,
        waiting: &WaitingRequest,
        view: SchedulerView<'_>,
    ) -> Duration {
        let name = &waiting.request.service;
        self.refresh_slot_count(now, name, view);
        let Some(service) = self.services.get(name) else {
            return Duration::ZERO;
        };
        if !service.saturated {
            return Duration::ZERO;
        }
        let slots = slots_left(now, service, waiting.request.rank);
        let ahead = service.queue.work_ahead(&waiting.request) as f64 / MICROS_PER_SECOND;
        let turnover = waiting.slot_micros as f64 / MICROS_PER_SECOND / 2.0;
        Duration::from_secs_f64(((ahead + turnover) / slots).min(3_600.0))
    }

    pub(super) fn refresh_slot_count(
        &mut self,
        now: MonotonicTime,
        name: &ServiceName,
        view: SchedulerView<'_>,
    ) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let counted = service.slot_count.counted_at;
        if counted.is_some_and(|at| now.since(at) < SLOT_COUNT_INTERVAL) {
            return;
        }
        let typical = service.typical_speed(&service_objectives(name, view));
        let mut count = SlotCount {
            slots: 0.0,
            fastest_gap: typical.gap,
            counted_at: Some(now),
        };
        for state in service.members.iter().filter_map(|id| self.fleet.get(*id)) {
            let grant = view.grants.get(&state.name);
            let slots = state.allowance(now, grant).slots;
            count.slots += f64::from(slots);
            if slots > 0 {
                count.fastest_gap = count.fastest_gap.min(state.speed.estimate(typical).gap);
            }
        }
        service.slot_count = count;
    }

    /// Adds a request to its service's queue and to the index of waiting requests.
    pub(super) fn enqueue_waiting(&mut self, waiting: WaitingRequest) {
        let Some(service) = self.services.get_mut(&waiting.request.service) else {
            return;
        };
        self.waits.insert(&waiting);
        service.queue.push(waiting);
    }

    /// Removes a waiting request from its service's queue. `None` if it does not wait.
    pub(super) fn remove_waiting(&mut self, request: RequestId) -> Option<WaitingRequest> {
        let service = self.waits.remove(request)?;
        self.services.get_mut(&service)?.queue.remove(request)
    }
}

/// Returns the slots that higher tiers leave to a tier, by their arrival rates.
pub(super) fn slots_left(now: MonotonicTime, service: &ServiceState, rank: TierRank) -> f64 {
    let slots = service.slot_count.slots.max(1.0);
    let left = slots - service.higher_tier_load(now, rank);
    left.max(slots * MIN_SLOT_FRACTION)
}

fn completion_time(
    service: Option<&ServiceState>,
    estimate: CostEstimate,
    output: u32,
    objectives: &ServiceObjectives,
) -> Duration {
    let Some(service) = service else {
        return Duration::ZERO;
    };
    let miss_ratio = service.miss_ratio.value().unwrap_or(1.0);
    let uncached = f64::from(estimate.prompt) * miss_ratio;
    let speed = service.typical_speed(objectives);
    Duration::from_secs_f64(
        speed
            .completion_seconds(uncached, f64::from(output))
            .min(3_600.0),
    )
}

pub(super) fn service_objectives(name: &ServiceName, view: SchedulerView<'_>) -> ServiceObjectives {
    let spec = view.config.services.get(name);
    spec.map(|spec| spec.objectives).unwrap_or_default()
}
