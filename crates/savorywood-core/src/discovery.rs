//! Which daemon a caller should connect to.
//!
//! Nothing stands in front of the daemons: callers ask any of them for addresses, keep the
//! answer for its `max_age` and connect there. Callers of one team, or with prompts that share a
//! prefix, are sent to the same daemon, which then knows which engine holds their prefix. All
//! daemons give the same answer from the same member view, without asking one another.

mod plan;

pub use plan::AddressRanker;

use crate::view::{ConfigView, MemberView};
use savorywood_protocol::{RequestRefusal, ServiceName, TeamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Settings of address answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DiscoveryOptions {
    /// Addresses in an answer at most.
    pub max_addresses: usize,
    /// Time that callers may keep an answer. A daemon that leaves serves for at least as long.
    pub max_age: Duration,
}

impl Default for DiscoveryOptions {
    /// Three addresses, kept for ten seconds.
    fn default() -> Self {
        Self {
            max_addresses: 3,
            max_age: Duration::from_secs(10),
        }
    }
}

/// What a caller says when it asks for addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddressQuery<'a> {
    /// Service that it will call.
    pub service: &'a ServiceName,
    /// Its team, when it gave a token.
    pub team: Option<&'a TeamName>,
    /// Prompts with a common prefix have a common group; goes before the team.
    pub prefix_group: Option<&'a str>,
    /// Its availability zone; that of the asked daemon when it names none.
    pub zone: Option<&'a ZoneName>,
    /// Anything that differs between callers of one team, such as the address it calls from.
    pub caller: &'a str,
}

/// One address of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerAddress {
    /// Where to connect.
    pub address: SocketAddr,
    /// Availability zone of the daemon there.
    pub zone: ZoneName,
}

/// Answer to `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressResponse {
    /// Addresses, best first.
    pub addresses: Vec<CallerAddress>,
    /// Seconds that the answer may be kept.
    pub max_age_seconds: u64,
}

/// Ranks the daemons for one query. [`AddressRanker`] keeps what does not depend on the query.
///
/// # Errors
///
/// When the service is unknown or no daemon takes work.
pub fn rank_addresses(
    query: &AddressQuery<'_>,
    members: &MemberView,
    config: &ConfigView,
    own_zone: &ZoneName,
    options: &DiscoveryOptions,
) -> Result<AddressResponse, RequestRefusal> {
    AddressRanker::new(members).rank(query, config, own_zone, options)
}
