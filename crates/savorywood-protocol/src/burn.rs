//! Counts for the burn report: requests that met their objectives, by time window.
//!
//! The burn rate is the rate at which a service uses up the error budget of an objective.

use crate::{HostName, ServiceName, TierRank};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

/// Objective of a service that a request either meets or misses.
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
    /// The first token (model service) or byte (plain service) arrives in time.
    FirstToken,
    /// The mean time between tokens is within its bound.
    TokenGap,
    /// The complete response arrives before the deadline of the request.
    Deadline,
}

/// Time window, ending now, over which requests are counted.
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
    /// Service that the requests were sent to.
    pub service: ServiceName,
    /// Rank of the tier of the requests.
    pub rank: TierRank,
    /// Objective that the counts are for.
    pub objective: BurnObjective,
    /// Time window of the counts.
    pub window: BurnWindow,
    /// Requests that met the objective.
    pub good: u64,
    /// All requests, those that missed the objective included.
    pub total: u64,
}

/// Response of one daemon to `GET /v1/burn`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonBurnReport {
    /// Host of the daemon that counted.
    pub host: HostName,
    /// Time that the counts cover, in milliseconds. A daemon starts at zero after a restart.
    pub observed_ms: u64,
    /// Requests that were not counted, because the number of tracked services and tiers is
    /// bounded.
    pub untracked: u64,
    /// Counts with a `total` above zero.
    pub samples: Vec<BurnSample>,
}
