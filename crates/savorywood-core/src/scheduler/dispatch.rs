//! From the queue to an upstream, and what happens to the record of it.

use super::{
    RequestScheduler, SchedulerMechanism, SchedulerView,
    fleet::UpstreamId,
    queue::{FrontSpan, WaitingRequest},
    routing::{PickFailure, PickedUpstream, SampleDraw},
    service::WantedSeats,
    table::{AttemptKey, AttemptRecord},
};
use crate::{
    effect::{DaemonEffect, DispatchCommand, EffectQueue},
    invariant::{self, InvariantName},
};
use rand::Rng;
use savorywood_protocol::{
    AttemptNumber, MonotonicTime, RefusalCode, RequestId, RequestRefusal, ServiceName,
};

/// Teams looked at for a request that may go to an upstream, when the first one's version has no
/// room or another's prefix is cached there.
const HEADS_COMPARED: usize = 6;
/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 3;
/// Requests looked at for one whose prefix a free upstream holds.
const HOLDER_SPAN: FrontSpan = FrontSpan {
    of_team: 4,
    of_tier: 12,
};

/// Share of its allowance from which an upstream that is shared by grants is scarce.
const SCARCE_SHARE: f64 = 0.5;

/// A waiting request and where it goes.
#[derive(Debug, Clone, Copy)]
struct PlannedDispatch {
    request: RequestId,
    picked: PickedUpstream,
}

impl RequestScheduler {
    /// Dispatches what waits for a service as long as some upstream has room.
    pub(super) fn drain(
        &mut self,
        now: MonotonicTime,
        name: &ServiceName,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        self.count_seats(now, name, view);
        loop {
            let draw = SampleDraw(self.rng.random());
            let Some(service) = self.services.get(name) else {
                return;
            };
            if service.saturated || service.queue.is_empty() {
                return;
            }
            if let Some(planned) = self.plan_any(now, name, view, draw) {
                self.dispatch(now, planned, view, effects);
            } else if let Some(service) = self.services.get_mut(name) {
                service.saturated = true;
            }
        }
    }

    fn plan_any(
        &self,
        now: MonotonicTime,
        name: &ServiceName,
        view: SchedulerView<'_>,
        draw: SampleDraw,
    ) -> Option<PlannedDispatch> {
        let service = self.services.get(name)?;
        for waiting in service.queue.heads().take(HEADS_COMPARED) {
            let request = waiting.request.request;
            match self.pick(now, waiting, view, draw) {
                Ok(picked) => return Some(PlannedDispatch { request, picked }),
                Err(
                    PickFailure::OtherVersion | PickFailure::TooSlow | PickFailure::HeldElsewhere,
                ) => {}
                // A request that could not reach one upstream must not hold up the others.
                Err(PickFailure::Full) if waiting.avoid.is_some() => {}
                Err(PickFailure::Full) => return None,
            }
        }
        None
    }

    /// Gives an upstream that has become free what waits.
    pub(super) fn fill(
        &mut self,
        now: MonotonicTime,
        upstream: UpstreamId,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(name) = self.fleet.get(upstream).map(|state| state.service.clone()) else {
            return;
        };
        while let Some(planned) = self.plan_this(now, &name, upstream, view) {
            self.dispatch(now, planned, view, effects);
        }
        if let Some(service) = self.services.get_mut(&name)
            && service.queue.is_empty()
        {
            service.saturated = false;
            service.wanted = WantedSeats::default();
        }
        self.drain(now, &name, view, effects);
    }

