//! Admission of arriving requests: routing, authentication, quarantine and limits of teams.

use super::{
    Gateway, GatewayEffects,
    record::{RequestRecord, RequestState},
    returns::{ReturnInputs, ScheduledReturn, TeamReturn, in_time_budget, remaining_time},
};
use crate::{
    arrival::{LocalRequest, PartList, RequestArrival},
    config::{DeclaredConfig, RouteSpec, TeamLimit, TeamSpec},
    effect::GatewayEffect,
    label::{ServiceLabel, TeamLabel},
    latency::nominal_first_event_ms,
    limits::ReturnKey,
    quarantine::{RequestFingerprint, RequestFingerprints},
    queue::{QueuePosition, QueueStage, RequestRank},
    refusal::RefusalReason,
    team_limit::{BucketLevels, LimitQuery, LimitVerdict, TeamLimiter},
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

/// Fraction of the maximum confirmation age after which keys are no longer accepted. The rest
/// covers a feed that had received no changes for a second before its history was dropped: until
/// then its empty responses confirm too much.
const KEY_CONFIRMATION_FRACTION: f64 = 0.76;
/// Fraction of the maximum confirmation age after which a daemon no longer responds that there is
/// no such route or that the key is unknown.
const REFUSAL_CONFIRMATION_FRACTION: f64 = 0.5;
/// Retry-after delay of a daemon that cannot confirm its configuration or is about to exit; the
/// caller should retry at another address.
pub(super) const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time reserved for sending the final response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(25);
/// Timeout of a request without a deadline on a route without a timeout.
pub(super) const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

/// Refusal of an arriving request.
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Retry-after delay sent to the caller; absent when none can be recommended.
    pub retry_after: Option<Duration>,
    /// Team of the API key, if it was determined before the refusal.
    pub team: Option<TeamLabel>,
    /// State of the team's limiter, if the team has exceeded its limit.
    pub limiter: Option<LimiterSnapshot>,
    /// Number of crashes recorded for a fingerprint, if the request is quarantined.
    pub crashes: Option<u32>,
    /// Inputs of the retry-after delay, if it was scheduled.
    pub(super) inputs: Option<ReturnInputs>,
}

/// State of a team's limiter at the time of a refusal.
#[derive(Debug, Clone, Copy)]
pub struct LimiterSnapshot {
    limit: TeamLimit,
    levels: BucketLevels,
}

/// Route of an arriving request, and what is known of its earlier attempt.
struct RouteAdmission<'a> {
    config: &'a DeclaredConfig,
    route: Arc<RouteSpec>,
    /// Time since the first attempt, if the request was refused before.
    since_first_attempt: Option<Duration>,
}

/// A request that is to be charged to its team.
struct TeamCharge<'a> {
    team: &'a TeamSpec,
    route: &'a RouteSpec,
    arrival: &'a RequestArrival,
    service: &'a ServiceLabel,
    /// Time since the first attempt, if the request was refused before.
    since_first_attempt: Option<Duration>,
}

impl Refusal {
    pub(super) fn new(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
            team: None,
            limiter: None,
            crashes: None,
            inputs: None,
        }
    }

    pub(super) fn scheduled(reason: RefusalReason, scheduled: ScheduledReturn) -> Self {
        Self {
            retry_after: scheduled.delay,
            inputs: Some(scheduled.inputs),
            ..Self::new(reason)
        }
    }

    fn unavailable() -> Self {
        Self {
            retry_after: Some(UNAVAILABLE_RETRY_AFTER),
            ..Self::new(RefusalReason::NotReady)
        }
    }
}

