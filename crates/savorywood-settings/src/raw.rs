//! The settings file as it is written: every member optional, times and sizes as plain numbers.

use savorywood_protocol::{HostName, RegionName, ZoneName};
use serde::Deserialize;
use std::{net::SocketAddr, path::PathBuf};

/// The whole file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// See [`crate::DaemonSettings::host`].
    pub host: Option<HostName>,
    /// See [`crate::DaemonSettings::zone`].
    pub zone: Option<ZoneName>,
    /// See [`crate::DaemonSettings::region`].
    pub region: Option<RegionName>,
    /// See [`crate::DaemonSettings::listen_callers`].
    pub listen_callers: Option<SocketAddr>,
    /// See [`crate::DaemonSettings::listen_peers`].
    pub listen_peers: Option<SocketAddr>,
    /// See [`crate::DaemonSettings::advertise_callers`].
    pub advertise_callers: Option<SocketAddr>,
    /// See [`crate::DaemonSettings::advertise_peers`].
    pub advertise_peers: Option<SocketAddr>,
    /// See [`crate::PlatformSettings`].
    #[serde(default)]
    pub platform: RawPlatform,
    /// See [`crate::KeySettings`].
    #[serde(default)]
    pub keys: RawKeys,
    /// See [`crate::LimitSettings`].
    #[serde(default)]
    pub limits: RawLimits,
    /// See [`crate::StopSettings`].
    #[serde(default)]
    pub stop: RawStop,
    /// See [`crate::BudgetSettings`].
    #[serde(default)]
    pub budgets: RawBudgets,
    /// See [`crate::DaemonSettings::seed`].
    pub seed: Option<u64>,
}

/// Addresses of the platform.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlatform {
    /// See [`crate::PlatformSettings::table_address`].
    pub table_address: Option<SocketAddr>,
    /// See [`crate::PlatformSettings::object_address`].
    pub object_address: Option<SocketAddr>,
    /// See [`crate::PlatformSettings::host_list_address`].
    pub host_list_address: Option<SocketAddr>,
    /// See [`crate::PlatformSettings::call_timeout`].
    pub call_timeout_ms: Option<u64>,
}

/// Files of secrets.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawKeys {
    /// See [`crate::KeySettings::peer_key_file`].
    pub peer_key_file: Option<PathBuf>,
    /// See [`crate::KeySettings::operator_token_file`].
    pub operator_token_file: Option<PathBuf>,
    /// See [`crate::KeySettings::resume_key_file`].
    pub resume_key_file: Option<PathBuf>,
}

/// Bounds of what callers can make a daemon hold.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLimits {
    /// See [`crate::LimitSettings::connections`].
    pub connections: Option<u64>,
    /// See [`crate::LimitSettings::head_bytes`].
    pub head_bytes: Option<u64>,
    /// See [`crate::LimitSettings::body_bytes`].
    pub body_bytes: Option<u64>,
    /// See [`crate::LimitSettings::head_time`].
    pub head_time_ms: Option<u64>,
    /// See [`crate::LimitSettings::body_time`].
    pub body_time_ms: Option<u64>,
    /// See [`crate::LimitSettings::write_time`].
    pub write_time_ms: Option<u64>,
    /// See [`crate::LimitSettings::idle_time`].
    pub idle_time_ms: Option<u64>,
    /// See [`crate::LimitSettings::executor_threads`].
    pub executor_threads: Option<u64>,
    /// See [`crate::LimitSettings::upstream_connections`].
    pub upstream_connections: Option<u64>,
}

/// Times of a planned stop.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawStop {
    /// See [`crate::StopSettings::drain`].
    pub drain_seconds: Option<u64>,
    /// See [`crate::StopSettings::address_max_age`].
    pub address_max_age_seconds: Option<u64>,
}

/// Shares of what all daemons spend together.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBudgets {
    /// See [`crate::BudgetSettings::table_writes_per_second`].
    pub table_writes_per_second: Option<u64>,
    /// See [`crate::BudgetSettings::peer_bytes_per_second`].
    pub peer_bytes_per_second: Option<u64>,
}
