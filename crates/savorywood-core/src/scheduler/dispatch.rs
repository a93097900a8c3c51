//! Dispatches waiting requests to upstreams and tracks their attempts until they end.

use super::{
    RequestScheduler, SchedulerMechanism, SchedulerView,
    attempts::{AttemptKey, AttemptRecord},
    fleet::UpstreamId,
    queue::{ScanLimit, WaitingRequest},
    routing::{PickFailure, PickedUpstream, SampleRng},
    service::SlotDemand,
};
use crate::{
    effect::{DaemonEffect, DispatchCommand, EffectQueue},
    invariant::{self, InvariantName},
};
use rand::Rng;
use savorywood_protocol::{
    AttemptNumber, MonotonicTime, RefusalCode, RequestId, RequestRefusal, ServiceName,
};

/// Number of teams whose first request is considered when an upstream is sought, in case the
/// version for the first team's request has no capacity or its prefix is cached elsewhere.
const MAX_HEADS_COMPARED: usize = 6;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;
/// Number of waiting requests that are searched for one whose prefix a free upstream has cached.
const AFFINITY_SCAN: ScanLimit = ScanLimit {
    per_team: 4,
    per_tier: 12,
};

/// Fraction of the allowance in use from which the slots of an upstream that is shared by grants
/// count as scarce.
const SCARCE_USE_FRACTION: f64 = 0.5;

/// A waiting request and the upstream chosen for it.
#[derive(Debug, Clone, Copy)]
struct PlannedDispatch {
    request: RequestId,
    picked: PickedUpstream,
}

impl RequestScheduler {
    /// Dispatches the waiting requests of a service as long as an upstream has capacity.
    pub(super) fn dispatch_waiting(
        &mut self,
        now: MonotonicTime,
        name: &ServiceName,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        self.refresh_slot_count(now, name, view);
        loop {
            let sample_rng = SampleRng(self.rng.random());
            let Some(service) = self.services.get(name) else {
                return;
            };
            if service.saturated || service.queue.is_empty() {
                return;
            }
            if let Some(planned) = self.plan_for_any_upstream(now, name, view, sample_rng) {
                self.dispatch(now, planned, view, effects);
            } else if let Some(service) = self.services.get_mut(name) {
                service.saturated = true;
            }
        }
    }

    fn plan_for_any_upstream(
        &self,
        now: MonotonicTime,
        name: &ServiceName,
        view: SchedulerView<'_>,
        sample_rng: SampleRng,
    ) -> Option<PlannedDispatch> {
        let service = self.services.get(name)?;
        for waiting in service.queue.heads().take(MAX_HEADS_COMPARED) {
            let request = waiting.request.request;
            match self.pick_upstream(now, waiting, view, sample_rng) {
                Ok(picked) => return Some(PlannedDispatch { request, picked }),
                Err(
                    PickFailure::WrongVersion | PickFailure::TooSlow | PickFailure::CachedElsewhere,
                ) => {}
                // A request that could not reach one upstream must not block the requests behind
                // it.
                Err(PickFailure::NoCapacity) if waiting.excluded.is_some() => {}
                Err(PickFailure::NoCapacity) => return None,
            }
        }
        None
    }

    /// Dispatches waiting requests to an upstream that has got a free slot, then to others of its
    /// service.
    pub(super) fn fill_upstream(
        &mut self,
        now: MonotonicTime,
        upstream: UpstreamId,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(name) = self.fleet.get(upstream).map(|state| state.service.clone()) else {
            return;
        };
        while let Some(planned) = self.plan_for_upstream(now, &name, upstream, view) {
            self.dispatch(now, planned, view, effects);
        }
        if let Some(service) = self.services.get_mut(&name)
            && service.queue.is_empty()
        {
            service.saturated = false;
            service.demand = SlotDemand::default();
        }
        self.dispatch_waiting(now, &name, view, effects);
    }