impl Gateway {
    pub(super) fn handle_arrival(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        arrival: &RequestArrival,
        effects: &mut GatewayEffects,
    ) {
        self.last_arrival_at = Some(now);
        match self.admit(now, request, arrival) {
            Ok(mut record) => {
                record.caller_timeout_at = record.caller_timeout_after(now);
                let line = LogLine::new(LogLevel::Info, "request-admitted")
                    .with("request", &record.request_id)
                    .with("fingerprint", record.fingerprints.whole)
                    .with("parts", PartList(&record.prompt_parts))
                    .with("route", &record.route.name)
                    .with("service", &record.service)
                    .with(
                        "team",
                        record.team.as_ref().map_or("-", |team| team.name.as_str()),
                    )
                    .with("rank", record.rank.route)
                    .with("prompt", record.size.prompt_tokens)
                    .with("units", record.charged_units)
                    .with("give_up_ms", record.give_up_at.since(now).as_millis())
                    .with("config", self.config_version())
                    .with("proof_age_ms", self.time_since_confirmed(now).as_millis());
                let line = if record.is_probe {
                    line.with("probe", true)
                } else {
                    line
                };
                effects.push(GatewayEffect::Log(line));
                let service = record.service.clone();
                self.record_budget_request(now, &service);
                self.record_usual_arrival(&service, record.rank);
                let demand = self.demand_trackers.entry(service.clone()).or_default();
                demand.record_arrival(now, record.rank);
                self.record_queue_arrival(now, &record);
                self.enqueue(request, record);
                self.dispatch_waiting(now, &service, effects);
            }
            Err(denial) => {
                let mut line = LogLine::new(LogLevel::Info, "request-refused")
                    .with("request", &arrival.request_id)
                    .with(
                        "fingerprint",
                        RequestFingerprint::new(arrival.content_digest, denial.team.as_ref()),
                    )
                    .with("reason", denial.reason)
                    .with("team", denial.team.as_ref().map_or("-", TeamLabel::as_str))
                    .with("path", &arrival.path)
                    .with(
                        "retry_ms",
                        denial.retry_after.unwrap_or_default().as_millis(),
                    )
                    .with("config", self.config_version())
                    .with("proof_age_ms", self.time_since_confirmed(now).as_millis());
                if let Some(limiter) = denial.limiter {
                    line = line
                        .with("level", limiter.levels.strict)
                        .with("tolerated", limiter.levels.tolerated)
                        .with("per_second", limiter.limit.per_second)
                        .with("burst", limiter.limit.burst);
                }
                if let Some(crashes) = denial.crashes {
                    line = line.with("crashes", crashes);
                }
                if let Some(inputs) = denial.inputs {
                    line = inputs.add_to(line);
                }
                effects.push(GatewayEffect::Log(line));
                effects.push(GatewayEffect::Refuse {
                    request,
                    reason: denial.reason,
                    retry_after: denial.retry_after,
                });
            }
        }
    }

    pub(super) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the time since the store last confirmed the configuration held here.
    pub(super) fn time_since_confirmed(&self, now: MonotonicTime) -> Duration {
        let age = self.confirmed_at.map(|at| now.since(at));
        age.unwrap_or(Duration::from_secs(3_600))
    }

    /// Returns whether the keys held here were confirmed recently enough to be accepted.
    ///
    /// A revoked key must not be accepted after the bound, even when this daemon cannot read the
    /// revocation: without the bound, a daemon cut off from the store would accept it indefinitely.
    pub(super) fn are_keys_confirmed(&self, now: MonotonicTime) -> bool {
        let bound = self.options.bounds.revocation_delay;
        bound.is_none_or(|bound| {
            self.time_since_confirmed(now) < bound.mul_f64(KEY_CONFIRMATION_FRACTION)
        })
    }

    fn admit(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        arrival: &RequestArrival,
    ) -> Result<RequestRecord, Refusal> {
        let stop = self.stop.filter(|stop| now >= stop.arrivals_until());
        if stop.is_some() {
            return Err(Refusal {
                reason: RefusalReason::Stopping,
                ..Refusal::unavailable()
            });
        }
        let is_initialized = self.upstreams_read && self.has_peer_list() && self.has_caught_up();
        let config = self.config.clone().filter(|_| is_initialized);
        let config = config.ok_or_else(Refusal::unavailable)?;
        let route = self.match_route(now, &config, arrival)?;
        let since_first_attempt = self.time_since_first_attempt(now, &route, arrival);
        let admission = RouteAdmission {
            config: &config,
            route,
            since_first_attempt,
        };
        let admitted = self.admit_to_route(now, request, arrival, admission);
        if admitted.is_err() && since_first_attempt.is_some() {
            self.returns.counters.refused_again += 1;
        }
        admitted
    }

