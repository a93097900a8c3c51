//! Who is let in and who waits.

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

/// Requests of a service that wait at most, and with it the memory of its queue.
pub const MAX_WAITING: usize = 4_096;
/// Seats are counted again after this long.
const COUNT_EVERY: Duration = Duration::from_millis(50);
/// Least share of the seats that a tier is taken to get when higher ones want them all.
const LEAST_SHARE: f64 = 0.05;
/// Share of the predicted time that must be left when work begins. More than one: work that is
/// begun and then late has cost a seat and its prefill, a refusal costs neither.
const NEEDED_SHARE: f64 = 1.2;
/// The same while upstreams have room: a seat that nobody else wants costs nothing.
const IDLE_NEEDED_SHARE: f64 = 0.8;
/// Share of the first-token objective for which a request may be kept for an upstream that holds
/// its prefix.
/// Share of the time until it is hopeless after which a request goes first in its tier, whatever is
/// cached where.
const PRESSING_SHARE: f64 = 0.75;
const PATIENT_SHARE: f64 = 0.8;
/// Share of the time until it is hopeless for which it may be kept so.
const PATIENT_SLACK: f64 = 0.6;
pub(super) const MICROS: f64 = 1e6;

impl RequestScheduler {
    pub(super) fn arrive(
        &mut self,
        now: MonotonicTime,
        request: QueuedRequest,
        attempt: AttemptNumber,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        self.counters.tier(request.rank).arrived += 1;
        self.retries.earn();
        let name = request.service.clone();
        let waiting = self.appraise(now, request, attempt, view);
        // Below the floor it takes its place in the order of shedding. Refused last, it would be a
        // lower tier that still waits while a higher one is shed.
        let floor = view.floors.get(&name);
        let is_below = floor.is_some_and(|floor| waiting.request.rank > *floor);
        if is_below && self.services.contains_key(&name) {
            self.enqueue(waiting);
            return self.enforce_floor(now, &name, view, effects);
        }
        self.enforce_floor(now, &name, view, effects);
        if let Err(refusal) = self.admit(now, &waiting, view, effects) {
            self.shed(now, &waiting, refusal, effects);
            return;
        }
        if let Some(service) = self.services.get_mut(&name) {
            let meter = service.arrivals.entry(waiting.request.rank).or_default();
            meter.record(now, waiting.slot_micros as f64 / MICROS);
        }
        let mut waiting = waiting;
        let wait = self.expected_wait(now, &waiting, view);
        let longest_patience = waiting.pressing_at.since(now).mul_f64(PATIENT_SLACK);
        waiting.patient_until = waiting.patient_until.max(now + wait.min(longest_patience));
        self.enqueue(waiting);
        self.drain(now, &name, view, effects);
    }

    /// Predicts size and time of a request.
    pub(super) fn appraise(
        &self,
        now: MonotonicTime,
        request: QueuedRequest,
        attempt: AttemptNumber,
        view: SchedulerView<'_>,
    ) -> WaitingRequest {
        let by_team = self.options.has(SchedulerMechanism::TeamCosts);
        let estimate = self.costs.predict(&request, by_team);
        let service = self.services.get(&request.service);
        let objectives = objectives_of(&request.service, view);
        let mean = whole_time(service, estimate, estimate.output_mean, &objectives);
        let needed = whole_time(service, estimate, estimate.output_median, &objectives);
        let known = estimate.learned && service.is_some_and(|service| service.speed.is_known());
        let latest_start = if known && self.options.has(SchedulerMechanism::DeadlineAdmission) {
            let saturated = service.is_some_and(|service| service.saturated);
            let share = if saturated {
                NEEDED_SHARE
            } else {
                IDLE_NEEDED_SHARE
            };
            request.deadline_at - needed.mul_f64(share)
        } else {
            request.deadline_at
        };
        let held_prefix = if self.options.has(SchedulerMechanism::Affinity) {
            let hashes = &request.prompt.prefix_hashes;
            self.prefixes.longest_held(now, hashes)
        } else {
            None
        };
        let first_token = Duration::from_millis(objectives.first_token_ms.into());
        let patience = first_token.mul_f64(PATIENT_SHARE);
        // A long answer must still be in time after the wait for a holder of its prefix.
        let longest = whole_time(service, estimate, estimate.output_high, &objectives);
        let slack = (request.deadline_at - longest).since(now);
        WaitingRequest {
            patient_until: now + patience.min(slack.mul_f64(PATIENT_SLACK)),
            pressing_at: now + slack.mul_f64(PRESSING_SHARE),
            held_prefix,
            request,
            attempt,
            estimate,
            slot_micros: u64::try_from(mean.as_micros()).unwrap_or(u64::MAX),
            latest_start,
            avoid: None,
        }
    }