    fn plan_this(
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
        // Others want its seats: they may hold what this daemon would have to prefill.
        let scarce = f64::from(state.seats_used + 1) > f64::from(allowance.seats) * SCARCE_SHARE;
        let contended = grant.is_some() && scarce;
        let mut second: Option<PlannedDispatch> = None;
        for waiting in service.queue.front(HOLDER_SPAN) {
            let hit = waiting
                .held_prefix
                .is_some_and(|hash| self.prefixes.holds(upstream, hash));
            let unheld = waiting.held_prefix.is_none();
            let pressing = waiting.pressing_at <= now;
            let urgent = unheld || pressing || (waiting.patient_until <= now && !contended);
            if !hit && (!urgent || second.is_some()) {
                continue;
            }
            let request = waiting.request.request;
            match self.pick_this(now, waiting, upstream, view) {
                Ok(picked) if hit => return Some(PlannedDispatch { request, picked }),
                Ok(picked)
                    if pressing || unheld || waiting.is_worth_a_miss(now, picked.miss_time) =>
                {
                    second = Some(PlannedDispatch { request, picked });
                }
                Err(PickFailure::Full) if waiting.avoid != Some(upstream) => break,
                Ok(_) | Err(_) => {}
            }
            if second.is_some() && waiting.pressing_at <= now {
                break;
            }
        }
        second
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
            self.shed(now, &waiting, RefusalCode::NoUpstream, effects);
            return;
        };
        let order = DispatchCommand {
            request: planned.request,
            attempt: waiting.attempt,
            upstream: upstream.clone(),
            address: spec.address,
            deadline_at: waiting.request.deadline_at,
        };
        self.count_split(&name, &waiting, picked, view);
        let fresh = self.record(now, waiting, picked, view);
        // Two records of one request would be two dispatches: the caller's work would run twice.
        invariant::check(effects, InvariantName::DispatchAtMostOnce, fresh, || {
            format!("request={} is on record already", order.request)
        });
        if fresh {
            effects.push(DaemonEffect::Dispatch(order));
        }
    }

    fn count_split(
        &mut self,
        name: &ServiceName,
        waiting: &WaitingRequest,
        picked: PickedUpstream,
        view: SchedulerView<'_>,
    ) {
        // A retry was counted by its first attempt.
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

    /// Puts an attempt on record. Says `false` when the request is on record already.
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
            self.prefixes.note_dispatch(now, picked.upstream, hashes);
        }
        let record = AttemptRecord {
            request: waiting.request,
            upstream: picked.upstream,
            attempt: waiting.attempt,
            estimate: waiting.estimate,
            uncached: picked.uncached,
            cached_elsewhere: picked.cached_elsewhere,
            sent_at: now,
            first_at: None,
            heard_at: now,
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
            state.health.note_dispatch(now, state.seats_used == 0);
            state.seats_used += 1;
            state.tokens_used += batch_tokens;
            state.pending_prefill += u64::from(picked.uncached);
            let grant = view.grants.get(&state.name);
            let allowance = state.allowance(now, grant);
            state.note_use(allowance);
        }
        true
    }

    /// Takes an attempt off the record and its load off the upstream.
    pub(super) fn release(&mut self, key: AttemptKey) -> Option<AttemptRecord> {
        let record = self.attempts.remove(key)?;
        if let Some(state) = self.fleet.get_mut(record.upstream) {
            state.seats_used = state.seats_used.saturating_sub(1);
            state.tokens_used = state.tokens_used.saturating_sub(record.batch_tokens());
            if record.first_at.is_none() {
                let pending = u64::from(record.uncached);
                state.pending_prefill = state.pending_prefill.saturating_sub(pending);
            }
        }
        Some(record)
    }

    /// No byte left this host, so another upstream may be tried: this is not a second dispatch.
    pub(super) fn not_sent(
        &mut self,
        now: MonotonicTime,
        key: AttemptKey,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(record) = self.release(key) else {
            return;
        };
        let upstream = record.upstream;
        let name = record.request.service.clone();
        self.note_failure(now, upstream);
        let mut waiting = self.appraise(now, record.request, key.attempt.next(), view);
        waiting.avoid = Some(upstream);
        let others = self.services.get(&name);
        let others = others.is_some_and(|service| service.members.len() > 1);
        let timely = waiting.latest_start > now;
        if others && timely && key.attempt.0 + 1 < MAX_ATTEMPTS && self.retries.spend() {
            self.counters.retries += 1;
            self.enqueue(waiting);
        } else {
            self.shed(now, &waiting, RefusalCode::NoUpstream, effects);
        }
        self.fill(now, upstream, view, effects);
    }

    /// Nobody waits for the answer any longer: stop its work wherever it is.
    pub(super) fn caller_left(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        if let Some(waiting) = self.unqueue(request) {
            self.counters.tier(waiting.request.rank).left += 1;
            return;
        }
        let attempt = self.attempts.current(request);
        let Some(attempt) = attempt else {
            return;
        };
        effects.push(DaemonEffect::CancelAttempt { request, attempt });
        if let Some(record) = self.release(AttemptKey { request, attempt }) {
            self.counters.tier(record.request.rank).left += 1;
            self.counters.prefill.total += u64::from(record.uncached);
            self.counters.prefill.cancelled += u64::from(record.uncached);
            self.fill(now, record.upstream, view, effects);
        }
    }

    /// Stops attempts whose deadline has passed: their answers are of no use to anybody, and the
    /// seats are.
    pub(super) fn cancel_overdue(
        &mut self,
        now: MonotonicTime,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        while let Some(request) = self.attempts.overdue(now) {
            let attempt = self.attempts.current(request).unwrap_or_default();
            let Some(record) = self.release(AttemptKey { request, attempt }) else {
                return;
            };
            effects.push(DaemonEffect::CancelAttempt { request, attempt });
            let detail = "the deadline passed while the upstream worked on it";
            let refusal = RequestRefusal::unknown(RefusalCode::DeadlineExceeded, detail);
            effects.refuse(request, refusal);
            self.counters.tier(record.request.rank).late += 1;
            self.counters.prefill.total += u64::from(record.uncached);
            self.counters.prefill.late += u64::from(record.uncached);
            self.fill(now, record.upstream, view, effects);
        }
    }
}