    fn admit_to_route(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        arrival: &RequestArrival,
        admission: RouteAdmission<'_>,
    ) -> Result<RequestRecord, Refusal> {
        let RouteAdmission {
            config,
            route,
            since_first_attempt,
        } = admission;
        let returned = since_first_attempt.is_some();
        let needs_key = !route.public && config.requires_keys();
        if self.schedules_returns() && needs_key && !self.are_keys_confirmed(now) {
            return Err(self.refuse_unconfirmed(now, &route, arrival, returned));
        }
        let team = self.authenticate(now, config, &route, arrival)?;
        let team_name = team.as_ref().map(|team| &team.name);
        let whole = RequestFingerprint::new(arrival.content_digest, team_name);
        let fingerprints = RequestFingerprints::new(whole, &arrival.prompt_parts);
        let is_probe = self.check_quarantine(now, &fingerprints, team_name)?;
        let sample = self.random.next();
        let service = route.choose_service(sample).cloned();
        let service = service.ok_or_else(|| Refusal::new(RefusalReason::NoUpstream))?;
        let mut charged_units = 0.0;
        if let Some(team) = &team {
            let charge = TeamCharge {
                team,
                route: &route,
                arrival,
                service: &service,
                since_first_attempt,
            };
            charged_units = self.charge_team(now, &charge)?;
        }
        let timeout = remaining_time(&route, arrival);
        let size = arrival.size.unwrap_or_default();
        let rank = RequestRank {
            team: team.as_ref().and_then(|team| team.priority).unwrap_or(0),
            route: route.priority,
        };
        let expected = Duration::from_secs_f64(nominal_first_event_ms(size.prompt_tokens) / 1e3);
        let give_up_at = now + timeout.saturating_sub(RESPONSE_MARGIN);
        // The objective counts from the first attempt: a request that returns too late for it is
        // queued behind those that can still be in time.
        let start_by = now + route.objective.saturating_sub(expected)
            - since_first_attempt.unwrap_or_default();
        Ok(RequestRecord {
            request_id: arrival.request_id.clone(),
            fingerprints,
            is_probe,
            service,
            team,
            charged_units,
            rank,
            size,
            expected_output_tokens: arrival
                .expected_output_tokens
                .unwrap_or(size.max_output_tokens),
            prompt_parts: arrival.prompt_parts.clone(),
            arrived_at: now,
            give_up_at,
            deadline_at: now + timeout,
            caller_timeout_at: give_up_at,
            state: RequestState::Waiting(QueuePosition {
                rank,
                stage: QueueStage::New,
                unattempted: true,
                start_by,
                request,
            }),
            start_by,
            attempted_upstreams: Vec::new(),
            attempts: 0,
            unsent_attempts: 0,
            executions: 0,
            abandoned_attempts: 0,
            successor: None,
            owes_retry: false,
            resume_at: now,
            has_upstream_failure: false,
            has_reserved_retry: false,
            response_started: false,
            returned,
            route,
        })
    }

    fn match_route(
        &self,
        now: MonotonicTime,
        config: &DeclaredConfig,
        arrival: &RequestArrival,
    ) -> Result<Arc<RouteSpec>, Refusal> {
        let route = config.route(&arrival.host, &arrival.path);
        route
            .cloned()
            .ok_or_else(|| self.final_refusal(now, RefusalReason::NoRoute))
    }

