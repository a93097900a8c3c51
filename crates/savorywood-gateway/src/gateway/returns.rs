//! Return times of refused callers, and recognition of those that return.

use super::{Gateway, RandomSequence, admission::Refusal, record::RequestRecord};
use crate::{
    arrival::RequestArrival,
    config::{RouteSpec, TeamLimit},
    label::{ServiceLabel, TeamLabel},
    latency::nominal_first_event_ms,
    limits::{
        OutageOrder, ReturnCause, ReturnCounters, ReturnKey, ReturnPolicy, ReturnPreference,
        ReturnQuery, ReturnSchedule, ReturningCallers, UsualLoad, WhenFull,
    },
    message::{DaemonRole, PeerPhase},
    queue::{RequestRank, WaitQueue},
    refusal::RefusalReason,
};
use savorywood_core::LogLine;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Maximum delay as a fraction of the caller's remaining time; callers do not wait longer.
pub(super) const MAX_DEADLINE_FRACTION: f64 = 1.0 / 3.0;
/// Delay with which callers are sent to another daemon.
const ELSEWHERE_DELAY: Duration = Duration::from_millis(200);
/// Minimum delay: a shorter one costs a request and seldom finds another state.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Fraction of the live daemons that must confirm keys for callers to be sent to them at once.
const MIN_CONFIRMING_FRACTION: f64 = 0.25;
/// Fraction of the time for which a response can be in time after which a caller returns at most;
/// the rest is left for the wait for a slot.
const IN_TIME_FRACTION: f64 = 0.75;
/// Interval at which the usual load is observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);
/// Time after an outage in which the remembered capacity counts, as few dispatches were observed.
const RECOVERY_PERIOD: Duration = Duration::from_secs(3);

/// State of retry scheduling.
#[derive(Debug)]
pub(super) struct ReturnState {
    pub schedule: ReturnSchedule,
    pub callers: ReturningCallers,
    pub counters: ReturnCounters,
    pub policy: ReturnPolicy,
    usual_loads: BTreeMap<ServiceLabel, UsualLoad>,
    random: RandomSequence,
    observed_at: MonotonicTime,
    /// The keys were not confirmed at the last observation.
    in_outage: bool,
    /// Time at which they were confirmed again.
    recovered_at: Option<MonotonicTime>,
}

/// Inputs of a scheduled retry-after delay, for the log.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReturnInputs {
    pub cause: ReturnCause,
    /// Capacity per second that was assumed.
    pub per_second: f64,
    /// Amount that was promised before.
    pub promised_before: f64,
    /// Amount that this request needs.
    pub amount: f64,
}

/// Scheduled retry-after delay of one refusal.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScheduledReturn {
    /// The delay; absent when no time can be recommended.
    pub delay: Option<Duration>,
    pub inputs: ReturnInputs,
}

/// Refused request of a team.
#[derive(Debug, Clone, Copy)]
pub(super) struct TeamReturn<'a> {
    pub team: &'a TeamLabel,
    pub limit: TeamLimit,
    pub units: f64,
    /// Time until the limit has room for the request.
    pub room_delay: Duration,
    /// Time for which a response can still be in time.
    pub in_time: Duration,
    /// Remaining time of the caller.
    pub left: Duration,
    /// The request was refused before.
    pub returned: bool,
}

impl ReturnInputs {
    /// Adds the inputs to a log line.
    pub fn add_to(self, line: LogLine) -> LogLine {
        line.with("cause", self.cause)
            .with("capacity", format_args!("{:.2}", self.per_second))
            .with("promised", format_args!("{:.1}", self.promised_before))
            .with("needs", self.amount)
    }
}

impl ReturnState {
    pub fn new(seed: u64) -> Self {
        Self {
            schedule: ReturnSchedule::default(),
            callers: ReturningCallers::default(),
            counters: ReturnCounters::default(),
            policy: ReturnPolicy::default(),
            usual_loads: BTreeMap::new(),
            random: RandomSequence(seed),
            observed_at: MonotonicTime::default(),
            in_outage: false,
            recovered_at: None,
        }
    }

    fn usual_load(&self, service: &ServiceLabel) -> Option<&UsualLoad> {
        let load = self.usual_loads.get(service);
        load.filter(|load| load.is_known())
    }

