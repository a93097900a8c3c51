//! Upstreams: back ends that run one version of one service.

use crate::{HostName, ServiceName, VersionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, net::SocketAddr};
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

/// Optional capability of an upstream, beyond its base protocol (`docs/UPSTREAM.md`).
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
    /// Resumes an interrupted response stream from an offset.
    Resume,
    /// Cancels a request by its id.
    Cancel,
    /// Reports its load.
    Load,
    /// Publishes events of its prefix cache.
    CacheEvents,
    /// Exports and imports blocks of its KV cache.
    KvTransfer,
    /// Accepts orders to load models, adapters and versions.
    Orders,
}

/// Spec of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// IP address and port on which the upstream listens.
    pub address: SocketAddr,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Version that the upstream runs.
    pub version: VersionName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Host of the upstream, by its name in the platform's host list. While the list marks the
    /// host as leaving, the upstream gets no new requests. Absent when the upstream is not
    /// tied to a listed host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<HostName>,
    /// Hardware generation, a label for reports. It doesn't affect any decision.
    #[serde(default)]
    pub generation: String,
    /// Initial number of concurrent requests (slots), until the limit adapts to the measured
    /// latency.
    #[serde(rename = "seats", default = "default_seats")]
    pub slots: u32,
    /// Initial number of tokens that requests may occupy in the batch and KV cache at once.
    #[serde(default = "default_batch_tokens")]
    pub batch_tokens: u32,
    /// Whether the upstream refuses orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Optional capabilities of the upstream.
    #[serde(default)]
    pub extensions: BTreeSet<UpstreamExtension>,
    /// Set by operators to drain the upstream: it gets no new requests, while running ones finish.
    #[serde(default)]
    pub draining: bool,
}

/// Initial slots of an upstream that sets none.
fn default_seats() -> u32 {
    8
}

/// Initial batch tokens of an upstream that sets none.
fn default_batch_tokens() -> u32 {
    65_536
}
