//! Admission, queues, limits and routing: who runs, where, and who is turned away.

mod table;

use crate::{
    effect::{DaemonEffect, DispatchOrder, EffectQueue},
    event::UpstreamEvent,
    invariant::{self, InvariantName},
    request::QueuedRequest,
    view::{ConfigView, VersionSplit},
};
use savorywood_protocol::{
    AttemptNumber, CoreTime, RefusalCode, RequestId, RequestRefusal, ServiceName, TierRank,
    UpstreamName, ZoneName, peer::credits::TierDemand,
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use table::{AttemptRecord, AttemptTable};

/// What the scheduler reads of other duties in a step.
#[derive(Debug, Clone, Copy)]
pub struct SchedulerView<'a> {
    /// Configuration in force.
    pub config: &'a ConfigView,
    /// Own availability zone.
    pub zone: &'a ZoneName,
    /// Splits of services whose traffic is moving.
    pub splits: &'a BTreeMap<ServiceName, VersionSplit>,
    /// Seats granted on contended upstreams; an absent upstream is not contended.
    pub grants: &'a BTreeMap<UpstreamName, SeatGrant>,
    /// Lowest tier that a service admits; absent when all are.
    pub floors: &'a BTreeMap<ServiceName, TierRank>,
}

/// What the arbiter of an upstream allows this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeatGrant {
    /// Seats at once.
    pub seats: u32,
}

/// What happens to the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// A request was resolved, and claimed where it may not be repeated.
    Arrived(Box<QueuedRequest>),
    /// A caller left.
    CallerLeft {
        /// Its request.
        request: RequestId,
    },
    /// An upstream did something.
    Upstream(UpstreamEvent),
    /// One of its timers fired.
    TimerFired {
        /// Number of the timer.
        number: u64,
    },
    /// Configuration, splits, grants or floors changed.
    ViewChanged,
}

/// Longest queue of a service before arrivals are refused.
const MAX_QUEUE: usize = 4_096;

/// State of the scheduler.
#[derive(Debug, Default)]
pub struct RequestScheduler {
    attempts: AttemptTable,
    queues: BTreeMap<ServiceName, VecDeque<QueuedRequest>>,
}