    /// Decides whether a request may wait. Lower tiers make room for it first.
    fn admit(
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
        self.make_room(now, waiting, effects)?;
        if !self.options.has(SchedulerMechanism::DeadlineAdmission) {
            return Ok(());
        }
        let wait = self.expected_wait(now, waiting, view);
        let lower_waits = self
            .services
            .get(&request.service)
            .and_then(|service| service.queue.lowest_rank())
            .is_some_and(|lowest| lowest > rank);
        // A higher tier is not turned away by an estimate while a lower one waits here: it goes
        // ahead of it, and is refused only once its deadline is really out of reach.
        if now + wait > waiting.latest_start && !lower_waits {
            return Err(RefusalCode::Overloaded);
        }
        Ok(())
    }

    /// Keeps the queue within its bound by shedding the lowest tier's newest request.
    fn make_room(
        &mut self,
        now: MonotonicTime,
        waiting: &WaitingRequest,
        effects: &mut EffectQueue,
    ) -> Result<(), RefusalCode> {
        let name = &waiting.request.service;
        let Some(service) = self.services.get(name) else {
            return Err(RefusalCode::NoUpstream);
        };
        if service.queue.len() < MAX_WAITING {
            return Ok(());
        }
        let lowest = service.queue.lowest_rank();
        if lowest.is_none_or(|lowest| lowest <= waiting.request.rank) {
            return Err(RefusalCode::Overloaded);
        }
        if let Some(victim) = service.queue.shed_candidate() {
            self.shed_waiting(now, victim, RefusalCode::Overloaded, effects);
        }
        Ok(())
    }

    /// Time until a request's turn comes: the work that goes before it, over the seats that are
    /// left by higher tiers.
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
        let ahead = service.queue.work_ahead(&waiting.request) as f64 / MICROS;
        let turnover = waiting.slot_micros as f64 / MICROS / 2.0;
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
        if counted.is_some_and(|at| now.since(at) < COUNT_EVERY) {
            return;
        }
        let usual = service.usual_speed(&objectives_of(name, view));
        let mut count = SlotCount {
            slots: 0.0,
            fast_gap: usual.gap,
            counted_at: Some(now),
        };
        for state in service.members.iter().filter_map(|id| self.fleet.get(*id)) {
            let grant = view.grants.get(&state.name);
            let slots = state.allowance(now, grant).slots;
            count.slots += f64::from(slots);
            if slots > 0 {
                count.fast_gap = count.fast_gap.min(state.speed.estimate(usual).gap);
            }
        }
        service.slot_count = count;
    }

    /// Puts a request into its service's queue.
    pub(super) fn enqueue(&mut self, waiting: WaitingRequest) {
        let Some(service) = self.services.get_mut(&waiting.request.service) else {
            return;
        };
        self.waits.insert(&waiting);
        service.queue.push(waiting);
    }

    /// Takes a request out of its service's queue, wherever it waits.
    pub(super) fn unqueue(&mut self, request: RequestId) -> Option<WaitingRequest> {
        let service = self.waits.remove(request)?;
        self.services.get_mut(&service)?.queue.remove(request)
    }
}

/// Seats that higher tiers leave to a tier.
pub(super) fn slots_left(now: MonotonicTime, service: &ServiceState, rank: TierRank) -> f64 {
    let slots = service.slot_count.slots.max(1.0);
    let left = slots - service.higher_load(now, rank);
    left.max(slots * LEAST_SHARE)
}

fn whole_time(
    service: Option<&ServiceState>,
    estimate: CostEstimate,
    output: u32,
    objectives: &ServiceObjectives,
) -> Duration {
    let Some(service) = service else {
        return Duration::ZERO;
    };
    let miss_share = service.miss_share.value().unwrap_or(1.0);
    let uncached = f64::from(estimate.prompt) * miss_share;
    let speed = service.usual_speed(objectives);
    Duration::from_secs_f64(speed.whole(uncached, f64::from(output)).min(3_600.0))
}

pub(super) fn objectives_of(name: &ServiceName, view: SchedulerView<'_>) -> ServiceObjectives {
    let spec = view.config.services.get(name);
    spec.map(|spec| spec.objectives).unwrap_or_default()
}
