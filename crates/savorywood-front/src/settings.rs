//! Settings of a front daemon: a file of JSON with comments, checked at the start.

use crate::held::check_share;
use savorywood_gateway::{
    GatewayBounds, HostResources, LimitTolerance, OverloadOptions, RegionLabel, RegionMap,
    RetryBudgetOptions, RoutingPolicy, WarmupTolerance, ZoneLabel,
};
use savorywood_settings::{FaultReport, MemberPath, SourceText, decode, node::SourceNode};
use serde::Deserialize;
use std::{collections::BTreeMap, net::SocketAddr, path::Path, time::Duration};

/// All settings of a front daemon.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    /// Name of this host; unique among the daemons.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Region of each availability zone; needed when routes or teams are restricted to regions.
    #[serde(default)]
    pub zone_regions: BTreeMap<String, String>,
    /// Set by the operator when the whole system starts for the first time; the buckets of team limits
    /// then start full.
    #[serde(default)]
    pub first_start: bool,
    /// Addresses on which the daemon listens.
    pub listen: ListenSettings,
    /// Addresses of other daemons that are contacted at the start; the port is that of
    /// `listen.peers`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Connection to the store.
    pub store: StoreSettings,
    /// Bounds that the daemon's decisions must keep.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Resource limits of the process, from which its capacity is computed.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Decisions under overload; all are off without this section.
    #[serde(default)]
    pub overload: OverloadSettings,
    /// Policy by which upstreams are chosen; all but `worth` exist for comparison.
    #[serde(default)]
    pub routing: RoutingPolicy,
    /// Log level: error, warn, info, debug or trace. Any other text is read as info.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// Addresses on which a front daemon listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// TCP address for requests of callers.
    pub callers: SocketAddr,
    /// Optional TCP address for readiness checks. The addresses `readiness`, `directory` and `metrics`
    /// serve the same paths and may be equal.
    pub readiness: Option<SocketAddr>,
    /// Optional TCP address for directory queries of callers.
    pub directory: Option<SocketAddr>,
    /// UDP address for datagrams of other daemons, and TCP address for transfers of tables and relayed
    /// requests; the port must be the same on all hosts.
    pub peers: SocketAddr,
    /// Optional TCP address for metrics.
    pub metrics: Option<SocketAddr>,
}

/// Connection to the store.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// TCP address of the store.
    pub address: SocketAddr,
}

/// Bounds set by the operator.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// Maximum time in milliseconds until a revoked key stops working; no bound when absent.
    pub revocation_ms: Option<u64>,
    /// Retries allowed for each request of a service.
    pub retry_ratio: f64,
    /// Retries allowed in one window in addition to `retry_ratio`.
    pub retry_slack: f64,
    /// Length of the retry window in seconds; at least 0.1.
    pub retry_window_s: f64,
    /// Length in seconds of the window in which the use of a team is summed; at least 0.1.
    pub limit_window_s: f64,
    /// Fraction of a team's limit by which its use may exceed the limit.
    pub limit_overage: f64,
    /// Units by which a team's use may exceed its limit in a window, in addition to
    /// `limit_overage`.
    pub limit_slack: f64,
    /// Maximum fraction of traffic for a version that has not yet proved reliable.
    pub exposure_share: f64,
    /// Requests that such a version may receive in addition to that fraction.
    pub exposure_slack: f64,
    /// Requests per second to a cold upstream, as a factor of its declared rate, that must not be
    /// exceeded; no bound when absent.
    pub warmup_overage: Option<f64>,
    /// Requests per second to a cold upstream that may come on top of that factor.
    pub warmup_slack: f64,
    /// Time in seconds from the order to stop until the process is killed.
    pub grace_s: f64,
    /// Maximum time in seconds for which callers cache addresses from the directory.
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
            exposure_slack: 0.0,
            warmup_overage: None,
            warmup_slack: 0.0,
            grace_s: 8.0,
            address_ttl_s: 5.0,
        }
    }
}

/// Resource limits of the process; zero means unlimited.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub descriptors: u64,
    /// Fraction of a core's time.
    pub processor_share: f64,
    /// Speed of that core, relative to an ordinary core.
    pub cores: f64,
    /// Network link in megabits a second.
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
    /// Returns the capacity by which the entry set is sized.
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

/// Decisions under overload.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OverloadSettings {
    /// Divides the slots of upstreams among the daemons while slots are scarce.
    pub slot_reservations: bool,
    /// Orders the requests of a rank by the time by which they must start, and refuses early those that
    /// can't be completed by their deadline.
    pub deadline_queue: bool,
    /// Spreads the return of refused callers over the available capacity.
    pub return_schedule: bool,
    /// Selects upstreams by the pace that they report.
    pub upstream_pace: bool,
    /// Share of `limits.memory_mb` that request bodies and responses may use which are held for slow
    /// callers and upstreams; above 0, at most 0.9.
    pub held_memory_share: f64,
}

impl Default for OverloadSettings {
    fn default() -> Self {
        Self {
            slot_reservations: false,
            deadline_queue: false,
            return_schedule: false,
            upstream_pace: false,
            held_memory_share: 0.5,
        }
    }
}

impl OverloadSettings {
    /// Returns the options of the gateway.
    #[must_use]
    pub fn options(&self) -> OverloadOptions {
        OverloadOptions {
            slot_reservations: self.slot_reservations,
            deadline_queue: self.deadline_queue,
            return_schedule: self.return_schedule,
            upstream_pace: self.upstream_pace,
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
    /// Returns all errors of the file, each with its location and a remedy.
    pub fn read(path: &Path) -> Result<Self, FaultReport> {
        Self::parse(&SourceText::read(path)?)
    }

    /// Parses settings.
    ///
    /// # Errors
    ///
    /// Returns all errors of the text, each with its location and a remedy.
    pub fn parse(source: &SourceText) -> Result<Self, FaultReport> {
        let parsed = SourceNode::parse(source);
        let (node, errors) = parsed.map_err(|error| FaultReport::locate(source, vec![error]))?;
        if !errors.is_empty() {
            return Err(FaultReport::locate(source, errors));
        }
        let settings: Self = decode::decode(&node, &MemberPath::default())
            .map_err(|errors| FaultReport::locate(source, errors))?;
        match check_share(&node, &settings.overload) {
            Some(fault) => Err(FaultReport::locate(source, vec![fault])),
            None => Ok(settings),
        }
    }

    /// Returns the bounds as options of the gateway.
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
            canary_slack: bounds.exposure_slack.max(0.0),
            warmup_tolerance: bounds.warmup_overage.map(|overage| WarmupTolerance {
                overage: overage.max(0.0),
                slack: bounds.warmup_slack.max(0.0),
            }),
        }
    }

    /// Returns the region of each availability zone.
    #[must_use]
    pub fn regions(&self) -> RegionMap {
        let regions = self.zone_regions.iter().map(|(zone, region)| {
            let zone = ZoneLabel::from(zone.as_str());
            (zone, RegionLabel::from(region.as_str()))
        });
        RegionMap::new(regions.collect())
    }

    /// Returns the time from the order to stop until the process is killed.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s.max(0.0))
    }
}
