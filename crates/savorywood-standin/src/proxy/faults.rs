//! Faults of a link, settable at start and while it runs.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

/// State of a link.
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
pub enum LinkMode {
    /// Everything passes.
    #[default]
    Pass,
    /// Connections are closed, new ones at once; datagrams are lost.
    Cut,
    /// Connections are accepted and stay open, but carry nothing; datagrams are lost.
    HalfOpen,
}

/// Direction on a link.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LinkDirection {
    /// From whoever connects to the target.
    ToTarget,
    /// From the target back.
    ToClient,
}

/// Body of `PUT /standin/faults` at the proxy. Members left out have no fault.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyFaults {
    /// State of the link.
    pub mode: LinkMode,
    /// Each piece and each datagram is passed on this much later, in milliseconds.
    pub delay_ms: u64,
    /// Nothing passes in this direction; the other one is open.
    pub blocked: Option<LinkDirection>,
    /// A connection is closed once this many bytes of it have passed to the client.
    pub close_after_bytes: Option<usize>,
    /// Share of datagrams lost, in thousandths.
    pub drop_per_mille: u16,
}

impl ProxyFaults {
    /// Whether bytes pass in a direction.
    pub(crate) fn passes(&self, direction: LinkDirection) -> bool {
        self.mode == LinkMode::Pass && self.blocked != Some(direction)
    }
}
