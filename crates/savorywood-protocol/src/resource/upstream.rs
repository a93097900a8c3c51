//! Upstreams: back ends that run one version of one service.

use crate::{HostName, ServiceName, VersionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, net::SocketAddr};
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

/// What an upstream can do beyond its plain protocol (`docs/UPSTREAM.md`).
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum UpstreamExtension {
    /// A broken stream can be read on from an offset.
    Resume,
    /// A request can be cancelled by its id.
    Cancel,
    /// It reports its load.
    Load,
    /// It publishes events of its prefix cache.
    CacheEvents,
    /// Its KV cache can be exported and imported.
    KvTransfer,
    /// It takes orders to load models, adapters and versions.
    Orders,
}

/// Spec of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// IP address and port.
    pub address: SocketAddr,
    /// Service that it runs.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: VersionName,
    /// Availability zone that it stands in.
    pub zone: ZoneName,
    /// Host that it stands on, as the platform's host list names it. When the list says that the
    /// host leaves, the upstream gets no new work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<HostName>,
    /// Hardware generation; a label for reports, no constant depends on it.
    #[serde(default)]
    pub generation: String,
    /// Requests at once to begin with, before its speed has been learned.
    #[serde(rename = "seats", default = "default_seats")]
    pub slots: u32,
    /// Tokens in its batch and cache at once to begin with.
    #[serde(default = "default_batch_tokens")]
    pub batch_tokens: u32,
    /// Whether it refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// What it can do beyond its plain protocol.
    #[serde(default)]
    pub extensions: BTreeSet<UpstreamExtension>,
    /// Set by operators to take it out: it gets no new work, its streams finish.
    #[serde(default)]
    pub draining: bool,
}

/// Seats of an upstream that names none.
fn default_seats() -> u32 {
    8
}

/// Batch tokens of an upstream that names none.
fn default_batch_tokens() -> u32 {
    65_536
}
