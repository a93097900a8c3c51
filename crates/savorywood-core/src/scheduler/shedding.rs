//! Load shedding and refusals: which requests are refused, in which order, and with which
//! retry-after delay.

use super::{
    RequestScheduler, SchedulerView,
    admission::{MICROS_PER_SECOND, slots_left},
    queue::WaitingRequest,
    retry::retry_after_delay,
};
use crate::{
    effect::EffectQueue,
    invariant::{self, InvariantName},
    request::QueuedRequest,
};
use rand::Rng;
use savorywood_protocol::{MonotonicTime, RefusalCode, RequestId, RequestRefusal, ServiceName};
use std::time::Duration;

impl RequestScheduler {
    /// Sheds waiting requests below the service's admission floor, lowest tier first.
    pub(super) fn enforce_floor(
        &mut self,
        now: MonotonicTime,
        name: &ServiceName,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(floor) = view.floors.get(name) else {
            return;
        };
        while let Some(service) = self.services.get(name)
            && service
                .queue
                .lowest_rank()
                .is_some_and(|rank| rank > *floor)
            && let Some(victim) = service.queue.shed_candidate()
        {
            self.refuse_waiting(now, victim, RefusalCode::TierShed, effects);
        }
    }

    /// Refuses waiting requests that can no longer meet their deadline.
    pub(super) fn expire_waiting(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        while let Some(request) = self.waits.next_expired(now) {
            self.refuse_waiting(now, request, RefusalCode::DeadlineExceeded, effects);
        }
    }

    pub(super) fn refuse_waiting(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        code: RefusalCode,
        effects: &mut EffectQueue,
    ) {
        if let Some(waiting) = self.remove_waiting(request) {
            self.refuse(now, &waiting, code, effects);
        }
    }

    /// Refuses a request that is not in the queue. None of it was sent to an upstream.
    pub(super) fn refuse(
        &mut self,
        now: MonotonicTime,
        waiting: &WaitingRequest,
        code: RefusalCode,
        effects: &mut EffectQueue,
    ) {
        let rank = waiting.request.rank;
        let for_load = matches!(code, RefusalCode::Overloaded | RefusalCode::TierShed);
        if for_load {
            self.check_shed_order(&waiting.request, effects);
        }
        let retry_after = self.estimate_retry_after(now, waiting);
        if let Some(service) = self.services.get_mut(&waiting.request.service)
            && for_load
        {
            service.last_shed_at.insert(rank, now);
        }
        *self.counters.tier(rank).refused.entry(code).or_default() += 1;
        let refusal =
            RequestRefusal::not_run(code, refusal_detail(code)).with_retry_after(retry_after);
        effects.refuse(waiting.request.request, refusal);
    }

    fn check_shed_order(&self, request: &QueuedRequest, effects: &mut EffectQueue) {
        let service = self.services.get(&request.service);
        let lowest = service.and_then(|service| service.queue.lowest_rank());
        let in_order = lowest.is_none_or(|lowest| lowest <= request.rank);
        invariant::check(effects, InvariantName::ShedLowestFirst, in_order, || {
            let (request, rank) = (request.request, request.rank);
            let lowest = lowest.unwrap_or_default();
            format!("request={request} rank={rank} shed while a request of rank={lowest} waits")
        });
    }

    /// Estimates when a refused caller should retry: when the work queued ahead of its tier is
    /// done.
    fn estimate_retry_after(&mut self, now: MonotonicTime, waiting: &WaitingRequest) -> Duration {
        let jitter: f64 = self.rng.random();
        let Some(service) = self.services.get(&waiting.request.service) else {
            return retry_after_delay(Duration::ZERO, jitter);
        };
        let slots = slots_left(now, service, waiting.request.rank);
        let ahead = service.queue.work_ahead(&waiting.request) as f64 / MICROS_PER_SECOND;
        let wait = Duration::from_secs_f64((ahead / slots).min(3_600.0));
        retry_after_delay(wait, jitter)
    }
}

fn refusal_detail(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::TierShed => {
            "requests of this tier are not admitted now; retry after the given time"
        }
        RefusalCode::DeadlineExceeded => {
            "the deadline can't be met any more; come back after the given time or allow more"
        }
        RefusalCode::NoUpstream => "the service has no reachable upstream",
        _ => "the work queued ahead would use up the deadline; retry after the given time",
    }
}
