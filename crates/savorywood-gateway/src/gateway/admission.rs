//! Arrivals: what is checked before a request is scheduled.

use super::{
    Gateway, GatewayEffects,
    record::{RequestPlace, RequestRecord},
};
use crate::{
    arrival::{LocalRequest, RequestArrival},
    config::{DeclaredConfig, RouteSpec, TeamLimit, TeamSpec},
    effect::GatewayEffect,
    label::{ServiceLabel, TeamLabel},
    latency::nominal_first_event_ms,
    quarantine::RequestFingerprint,
    queue::{QueuePosition, RequestRank},
    refusal::RefusalReason,
    team_limit::{BucketLevels, LimitQuery, LimitVerdict, TeamLimiter},
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

/// Part of the bound after which keys are confirmed no more. The rest covers a feed that was deaf
/// for a second before its history was dropped: until then its empty answers prove too much.
const KEY_PART: f64 = 0.76;
/// Part of the bound after which a daemon sends no "no such route" and no "unknown key".
const DENIAL_PART: f64 = 0.5;
/// When to come back to a daemon that can't confirm its configuration; another address is better.
const STALE_RETRY: Duration = Duration::from_millis(200);
/// Time kept for the final answer's way to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);
/// Longest time for a request that names no deadline on a route without a time limit.
const LONGEST_TIME: Duration = Duration::from_secs(600);

/// A refusal and when to come back.
pub struct Denial {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// Team of the key, where it was known.
    pub team: Option<TeamLabel>,
    /// What decided, where the team is over its limit.
    pub meter: Option<MeterFigures>,
    /// Upstreams that crashed under requests that asked the same.
    pub crashes: Option<u32>,
}

/// A team's meter at a refusal.
#[derive(Debug, Clone, Copy)]
pub struct MeterFigures {
    limit: TeamLimit,
    levels: BucketLevels,
}

impl Denial {
    pub(super) fn of(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
            team: None,
            meter: None,
            crashes: None,
        }
    }

    fn stale() -> Self {
        Self {
            retry_after: Some(STALE_RETRY),
            ..Self::of(RefusalReason::NotReady)
        }
    }
}

