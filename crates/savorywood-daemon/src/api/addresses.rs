//! Which address a caller should use.

use super::{health, requests};
use crate::daemon::DaemonShared;
use http_types::Response;
use savorywood_core::discovery::AddressQuery;
use savorywood_http::IncomingRequest;
use savorywood_protocol::{RefusalCode, RequestRefusal, ServiceName, ZoneName};

/// Parameters of the query.
#[derive(Debug, Default)]
struct QueryParameters {
    service: Option<String>,
    zone: Option<String>,
    prefix_group: Option<String>,
}

/// Answers with addresses in the order in which to try them.
pub fn answer(shared: &DaemonShared, incoming: &IncomingRequest) -> Response {
    match rank(shared, incoming) {
        Ok(response) => response,
        Err(refusal) => requests::refuse(&refusal),
    }
}

fn rank(shared: &DaemonShared, incoming: &IncomingRequest) -> Result<Response, RequestRefusal> {
    let parameters = read_parameters(incoming);
    let service = parameters.service.as_deref().ok_or_else(|| {
        let detail = "name the service: /v1/addresses?service=NAME";
        RequestRefusal::not_run(RefusalCode::BadRequest, detail)
    })?;
    let service = ServiceName::new(service).map_err(|error| bad_name("service", &error))?;
    let zone = parameters.zone.as_deref().map(ZoneName::new).transpose();
    let zone = zone.map_err(|error| bad_name("zone", &error))?;
    let config = shared.driver.config();
    let token = requests::bearer_digest(incoming);
    let caller = incoming.peer.ip().to_string();
    let query = AddressQuery {
        service: &service,
        team: token.and_then(|token| config.team_of(&token)),
        prefix_group: parameters.prefix_group.as_deref(),
        zone: zone.as_ref(),
        caller: &caller,
    };
    let answer = shared
        .driver
        .with_core(|core, _, _| core.addresses(&query))?;
    let mut response = health::json(&answer);
    let max_age = format!("max-age={}", answer.max_age_seconds);
    response.insert_header("cache-control", max_age);
    Ok(response)
}

fn read_parameters(incoming: &IncomingRequest) -> QueryParameters {
    let mut parameters = QueryParameters::default();
    for (name, value) in incoming.request.url().query_pairs() {
        let value = Some(value.into_owned());
        match name.as_ref() {
            "service" => parameters.service = value,
            "zone" => parameters.zone = value,
            "prefix_group" => parameters.prefix_group = value,
            _ => {}
        }
    }
    parameters
}

fn bad_name(parameter: &str, error: &savorywood_protocol::NameError) -> RequestRefusal {
    let detail = format!("parameter {parameter}: {error}");
    RequestRefusal::not_run(RefusalCode::BadRequest, detail)
}
