//! What operators declared: routes, services, teams and limits of one configuration version.

use crate::{
    label::{RegionLabel, ServiceLabel, TeamLabel},
    warmup::WarmupSpec,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may run more than once.
    Idempotent,
    /// It runs once at most.
    AtMostOnce,
    /// Its answer is a stream of events.
    Stream {
        /// A broken stream may be read on at another upstream.
        resumable: bool,
    },
}

impl RetrySafety {
    /// Says whether the request may run again after it may have run.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::AtMostOnce | Self::Stream { resumable: false } => false,
        }
    }

    /// Says whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Share of a route's traffic that goes to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficShare {
    /// Who gets it.
    pub service: ServiceLabel,
    /// Weight against the other shares.
    pub weight: u32,
}

/// A route: which requests go to which services, and under what bounds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Its name.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// Longest time until the whole answer.
    pub timeout: Option<Duration>,
    /// Time within which an answer (a stream: its first event) is in time.
    pub objective: Duration,
    /// Longest pause between events of a stream that is in time.
    pub gap_objective: Option<Duration>,
    /// Silence after which callers leave, also before the first event; `None` where they wait
    /// for as long as they said.
    pub caller_idle_timeout: Option<Duration>,
    /// Rank, 0 is the most urgent.
    pub priority: u32,
    /// Where its traffic goes.
    pub split: Vec<TrafficShare>,
    /// Upstreams that may run one request.
    pub max_attempts: u32,
    /// No key is needed.
    pub public: bool,
    /// Requests with the same prompt parts are better kept together.
    pub affinity: bool,
    /// Regions whose upstreams may get its requests; any if empty.
    pub home_regions: Vec<RegionLabel>,
}

impl RouteSpec {
    /// Service for a number drawn evenly from 0 to 1.
    #[must_use]
    pub fn choose_service(&self, draw: f64) -> Option<&ServiceLabel> {
        let total: u32 = self.split.iter().map(|share| share.weight).sum();
        let mut rest = draw * f64::from(total);
        for share in &self.split {
            rest -= f64::from(share.weight);
            if rest < 0.0 {
                return Some(&share.service);
            }
        }
        self.split
            .iter()
            .rev()
            .find(|share| share.weight > 0)
            .map(|share| &share.service)
    }
}

/// What a model engine of a service offers.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests in its batch at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub cache_tokens: u64,
}

/// A service: a set of like upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Connections that one upstream takes from all daemons together.
    pub max_connections: u32,
    /// Set for services of model engines.
    pub engine: Option<EngineSpec>,
    /// How its upstreams start; `None` where they bear full load at once.
    pub warmup: Option<WarmupSpec>,
}

/// Tokens or requests that a team may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamLimit {
    /// Units a second, over all daemons.
    pub per_second: f64,
    /// Units that may come at once.
    pub burst: f64,
    /// Units are tokens, not requests.
    pub in_tokens: bool,
    /// Tokens of a request that names none.
    pub default_tokens: u32,
}

/// A team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSpec {
    /// Its name, as upstreams receive it.
    pub name: TeamLabel,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
    /// What it may use; `None` is unlimited.
    pub limit: Option<TeamLimit>,
    /// Regions whose upstreams may get its requests; any if empty. They bind beside its routes'.
    pub home_regions: Vec<RegionLabel>,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a head.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a head once it began.
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
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

/// One version of the configuration, ready for lookups.
#[derive(Debug, Clone, Default)]
pub struct DeclaredConfig {
    /// Its version; later ones are larger.
    pub version: u64,
    /// Bounds for callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: BTreeMap<ServiceLabel, ServiceSpec>,
    hosts: HashMap<String, HashMap<String, Arc<RouteSpec>>>,
    keys: HashMap<String, Arc<TeamSpec>>,
    teams: BTreeMap<TeamLabel, Arc<TeamSpec>>,
    route_count: usize,
}

impl DeclaredConfig {
    /// An empty configuration of a version.
    #[must_use]
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: RouteSpec) {
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        let old = prefixes.insert(route.prefix.clone(), Arc::new(route));
        self.route_count += usize::from(old.is_none());
    }

    /// Adds a team with the keys that its callers show.
    pub fn add_team(&mut self, team: TeamSpec, keys: Vec<String>) {
        let team = Arc::new(team);
        for key in keys {
            self.keys.insert(key, Arc::clone(&team));
        }
        self.teams.insert(team.name.clone(), team);
    }

    /// Route with the longest prefix that begins the path.
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

    /// Home regions of the routes of a host; none where one of them has none.
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

    /// Team that holds a key.
    #[must_use]
    pub fn team_for_key(&self, key: &str) -> Option<&Arc<TeamSpec>> {
        self.keys.get(key)
    }

    /// All teams.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<TeamSpec>> {
        self.teams.values()
    }

    /// A team by name.
    #[must_use]
    pub fn team(&self, name: &TeamLabel) -> Option<&Arc<TeamSpec>> {
        self.teams.get(name)
    }

    /// Callers must show keys.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.teams.is_empty()
    }

    /// Number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.route_count
    }
}
