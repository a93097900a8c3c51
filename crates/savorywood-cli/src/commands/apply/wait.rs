//! Waiting until changes are in force.

use super::AppliedResource;
use crate::{client::OperatorClient, error::CommandError};
use async_io::Timer;
use savorywood_protocol::{
    ConfigRevision,
    resource::{ConditionKind, ResourceStatus},
};
use std::time::{Duration, Instant};

/// Time between two looks at a resource's status.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// Whether all live daemons have a revision in force.
#[must_use]
pub fn is_in_force(status: &ResourceStatus, revision: ConfigRevision) -> bool {
    let conditions = &status.conditions;
    let stated = conditions.iter().find(|c| c.kind == ConditionKind::InForce);
    let counted = status.members_live > 0 && status.members_in_force >= status.members_live;
    let everywhere = stated.map_or(counted, |condition| condition.holds);
    status.observed_revision >= revision && everywhere
}

/// Polls the status of a resource until its revision is in force. A failed look is tried again
/// while there is time: the write itself is done.
pub(super) async fn wait_for(
    client: &OperatorClient,
    resource: &AppliedResource,
    patience: Duration,
) -> Result<(), CommandError> {
    let start = Instant::now();
    loop {
        let state = match client.get(&resource.key).await {
            Ok(Some(document)) => match document.status {
                Some(status) if is_in_force(&status, resource.revision) => return Ok(()),
                Some(status) => format!(
                    "in force on {} of {} live daemons",
                    status.members_in_force, status.members_live
                ),
                None => "no status yet".to_owned(),
            },
            Ok(None) => "deleted by somebody else".to_owned(),
            Err(error) => error.to_string(),
        };
        if start.elapsed() >= patience {
            let AppliedResource { key, revision } = resource;
            let peer = client.address();
            return Err(CommandError::NotReached {
                step: format!("waiting for {key} at revision {revision} at {peer}"),
                state,
                seconds: patience.as_secs(),
                remedy: "the change is accepted and stays; list the members at /v1/members to \
                         see where it is not yet in force"
                    .to_owned(),
            });
        }
        Timer::after(POLL_PAUSE).await;
    }
}