    fn plan_for_upstream(
        &self,
        now: MonotonicTime,
        name: &ServiceName,
        upstream: UpstreamId,
        view: SchedulerView<'_>,
    ) -> Option<PlannedDispatch> {
        let service = self.services.get(name)?;
        if !service.saturated {
            return None;
        }
        let state = self.fleet.get(upstream)?;
        let grant = view.grants.get(&state.name);
        let allowance = state.allowance(now, grant);
        if !state.has_room(allowance, 0) {
            return None;
        }
        // Other daemons compete for these slots, and may have requests whose prefix is cached here.
        // A request of this daemon that would need a prefill waits longer for them.
        let scarce =
            f64::from(state.slots_used + 1) > f64::from(allowance.slots) * SCARCE_USE_FRACTION;
        let contended = grant.is_some() && scarce;
        let mut fallback: Option<PlannedDispatch> = None;
        for waiting in service.queue.front(AFFINITY_SCAN) {
            let is_cached_here = waiting
                .cached_prefix
                .is_some_and(|hash| self.prefixes.is_cached_on(upstream, hash));
            let is_uncached = waiting.cached_prefix.is_none();
            let is_urgent = waiting.urgent_at <= now;
            let may_miss_cache =
                is_uncached || is_urgent || (waiting.affinity_wait_until <= now && !contended);
            if !is_cached_here && (!may_miss_cache || fallback.is_some()) {
                continue;
            }
            let request = waiting.request.request;
            match self.check_upstream(now, waiting, upstream, view) {
                Ok(picked) if is_cached_here => return Some(PlannedDispatch { request, picked }),
                Ok(picked)
                    if is_urgent
                        || is_uncached
                        || waiting.accepts_cache_miss(now, picked.miss_time) =>
                {
                    fallback = Some(PlannedDispatch { request, picked });
                }
                Err(PickFailure::NoCapacity) if waiting.excluded != Some(upstream) => break,
                Ok(_) | Err(_) => {}
            }
            if fallback.is_some() && waiting.urgent_at <= now {
                break;
            }
        }
        fallback
    }

    fn dispatch(
        &mut self,
        now: MonotonicTime,
        planned: PlannedDispatch,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(name) = self.waits.remove(planned.request) else {
            return;
        };
        let service = self.services.get_mut(&name);
        let Some(waiting) = service.and_then(|service| service.queue.take(planned.request)) else {
            return;
        };
        let picked = planned.picked;
        let spec = self
            .fleet
            .get(picked.upstream)
            .and_then(|state| view.config.upstreams.get_key_value(&state.name));
        let Some((upstream, spec)) = spec else {
            self.refuse(now, &waiting, RefusalCode::NoUpstream, effects);
            return;
        };
        let order = DispatchCommand {
            request: planned.request,
            attempt: waiting.attempt,
            upstream: upstream.clone(),
            address: spec.address,
            deadline_at: waiting.request.deadline_at,
        };
        self.record_split(&name, &waiting, picked, view);
        let is_new = self.record(now, waiting, picked, view);
        // Two records of one request would be two dispatches, and the request would be executed
        // twice.
        invariant::check(effects, InvariantName::DispatchAtMostOnce, is_new, || {
            format!(
                "request={} already has an attempt in progress",
                order.request
            )
        });
        if is_new {
            effects.push(DaemonEffect::Dispatch(order));
        }
    }

    fn record_split(
        &mut self,
        name: &ServiceName,
        waiting: &WaitingRequest,
        picked: PickedUpstream,
        view: SchedulerView<'_>,
    ) {
        // A retry was counted with its first attempt.
        if waiting.attempt != AttemptNumber::default() {
            return;
        }
        if let Some(side) = picked.side
            && let Some(split) = view.splits.get(name)
            && let Some(service) = self.services.get_mut(name)
        {
            let route = waiting.request.route.as_str();
            let seed = self.options.seed();
            service.splits.record(split, route, seed, side);
        }
    }

