//! Planned moves of traffic from one version to another.

use crate::{ServiceName, VersionName, WallTime};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// One stage of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveStep {
    /// Share of traffic on the new version, in thousandths.
    pub share_per_mille: u16,
}

/// Spec of a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficMoveSpec {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version that has the traffic now.
    pub from: VersionName,
    /// Version that gets it.
    pub to: VersionName,
    /// Done or taken back by then.
    pub finish_by: WallTime,
    /// Stages in order; empty to let the system plan them.
    #[serde(default)]
    pub steps: Vec<MoveStep>,
    /// Watched for this long after all traffic has moved, before it is called done.
    #[serde(default = "default_soak_seconds")]
    pub soak_seconds: u32,
}

/// Soak of a move that names none.
fn default_soak_seconds() -> u32 {
    60
}

/// Where a move stands.
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
    /// Accepted, no traffic moved yet.
    Planned,
    /// Some traffic is on the new version.
    Moving,
    /// All traffic is on the new version, which is still watched.
    Soaking,
    /// Done.
    Completed,
    /// All traffic is on the old version again.
    TakenBack,
}
