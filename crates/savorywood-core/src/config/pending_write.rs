//! State of one operator's change from its receipt until the reply, and its validation against the
//! configuration in force.

use crate::{
    config::row::{ChangeNonce, ResourceRow, VersionedHead},
    operator::{OperatorCallId, OperatorReply, OperatorRequest},
    view::ConfigView,
};
use savorywood_protocol::{
    ConfigRevision, MonotonicTime, WallTime,
    resource::{
        ResourceDocument, ResourceKey,
        validate::{check_deletion, check_document},
    },
    table::CommitRevision,
};

/// Stage of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteStage {
    /// Is to be validated against the view.
    Fresh,
    /// Waits for a scan with at least this serial number.
    Refreshing {
        /// Serial number of the scan.
        serial: u64,
    },
    /// Waits for the response to its commit.
    Committing,
    /// The head row is being read, to determine whether the commit took effect.
    ReadingBack,
    /// The head row could not be read; a timer starts the next attempt.
    Waiting,
}

/// Transaction that was sent to the table for a change.
#[derive(Debug, Clone, PartialEq)]
pub struct CommitAttempt {
    /// Commit revision of the head row that the transaction is conditional on.
    pub base: CommitRevision,
    /// Content that it writes to the row of the resource.
    pub row: ResourceRow,
    /// Whether a response was lost: the transaction may have taken effect, or may yet do so.
    pub uncertain: bool,
}

/// Operator's change that has not been replied to.
#[derive(Debug)]
pub struct PendingWrite {
    /// Call that the reply goes to.
    pub call: OperatorCallId,
    /// Requested change.
    pub request: OperatorRequest,
    /// Resource that is changed or deleted.
    pub key: ResourceKey,
    /// Current stage.
    pub stage: WriteStage,
    /// Transaction sent last; `None` before the first one, and after another change superseded it.
    pub last_attempt: Option<CommitAttempt>,
    /// Commits sent so far.
    pub attempts: u32,
    /// Time after which a commit that failed, or whose outcome is unknown, is not retried.
    pub deadline_at: MonotonicTime,
    /// Whether the view has been read from the table after the change was received.
    refreshed: bool,
    /// Revision of the resource when the change first passed validation; `Some(None)` when the
    /// resource did not exist then.
    first_seen: Option<Option<ConfigRevision>>,
}

/// Result of validating a change against the view.
#[derive(Debug)]
pub enum WriteDecision {
    /// Commit this row.
    Commit(Box<ResourceRow>),
    /// The change is invalid against a view that may be older than the table: read the table first.
    Refresh,
    /// The change is invalid against an up-to-date view: send this reply.
    Reply(OperatorReply),
}

impl PendingWrite {
    /// Returns the state of a change that was just received.
    #[must_use]
    pub fn new(call: OperatorCallId, request: OperatorRequest, deadline_at: MonotonicTime) -> Self {
        let key = match &request {
            OperatorRequest::Apply { document, .. } => document.key(),
            OperatorRequest::Delete { key, .. } => key.clone(),
        };
        Self {
            call,
            request,
            key,
            stage: WriteStage::Fresh,
            last_attempt: None,
            attempts: 0,
            deadline_at,
            refreshed: false,
            first_seen: None,
        }
    }

    /// Records that the view has been read from the table since the change was received, and
    /// returns the change to validation.
    pub fn mark_refreshed(&mut self) {
        self.refreshed = true;
        self.stage = WriteStage::Fresh;
    }

    /// Validates the change against the view. `head` gives the revision that the change would make.
    pub fn evaluate(
        &mut self,
        view: &ConfigView,
        head: &VersionedHead,
        nonce: ChangeNonce,
        wall: WallTime,
    ) -> WriteDecision {
        match self.refusal(view, wall) {
            Some(_) if !self.refreshed => WriteDecision::Refresh,
            Some(reply) => WriteDecision::Reply(reply),
            None => {
                self.first_seen
                    .get_or_insert_with(|| revision_of(view, &self.key));
                WriteDecision::Commit(Box::new(self.row(head.row.revision.next(), nonce)))
            }
        }
    }

    fn refusal(&self, view: &ConfigView, wall: WallTime) -> Option<OperatorReply> {
        let current = revision_of(view, &self.key);
        let changed = self
            .first_seen
            .is_some_and(|first_seen| first_seen != current);
        if changed || !self.matches_expected(current) {
            let current = view.documents.get(&self.key).cloned().map(Box::new);
            return Some(OperatorReply::Conflict { current });
        }
        let faults = match &self.request {
            OperatorRequest::Delete { .. } if current.is_none() => {
                return Some(OperatorReply::NotFound);
            }
            OperatorRequest::Delete { key, .. } => check_deletion(key, &view.documents),
            OperatorRequest::Apply { document, .. } => {
                check_document(document, &view.documents, wall)
            }
        };
        (!faults.is_empty()).then_some(OperatorReply::Invalid { faults })
    }

    fn matches_expected(&self, current: Option<ConfigRevision>) -> bool {
        let expected = match &self.request {
            OperatorRequest::Apply { expected, .. } | OperatorRequest::Delete { expected, .. } => {
                *expected
            }
        };
        expected.is_none_or(|expected| expected == current.unwrap_or_default())
    }

    fn row(&self, revision: ConfigRevision, nonce: ChangeNonce) -> ResourceRow {
        let document = match &self.request {
            OperatorRequest::Apply { document, .. } => Some(ResourceDocument {
                revision: Some(revision),
                status: None,
                ..document.clone()
            }),
            OperatorRequest::Delete { .. } => None,
        };
        ResourceRow {
            revision,
            nonce,
            document,
        }
    }

    /// Whether it is unknown if the last transaction took effect.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.last_attempt
            .as_ref()
            .is_some_and(|attempt| attempt.uncertain)
    }
}

fn revision_of(view: &ConfigView, key: &ResourceKey) -> Option<ConfigRevision> {
    let document = view.documents.get(key)?;
    Some(document.revision.unwrap_or_default())
}