    /// Records an attempt and adds its load to the upstream. Returns `false` if the request already
    /// has an attempt in progress.
    fn record(
        &mut self,
        now: MonotonicTime,
        waiting: WaitingRequest,
        picked: PickedUpstream,
        view: SchedulerView<'_>,
    ) -> bool {
        let rank = waiting.request.rank;
        let hashes = &waiting.request.prompt.prefix_hashes;
        if self.options.has(SchedulerMechanism::Affinity) {
            self.prefixes.record_dispatch(now, picked.upstream, hashes);
        }
        let record = AttemptRecord {
            request: waiting.request,
            upstream: picked.upstream,
            attempt: waiting.attempt,
            estimate: waiting.estimate,
            uncached: picked.uncached,
            cached_elsewhere: picked.cached_elsewhere,
            dispatched_at: now,
            first_token_at: None,
            last_token_at: now,
            tokens: 0,
        };
        let batch_tokens = record.batch_tokens();
        if !self.attempts.insert(record) {
            return false;
        }
        if waiting.attempt == AttemptNumber::default() {
            self.counters.tier(rank).dispatched += 1;
        }
        if let Some(state) = self.fleet.get_mut(picked.upstream) {
            state.health.record_dispatch(now, state.slots_used == 0);
            state.slots_used += 1;
            state.tokens_used += batch_tokens;
            state.pending_prefill += u64::from(picked.uncached);
            let grant = view.grants.get(&state.name);
            let allowance = state.allowance(now, grant);
            state.record_use(allowance);
        }
        true
    }

    /// Removes the record of an attempt and its load from the upstream. `None` if the attempt is no
    /// longer in progress.
    pub(super) fn release_attempt(&mut self, key: AttemptKey) -> Option<AttemptRecord> {
        let record = self.attempts.remove(key)?;
        if let Some(state) = self.fleet.get_mut(record.upstream) {
            state.slots_used = state.slots_used.saturating_sub(1);
            state.tokens_used = state.tokens_used.saturating_sub(record.batch_tokens());
            if record.first_token_at.is_none() {
                let pending = u64::from(record.uncached);
                state.pending_prefill = state.pending_prefill.saturating_sub(pending);
            }
        }
        Some(record)
    }

    /// Retries a request on another upstream. No byte of it was sent, so this is not a second
    /// dispatch. Refuses it if there is no other upstream, time or retry budget left.
    pub(super) fn handle_not_sent(
        &mut self,
        now: MonotonicTime,
        key: AttemptKey,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(record) = self.release_attempt(key) else {
            return;
        };
        let upstream = record.upstream;
        let name = record.request.service.clone();
        self.record_failure(now, upstream);
        let mut waiting = self.estimate_request(now, record.request, key.attempt.next(), view);
        waiting.excluded = Some(upstream);
        let others = self.services.get(&name);
        let others = others.is_some_and(|service| service.members.len() > 1);
        let timely = waiting.latest_start > now;
        if others && timely && key.attempt.0 + 1 < MAX_ATTEMPTS && self.retries.try_spend() {
            self.counters.retries += 1;
            self.enqueue_waiting(waiting);
        } else {
            self.refuse(now, &waiting, RefusalCode::NoUpstream, effects);
        }
        self.fill_upstream(now, upstream, view, effects);
    }

    /// Removes the request of a caller that disconnected, and cancels its attempt if there is one.
    pub(super) fn handle_caller_left(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        if let Some(waiting) = self.remove_waiting(request) {
            self.counters.tier(waiting.request.rank).caller_left += 1;
            return;
        }
        let attempt = self.attempts.current(request);
        let Some(attempt) = attempt else {
            return;
        };
        effects.push(DaemonEffect::CancelAttempt { request, attempt });
        if let Some(record) = self.release_attempt(AttemptKey { request, attempt }) {
            self.counters.tier(record.request.rank).caller_left += 1;
            self.counters.prefill.total += u64::from(record.uncached);
            self.counters.prefill.cancelled += u64::from(record.uncached);
            self.fill_upstream(now, record.upstream, view, effects);
        }
    }

    /// Cancels attempts whose deadline has passed: nobody needs their responses, and their slots
    /// become free.
    pub(super) fn cancel_expired(
        &mut self,
        now: MonotonicTime,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        while let Some(request) = self.attempts.next_expired(now) {
            let attempt = self.attempts.current(request).unwrap_or_default();
            let Some(record) = self.release_attempt(AttemptKey { request, attempt }) else {
                return;
            };
            effects.push(DaemonEffect::CancelAttempt { request, attempt });
            let detail = "the deadline passed while the upstream was processing the request";
            let refusal = RequestRefusal::unknown(RefusalCode::DeadlineExceeded, detail);
            effects.refuse(request, refusal);
            self.counters.tier(record.request.rank).late += 1;
            self.counters.prefill.total += u64::from(record.uncached);
            self.counters.prefill.late += u64::from(record.uncached);
            self.fill_upstream(now, record.upstream, view, effects);
        }
    }
}
