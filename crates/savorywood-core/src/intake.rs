//! Validates arriving requests against the configuration in force: team, service, tier and
//! deadline.

use crate::{
    request::{QueuedRequest, RequestArrival},
    view::ConfigView,
};
use savorywood_protocol::{
    MonotonicTime, RefusalCode, RequestRefusal, ServiceName, TeamName, TierName, TierRank,
    resource::{ServiceProtocol, ServiceSpec, TeamSpec},
};
use std::time::Duration;

/// Maximum deadline; longer ones are reduced to it.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Resolves team, service and tier of a request.
///
/// # Errors
///
/// The refusal for the caller. The request was not executed.
pub fn resolve_request(
    now: MonotonicTime,
    arrival: &RequestArrival,
    config: &ConfigView,
) -> Result<QueuedRequest, RequestRefusal> {
    let (team, team_spec) = find_team(arrival, config)?;
    let (service, service_spec) = find_service(arrival, config)?;
    let rank = find_rank(arrival, team_spec, config)?;
    let idempotent = service_spec.is_idempotent(&arrival.method, &arrival.path);
    require_idempotency_key(arrival, idempotent)?;
    let default_deadline = Duration::from_millis(service_spec.objectives.deadline_ms.into());
    let deadline = arrival.deadline.unwrap_or(default_deadline);
    Ok(QueuedRequest {
        request: arrival.request,
        service: service.clone(),
        route: route_label(arrival, service_spec),
        team: team.clone(),
        weight: team_spec.weight.max(1),
        rank,
        idempotent,
        arrived_at: now,
        deadline_at: now + deadline.min(MAX_DEADLINE),
        prompt: arrival.prompt.clone(),
    })
}

fn find_team<'a>(
    arrival: &RequestArrival,
    config: &'a ConfigView,
) -> Result<(&'a TeamName, &'a TeamSpec), RequestRefusal> {
    let team = arrival.token.and_then(|token| config.team_of(&token));
    team.and_then(|team| config.teams.get_key_value(team))
        .ok_or_else(|| {
            let detail = "send `Authorization: Bearer TOKEN` with a token of one of the teams";
            RequestRefusal::not_run(RefusalCode::Unauthorized, detail)
        })
}

fn find_service<'a>(
    arrival: &RequestArrival,
    config: &'a ConfigView,
) -> Result<(&'a ServiceName, &'a ServiceSpec), RequestRefusal> {
    config
        .services
        .get_key_value(arrival.service.as_str())
        .ok_or_else(|| {
            let known: Vec<_> = config.services.keys().map(ServiceName::as_str).collect();
            let detail = format!(
                "service {:?} is not configured; configured services: {}",
                arrival.service,
                known.join(", ")
            );
            RequestRefusal::not_run(RefusalCode::NotFound, detail)
        })
}

fn find_rank(
    arrival: &RequestArrival,
    team: &TeamSpec,
    config: &ConfigView,
) -> Result<TierRank, RequestRefusal> {
    let tier = match arrival.tier.as_deref() {
        Some(asked) => team.tiers.iter().find(|tier| tier.as_str() == asked),
        None => team.tiers.first(),
    };
    tier.and_then(|tier| config.rank_of(tier)).ok_or_else(|| {
        let allowed: Vec<_> = team.tiers.iter().map(TierName::as_str).collect();
        let detail = format!(
            "tier not allowed for this team; allowed tiers: {}",
            allowed.join(", ")
        );
        RequestRefusal::not_run(RefusalCode::Forbidden, detail)
    })
}

/// Requires an idempotency key for a call that is not idempotent. Without one a caller's retry
/// can't be distinguished from a second order, and a charge could be made twice.
fn require_idempotency_key(
    arrival: &RequestArrival,
    idempotent: bool,
) -> Result<(), RequestRefusal> {
    if idempotent || arrival.idempotency_key.is_some() {
        return Ok(());
    }
    let detail = "this call may not be repeated: send `Idempotency-Key` with a new version 7 \
                  UUID, and the same key when you retry";
    Err(RequestRefusal::not_run(RefusalCode::KeyRequired, detail))
}

fn route_label(arrival: &RequestArrival, service: &ServiceSpec) -> String {
    match service.protocol {
        ServiceProtocol::Model => arrival.path.clone(),
        ServiceProtocol::Plain => {
            let rule = service
                .routes
                .iter()
                .find(|rule| rule.matches(&arrival.method, &arrival.path));
            let path = rule.map_or("/", |rule| rule.path.as_str());
            format!("{} {path}", arrival.method)
        }
    }
}