    /// Builds a refusal that is final for the caller. A daemon that may have missed the newest
    /// configuration responds "not ready" instead.
    fn final_refusal(&self, now: MonotonicTime, reason: RefusalReason) -> Refusal {
        if self.time_since_confirmed(now)
            < self
                .options
                .bounds
                .max_confirmation_age()
                .mul_f64(REFUSAL_CONFIRMATION_FRACTION)
        {
            Refusal::new(reason)
        } else {
            Refusal::unavailable()
        }
    }

    fn authenticate(
        &self,
        now: MonotonicTime,
        config: &DeclaredConfig,
        route: &RouteSpec,
        arrival: &RequestArrival,
    ) -> Result<Option<Arc<TeamSpec>>, Refusal> {
        let team = arrival
            .api_key
            .as_deref()
            .and_then(|key| config.team_for_key(key));
        if route.public || !config.requires_keys() {
            return Ok(team.cloned());
        }
        if !self.are_keys_confirmed(now) {
            return Err(Refusal::unavailable());
        }
        let team = team.ok_or_else(|| self.final_refusal(now, RefusalReason::UnknownKey))?;
        Ok(Some(Arc::clone(team)))
    }

    fn charge_team(&mut self, now: MonotonicTime, charge: &TeamCharge<'_>) -> Result<f64, Refusal> {
        let TeamCharge {
            team,
            route,
            arrival,
            service,
            since_first_attempt,
        } = *charge;
        let Some(limit) = team.limit else {
            return Ok(0.0);
        };
        // Above its limit a team is admitted only while no other request of the service waits.
        let queue_is_empty = self
            .queues
            .get(service)
            .is_none_or(|queue| queue.len() == 0);
        let units = if limit.in_tokens {
            let size = arrival
                .size
                .map(|size| size.prompt_tokens + size.max_output_tokens);
            f64::from(size.unwrap_or(limit.default_tokens))
        } else {
            1.0
        };
        let held = self.held_units(now, &team.name, limit);
        self.presence.advance(now);
        let presence = &self.presence;
        let is_first_start = self.options.first_start;
        let tolerance = self.options.bounds.limit_tolerance;
        let limiter = self
            .team_limiters
            .entry(team.name.clone())
            .or_insert_with(|| TeamLimiter::new(presence, limit, tolerance, is_first_start));
        let query = LimitQuery {
            units,
            rank: route.priority,
            sample: self.limit_random.next(),
        };
        let returned = since_first_attempt.is_some();
        limiter.set_held(if returned { 0.0 } else { held });
        let verdict = limiter.check(presence, &query);
        let is_refused = match verdict {
            LimitVerdict::Within => false,
            LimitVerdict::Tolerated => !queue_is_empty,
            LimitVerdict::Exceeded { .. } => true,
        };
        if is_refused {
            let refusal = Refusal {
                retry_after: Some(limiter.retry_after()),
                team: Some(team.name.clone()),
                limiter: Some(LimiterSnapshot {
                    limit,
                    levels: limiter.levels(),
                }),
                ..Refusal::new(RefusalReason::OverLimit)
            };
            if !self.options.overload.return_schedule {
                return Err(refusal);
            }
            let team_return = TeamReturn {
                team: &team.name,
                limit,
                units,
                room_delay: limiter.room_delay(&query, queue_is_empty),
                in_time: in_time_budget(route, arrival, since_first_attempt.unwrap_or_default()),
                left: remaining_time(route, arrival),
                returned,
            };
            let scheduled = self.schedule_team_return(now, &team_return);
            return Err(Refusal {
                retry_after: scheduled.delay,
                inputs: Some(scheduled.inputs),
                ..refusal
            });
        }
        limiter.charge(units, verdict);
        if returned {
            let key = ReturnKey::Team(team.name.clone());
            self.returns.schedule.claim(now, &key, units);
        }
        Ok(units)
    }

    fn enqueue(&mut self, request: LocalRequest, record: RequestRecord) {
        if let RequestState::Waiting(position) = &record.state {
            let queue = self.queues.entry(record.service.clone()).or_default();
            queue.insert(*position);
        }
        self.requests.insert(request, record);
    }
}
