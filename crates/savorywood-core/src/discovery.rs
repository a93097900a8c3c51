//! Address discovery: which daemons a caller should connect to.
//!
//! There is no load balancer in front of the daemons. Callers ask any daemon for addresses, cache
//! the response for its `max_age` and connect directly. Callers of one team, or with prompts that
//! share a prefix, are directed to the same daemon, which therefore tracks which engine has their
//! prefix cached. All daemons compute the same response from the same member view, without
//! coordination.

mod ranker;

pub use ranker::AddressRanker;

use crate::view::{ConfigView, MemberView};
use savorywood_protocol::{RequestRefusal, ServiceName, TeamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Settings of address responses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DiscoveryOptions {
    /// Maximum number of addresses in a response; at least one is returned.
    pub max_addresses: usize,
    /// How long callers may cache a response. A daemon that is stopping accepts requests for at
    /// least this long.
    pub max_age: Duration,
}

impl Default for DiscoveryOptions {
    /// Returns at most three addresses with a max-age of 10 s.
    fn default() -> Self {
        Self {
            max_addresses: 3,
            max_age: Duration::from_secs(10),
        }
    }
}

/// Parameters of one address query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddressQuery<'a> {
    /// Service that the caller will call.
    pub service: &'a ServiceName,
    /// Team of the caller; `None` when it sent no token.
    pub team: Option<&'a TeamName>,
    /// Group of prompts that share a prefix, chosen by the caller. Takes precedence over the team.
    pub prefix_group: Option<&'a str>,
    /// Availability zone of the caller. When absent, the zone of the queried daemon is used.
    pub zone: Option<&'a ZoneName>,
    /// Text that distinguishes callers of one team, such as the source address. Spreads the
    /// callers of a large team over several daemons.
    pub caller: &'a str,
}

/// One address of an [`AddressResponse`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerAddress {
    /// Address at which the daemon accepts connections from callers.
    pub address: SocketAddr,
    /// Availability zone of that daemon.
    pub zone: ZoneName,
}

/// Response to `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressResponse {
    /// Addresses in order of preference, best first.
    pub addresses: Vec<CallerAddress>,
    /// Seconds for which the caller may cache the response.
    pub max_age_seconds: u64,
}

/// Ranks the daemons for one query. Callers with many queries for one member view can reuse an
/// [`AddressRanker`].
///
/// # Errors
///
/// When the service does not exist or no daemon accepts new requests.
pub fn rank_addresses(
    query: &AddressQuery<'_>,
    members: &MemberView,
    config: &ConfigView,
    own_zone: &ZoneName,
    options: &DiscoveryOptions,
) -> Result<AddressResponse, RequestRefusal> {
    AddressRanker::new(members).rank(query, config, own_zone, options)
}
