//! What the system says of a resource.

use super::MoveState;
use crate::{ConfigRevision, WallTime};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Kind of a condition.
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
    /// Committed in the table.
    Accepted,
    /// Applied by all live members.
    InForce,
    /// The upstream takes requests.
    Serving,
    /// The move goes on.
    Progressing,
    /// The move ended with all traffic on the new version.
    Completed,
    /// The move ended with all traffic on the old version.
    TakenBack,
}

/// One statement about a resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusCondition {
    /// What is stated.
    pub kind: ConditionKind,
    /// Whether it holds.
    pub holds: bool,
    /// Stable word for the reason.
    pub reason: String,
    /// Sentence for a person.
    pub message: String,
    /// When `holds` changed last.
    pub since: WallTime,
}

/// All that the system says of a resource.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceStatus {
    /// Revision that this status speaks of.
    pub observed_revision: ConfigRevision,
    /// Live members on which the revision is in force.
    pub members_in_force: u32,
    /// Live members known.
    pub members_live: u32,
    /// For a move: where it stands.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub move_state: Option<MoveState>,
    /// Statements, one a kind.
    pub conditions: Vec<StatusCondition>,
}
