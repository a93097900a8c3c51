//! Status of a resource, as observed by the daemons.

use super::MoveState;
use crate::{ConfigRevision, WallTime};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Kind of a status condition.
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
pub enum ConditionKind {
    /// The spec is committed in the table.
    Accepted,
    /// All live members apply the spec.
    InForce,
    /// The upstream accepts requests.
    Serving,
    /// The move is in progress.
    Progressing,
    /// The move ended with all traffic on the new version.
    Completed,
    /// The move was rolled back: all traffic is on the old version.
    TakenBack,
}

/// Condition of a resource, with the reason for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusCondition {
    /// Kind of the condition.
    pub kind: ConditionKind,
    /// Whether the condition holds.
    pub holds: bool,
    /// Machine-readable reason.
    pub reason: String,
    /// Human-readable description.
    pub message: String,
    /// Time of the last change of `holds`.
    pub since: WallTime,
}

/// Status of a resource.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceStatus {
    /// Configuration revision that the status is about.
    pub observed_revision: ConfigRevision,
    /// Number of live members that have applied the revision.
    pub members_in_force: u32,
    /// Number of live members.
    pub members_live: u32,
    /// State of the move; absent for other kinds of resources.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub move_state: Option<MoveState>,
    /// Conditions, at most one of each kind.
    pub conditions: Vec<StatusCondition>,
}