impl RequestScheduler {
    /// Handles one event.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: SchedulerEvent,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        match event {
            SchedulerEvent::Arrived(request) => self.arrive(now, *request, view, effects),
            SchedulerEvent::CallerLeft { request } => self.caller_left(request, effects),
            SchedulerEvent::Upstream(event) => self.upstream(now, &event, view, effects),
            SchedulerEvent::TimerFired { .. } => {}
            SchedulerEvent::ViewChanged => self.drain_all(now, view, effects),
        }
    }

    /// Requests that wait or run, for the planned stop.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        let waiting: usize = self.queues.values().map(VecDeque::len).sum();
        waiting + self.attempts.len()
    }

    /// Seats in use and wanted on an upstream, by tier.
    #[must_use]
    pub fn demand(&self, _upstream: &UpstreamName) -> Vec<TierDemand> {
        Vec::new()
    }

    fn arrive(
        &mut self,
        now: CoreTime,
        request: QueuedRequest,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let queue = self.queues.entry(request.service.clone()).or_default();
        if queue.len() >= MAX_QUEUE {
            let refusal = RequestRefusal::not_run(RefusalCode::Overloaded, "the queue is full")
                .with_retry_after(Duration::from_secs(1));
            effects.refuse(request.request, refusal);
            return;
        }
        let service = request.service.clone();
        queue.push_back(request);
        self.drain(now, &service, view, effects);
    }

    fn drain_all(&mut self, now: CoreTime, view: SchedulerView<'_>, effects: &mut EffectQueue) {
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in &services {
            self.drain(now, service, view, effects);
        }
    }

    fn drain(
        &mut self,
        now: CoreTime,
        service: &ServiceName,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        while let Some(request) = self.queues.get_mut(service).and_then(VecDeque::pop_front) {
            if request.deadline_at <= now.monotonic {
                let detail = "the deadline passed while the request waited";
                let refusal = RequestRefusal::not_run(RefusalCode::DeadlineExceeded, detail);
                effects.refuse(request.request, refusal);
                continue;
            }
            let Some(upstream) = self.pick(service, view) else {
                if let Some(queue) = self.queues.get_mut(service) {
                    queue.push_front(request);
                }
                return;
            };
            self.dispatch(request, upstream, AttemptNumber::default(), view, effects);
        }
    }

    fn pick(&self, service: &ServiceName, view: SchedulerView<'_>) -> Option<UpstreamName> {
        let names = view.config.upstreams_of(service);
        let open = names.filter_map(|name| {
            let spec = view.config.upstreams.get(name)?;
            let used = self.attempts.used_seats(name);
            let free = !spec.draining && used < spec.seats;
            free.then_some((used * 1_000 / spec.seats.max(1), name))
        });
        open.min().map(|(_, name)| name.clone())
    }

    fn dispatch(
        &mut self,
        request: QueuedRequest,
        upstream: UpstreamName,
        attempt: AttemptNumber,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(spec) = view.config.upstreams.get(&upstream) else {
            return;
        };
        let order = DispatchOrder {
            request: request.request,
            attempt,
            upstream: upstream.clone(),
            address: spec.address,
            deadline_at: request.deadline_at,
        };
        let fresh = self.attempts.insert(AttemptRecord {
            request,
            upstream,
            attempt,
        });
        invariant::check(effects, InvariantName::DispatchAtMostOnce, fresh, || {
            format!("request={} is on record already", order.request)
        });
        if fresh {
            effects.push(DaemonEffect::Dispatch(order));
        }
    }

    fn upstream(
        &mut self,
        now: CoreTime,
        event: &UpstreamEvent,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        match event {
            UpstreamEvent::NotSent { request, attempt } => {
                self.not_sent(now, *request, *attempt, view, effects);
            }
            UpstreamEvent::Finished {
                request, attempt, ..
            }
            | UpstreamEvent::Broken {
                request, attempt, ..
            } => {
                if let Some(record) = self.attempts.remove(*request, *attempt) {
                    self.drain(now, &record.request.service, view, effects);
                }
            }
            UpstreamEvent::FirstToken { .. }
            | UpstreamEvent::Tokens { .. }
            | UpstreamEvent::LoadReported { .. }
            | UpstreamEvent::CacheChanged { .. } => {}
        }
    }

    /// No byte left this host, so another upstream may be tried: this is not a second dispatch.
    fn not_sent(
        &mut self,
        now: CoreTime,
        request: RequestId,
        attempt: AttemptNumber,
        view: SchedulerView<'_>,
        effects: &mut EffectQueue,
    ) {
        let Some(record) = self.attempts.remove(request, attempt) else {
            return;
        };
        let service = record.request.service.clone();
        let mut names = view.config.upstreams_of(&service);
        let other = names.find(|name| **name != record.upstream).cloned();
        match other {
            Some(other) if attempt.0 < 2 && record.request.deadline_at > now.monotonic => {
                self.dispatch(record.request, other, attempt.next(), view, effects);
            }
            _ => {
                let detail = "no upstream of the service could be reached";
                let refusal = RequestRefusal::not_run(RefusalCode::NoUpstream, detail)
                    .with_retry_after(Duration::from_secs(1));
                effects.refuse(request, refusal);
            }
        }
    }

    fn caller_left(&mut self, request: RequestId, effects: &mut EffectQueue) {
        for queue in self.queues.values_mut() {
            queue.retain(|waiting| waiting.request != request);
        }
        if let Some(attempt) = self.attempts.current(request) {
            effects.push(DaemonEffect::CancelAttempt { request, attempt });
        }
    }
}
