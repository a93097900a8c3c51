//! One write, with what to do when its answer is lost.

use super::{
    plan::{ApplyStage, ApplyStep},
    present::PresentResources,
};
use crate::{
    client::{OperatorClient, WriteCondition},
    error::{CommandError, ProblemText},
};
use async_io::Timer;
use savorywood_http::SendError;
use savorywood_protocol::{ConfigRevision, OutcomeKind, resource::ResourceDocument};
use std::time::Duration;

/// Tries of a write that a daemon refused without effect because it can't take writes just now.
const TRIES: u32 = 5;

/// Pause before the next try when the refusal names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause before the next try, whatever the refusal says.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// What a write came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteResult {
    /// The resource was already so.
    Unchanged(ConfigRevision),
    /// The resource did not exist.
    Created(ConfigRevision),
    /// The resource was different.
    Changed(ConfigRevision),
    /// A later step writes the resource.
    NotNeeded,
}

/// Writes one resource unless it is already so.
pub(super) async fn write(
    client: &OperatorClient,
    step: &ApplyStep,
    present: &mut PresentResources,
) -> Result<WriteResult, CommandError> {
    let document = &step.document;
    let before = present.get(&document.key());
    let condition = match before {
        Some(_) if step.stage == ApplyStage::NewServices => return Ok(WriteResult::NotNeeded),
        Some(before) if before.spec == document.spec => {
            return Ok(WriteResult::Unchanged(before.revision.unwrap_or_default()));
        }
        Some(before) => condition_for(document, before),
        None => WriteCondition::Absent,
    };
    let created = before.is_none();
    let revision = put_surely(client, document, condition).await?;
    present.put(ResourceDocument {
        revision: Some(revision),
        ..document.clone()
    });
    Ok(if created {
        WriteResult::Created(revision)
    } else {
        WriteResult::Changed(revision)
    })
}

/// A file that names the revision it was edited from must not overwrite a later one. A write
/// without it is bound to what was just read, so that of two operators one is told.
fn condition_for(document: &ResourceDocument, before: &ResourceDocument) -> WriteCondition {
    let known = document.revision.or(before.revision);
    known.map_or(WriteCondition::Always, WriteCondition::Revision)
}

/// Writes until it is known what became of it, within bounds.
async fn put_surely(
    client: &OperatorClient,
    document: &ResourceDocument,
    condition: WriteCondition,
) -> Result<ConfigRevision, CommandError> {
    let mut tried = 0;
    loop {
        tried += 1;
        let error = match client.put(document, condition).await {
            Ok(accepted) => return Ok(accepted.revision),
            Err(error) => error,
        };
        if let Some(pause) = retry_pause(&error)
            && tried < TRIES
        {
            Timer::after(pause).await;
            continue;
        }
        // The answer may be lost although the write took effect. Told as a failure, the operator
        // would apply again over a colleague's later change.
        if may_have_run(&error)
            && let Ok(Some(present)) = client.get(&document.key()).await
            && present.spec == document.spec
        {
            return Ok(present.revision.unwrap_or_default());
        }
        return Err(error);
    }
}

fn may_have_run(error: &CommandError) -> bool {
    match error {
        CommandError::Unanswered { source, .. } => matches!(source, SendError::Broken { .. }),
        CommandError::Refused { problem, .. } => problem.0.outcome == Some(OutcomeKind::Unknown),
        CommandError::Unreadable { .. } => true,
        _ => false,
    }
}

/// How long to wait before a refused write is tried again; `None` when that is of no use.
fn retry_pause(error: &CommandError) -> Option<Duration> {
    const UNAVAILABLE: u16 = 503;
    match error {
        CommandError::Refused {
            status: UNAVAILABLE,
            problem,
            ..
        } => {
            let ProblemText(problem) = problem.as_ref();
            let without_effect = problem.outcome == Some(OutcomeKind::NotRun);
            let pause = problem.retry_after_ms.map(Duration::from_millis);
            without_effect.then(|| pause.unwrap_or(DEFAULT_PAUSE).min(MAX_PAUSE))
        }
        _ => None,
    }
}