impl Gateway {
    pub(super) fn arrive(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        arrival: &RequestArrival,
        effects: &mut GatewayEffects,
    ) {
        match self.admit(now, request, arrival) {
            Ok(mut record) => {
                record.leave_at = record.leave_time(now);
                let line = LogLine::new(LogLevel::Info, "request-admitted")
                    .with("request", &record.identity)
                    .with("fingerprint", record.fingerprint)
                    .with("route", &record.route.name)
                    .with("service", &record.service)
                    .with(
                        "team",
                        record.team.as_ref().map_or("-", |team| team.name.as_str()),
                    )
                    .with("rank", record.rank.route)
                    .with("prompt", record.size.prompt_tokens)
                    .with("units", record.units)
                    .with("give_up_ms", record.give_up_at.since(now).as_millis())
                    .with("config", self.config_version())
                    .with("proof_age_ms", self.proof_age(now).as_millis());
                effects.push(GatewayEffect::Log(line));
                let service = record.service.clone();
                self.budgets
                    .entry(service.clone())
                    .or_default()
                    .record_request(now);
                let demand = self.demands.entry(service.clone()).or_default();
                demand.record_arrival(now, record.rank);
                self.enqueue(request, record);
                self.pump(now, &service, effects);
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
                    .with("proof_age_ms", self.proof_age(now).as_millis());
                if let Some(meter) = denial.meter {
                    line = line
                        .with("level", meter.levels.strict)
                        .with("tolerated", meter.levels.tolerated)
                        .with("per_second", meter.limit.per_second)
                        .with("burst", meter.limit.burst);
                }
                if let Some(crashes) = denial.crashes {
                    line = line.with("crashes", crashes);
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

    /// Age of the newest proof that the configuration is the store's.
    pub(super) fn proof_age(&self, now: MonotonicTime) -> Duration {
        let proof = self.proof_at.map(|at| now.since(at));
        proof.unwrap_or(Duration::from_secs(3_600))
    }

    /// A key that was taken away must not work here after the bound, also when this daemon can't
    /// learn of it: cut off from the store it would let a shut-out caller in for ever.
    pub(super) fn keys_are_confirmed(&self, now: MonotonicTime) -> bool {
        let bound = self.options.bounds.revocation_delay;
        bound.is_none_or(|bound| self.proof_age(now) < bound.mul_f64(KEY_PART))
    }

    fn admit(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        arrival: &RequestArrival,
    ) -> Result<RequestRecord, Denial> {
        let known = self.upstreams_read && self.knows_members();
        let config = self.config.clone().filter(|_| known);
        let config = config.ok_or_else(Denial::stale)?;
        let route = self.find_route(now, &config, arrival)?;
        let team = self.find_team(now, &config, &route, arrival)?;
        let team_name = team.as_ref().map(|team| &team.name);
        let fingerprint = RequestFingerprint::new(arrival.content_digest, team_name);
        let is_trial = self.pass_quarantine(now, fingerprint, team_name)?;
        let draw = self.draws.next();
        let service = route.choose_service(draw).cloned();
        let service = service.ok_or_else(|| Denial::of(RefusalReason::NoUpstream))?;
        let mut units = 0.0;
        if let Some(team) = &team {
            units = self.take_units(now, team, &route, arrival, &service)?;
        }
        let deadline = arrival.deadline.unwrap_or(LONGEST_TIME);
        let longest = deadline.min(route.timeout.unwrap_or(LONGEST_TIME));
        let size = arrival.size.unwrap_or_default();
        let rank = RequestRank {
            team: team.as_ref().and_then(|team| team.priority).unwrap_or(0),
            route: route.priority,
        };
        let expected = Duration::from_secs_f64(nominal_first_event_ms(size.prompt_tokens) / 1e3);
        let give_up_at = now + longest.saturating_sub(ANSWER_MARGIN);
        let begin_by = now + route.objective.saturating_sub(expected);
        Ok(RequestRecord {
            identity: arrival.request_id.clone(),
            fingerprint,
            is_trial,
            service,
            team,
            units,
            rank,
            size,
            output: arrival
                .expected_output_tokens
                .unwrap_or(size.max_output_tokens),
            parts: arrival.prompt_parts.clone(),
            arrived_at: now,
            give_up_at,
            leave_at: give_up_at,
            place: RequestPlace::Waiting(QueuePosition {
                rank,
                start_by: begin_by,
                request,
            }),
            tried: Vec::new(),
            sends: 0,
            runs: 0,
            has_failure: false,
            has_try: false,
            has_begun: false,
            route,
        })
    }

    fn find_route(
        &self,
        now: MonotonicTime,
        config: &DeclaredConfig,
        arrival: &RequestArrival,
    ) -> Result<Arc<RouteSpec>, Denial> {
        let route = config.route(&arrival.host, &arrival.path);
        route
            .cloned()
            .ok_or_else(|| self.deny(now, RefusalReason::NoRoute))
    }

    /// "There is no such thing" is final for a caller: a daemon that may have missed the newest
    /// configuration says "not ready" in its place.
    fn deny(&self, now: MonotonicTime, reason: RefusalReason) -> Denial {
        if self.proof_age(now)
            < self
                .options
                .bounds
                .max_confirmation_age()
                .mul_f64(DENIAL_PART)
        {
            Denial::of(reason)
        } else {
            Denial::stale()
        }
    }

    fn find_team(
        &self,
        now: MonotonicTime,
        config: &DeclaredConfig,
        route: &RouteSpec,
        arrival: &RequestArrival,
    ) -> Result<Option<Arc<TeamSpec>>, Denial> {
        let team = arrival
            .api_key
            .as_deref()
            .and_then(|key| config.team_for_key(key));
        if route.public || !config.requires_keys() {
            return Ok(team.cloned());
        }
        if !self.keys_are_confirmed(now) {
            return Err(Denial::stale());
        }
        let team = team.ok_or_else(|| self.deny(now, RefusalReason::UnknownKey))?;
        Ok(Some(Arc::clone(team)))
    }

    fn take_units(
        &mut self,
        now: MonotonicTime,
        team: &TeamSpec,
        route: &RouteSpec,
        arrival: &RequestArrival,
        service: &ServiceLabel,
    ) -> Result<f64, Denial> {
        let Some(limit) = team.limit else {
            return Ok(0.0);
        };
        // Beyond its limit a team gets only what nobody else waits for.
        let idle = self
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
        let fresh = self.options.first_start;
        let tolerance = self.options.bounds.limit_tolerance;
        let meter = self
            .meters
            .entry(team.name.clone())
            .or_insert_with(|| TeamLimiter::new(now, limit, tolerance, fresh));
        let query = LimitQuery {
            units,
            rank: route.priority,
            sample: self.limit_draws.next(),
        };
        let verdict = meter.check(now, &query);
        let refused = match verdict {
            LimitVerdict::Within => false,
            LimitVerdict::Tolerated => !idle,
            LimitVerdict::Exceeded { .. } => true,
        };
        if refused {
            return Err(Denial {
                reason: RefusalReason::OverLimit,
                retry_after: Some(meter.retry_after()),
                team: Some(team.name.clone()),
                meter: Some(MeterFigures {
                    limit,
                    levels: meter.levels(),
                }),
                crashes: None,
            });
        }
        meter.charge(units, verdict);
        Ok(units)
    }

    fn enqueue(&mut self, request: LocalRequest, record: RequestRecord) {
        if let RequestPlace::Waiting(place) = &record.place {
            let queue = self.queues.entry(record.service.clone()).or_default();
            queue.insert(*place);
        }
        self.requests.insert(request, record);
    }
}
