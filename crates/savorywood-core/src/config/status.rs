//! Status of a resource, as reported to operators.

use crate::view::MemberView;
use savorywood_protocol::{
    ConfigRevision, WallTime,
    resource::{ConditionKind, ResourceStatus, StatusCondition},
};

/// Returns the status of a resource whose last change has the given revision and came into force on
/// this daemon at `since`. Counts the serving members that have announced that revision or a newer
/// one as having it in force. `move_state` is left absent.
#[must_use]
pub fn resource_status(
    revision: ConfigRevision,
    since: WallTime,
    members: &MemberView,
) -> ResourceStatus {
    let live = members.serving().count();
    let in_force = members
        .serving()
        .filter(|(_, member)| member.config_revision >= revision)
        .count();
    let everywhere = in_force == live;
    let reason = if everywhere {
        "Everywhere"
    } else {
        "Spreading"
    };
    let message = format!("revision {revision} is in force on {in_force} of {live} live members");
    ResourceStatus {
        observed_revision: revision,
        members_in_force: in_force as u32,
        members_live: live as u32,
        move_state: None,
        conditions: vec![
            StatusCondition {
                kind: ConditionKind::Accepted,
                holds: true,
                reason: "Committed".into(),
                message: format!("committed as revision {revision}"),
                since,
            },
            StatusCondition {
                kind: ConditionKind::InForce,
                holds: everywhere,
                reason: reason.into(),
                message,
                since,
            },
        ],
    }
}
