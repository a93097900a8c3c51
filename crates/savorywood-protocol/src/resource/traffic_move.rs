//! Traffic moves: planned shifts of traffic from one version of a service to another.

use crate::{ServiceName, VersionName, WallTime};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Step of a traffic move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveStep {
    /// Fraction of traffic on the new version, in thousandths.
    pub share_per_mille: u16,
}

/// Spec of a traffic move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficMoveSpec {
    /// Service whose traffic is moved.
    pub service: ServiceName,
    /// Old version, which has the traffic at the start.
    pub from: VersionName,
    /// New version, which gets the traffic.
    pub to: VersionName,
    /// Deadline: the move is completed or rolled back by then.
    pub finish_by: WallTime,
    /// Steps in order, with increasing fractions; planned automatically when empty.
    #[serde(default)]
    pub steps: Vec<MoveStep>,
    /// Time in seconds during which the new version is still monitored after it got all traffic,
    /// before the move is completed.
    #[serde(default = "default_soak_seconds")]
    pub soak_seconds: u32,
}

/// Soak time of a move that sets none, in seconds.
fn default_soak_seconds() -> u32 {
    60
}

/// State of a traffic move.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MoveState {
    /// Accepted; no traffic moved yet.
    Planned,
    /// Some traffic is on the new version.
    Moving,
    /// All traffic is on the new version, which is still monitored.
    Soaking,
    /// Completed: the new version keeps the traffic.
    Completed,
    /// Rolled back: all traffic is on the old version again.
    TakenBack,
}