    /// Reserves a time and counts the refusal. `fallback`: delay without a reservation if no time
    /// has capacity.
    fn schedule(
        &mut self,
        now: MonotonicTime,
        cause: ReturnCause,
        key: &ReturnKey,
        query: &ReturnQuery,
        fallback: Option<Duration>,
    ) -> ScheduledReturn {
        let promise = self.schedule.reserve(now, key, query);
        let delay = promise.map(|promise| promise.delay).or(fallback);
        self.counters.record(cause, delay.is_some());
        ScheduledReturn {
            delay: delay.map(|delay| delay.max(MIN_DELAY).min(query.latest.max(MIN_DELAY))),
            inputs: ReturnInputs {
                cause,
                per_second: query.per_second,
                promised_before: promise.map_or_else(
                    || self.schedule.promised_amount(now, key),
                    |promise| promise.promised_before,
                ),
                amount: query.amount,
            },
        }
    }
}

impl Gateway {
    /// Returns the counters of refusals whose retry-after delay was scheduled.
    #[must_use]
    pub fn return_counters(&self) -> ReturnCounters {
        self.returns.counters
    }

    /// Replaces the rules of retry scheduling, to compare variants.
    pub fn set_return_policy(&mut self, policy: ReturnPolicy) {
        self.returns.policy = policy;
    }

    pub(super) fn schedules_returns(&self) -> bool {
        self.options.overload.return_schedule
    }

    /// Observes the usual load of the services while the keys are confirmed.
    pub(super) fn refresh_returns(&mut self, now: MonotonicTime) {
        if !self.schedules_returns() || now.since(self.returns.observed_at) < OBSERVATION_INTERVAL {
            return;
        }
        self.returns.observed_at = now;
        self.returns.schedule.expire(now);
        let in_outage = !self.are_keys_confirmed(now);
        let was_in_outage = std::mem::replace(&mut self.returns.in_outage, in_outage);
        if self.returns.in_outage {
            return;
        }
        if was_in_outage {
            self.returns.recovered_at = Some(now);
        }
        let mut slots: BTreeMap<&ServiceLabel, (u32, u32)> = BTreeMap::new();
        for state in self
            .fleet
            .iter()
            .filter(|state| state.accepts_requests(now))
        {
            let (in_use, total) = slots.entry(&state.entry.service).or_default();
            *in_use += state.running + self.peers.slots_by_digest(state.digest).running;
            *total += state.entry.slots;
        }
        for (service, (in_use, total)) in slots {
            let utilisation = f64::from(in_use) / f64::from(total.max(1));
            let load = self.returns.usual_loads.entry(service.clone()).or_default();
            load.observe(now, utilisation.min(1.0));
        }
    }

    pub(super) fn record_usual_arrival(&mut self, service: &ServiceLabel, rank: RequestRank) {
        if self.schedules_returns() {
            let load = self.returns.usual_loads.entry(service.clone()).or_default();
            load.record_arrival(rank);
        }
    }

    /// Returns the time since a request's first attempt if it is recognised as one that was refused
    /// before.
    pub(super) fn time_since_first_attempt(
        &mut self,
        now: MonotonicTime,
        route: &RouteSpec,
        arrival: &RequestArrival,
    ) -> Option<Duration> {
        if !self.schedules_returns() || !self.returns.policy.recognises_returns {
            return None;
        }
        let elapsed = self
            .returns
            .callers
            .observe(now, &route.name, arrival.deadline?);
        self.returns.counters.returned += u64::from(elapsed.is_some());
        elapsed
    }

