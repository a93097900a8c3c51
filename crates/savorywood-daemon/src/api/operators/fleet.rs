//! What a daemon knows of the others, and what it counted.

use crate::{api::health, daemon::DaemonShared};
use http_types::Response;
use savorywood_protocol::api::MemberSummary;

/// Lists the daemons known.
pub fn members(shared: &DaemonShared) -> Response {
    let members = shared.driver.with_core(|core, _, _| core.members().clone());
    let members = members.members.into_iter();
    let summaries: Vec<_> = members
        .map(|(host, member)| MemberSummary {
            host,
            state: member.state,
            caller_address: member.caller_address,
            peer_address: member.peer_address,
            zone: member.zone,
            region: member.region,
            config_revision: member.config_revision,
        })
        .collect();
    health::json(&summaries)
}

/// Counts of met and missed objectives.
pub fn burn(shared: &DaemonShared) -> Response {
    let burn = shared.driver.with_core(|core, now, _| core.burn(now));
    health::json(&burn)
}
