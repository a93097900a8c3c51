//! Counts behind the burn report: how many requests met their objectives in which window.

use crate::{HostName, ServiceName, TierRank};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

/// What a request is measured by.
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
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum BurnObjective {
    /// The first token (model) or byte (plain) came in time.
    FirstToken,
    /// The mean time between tokens was short enough.
    TokenGap,
    /// The whole answer came by the request's deadline.
    Deadline,
}

/// How far back a count reaches.
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
    EnumCount,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
pub enum BurnWindow {
    /// Five minutes.
    #[serde(rename = "5m")]
    #[strum(serialize = "5m")]
    FiveMinutes,
    /// One hour.
    #[serde(rename = "1h")]
    #[strum(serialize = "1h")]
    OneHour,
    /// Six hours.
    #[serde(rename = "6h")]
    #[strum(serialize = "6h")]
    SixHours,
    /// Three days.
    #[serde(rename = "3d")]
    #[strum(serialize = "3d")]
    ThreeDays,
}

impl BurnWindow {
    /// Length of the window.
    #[must_use]
    pub fn duration(self) -> Duration {
        match self {
            Self::FiveMinutes => Duration::from_secs(5 * 60),
            Self::OneHour => Duration::from_secs(60 * 60),
            Self::SixHours => Duration::from_secs(6 * 60 * 60),
            Self::ThreeDays => Duration::from_secs(3 * 24 * 60 * 60),
        }
    }
}

/// Requests of one service and tier that ended within one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnSample {
    /// Service that was asked.
    pub service: ServiceName,
    /// Tier of the requests.
    pub rank: TierRank,
    /// What they are measured by.
    pub objective: BurnObjective,
    /// How far back the counts reach.
    pub window: BurnWindow,
    /// Requests that met the objective.
    pub good: u64,
    /// All requests.
    pub total: u64,
}

/// Answer of one daemon to `GET /v1/burn`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonBurnReport {
    /// Who counted.
    pub host: HostName,
    /// Since when it has counted: a restarted daemon knows nothing of the time before.
    pub observed_ms: u64,
    /// Requests left out because too many services and tiers were counted already.
    pub untracked: u64,
    /// Counts that aren't zero.
    pub samples: Vec<BurnSample>,
}
