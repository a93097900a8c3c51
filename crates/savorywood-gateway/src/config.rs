//! Configuration declared by operators: routes, services, teams and limits of one version.

use crate::{
    label::{RegionLabel, ServiceLabel, TeamLabel},
    warmup::WarmupSpec,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

/// Whether requests of a route may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// Requests may be executed more than once.
    Idempotent,
    /// Requests are executed once at most.
    AtMostOnce,
    /// Responses are event streams.
    Stream {
        /// A broken stream may be continued at another upstream.
        resumable: bool,
    },
}

impl RetrySafety {
    /// Returns true if a request may be retried after an attempt that may have been executed.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::AtMostOnce | Self::Stream { resumable: false } => false,
        }
    }

    /// Returns true if responses are event streams.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service of a route's traffic split.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficShare {
    /// Service that receives this share of the traffic.
    pub service: ServiceLabel,
    /// Weight relative to the other services of the split; zero sends no traffic.
    pub weight: u32,
}

/// Route of an operator: selects requests by host and path prefix, and sets the services and the
/// bounds that apply to them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Name, as declared by operators.
    pub name: String,
    /// Host that callers address, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Maximum time until the response is complete; `None` sets no such bound.
    pub timeout: Option<Duration>,
    /// Latency objective: time within which the response, or the first event of a stream, counts as
    /// in time.
    pub objective: Duration,
    /// Longest gap between two events of a stream that counts as in time; `None` if gaps are not
    /// rated.
    pub gap_objective: Option<Duration>,
    /// Time without data after which callers give up, also before the first event; `None` if they
    /// wait until their own deadline.
    pub caller_idle_timeout: Option<Duration>,
    /// Priority rank; 0 is the most urgent.
    pub priority: u32,
    /// Services that share the traffic, by weight.
    pub service_shares: Vec<TrafficShare>,
    /// Maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Requests need no API key.
    pub public: bool,
    /// Prefers upstreams that have the beginning of the prompt cached.
    pub affinity: bool,
    /// Regions whose upstreams may receive requests of the route; empty allows all regions.
    pub home_regions: Vec<RegionLabel>,
}

impl RouteSpec {
    /// Returns the service for `sample`, which is uniformly distributed between 0 and 1; `None` if
    /// all weights are zero.
    #[must_use]
    pub fn choose_service(&self, sample: f64) -> Option<&ServiceLabel> {
        let total: u32 = self.service_shares.iter().map(|share| share.weight).sum();
        let mut remaining = sample * f64::from(total);
        for share in &self.service_shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.service_shares
            .iter()
            .rev()
            .find(|share| share.weight > 0)
            .map(|share| &share.service)
    }
}

/// Capacity of the model engine behind each upstream of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests in the engine's batch.
    pub slots: u32,
    /// Tokens that fit into the engine's KV cache.
    pub cache_tokens: u64,
}

/// A service: a set of interchangeable upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Maximum number of connections to one upstream, summed over all daemons.
    pub max_connections: u32,
    /// Engine capacity; `None` for services without a model engine.
    pub engine: Option<EngineSpec>,
    /// Slow start of its upstreams; `None` if they take full load immediately after a start.
    pub warmup: Option<WarmupSpec>,
}

/// Rate limit of a team, in requests or tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamLimit {
    /// Units per second, summed over all daemons.
    pub per_second: f64,
    /// Burst size: units that may be used at once.
    pub burst: f64,
    /// The unit is tokens if true, requests otherwise.
    pub in_tokens: bool,
    /// Tokens charged for a request that does not state its size.
    pub default_tokens: u32,
}

/// A team: the tenant that API keys belong to.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSpec {
    /// Name, as forwarded to upstreams.
    pub name: TeamLabel,
    /// Priority rank, compared before the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Rate limit; `None` is unlimited.
    pub limit: Option<TeamLimit>,
    /// Regions whose upstreams may receive requests of the team; empty allows all regions. They
    /// apply in addition to those of the route.
    pub home_regions: Vec<RegionLabel>,
}

/// Size limits and time-outs for requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time to receive a request head, from its first byte.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration, indexed for lookups.
#[derive(Debug, Clone, Default)]
pub struct DeclaredConfig {
    /// Version number; newer versions have larger numbers.
    pub version: u64,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Services by name; routes refer to these names.
    pub services: BTreeMap<ServiceLabel, ServiceSpec>,
    hosts: HashMap<String, HashMap<String, Arc<RouteSpec>>>,
    keys: HashMap<String, Arc<TeamSpec>>,
    teams: BTreeMap<TeamLabel, Arc<TeamSpec>>,
    route_count: usize,
}

impl DeclaredConfig {
    /// Creates an empty configuration with the given version.
    #[must_use]
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route, replacing one with the same host and prefix.
    pub fn add_route(&mut self, route: RouteSpec) {
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        let old = prefixes.insert(route.prefix.clone(), Arc::new(route));
        self.route_count += usize::from(old.is_none());
    }

    /// Adds a team together with the API keys that identify it.
    pub fn add_team(&mut self, team: TeamSpec, keys: Vec<String>) {
        let team = Arc::new(team);
        for key in keys {
            self.keys.insert(key, Arc::clone(&team));
        }
        self.teams.insert(team.name.clone(), team);
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let prefixes = self.hosts.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns the home regions of all routes of a host; empty if any of these routes allows all
    /// regions.
    #[must_use]
    pub fn home_regions_of(&self, host: &str) -> BTreeSet<&RegionLabel> {
        let routes = self.hosts.get(host).into_iter().flat_map(HashMap::values);
        let mut homes = BTreeSet::new();
        for route in routes {
            if route.home_regions.is_empty() {
                return BTreeSet::new();
            }
            homes.extend(&route.home_regions);
        }
        homes
    }

    /// Returns the team that an API key belongs to.
    #[must_use]
    pub fn team_for_key(&self, key: &str) -> Option<&Arc<TeamSpec>> {
        self.keys.get(key)
    }

    /// Iterates over all teams in the order of their names.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<TeamSpec>> {
        self.teams.values()
    }

    /// Returns the team of this name.
    #[must_use]
    pub fn team(&self, name: &TeamLabel) -> Option<&Arc<TeamSpec>> {
        self.teams.get(name)
    }

    /// Returns true if callers must present an API key, which is so once any team is configured.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.teams.is_empty()
    }

    /// Returns the number of routes over all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.route_count
    }
}