    /// Refuses a request whose key cannot be confirmed.
    ///
    /// Callers are sent to other daemons if enough of these confirm keys. Otherwise, they return
    /// over the time that they accept, at the rate that the usual arrivals leave free.
    pub(super) fn refuse_unconfirmed(
        &mut self,
        now: MonotonicTime,
        route: &RouteSpec,
        arrival: &RequestArrival,
        returned: bool,
    ) -> Refusal {
        let left = remaining_time(route, arrival);
        let latest = left.mul_f64(MAX_DEADLINE_FRACTION);
        if self.do_others_confirm(now) {
            self.returns.counters.record(ReturnCause::CutOff, true);
            // The random part keeps callers that were refused together apart.
            let sample = self.returns.random.next();
            let delay = ELSEWHERE_DELAY.mul_f64(0.5 + sample).min(latest);
            let inputs = ReturnInputs {
                cause: ReturnCause::CutOff,
                per_second: 0.0,
                promised_before: 0.0,
                amount: 1.0,
            };
            return Refusal::scheduled(
                RefusalReason::NotReady,
                ScheduledReturn {
                    delay: Some(delay),
                    inputs,
                },
            );
        }
        let sample = self.returns.random.next();
        let service = route.choose_service(sample).cloned();
        let Some(service) = service else {
            return Refusal::new(RefusalReason::NoUpstream);
        };
        let team = arrival.api_key.as_deref();
        let config = self.config.as_ref();
        let team = config
            .zip(team)
            .and_then(|(config, key)| config.team_for_key(key));
        let rank = RequestRank {
            team: team.and_then(|team| team.priority).unwrap_or(0),
            route: route.priority,
        };
        let usual = self.returns.usual_load(&service);
        let spare = usual.map(|usual| usual.spare_per_second(rank));
        let policy = self.returns.policy;
        let sample = self.returns.random.next();
        let in_time = in_time_delay(route, arrival, sample).filter(|delay| *delay <= latest);
        // Without an observed load, and for a request that was refused before, nothing is reserved.
        let is_reserved = !matches!(policy.outage, OutageOrder::Uniform | OutageOrder::InTime);
        let per_second = spare.filter(|_| is_reserved && !returned);
        let fallback = match (policy.outage, policy.when_full) {
            (OutageOrder::InTime, _) => in_time,
            (OutageOrder::Uniform, _) => Some(latest.mul_f64(sample)),
            _ if per_second.is_none() => Some(latest.mul_f64(sample)),
            (_, WhenFull::InTime) => in_time,
            (_, WhenFull::Latest) => Some(latest.mul_f64(1.0 - sample / 4.0)),
            (_, WhenFull::NoTime) => None,
        };
        let query = ReturnQuery {
            amount: 1.0,
            per_second: per_second.unwrap_or_default(),
            earliest: MIN_DELAY,
            latest,
            preference: policy.outage.preference(),
            sample,
        };
        let key = ReturnKey::AfterOutage { service, rank };
        let scheduled =
            self.returns
                .schedule(now, ReturnCause::StoreOutage, &key, &query, fallback);
        Refusal::scheduled(RefusalReason::NotReady, scheduled)
    }

    /// Returns whether enough live daemons confirm keys, as their summaries and digests report.
    ///
    /// A daemon that can't confirm its configuration reports that it is unready some time before it
    /// refuses keys. So in an outage for all daemons, none reports that it is ready by then.
    fn do_others_confirm(&self, now: MonotonicTime) -> bool {
        let mut live = 1;
        let mut confirming = 0;
        for peer in self.peers.live_peers(now) {
            live += 1;
            confirming += u32::from(peer.summary.phase == PeerPhase::Ready);
        }
        for member in self.peers.zone_digests(now).flat_map(|zone| &zone.members) {
            let serves = member.role == DaemonRole::Entry;
            live += u32::from(serves);
            confirming += u32::from(serves && member.phase == PeerPhase::Ready);
        }
        f64::from(confirming) >= f64::from(live) * MIN_CONFIRMING_FRACTION
    }

    /// Schedules the return of a request beyond its team's limit.
    ///
    /// A time at which the response can still be in time is backed by units that new requests
    /// leave. Later ones are not: under lasting overload they would replace a response in time by a
    /// late one.
    pub(super) fn schedule_team_return(
        &mut self,
        now: MonotonicTime,
        request: &TeamReturn<'_>,
    ) -> ScheduledReturn {
        let max_delay = request.left.mul_f64(MAX_DEADLINE_FRACTION);
        let latest = max_delay.min(request.in_time);
        let sample = self.returns.random.next();
        let fallback = match self.returns.policy.when_full {
            WhenFull::Latest => Some(max_delay.mul_f64(1.0 - sample / 4.0)),
            WhenFull::NoTime | WhenFull::InTime => None,
        };
        let per_second = if request.returned {
            0.0
        } else {
            request.limit.per_second * self.limit_share()
        };
        let query = ReturnQuery {
            amount: request.units,
            per_second,
            earliest: request.room_delay.max(MIN_DELAY),
            latest,
            preference: ReturnPreference::Earliest,
            sample,
        };
        let key = ReturnKey::Team(request.team.clone());
        let mut scheduled = self
            .returns
            .schedule(now, ReturnCause::TeamLimit, &key, &query, None);
        if scheduled.delay.is_none() {
            scheduled.delay = fallback;
        }
        scheduled
    }

