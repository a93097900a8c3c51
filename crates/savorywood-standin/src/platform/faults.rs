//! Faults and limits of the platform, settable at start and while it runs.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

/// How the platform is out.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OutageKind {
    /// It is not.
    #[default]
    None,
    /// Every call is answered with status 503 at once and takes no effect.
    Refuse,
    /// Calls are taken and never answered; they take no effect.
    Hang,
    /// Connections are closed without an answer; calls take no effect.
    Close,
}

/// Body of `PUT /standin/faults` at the platform. Members left out have no fault and no limit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Whether and how it is out.
    pub outage: OutageKind,
    /// Added to each call, in milliseconds.
    pub latency_ms: u64,
    /// The next commits take effect, then the connection is closed without an answer.
    pub lose_answers: u32,
    /// Commits and object writes in a second at most; more are answered with status 429.
    pub writes_per_second: Option<u32>,
    /// Reads in a second at most; more are answered with status 429.
    pub reads_per_second: Option<u32>,
    /// Age of the host list, in milliseconds.
    pub hosts_lag_ms: u64,
    /// Bytes that the weight store gives out in a second, over all readers.
    pub weight_bytes_per_second: Option<u64>,
}
