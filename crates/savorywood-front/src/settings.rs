//! Settings of a front daemon: JSON with comments, checked at the start.

use savorywood_gateway::{
    GatewayBounds, HostResources, LimitTolerance, RegionLabel, RegionMap, RetryBudgetOptions,
    RoutingPolicy, WarmupTolerance, ZoneLabel,
};
use savorywood_settings::{FaultReport, MemberPath, SourceText, decode, node::SourceNode};
use serde::Deserialize;
use std::{collections::BTreeMap, net::SocketAddr, path::Path, time::Duration};

/// Everything in a settings file of a front daemon.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    /// Own host.
    pub host: String,
    /// Own availability zone.
    pub zone: String,
    /// Region of each availability zone; needed where routes or teams have home regions.
    #[serde(default)]
    pub zone_regions: BTreeMap<String, String>,
    /// The whole system starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Addresses at which other daemons may be found at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The store.
    pub store: StoreSettings,
    /// Bounds that must hold.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// What the process may use.
    #[serde(default)]
    pub limits: LimitSettings,
    /// What the choice of upstreams goes by; anything but `worth` is for comparisons.
    #[serde(default)]
    pub routing: RoutingPolicy,
    /// Level of the log: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// Where a front daemon listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Checks of its readiness.
    pub readiness: Option<SocketAddr>,
    /// Callers' questions which addresses to use.
    pub directory: Option<SocketAddr>,
    /// Datagrams of other daemons; the port is the same on all hosts.
    pub peers: SocketAddr,
    /// Metrics.
    pub metrics: Option<SocketAddr>,
}

/// Where the store is.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// Bounds that must hold, as the operator set them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// Time in which a key that was taken away must stop working; none without such a bound.
    pub revocation_ms: Option<u64>,
    /// Second tries for each request of a service.
    pub retry_ratio: f64,
    /// Second tries in a window beside these.
    pub retry_slack: f64,
    /// That window, in seconds.
    pub retry_window_s: f64,
    /// Span in seconds over which the use of teams is summed up.
    pub limit_window_s: f64,
    /// Share of a team's limit that may come on top of it.
    pub limit_overage: f64,
    /// Units that may come on top of a team's limit in a window.
    pub limit_slack: f64,
    /// Share of traffic that an unproved version may get.
    pub exposure_share: f64,
    /// Factor by which the declared rate of a cold upstream may be exceeded with_timeout a second; none
    /// without such a bound.
    pub warmup_overage: Option<f64>,
    /// Requests that may come on top of it.
    pub warmup_slack: f64,
    /// Time between the order to stop and the kill, in seconds.
    pub grace_s: f64,
    /// Longest time in seconds for which callers keep addresses.
    pub address_ttl_s: f64,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            revocation_ms: None,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_s: 10.0,
            limit_window_s: 8.0,
            limit_overage: 0.0,
            limit_slack: 0.0,
            exposure_share: 0.1,
            warmup_overage: None,
            warmup_slack: 0.0,
            grace_s: 8.0,
            address_ttl_s: 5.0,
        }
    }
}

/// What the process may use; zero where that is not limited.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Descriptors.
    pub descriptors: u64,
    /// Share of a core's time.
    pub processor_share: f64,
    /// Speed of that core, in ordinary cores.
    pub cores: f64,
    /// Link in megabits a second.
    pub link_mbps: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            memory_mb: 256,
            descriptors: 4_096,
            processor_share: 1.0,
            cores: 1.0,
            link_mbps: 0.0,
        }
    }
}

impl LimitSettings {
    /// The host's capacity as the entry set is sized by it.
    #[must_use]
    pub fn capacity(&self) -> HostResources {
        let count = |amount: u64| u32::try_from(amount).unwrap_or(u32::MAX);
        HostResources {
            processor_millis: (self.processor_share * self.cores * 1e3) as u32,
            descriptors: count(self.descriptors),
            memory_kib: count(self.memory_mb.saturating_mul(1_024)),
            link_kbps: (self.link_mbps * 1e3) as u32,
        }
    }
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl FrontSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// All faults of the file, each with its place and a remedy.
    pub fn read(path: &Path) -> Result<Self, FaultReport> {
        Self::parse(&SourceText::read(path)?)
    }

    /// Reads settings from a text.
    ///
    /// # Errors
    ///
    /// All faults of the text.
    pub fn parse(source: &SourceText) -> Result<Self, FaultReport> {
        let parsed = SourceNode::parse(source);
        let (node, faults) = parsed.map_err(|fault| FaultReport::locate(source, vec![fault]))?;
        if !faults.is_empty() {
            return Err(FaultReport::locate(source, faults));
        }
        decode::decode(&node, &MemberPath::default())
            .map_err(|faults| FaultReport::locate(source, faults))
    }

    /// Bounds as the decisions take them.
    #[must_use]
    pub fn gateway_bounds(&self) -> GatewayBounds {
        let bounds = &self.bounds;
        GatewayBounds {
            revocation_delay: bounds.revocation_ms.map(Duration::from_millis),
            retry_budget: RetryBudgetOptions {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                window: Duration::from_secs_f64(bounds.retry_window_s.max(0.1)),
            },
            limit_tolerance: LimitTolerance {
                window: Duration::from_secs_f64(bounds.limit_window_s.max(0.1)),
                overage: bounds.limit_overage.max(0.0),
                slack: bounds.limit_slack.max(0.0),
            },
            max_canary_fraction: bounds.exposure_share,
            warmup_tolerance: bounds.warmup_overage.map(|overage| WarmupTolerance {
                overage: overage.max(0.0),
                slack: bounds.warmup_slack.max(0.0),
            }),
        }
    }

    /// Regions of the zones as the decisions take them.
    #[must_use]
    pub fn regions(&self) -> RegionMap {
        let regions = self.zone_regions.iter().map(|(zone, region)| {
            let zone = ZoneLabel::from(zone.as_str());
            (zone, RegionLabel::from(region.as_str()))
        });
        RegionMap::new(regions.collect())
    }

    /// Time between the order to stop and the kill.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s.max(0.0))
    }
}