    /// Returns this daemon's share of the limits of teams; the shares of all daemons sum to 1.
    fn limit_share(&self) -> f64 {
        self.lone_share
            .unwrap_or(1.0 / self.entry_daemons.max(1) as f64)
    }

    /// Returns the units of a team's limit that new requests leave to returning ones.
    pub(super) fn held_units(&self, now: MonotonicTime, team: &TeamLabel, limit: TeamLimit) -> f64 {
        if !self.schedules_returns() || !self.returns.policy.holds_units {
            return 0.0;
        }
        let key = ReturnKey::Team(team.clone());
        let per_second = limit.per_second * self.limit_share();
        self.returns.schedule.held_amount(now, &key, per_second)
    }

    /// Schedules the return of a request that was refused as its response would come too late: when
    /// the work ahead of it is done, and after those that were promised earlier times.
    pub(super) fn schedule_overload_return(
        &mut self,
        now: MonotonicTime,
        record: &RequestRecord,
    ) -> ScheduledReturn {
        let queue = self.queues.get(&record.service);
        let ahead = queue.map_or(0, |queue: &WaitQueue| {
            queue.count_at_least_as_urgent(record.rank)
        });
        let demand = self.demand_trackers.get(&record.service);
        let mut per_second = demand.map_or(0.0, |demand| demand.total_dispatch_rate(now));
        let recovered = self.returns.recovered_at.map(|at| now.since(at));
        if recovered.is_some_and(|time| time < RECOVERY_PERIOD) {
            let usual = self.returns.usual_load(&record.service);
            per_second = per_second.max(usual.map_or(0.0, UsualLoad::arrivals_per_second));
        }
        // Under lasting overload, all slots go to arrivals, and a caller that returns is refused again.
        let arrivals = demand.map_or(0.0, |demand| demand.arrival_rate_up_to(now, record.rank));
        let spare = (per_second - arrivals).max(0.0);
        let latest = record.give_up_at.since(now).mul_f64(MAX_DEADLINE_FRACTION);
        let wait_s = ahead as f64 / per_second.max(f64::MIN_POSITIVE);
        let sample = self.returns.random.next();
        let query = ReturnQuery {
            amount: 1.0,
            per_second: if record.returned { 0.0 } else { spare },
            earliest: Duration::from_secs_f64(wait_s.min(60.0)).max(MIN_DELAY),
            latest,
            preference: ReturnPreference::Earliest,
            sample,
        };
        let fallback = match self.returns.policy.when_full {
            WhenFull::Latest => Some(latest.mul_f64(1.0 - sample / 4.0)),
            WhenFull::NoTime | WhenFull::InTime => None,
        };
        let key = ReturnKey::Service {
            service: record.service.clone(),
            rank: record.rank,
        };
        self.returns
            .schedule(now, ReturnCause::Overload, &key, &query, fallback)
    }
}

/// Returns the time for which the first event of a response can still be in time.
pub(super) fn in_time_budget(
    route: &RouteSpec,
    arrival: &RequestArrival,
    elapsed: Duration,
) -> Duration {
    let prompt_tokens = arrival.size.unwrap_or_default().prompt_tokens;
    let expected = Duration::from_secs_f64(nominal_first_event_ms(prompt_tokens) / 1e3);
    route.objective.saturating_sub(expected + elapsed)
}

/// Returns a random delay after which a request that waits for a slot for a short time can still be
/// in time; `None` if it can't.
fn in_time_delay(route: &RouteSpec, arrival: &RequestArrival, sample: f64) -> Option<Duration> {
    let budget = in_time_budget(route, arrival, Duration::ZERO);
    let delay = budget.mul_f64(IN_TIME_FRACTION * (0.5 + sample / 2.0));
    (delay >= MIN_DELAY).then_some(delay)
}

/// Returns the time that the caller of an arriving request still has.
pub(super) fn remaining_time(route: &RouteSpec, arrival: &RequestArrival) -> Duration {
    let deadline = arrival
        .deadline
        .unwrap_or(super::admission::MAX_REQUEST_TIMEOUT);
    deadline.min(
        route
            .timeout
            .unwrap_or(super::admission::MAX_REQUEST_TIMEOUT),
    )
}
